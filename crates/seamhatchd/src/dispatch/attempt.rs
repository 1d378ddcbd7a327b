//! One attempt of a call at one server: writes the call and waits for the head of the answer.

use super::Dispatcher;
use super::answer_parts::AnswerParts;
use super::replay::next_after_prefix;
use crate::base::clock;
use crate::conventions::field_text;
use crate::filters::Rejection;
use crate::intake::RequestStage;
use crate::peer::{CallEvent, CallStream, PeerConnection, SentCallKey};
use log::warn;
use seamhatch_core::balance::CallEnd;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::priority::AdmissionFloor;
use seamhatch_wire::{AnswerHead, CallContext, CallHead, HandedBackCall, Refusal, ServerReport};

/// The deadline sent to the receiving daemon is earlier by this margin, so that its refusal arrives
/// in time.
const EXPIRY_MARGIN: Microseconds = 5 * MILLISECOND;
/// Shortest time in which an attempt can succeed, in microseconds; with less left, none is made.
pub(super) const MIN_ATTEMPT_TIME: Microseconds = 20 * MILLISECOND;

/// Why an attempt at one server produced no answer.
pub(super) enum AttemptFailure {
    /// The server's daemon refused the call, or the call was never written.
    Refused(Refusal),
    /// The connection was lost, or the peer stopped responding, after the call was sent.
    Lost,
    /// The deadline passed.
    Expired,
    /// The caller aborted the request body.
    BodyAborted(Rejection),
}

/// An answer whose head has come and is sound.
pub(super) struct AnswerBegun {
    /// The head as the server's daemon has sent it.
    pub(super) head: Box<AnswerHead>,
    /// What of it is passed on.
    pub(super) parts: AnswerParts,
    /// Delivers the body.
    pub(super) stream: CallStream,
}

