//! Sends a call to a server and, within the retry limits, to another server after a failure.
//!
//! A listener passes a call here after the filters. [`dispatch`] prepares it in `prepare` (its
//! entry in its parent's retry ledger, the claim of its key in `claiming`, the limits in
//! `retries`), then alternates between choosing a server (`candidates`) and trying it (`attempt`)
//! until one answers or no further attempt is allowed. An [`Answer`] keeps the resources of the
//! call until its body is complete.
//!
//! The module owns no state beyond the call. It takes servers from the published snapshot and
//! connections from the pool.

mod answer;
mod answer_parts;
mod attempt;
mod candidates;
mod claiming;
mod digests;
mod ledger_entry;
mod prepare;
mod replay;
mod retries;
mod suspects;

pub use answer::Answer;
pub use answer_parts::{AnswerParts, PeerAnswerError};
pub use replay::ReplayBody;

use crate::base::clock;
use crate::claims::Claimed;
use crate::filters::{Entry, Rejection, RequestState};
use crate::peer::{AnswerBody, PeerConnection};
use crate::server::running::RunningCall;
use crate::shared::Shared;
use attempt::{AnswerBegun, AttemptFailure, call_end};
use ledger_entry::LedgerEntry;
use log::info;
use seamhatch_core::Instant;
use seamhatch_core::identity::{Address, RequestDigest};
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::retry::ChildEnd;
use seamhatch_policy::ServiceSettings;
use seamhatch_wire::{AnswerHead, ChainFloor, RecordedAnswer, Refusal};
use std::sync::Arc;

/// Result of a dispatched call.
pub enum CallResult {
    /// The back end answers.
    Answered(Box<Answer>),
    /// An earlier attempt with the same key has this recorded answer.
    Recorded(RecordedAnswer),
    /// The call has no answer.
    Rejected(Rejection),
}

/// A call, and the state that its attempts share.
struct Dispatcher<'a> {
    shared: &'a Arc<Shared>,
    request: &'a RequestState,
    started: Instant,
    settings: ServiceSettings,
    /// The call that causes this one; for a request from outside, the request itself.
    parent: Arc<RunningCall>,
    body: ReplayBody,
    /// Digest of the request; copies of a request have the same one.
    digest: RequestDigest,
    ledger_entry: LedgerEntry,
    claimed: Option<Claimed>,
    /// Whether the next attempt may repeat an earlier run, of this call or of its parent.
    repeat: bool,
    /// Servers that were tried or could not be reached.
    tried: Vec<Address>,
    /// Number of servers that refused the call because of overload.
    overload_refusals: u32,
    /// Refusal by the last server tried; `None` if its connection was lost.
    last_refusal: Option<Refusal>,
    /// Whether an attempt may have run; the outcome can't be `not-run` then.
    may_have_run: bool,
}

/// Sends a call that has passed the filters.
pub async fn dispatch(shared: &Arc<Shared>, request: &RequestState, body: ReplayBody) -> CallResult {
    match prepare::prepare(shared, request, body).await {
        Ok(dispatcher) => dispatcher.run().await,
        Err(result) => result,
    }
}

