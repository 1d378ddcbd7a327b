//! One call as the daemon that sends it sees it: events of the answer, and the answer's body.
//!
//! Used by dispatch. Dropping a [`CallStream`] before its end cancels the call at the peer.

use crate::peer::credit::{CreditWindow, owed_credit};
use crate::peer::link::Outbox;
use crate::peer::outgoing_calls::OutgoingCalls;
use bytes::Bytes;
use seamhatch_core::body_credit::OwedCredit;
use seamhatch_core::identity::CallId;
use seamhatch_wire::{AnswerHead, AnswerTail, PeerMessage, Refusal};
use std::sync::Arc;
use tokio::sync::mpsc;

/// What the peer sends about a call.
#[derive(Debug)]
pub enum CallEvent {
    /// There is no answer of the back end.
    Refused(Refusal),
    /// The answer begins.
    Head(Box<AnswerHead>),
    /// A piece of its body.
    Chunk(Bytes),
    /// It is over.
    Tail(AnswerTail),
}

/// A call that was sent; dropping it before its end cancels the call.
#[derive(Debug)]
pub struct CallStream {
    /// Its number on this connection.
    pub call: CallId,
    /// How much of the request body may be sent.
    pub window: Arc<CreditWindow>,
    pub(super) outbox: Outbox,
    pub(super) events: mpsc::UnboundedReceiver<CallEvent>,
    pub(super) calls: Arc<OutgoingCalls>,
    pub(super) ended: bool,
}

impl CallStream {
    /// The next event; none when the connection was lost. Cancel-safe.
    pub async fn next(&mut self) -> Option<CallEvent> {
        let event = self.events.recv().await;
        self.ended |= matches!(event, None | Some(CallEvent::Refused(_) | CallEvent::Tail(_)));
        event
    }

    /// Sends a piece of the request body. Wait for the window to be ready before.
    pub fn send_piece(&self, piece: &Bytes) {
        self.window.spend(piece.len());
        let message = PeerMessage::RequestChunk { call: self.call, bytes: piece.to_vec() };
        // A lost connection shows in `next`.
        let _ = self.outbox.send(message);
    }

    /// Marks the request body as complete.
    pub fn finish_body(&self) {
        // A lost connection shows in `next`.
        let _ = self.outbox.send(PeerMessage::RequestEnd { call: self.call });
    }
}

impl Drop for CallStream {
    fn drop(&mut self) {
        self.calls.remove(self.call);
        if !self.ended {
            // The end of a connection cancels its calls anyway.
            let _ = self.outbox.send(PeerMessage::Cancel { call: self.call });
        }
    }
}

/// What [`AnswerBody::next`] returns.
#[derive(Debug)]
pub enum AnswerPiece {
    /// More of the body.
    Data(Bytes),
    /// The body is complete.
    End {
        /// Tokens that the call did not spend.
        unspent_tokens: u32,
    },
    /// The body will never be complete.
    Broken,
}

/// The body of an answer. It holds one piece back until more follows or the body is complete, so that no reader takes a
/// body that broke off for a whole one.
#[derive(Debug)]
pub struct AnswerBody {
    stream: CallStream,
    owed: OwedCredit,
    held_back: Option<Bytes>,
    tail: Option<AnswerTail>,
    lost: bool,
}

impl AnswerBody {
    /// The body that follows an answer's head on `stream`.
    #[must_use]
    pub fn new(stream: CallStream) -> Self {
        Self { stream, owed: owed_credit(), held_back: None, tail: None, lost: false }
    }

    /// The next piece. Cancel-safe.
    pub async fn next(&mut self) -> AnswerPiece {
        while self.tail.is_none() && !self.lost {
            match self.stream.next().await {
                Some(CallEvent::Chunk(bytes)) => {
                    self.grant(bytes.len());
                    if let Some(earlier) = self.held_back.replace(bytes) {
                        return AnswerPiece::Data(earlier);
                    }
                }
                Some(CallEvent::Tail(tail)) => self.tail = Some(tail),
                Some(CallEvent::Refused(_) | CallEvent::Head(_)) | None => self.lost = true,
            }
        }
        match self.tail {
            Some(tail) if tail.complete => match self.held_back.take() {
                Some(last) => AnswerPiece::Data(last),
                None => AnswerPiece::End { unspent_tokens: tail.unspent_tokens },
            },
            _ => AnswerPiece::Broken,
        }
    }

    fn grant(&mut self, bytes: usize) {
        let Some(bytes) = self.owed.take(bytes as u32) else { return };
        let message = PeerMessage::Credit { call: self.stream.call, bytes };
        // A lost connection shows in the next event.
        let _ = self.stream.outbox.send(message);
    }
}
