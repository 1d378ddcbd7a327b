//! Flow control of one body: how many bytes its receiver can take.
//!
//! The sender of the body owns the window; the session or connection that gets [`Credit`] messages refills it. The receiver
//! decides by [`OwedCredit`] when it sends them.
//!
//! [`Credit`]: seamhatch_wire::PeerMessage::Credit

use crate::peer::BODY_WINDOW;
use seamhatch_core::body_credit::OwedCredit;
use std::sync::atomic::{AtomicI64, Ordering};
use tokio::sync::Notify;

/// What the receiver of a body owes its sender at the start.
#[must_use]
pub fn owed_credit() -> OwedCredit {
    OwedCredit::new(BODY_WINDOW as u32)
}

/// Bytes that may be sent now. Below zero after a piece that was larger than what was left.
#[derive(Debug)]
pub struct CreditWindow {
    available: AtomicI64,
    refilled: Notify,
}

impl Default for CreditWindow {
    fn default() -> Self {
        Self { available: AtomicI64::new(BODY_WINDOW as i64), refilled: Notify::new() }
    }
}

impl CreditWindow {
    /// Adds the receiver's credit, in bytes.
    pub fn refill(&self, bytes: u32) {
        self.available.fetch_add(i64::from(bytes), Ordering::AcqRel);
        self.refilled.notify_one();
    }

    /// Counts bytes as sent.
    pub fn spend(&self, bytes: usize) {
        self.available.fetch_sub(bytes as i64, Ordering::AcqRel);
    }

    /// Waits until something may be sent. For one waiter.
    pub async fn ready(&self) {
        while self.available.load(Ordering::Acquire) <= 0 {
            self.refilled.notified().await;
        }
    }
}
