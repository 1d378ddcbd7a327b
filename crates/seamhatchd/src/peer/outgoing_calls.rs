//! The table of calls in progress on a connection that this daemon opened.
//!
//! Shared by the connection, which delivers the peer's messages, and the [`CallStream`] of each call, which
//! removes its entry when dropped.
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

/// The calls in progress, by call number.
#[derive(Debug, Default)]
pub(super) struct OutgoingCalls {
    calls: Mutex<HashMap<CallId, OutgoingCall>>,
    /// Length of `calls`, which each choice of a server reads without taking the lock.
    count: AtomicU32,
}

#[derive(Debug)]
struct OutgoingCall {
    events: mpsc::UnboundedSender<CallEvent>,
    window: Arc<CreditWindow>,
}

impl OutgoingCalls {
    /// Adds a call that is about to be sent. Returns the receiver of its events and the window of its request
    /// body.
    pub(super) fn add(&self, call: CallId) -> (mpsc::UnboundedReceiver<CallEvent>, Arc<CreditWindow>) {
        let (sender, events) = mpsc::unbounded_channel();
        let window = Arc::new(CreditWindow::default());
        self.lock().insert(call, OutgoingCall { events: sender, window: window.clone() });
        self.count.fetch_add(1, Ordering::Relaxed);
        (events, window)
    }

    /// Removes a call. Later messages for it count as late.
    pub(super) fn remove(&self, call: CallId) {
        if self.lock().remove(&call).is_some() {
            self.count.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Delivers an event to its call. Returns false if the call is no longer in the table.
    pub(super) fn deliver(&self, call: CallId, event: CallEvent) -> bool {
        self.lock().get(&call).is_some_and(|entry| entry.events.send(event).is_ok())
    }

    /// Adds `bytes` of credit for a call's request body.
    pub(super) fn refill(&self, call: CallId, bytes: u32) {
        if let Some(entry) = self.lock().get(&call) {
            entry.window.refill(bytes);
        }
    }

    /// Ends all calls, because the connection is closed.
    pub(super) fn end_all(&self) {
        let ended = std::mem::take(&mut *self.lock());
        self.count.fetch_sub(ended.len() as u32, Ordering::Relaxed);
    }

    /// The number of calls in progress.
    pub(super) fn count(&self) -> u32 {
        self.count.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CallId, OutgoingCall>> {
        lock(&self.calls)
    }
}
