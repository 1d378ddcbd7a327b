//! The table of calls in progress on a connection that another daemon opened.
//!
//! Shared by the connection's session, which forwards request bodies and cancels calls, and the [`ServerCall`] of
//! each call, which removes its entry when it ends.
//!
//! [`ServerCall`]: crate::peer_server::call::ServerCall

use crate::base::lock::lock;
use crate::peer::CreditWindow;
use crate::peer_server::cancellation::Cancellation;
use crate::server::backend::{BodyAborted, BodyPiece};
use bytes::Bytes;
use seamhatch_core::identity::CallId;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::mpsc;

/// The session's handle to a call in progress.
pub(super) struct IncomingCall {
    /// Channel of the request body; none for a call without a body, and after the body's end.
    pub(super) body: Option<mpsc::UnboundedSender<BodyPiece>>,
    /// Flow-control window of the answer's body.
    pub(super) window: Arc<CreditWindow>,
    pub(super) cancellation: Arc<Cancellation>,
}

/// The calls in progress on one connection, by call number. Cheap to clone.
#[derive(Clone, Default)]
pub(super) struct IncomingCalls(Arc<Mutex<HashMap<CallId, IncomingCall>>>);

impl IncomingCalls {
    /// Adds a call. Returns false if its number was in use: the sender violates the protocol, and messages no
    /// longer reach the earlier call.
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

    /// Forwards a piece of a request body. The piece is dropped if the call has ended or its body is no longer read.
    pub(super) fn feed(&self, call: CallId, bytes: Bytes) {
        let calls = self.lock();
        if let Some(body) = calls.get(&call).and_then(|entry| entry.body.as_ref()) {
            // Fails if the body is no longer read.
            let _ = body.send(Ok(bytes));
        }
    }

    /// Marks a request body as complete.
    pub(super) fn end_body(&self, call: CallId) {
        if let Some(entry) = self.lock().get_mut(&call) {
            entry.body = None;
        }
    }

    /// Adds `bytes` of credit for an answer's body.
    pub(super) fn refill(&self, call: CallId, bytes: u32) {
        if let Some(entry) = self.lock().get(&call) {
            entry.window.refill(bytes);
        }
    }

    /// Cancels a call at the request of its sender.
    pub(super) fn cancel(&self, call: CallId) {
        if let Some(entry) = self.lock().get_mut(&call) {
            entry.cancel();
        }
    }

    /// Cancels all calls, because the connection to their sender has ended.
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
            // Prevents the back end from treating the partial body as complete. Fails if the body is no longer
            // read.
            let _ = body.send(Err(BodyAborted));
        }
        self.cancellation.cancel();
    }
}
