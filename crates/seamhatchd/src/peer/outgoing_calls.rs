//! The calls in progress on a connection that this daemon opened.
//!
//! Shared by the connection, which delivers what its peer sends, and the [`CallStream`] of each call, which
//! removes its entry when it is dropped.
//!
//! [`CallStream`]: crate::peer::CallStream

use crate::base::lock::lock;
use crate::peer::call::CallEvent;
use crate::peer::credit::CreditWindow;
use seamhatch_core::identity::CallId;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::mpsc;

/// The calls in progress, by number.
#[derive(Debug, Default)]
pub(super) struct OutgoingCalls {
    calls: Mutex<HashMap<CallId, OutgoingCall>>,
    /// Length of `calls`, read for each choice of a server without the lock.
    count: AtomicU32,
}

#[derive(Debug)]
struct OutgoingCall {
    events: mpsc::UnboundedSender<CallEvent>,
    window: Arc<CreditWindow>,
}

impl OutgoingCalls {
    /// Adds a call that is about to be sent. Returns what its peer will say of it, and the window of its
    /// request body.
    pub(super) fn add(&self, call: CallId) -> (mpsc::UnboundedReceiver<CallEvent>, Arc<CreditWindow>) {
        let (sender, events) = mpsc::unbounded_channel();
        let window = Arc::new(CreditWindow::default());
        self.lock().insert(call, OutgoingCall { events: sender, window: window.clone() });
        self.count.fetch_add(1, Ordering::Relaxed);
        (events, window)
    }

    /// Removes a call; what still comes for it is late.
    pub(super) fn remove(&self, call: CallId) {
        if self.lock().remove(&call).is_some() {
            self.count.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Hands an event to its call. False when the call has ended here.
    pub(super) fn deliver(&self, call: CallId, event: CallEvent) -> bool {
        self.lock().get(&call).is_some_and(|entry| entry.events.send(event).is_ok())
    }

    /// Allows `bytes` more of a call's request body to be sent.
    pub(super) fn refill(&self, call: CallId, bytes: u32) {
        if let Some(entry) = self.lock().get(&call) {
            entry.window.refill(bytes);
        }
    }

    /// Ends all calls, as nothing more will come for them.
    pub(super) fn end_all(&self) {
        let ended = std::mem::take(&mut *self.lock());
        self.count.fetch_sub(ended.len() as u32, Ordering::Relaxed);
    }

    /// Calls in progress.
    pub(super) fn count(&self) -> u32 {
        self.count.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CallId, OutgoingCall>> {
        lock(&self.calls)
    }
}
