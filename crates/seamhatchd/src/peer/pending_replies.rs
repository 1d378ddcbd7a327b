//! Requests on a connection that wait for their replies.
//!
//! Each request carries a number that its reply repeats. The connection that sends the requests owns the
//! table and fails all waits when it ends.

use crate::base::lock::lock;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::oneshot;

/// Requests of one kind whose replies are of type `R`, by number.
#[derive(Debug)]
pub(super) struct PendingReplies<R>(Mutex<HashMap<u64, oneshot::Sender<R>>>);

impl<R> Default for PendingReplies<R> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<R> PendingReplies<R> {
    /// Adds a request that is about to be sent. The receiver fails when the connection ends first.
    pub(super) fn add(&self, exchange: u64) -> oneshot::Receiver<R> {
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(exchange, sender);
        receiver
    }

    /// Hands a reply to its request. One that nobody waits for any more is dropped: its request timed out.
    pub(super) fn complete(&self, exchange: u64, reply: R) {
        let waiting = self.lock().remove(&exchange);
        waiting.map(|waiting| waiting.send(reply));
    }

    /// Fails all waits.
    pub(super) fn fail_all(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<R>>> {
        lock(&self.0)
    }
}