impl Dispatcher<'_> {
    /// Sends the call to a server and waits for the head of its answer.
    ///
    /// # Errors
    /// Returns an [`AttemptFailure`] if the attempt ends without an answer.
    pub(super) async fn attempt(
        &mut self,
        connection: &PeerConnection,
    ) -> Result<AnswerBegun, AttemptFailure> {
        let head = self.call_head(connection);
        let sent = self.note_sent(connection, &head);
        if let Some(claimed) = &mut self.claimed {
            claimed.dispatched();
        }
        self.report_evidence(connection);
        let Ok(stream) = connection.start_call(head) else {
            // The connection closed after it was chosen: nothing was written.
            sent.into_iter().for_each(|sent| self.shared.pool.settle(sent));
            return Err(AttemptFailure::Refused(own_refusal(
                Outcome::NotRun,
                Reason::PeerLost,
                self.ledger_entry.handed_over,
            )));
        };
        self.request.progress.set_stage(RequestStage::Sent(connection.address));
        for piece in &self.body.prefix {
            stream.send_piece(piece);
        }
        if self.body.rest.is_none() && !self.body.is_empty() {
            stream.finish_body();
        }
        let attempt = self.await_head(connection, stream).await;
        if is_settled(&attempt) {
            sent.into_iter().for_each(|sent| self.shared.pool.settle(sent));
        }
        attempt
    }

    /// Remembers a call that may run only once, for a daemon that restarts while its server runs it.
    fn note_sent(&self, connection: &PeerConnection, head: &CallHead) -> Option<SentCallKey> {
        if self.request.repeatable {
            return None;
        }
        let conventions = &self.shared.conventions;
        let call = HandedBackCall {
            name: conventions.request_name(&head.headers)?.to_owned(),
            tenant: field_text(&head.headers, conventions.tenant_field()).map(str::to_owned),
            instance: connection.with_view(|view| view.instance.clone()),
            context: head.context.clone(),
        };
        self.shared.pool.note_sent(connection, head.call, self.parent.expiry, call)
    }

    /// Sends the rest of the request body and waits for the head of the answer, until the deadline.
    async fn await_head(
        &mut self,
        connection: &PeerConnection,
        mut stream: CallStream,
    ) -> Result<AnswerBegun, AttemptFailure> {
        let deadline = clock::sleep_until(self.parent.expiry);
        tokio::pin!(deadline);
        let window = stream.window.clone();
        loop {
            tokio::select! {
                event = stream.next() => return match event {
                    Some(CallEvent::Head(head)) => self.check_head(connection, head, stream),
                    Some(CallEvent::Refused(refusal)) => Err(AttemptFailure::Refused(refusal)),
                    Some(CallEvent::Chunk(_) | CallEvent::Tail(_)) | None => Err(AttemptFailure::Lost),
                },
                piece = next_after_prefix(&mut self.body, &window) => match piece {
                    Ok(Some(piece)) => stream.send_piece(&piece),
                    Ok(None) => stream.finish_body(),
                    Err(rejection) => return Err(AttemptFailure::BodyAborted(rejection)),
                },
                () = &mut deadline => return Err(AttemptFailure::Expired),
                // The server's daemon is frozen, dead or unreachable. A call that is not repeatable
                // can only wait.
                () = connection.until_silent(), if self.request.repeatable => return Err(AttemptFailure::Lost),
            }
        }
    }

    /// Checks the head of an answer.
    ///
    /// # Errors
    /// A refusal that tells nothing of the call if the head is not sound.
    fn check_head(
        &self,
        connection: &PeerConnection,
        head: Box<AnswerHead>,
        stream: CallStream,
    ) -> Result<AnswerBegun, AttemptFailure> {
        let error = match AnswerParts::of_peer(&self.request.method, head.status, &head.headers) {
            Ok(parts) => return Ok(AnswerBegun { head, parts, stream }),
            Err(error) => error,
        };
        self.shared.metrics.unsound_answers.inc();
        warn!(
            request = self.request.log_name().as_str(),
            server = connection.address.to_string().as_str(),
            detail = error.to_string().as_str();
            "an answer from another daemon can't be understood"
        );
        Err(AttemptFailure::Refused(own_refusal(Outcome::Unknown, Reason::BackendFailed, 0)))
    }

    fn call_head(&mut self, connection: &PeerConnection) -> CallHead {
        let expiry = self.shared.capped_expiry(self.parent.expiry).minus(EXPIRY_MARGIN);
        let context = CallContext {
            root: self.request.root,
            priority: self.parent.priority,
            root_age: clock::now().since(self.parent.root_admitted),
            tokens: self.ledger_entry.hand_over(),
            repeat: self.repeat,
            repeatable: self.request.repeatable,
            expiry: connection.to_peer_clock(expiry),
            objective_left: self.request.objective_left.saturating_sub(clock::now().since(self.started)),
            depth: self.parent.depth,
        };
        CallHead {
            call: self.shared.new_call_id(),
            generation: self.shared.snapshot().generation(),
            service: self.request.service.clone(),
            context,
            request: self.digest,
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            headers: self.request.headers.clone(),
            has_body: !self.body.is_empty(),
        }
    }
}

/// Whether it is known that the server has answered the call, or has not run it.
fn is_settled(attempt: &Result<AnswerBegun, AttemptFailure>) -> bool {
    match attempt {
        Ok(_) => true,
        Err(AttemptFailure::Refused(refusal)) => refusal.outcome == Outcome::NotRun,
        Err(AttemptFailure::Lost | AttemptFailure::Expired | AttemptFailure::BodyAborted(_)) => false,
    }
}

/// Classifies the end of an attempt for outlier ejection of the server.
pub(super) fn call_end(attempt: &Result<AnswerBegun, AttemptFailure>) -> CallEnd {
    match attempt {
        Err(AttemptFailure::Lost) => CallEnd::Lost,
        Err(AttemptFailure::Refused(refusal)) if refusal.reason.counts_as_lost() => CallEnd::Lost,
        Ok(_)
        | Err(AttemptFailure::Refused(_) | AttemptFailure::Expired | AttemptFailure::BodyAborted(_)) => {
            CallEnd::Answered
        }
    }
}

/// Builds the refusal that stands for a call that the server's daemon has neither answered nor refused.
fn own_refusal(outcome: Outcome, reason: Reason, unspent_tokens: u32) -> Refusal {
    Refusal {
        outcome,
        reason,
        retry_after: 0,
        unspent_tokens,
        crashes: 0,
        server: ServerReport { load: 0, limit: 0, floor: AdmissionFloor::OPEN },
        turn: None,
        pace: None,
    }
}