impl Dispatcher<'_> {
    /// Tries servers until one answers or no further attempt is allowed.
    async fn run(mut self) -> CallResult {
        loop {
            let connection = match self.connect().await {
                Ok(connection) => connection,
                Err(no_server) => return self.reject_without_server(no_server),
            };
            let run = self.new_run();
            let attempt = self.attempt(&connection).await;
            connection.record(call_end(&attempt));
            if matches!(attempt, Err(AttemptFailure::Lost)) {
                self.report_lost_daemon(&connection, run).await;
            }
            match attempt {
                Ok(begun) => return self.answer(begun, connection.address),
                Err(failure) => {
                    if let Err(rejection) = self.check_resend(failure) {
                        return self.reject(rejection);
                    }
                }
            }
            self.log_resend(&connection);
            self.tried.push(connection.address);
        }
    }

    /// Records the failure of an attempt and decides whether the call is sent again.
    ///
    /// # Errors
    /// Returns the rejection for the caller if the call is not sent again.
    fn check_resend(&mut self, failure: AttemptFailure) -> Result<(), Rejection> {
        match failure {
            AttemptFailure::Refused(refusal) => self.check_resend_refused(refusal),
            AttemptFailure::Lost => {
                self.may_have_run = true;
                self.last_refusal = None;
                if !self.loss_forbids_resend() && self.may_send_again(Reason::PeerLost, true) {
                    return Ok(());
                }
                let detail = "the connection to the server's daemon was lost; its result is not known";
                Err(Rejection::unknown(Reason::PeerLost, detail))
            }
            AttemptFailure::Expired => {
                self.may_have_run = true;
                let detail = "no answer came before the deadline; its result is not known";
                Err(Rejection::unknown(Reason::DeadlineExceeded, detail))
            }
            AttemptFailure::BodyAborted(rejection) => {
                // The server may have started on the part of the body that it received.
                self.may_have_run = true;
                Err(rejection)
            }
        }
    }

    fn check_resend_refused(&mut self, refusal: Refusal) -> Result<(), Rejection> {
        self.learn_service_floor();
        self.ledger_entry.give_back(refusal.unspent_tokens);
        let ran = refusal.outcome != Outcome::NotRun;
        self.may_have_run |= ran;
        let reached = ran || refusal.reason.reached_back_end();
        self.overload_refusals += u32::from(refusal.reason.is_server_overload());
        if self.refusal_forbids_resend(&refusal) || !self.may_send_again(refusal.reason, reached) {
            return Err(Rejection::of_peer(&refusal));
        }
        self.last_refusal = Some(refusal);
        Ok(())
    }

    fn answer(self, begun: AnswerBegun, server: Address) -> CallResult {
        let AnswerBegun { head, parts, stream } = begun;
        self.learn_floor(head.chain_floor.clone());
        self.learn_service_floor();
        self.learn_usage(&head);
        let recording = self.claimed.is_some().then(Vec::new);
        CallResult::Answered(Box::new(Answer {
            head: *head,
            left: parts.body_length,
            parts,
            server,
            dispatches: self.tried.len() + 1,
            body: AnswerBody::new(stream),
            expiry: self.parent.expiry,
            ledger_entry: self.ledger_entry,
            claimed: self.claimed,
            recording,
        }))
    }

    /// Rejects a call for which no server is left. The refusal by the last server is more useful to
    /// the caller than the lack of servers.
    fn reject_without_server(mut self, no_server: Rejection) -> CallResult {
        let refused = self.last_refusal.take().map(|refusal| Rejection::of_peer(&refusal));
        self.reject(refused.unwrap_or(no_server))
    }

    /// Ends the call without an answer.
    fn reject(mut self, mut rejection: Rejection) -> CallResult {
        if self.may_have_run {
            // An earlier attempt may have run, whatever the result of the last one.
            rejection.outcome = Outcome::Unknown;
        } else {
            self.ledger_entry.finish(ChildEnd::NotRun);
            if let Some(claimed) = &mut self.claimed {
                claimed.not_run();
            }
        }
        CallResult::Rejected(rejection)
    }

    /// Records the admission floor of the called service, which takes the reports of all its
    /// servers into account.
    fn learn_service_floor(&self) {
        self.learn_floor(self.shared.limits.service_floors.floor(&self.request.service, clock::now()));
    }

    /// Records the slot time that the call has used: with its parent, or for a successful request
    /// from outside as the cost of its kind.
    fn learn_usage(&self, head: &AnswerHead) {
        let is_root = self.request.entry != Entry::Egress && self.parent.depth == 0;
        if !is_root {
            self.parent.add_usage(&head.usage);
        } else if (200..300).contains(&head.status) {
            self.shared.chain_costs.learn(&self.request.entry_kind, &head.usage);
        }
    }

    fn learn_floor(&self, floor: Option<ChainFloor>) {
        if let Some(floor) = floor {
            self.parent.lower_chain_floor(&floor);
        }
    }

    fn log_resend(&self, connection: &PeerConnection) {
        info!(
            request = self.request.log_name().as_str(),
            service = self.request.service.as_str(),
            digest = self.digest.to_string().as_str(),
            left = connection.address.to_string().as_str(),
            reason = self.last_refusal.map_or(Reason::PeerLost, |refusal| refusal.reason).name(),
            may_have_run = self.may_have_run,
            tokens = self.parent.ledger().tokens();
            "call sent again"
        );
    }
}
