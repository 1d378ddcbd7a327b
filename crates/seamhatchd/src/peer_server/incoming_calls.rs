//! The calls in progress on a connection that another daemon opened.
//!
//! Shared by the connection's session, which feeds and cancels calls, and the [`ServerCall`] of each call, which removes
//! its entry when it ends.
//!
//! [`ServerCall`]: crate::peer_server::call::ServerCall

use crate::base::lock::lock;
use crate::peer::CreditWindow;
use crate::server::backend::{BodyAborted, BodyPiece};
use bytes::Bytes;
use seamhatch_core::body_credit::OwedCredit;
use seamhatch_core::identity::CallId;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::{Notify, mpsc};

/// A call in progress, as its session sees it.
pub(super) struct IncomingCall {
    /// Feeds the request body; none for a call without one, and after its end.
    pub(super) body: Option<mpsc::UnboundedSender<BodyPiece>>,
    /// Credit for the request body that its sender has not got yet.
    pub(super) owed: OwedCredit,
    /// How much of the answer's body the sender can take.
    pub(super) window: Arc<CreditWindow>,
    /// Woken once when the sender has given the call up.
    pub(super) cancelled: Arc<Notify>,
}

/// The calls in progress on one connection, by number. Cheap to clone.
#[derive(Clone, Default)]
pub(super) struct IncomingCalls(Arc<Mutex<HashMap<CallId, IncomingCall>>>);

impl IncomingCalls {
    /// Adds a call. False when its number was in use: the sender made a mistake, and the earlier call can't be reached
    /// any more.
    pub(super) fn add(&self, call: CallId, entry: IncomingCall) -> bool {
        self.lock().insert(call, entry).is_none()
    }

    /// Removes a call that has ended.
    pub(super) fn remove(&self, call: CallId) {
        self.lock().remove(&call);
    }

    /// Whether no call is in progress.
    pub(super) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Passes on a piece of a request body. Returns the credit that its sender gets now; none where the call has ended or needs no
    /// more of it.
    pub(super) fn feed(&self, call: CallId, bytes: Bytes) -> Option<u32> {
        let mut calls = self.lock();
        let entry = calls.get_mut(&call)?;
        let size = bytes.len() as u32;
        entry.body.as_ref()?.send(Ok(bytes)).ok()?;
        entry.owed.take(size)
    }

    /// Marks a request body as complete.
    pub(super) fn end_body(&self, call: CallId) {
        if let Some(entry) = self.lock().get_mut(&call) {
            entry.body = None;
        }
    }

    /// Allows `bytes` more of an answer's body to be sent.
    pub(super) fn refill(&self, call: CallId, bytes: u32) {
        if let Some(entry) = self.lock().get(&call) {
            entry.window.refill(bytes);
        }
    }

    /// Cancels a call that its sender has given up.
    pub(super) fn cancel(&self, call: CallId) {
        if let Some(entry) = self.lock().get_mut(&call) {
            entry.cancel();
        }
    }

    /// Cancels all calls, as their sender is gone.
    pub(super) fn cancel_all(&self) {
        self.lock().values_mut().for_each(IncomingCall::cancel);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CallId, IncomingCall>> {
        lock(&self.0)
    }
}

impl IncomingCall {
    fn cancel(&mut self) {
        if let Some(body) = self.body.take() {
            // So that the back end doesn't take the part it has for the whole. Fails where nothing reads the body
            // any more.
            let _ = body.send(Err(BodyAborted));
        }
        self.cancelled.notify_one();
    }
}
