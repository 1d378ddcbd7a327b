//! The sender's side of one call: the events of its answer, and the answer's body.
//!
//! Used by dispatch. Dropping a [`CallStream`] before the call has ended cancels the call at the peer.

use crate::peer::credit::{CreditWindow, owed_credit};
use crate::peer::link::Outbox;
use crate::peer::outgoing_calls::OutgoingCalls;
use bytes::Bytes;
use seamhatch_core::body_credit::OwedCredit;
use seamhatch_core::identity::CallId;
use seamhatch_wire::{AnswerHead, AnswerTail, PeerMessage, Refusal};
use std::sync::Arc;
use tokio::sync::mpsc;

/// A message of the peer about a call.
#[derive(Debug)]
pub enum CallEvent {
    /// The call is refused; there is no answer of the back end.
    Refused(Refusal),
    /// The head of the answer.
    Head(Box<AnswerHead>),
    /// A piece of the answer's body.
    Chunk(Bytes),
    /// The end of the answer.
    Tail(AnswerTail),
}

/// A call that has been sent. Dropping the stream before the call has ended cancels the call.
#[derive(Debug)]
pub struct CallStream {
    /// The call's number on its connection.
    pub call: CallId,
    /// Flow-control window of the request body.
    pub window: Arc<CreditWindow>,
    pub(super) outbox: Outbox,
    pub(super) events: mpsc::UnboundedReceiver<CallEvent>,
    pub(super) calls: Arc<OutgoingCalls>,
    pub(super) ended: bool,
}

impl CallStream {
    /// Returns the next event, or none if the connection is lost. Cancel-safe.
    pub async fn next(&mut self) -> Option<CallEvent> {
        let event = self.events.recv().await;
        self.ended |= matches!(event, None | Some(CallEvent::Refused(_) | CallEvent::Tail(_)));
        event
    }

    /// Sends a piece of the request body. The caller first waits for [`CreditWindow::ready`].
    pub fn send_piece(&self, piece: &Bytes) {
        self.window.spend(piece.len());
        let message = PeerMessage::RequestChunk { call: self.call, bytes: piece.to_vec() };
        // `next` reports a lost connection.
        let _ = self.outbox.send(message);
    }

    /// Marks the request body as complete.
    pub fn finish_body(&self) {
        // `next` reports a lost connection.
        let _ = self.outbox.send(PeerMessage::RequestEnd { call: self.call });
    }
}

impl Drop for CallStream {
    fn drop(&mut self) {
        self.calls.remove(self.call);
        if !self.ended {
            // If the connection is closed, the peer cancels its calls by itself.
            let _ = self.outbox.send(PeerMessage::Cancel { call: self.call });
        }
    }
}

/// A result of [`AnswerBody::next`].
#[derive(Debug)]
pub enum AnswerPiece {
    /// A piece of the body.
    Data(Bytes),
    /// The body is complete.
    End {
        /// Retry tokens that the call did not spend.
        unspent_tokens: u32,
    },
    /// The body was cut short.
    Broken,
}

/// The body of an answer. The last received piece is withheld until another follows or the body is complete, so
/// that no reader mistakes a truncated body for a complete one.
#[derive(Debug)]
pub struct AnswerBody {
    stream: CallStream,
    owed: OwedCredit,
    held_back: Option<Bytes>,
    tail: Option<AnswerTail>,
    lost: bool,
}

impl AnswerBody {
    /// Reads the body of an answer whose head was received on `stream`.
    #[must_use]
    pub fn new(stream: CallStream) -> Self {
        Self { stream, owed: owed_credit(), held_back: None, tail: None, lost: false }
    }

    /// Returns the next piece. Cancel-safe.
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
        // The next event reports a lost connection.
        let _ = self.stream.outbox.send(message);
    }
}
