//! Credit for the request body of one incoming call.
//!
//! The sender of the body gets credit for a piece once the connection to the back end has taken it, so a back end that is slow
//! to read holds the sender back, and this daemon keeps at most the sender's window.

use crate::peer::{Outbox, owed_credit};
use seamhatch_core::body_credit::OwedCredit;
use seamhatch_core::identity::CallId;
use seamhatch_wire::PeerMessage;

/// Grants the sender of one request body its credit.
pub(super) struct RequestCredit {
    outbox: Outbox,
    call: CallId,
    owed: OwedCredit,
}

impl RequestCredit {
    pub(super) fn new(outbox: Outbox, call: CallId) -> Self {
        Self { outbox, call, owed: owed_credit() }
    }

    /// Records that the connection to the back end has taken a piece of this many bytes.
    pub(super) fn record_taken(&mut self, bytes: u32) {
        if let Some(bytes) = self.owed.take(bytes) {
            // If the connection to the sender is lost, the session cancels the call.
            let _ = self.outbox.send(PeerMessage::Credit { call: self.call, bytes });
        }
    }
}
