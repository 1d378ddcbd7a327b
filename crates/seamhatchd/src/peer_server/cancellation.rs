//! Tells a call that its sender has cancelled it or is gone.

use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::Notify;

/// Set once, by the session of the call's connection. Each step of the call may wait for it, in any order.
#[derive(Debug, Default)]
pub(super) struct Cancellation {
    is_cancelled: AtomicBool,
    waiting: Notify,
}

impl Cancellation {
    /// Cancels the call.
    pub(super) fn cancel(&self) {
        self.is_cancelled.store(true, Ordering::Release);
        self.waiting.notify_waiters();
    }

    /// Resolves when the call has been cancelled, also if that was before.
    pub(super) async fn cancelled(&self) {
        let notified = self.waiting.notified();
        tokio::pin!(notified);
        // A cancellation between the look and the wait is not missed.
        notified.as_mut().enable();
        if !self.is_cancelled.load(Ordering::Acquire) {
            notified.await;
        }
    }
}
