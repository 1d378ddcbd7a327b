//! The requests on a connection that wait for their replies.
//!
//! Each request carries an exchange number, which its reply repeats. The connection that sends the requests owns
//! the table and fails all pending requests when it closes.

use crate::base::lock::lock;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::oneshot;

/// Pending requests of one kind, with replies of type `R`, by exchange number.
#[derive(Debug)]
pub(super) struct PendingReplies<R>(Mutex<HashMap<u64, oneshot::Sender<R>>>);

impl<R> Default for PendingReplies<R> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<R> PendingReplies<R> {
    /// Adds a request that is about to be sent. The receiver fails if the connection closes before the reply.
    pub(super) fn add(&self, exchange: u64) -> oneshot::Receiver<R> {
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(exchange, sender);
        receiver
    }

    /// Delivers a reply to its request. A reply whose request has timed out is dropped.
    pub(super) fn complete(&self, exchange: u64, reply: R) {
        let waiting = self.lock().remove(&exchange);
        waiting.map(|waiting| waiting.send(reply));
    }

    /// Fails all pending requests.
    pub(super) fn fail_all(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<R>>> {
        lock(&self.0)
    }
}
