//! Forwards a back end's answer to the daemon that sent the call.

use super::ServerCall;
use crate::base::clock;
use crate::conventions::headers;
use crate::peer::BODY_PIECE_BYTES;
use crate::server::backend::{BackendAnswer, BackendError};
use crate::server::running::RunningCall;
use bytes::Bytes;
use seamhatch_core::Instant;
use seamhatch_core::chain_cost::ServiceUsage;
use seamhatch_core::clock::MILLISECOND;
use seamhatch_wire::{AnswerHead, AnswerTail, PeerMessage};

/// Number of bytes of an answer's body that are buffered before its head is forwarded. If a body that would fit
/// into the buffer is truncated, the call is refused instead, so that it can be retried and no caller gets a
/// partial answer.
const ANSWER_START_BYTES: usize = 64 * 1024;

/// Number of bytes of an answer that are read though nobody waits for them.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;

/// The buffered start of an answer's body.
pub(super) struct AnswerStart {
    pieces: Vec<Bytes>,
    /// Whether the body is complete.
    is_whole: bool,
}

impl AnswerStart {
    /// Reads until the body ends or [`ANSWER_START_BYTES`] bytes are buffered.
    pub(super) async fn read(answer: &mut BackendAnswer) -> Result<Self, BackendError> {
        let mut pieces = Vec::new();
        let mut length = 0;
        while length < ANSWER_START_BYTES {
            let Some(piece) = answer.next().await? else { return Ok(Self { pieces, is_whole: true }) };
            length += piece.len();
            pieces.push(piece);
        }
        Ok(Self { pieces, is_whole: false })
    }
}

/// Reads the rest of an answer that nobody waits for any more, so that the back end is not cut off while it works on a call that
/// must not be repeated. Returns whether the body was complete; false after [`MAX_DISCARDED_BYTES`].
pub(super) async fn discard_rest(answer: &mut BackendAnswer) -> bool {
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        match answer.next().await {
            Ok(Some(piece)) => discarded += piece.len(),
            Ok(None) => return true,
            Err(_) => return false,
        }
    }
    false
}

impl ServerCall {
    /// Forwards the answer of a call that got its slot at `started`.
    ///
    /// # Errors
    /// The answer is not complete.
    pub(super) async fn forward_answer(
        &self,
        running: &RunningCall,
        started: Instant,
        answer: &mut BackendAnswer,
        start: AnswerStart,
    ) -> Result<(), BackendError> {
        self.send(PeerMessage::AnswerHead(Box::new(self.answer_head(running, started, answer))));
        for piece in start.pieces {
            self.send_pieces(piece).await;
        }
        if start.is_whole { Ok(()) } else { self.forward_rest(answer).await }
    }

    fn answer_head(&self, running: &RunningCall, started: Instant, answer: &BackendAnswer) -> AnswerHead {
        let conventions = &self.shared.conventions;
        let pace = self.shared.server.gate.pace();
        let usage = if self.uses_costs(pace) { self.usage(running, started) } else { Vec::new() };
        AnswerHead {
            call: self.head.call,
            status: answer.status.as_u16(),
            headers: headers::passing_fields(&answer.headers, |name| conventions.passes_through(name)),
            server: self.shared.server.gate.report(),
            chain_floor: running.chain_floor(),
            turn: self.shared.server.notices.turn_of(self.from),
            notice: self.shared.server.notices.notice_for_peers(),
            pace,
            usage,
        }
    }

    /// The usage of this call and of the calls made for it. The time to transfer the rest of the body is not
    /// included.
    fn usage(&self, running: &RunningCall, started: Instant) -> Vec<ServiceUsage> {
        let held = clock::now().since(started) / MILLISECOND;
        let own = ServiceUsage {
            service: self.head.service.clone(),
            calls: 1,
            slot_ms: u32::try_from(held).unwrap_or(u32::MAX),
        };
        let mut usage = running.usage();
        usage.add(&[own]);
        usage.services().to_vec()
    }

    /// Forwards the body after its buffered start.
    async fn forward_rest(&self, answer: &mut BackendAnswer) -> Result<(), BackendError> {
        while let Some(piece) = answer.next().await? {
            self.send_pieces(piece).await;
        }
        Ok(())
    }

    /// Sends body bytes as the receiver grants credit.
    async fn send_pieces(&self, mut data: Bytes) {
        while !data.is_empty() {
            let piece = data.split_to(data.len().min(BODY_PIECE_BYTES));
            self.window.ready().await;
            self.window.spend(piece.len());
            self.send(PeerMessage::AnswerChunk { call: self.head.call, bytes: piece.to_vec() });
        }
    }

    /// Ends the answer and returns the retry tokens that the call did not spend.
    pub(super) fn end(&self, running: &RunningCall, complete: bool) {
        let unspent_tokens = running.ledger().close();
        self.send(PeerMessage::AnswerTail(AnswerTail { call: self.head.call, complete, unspent_tokens }));
    }
}
