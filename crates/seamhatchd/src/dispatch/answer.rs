//! The answer of a back end on its way to the caller.

use super::answer_parts::AnswerParts;
use crate::base::clock;
use crate::claims::Claimed;
use crate::dispatch::ledger_entry::LedgerEntry;
use crate::filters::Rejection;
use crate::peer::{AnswerBody, AnswerPiece};
use bytes::Bytes;
use seamhatch_core::Instant;
use seamhatch_core::identity::Address;
use seamhatch_core::outcome::Reason;
use seamhatch_core::retry::ChildEnd;
use seamhatch_wire::{AnswerHead, RecordedAnswer};

/// Largest body of an answer that is recorded for repeats of a claimed request, in bytes.
const MAX_RECORDED_ANSWER_BYTES: usize = 64 * 1024;

/// The answer of a back end on its way to the caller. Dropping it before the end of the body
/// cancels the call.
pub struct Answer {
    /// The head as the server's daemon has sent it.
    pub head: AnswerHead,
    /// What of it is passed on.
    pub parts: AnswerParts,
    /// Peer address of the daemon whose server answers.
    pub server: Address,
    /// Number of servers that the call was sent to.
    pub dispatches: usize,
    pub(super) body: AnswerBody,
    /// Bytes of the body that are still to come, where the head says how many.
    pub(super) left: Option<u64>,
    pub(super) expiry: Instant,
    pub(super) ledger_entry: LedgerEntry,
    pub(super) claimed: Option<Claimed>,
    pub(super) recording: Option<Vec<u8>>,
}

impl Answer {
    /// Returns the next piece of the body, or `None` at its end.
    ///
    /// # Errors
    /// Returns a [`Rejection`] if the body will never be complete: the back end broke off, the
    /// deadline passed, or the body has not the length that the head says.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Rejection> {
        let piece = clock::timeout_at(self.expiry, self.body.next()).await;
        match piece.unwrap_or(AnswerPiece::Broken) {
            AnswerPiece::Data(piece) => {
                self.count(piece.len())?;
                self.record(&piece);
                Ok(Some(piece))
            }
            AnswerPiece::End { .. } if self.left.is_some_and(|left| left > 0) => Err(wrong_length()),
            AnswerPiece::End { unspent_tokens } => {
                self.complete(unspent_tokens);
                Ok(None)
            }
            AnswerPiece::Broken => {
                Err(Rejection::unknown(Reason::BackendFailed, "the answer broke off; ask for it again"))
            }
        }
    }

    fn count(&mut self, length: usize) -> Result<(), Rejection> {
        let Some(left) = &mut self.left else { return Ok(()) };
        *left = left.checked_sub(length as u64).ok_or_else(wrong_length)?;
        Ok(())
    }

    fn record(&mut self, piece: &Bytes) {
        let Some(recording) = &mut self.recording else { return };
        if recording.len() + piece.len() > MAX_RECORDED_ANSWER_BYTES {
            self.recording = None;
        } else {
            recording.extend_from_slice(piece);
        }
    }

    fn complete(&mut self, unspent_tokens: u32) {
        if self.ledger_entry.finished {
            return;
        }
        self.ledger_entry.give_back(unspent_tokens);
        let failed = self.head.status >= 500;
        self.ledger_entry.finish(if failed { ChildEnd::Failed } else { ChildEnd::Succeeded });
        let (Some(claimed), Some(body)) = (&self.claimed, self.recording.take()) else { return };
        claimed.answered(RecordedAnswer {
            status: self.head.status,
            headers: self.head.headers.clone(),
            body,
        });
    }
}

fn wrong_length() -> Rejection {
    let detail = "the answer has not the length that its head says; ask for it again";
    Rejection::unknown(Reason::BackendFailed, detail)
}
