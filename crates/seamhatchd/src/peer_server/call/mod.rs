//! One call on its way through the daemon beside its server: admission, the back end, the answer.
//!
//! A session starts a [`ServerCall`] for each call that comes in; it ends with exactly one of an answer or a refusal.
//! It owns nothing that outlives it: its entries among the running calls, the suspects' trials and the admission queue
//! are freed when it ends or is cancelled. `execute` follows one call on the back end, `answer` passes its answer on,
//! `refusal` says why there is none.

mod answer;
mod execute;
mod refusal;

use crate::base::clock;
use crate::conventions::field_text;
use crate::intake::{AcceptedRequest, RequestProgress, RequestStage};
use crate::peer::CreditWindow;
use crate::peer::Outbox;
use crate::peer_server::incoming_calls::IncomingCalls;
use crate::server::backend;
use crate::server::crashes::{self, TrialRun};
use crate::server::gate::{GateRequest, Permit};
use crate::server::running::RunningCall;
use crate::shared::Shared;
use seamhatch_core::Instant;
use seamhatch_core::admission::CallKind;
use seamhatch_core::balance::ServerPace;
use seamhatch_core::identity::Address;
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::priority::PriorityClass;
use seamhatch_core::retry::RetryLedger;
use seamhatch_wire::{CallHead, CallIntake, PeerMessage};
use std::sync::Arc;
use tokio::sync::Notify;

/// One call on its way through this daemon to the back end.
pub(super) struct ServerCall {
    pub(super) shared: Arc<Shared>,
    pub(super) outbox: Outbox,
    pub(super) calls: IncomingCalls,
    /// How much of the answer's body the sender can take.
    pub(super) window: Arc<CreditWindow>,
    /// Woken once when the sender has given the call up.
    pub(super) cancelled: Arc<Notify>,
    pub(super) head: CallHead,
    /// Peer address of the daemon that sent it.
    pub(super) from: Address,
    /// Additions to the messages that it reads.
    pub(super) additions: u16,
    pub(super) arrived: Instant,
    /// How far it has come.
    pub(super) progress: Arc<RequestProgress>,
}

impl Drop for ServerCall {
    fn drop(&mut self) {
        self.calls.remove(self.head.call);
    }
}

impl ServerCall {
    /// Refuses a call that came after the intake had closed.
    pub(super) fn refuse_late(self) {
        self.refuse(&self.running_call(), Outcome::NotRun, Reason::Draining, "");
    }

    /// Follows the call from its arrival to its end and sends its answer or its refusal. `_taken` keeps it in progress meanwhile.
    pub(super) async fn run(self, body: backend::RequestBody, _taken: AcceptedRequest) {
        self.progress.set_name(self.log_name());
        self.shared.control.note_call_generation(self.head.generation);
        self.shared.server.notices.note_sender(self.from);
        let running = Arc::new(self.running_call());
        tokio::select! {
            biased;
            () = self.follow(&running, body) => {}
            () = self.shared.intake.until_cut() => self.cut_off(&running),
        }
    }

    async fn follow(&self, running: &Arc<RunningCall>, body: backend::RequestBody) {
        match self.admit(running).await {
            Ok((permit, trial)) => self.execute(running, permit, trial.as_ref(), body).await,
            Err(reason) => self.refuse(running, Outcome::NotRun, reason, ""),
        }
    }

    /// Ends a call as the process ends.
    fn cut_off(&self, running: &RunningCall) {
        match self.progress.stage() {
            RequestStage::Waiting => self.refuse(running, Outcome::NotRun, Reason::Draining, ""),
            RequestStage::Sent(_) => self.refuse(running, Outcome::Unknown, Reason::Draining, ""),
            RequestStage::Answering(_) => self.end(running, false),
            RequestStage::Refused => {}
        }
    }

    /// The call as the parent of the calls that it will make.
    fn running_call(&self) -> RunningCall {
        let context = &self.head.context;
        let running = RunningCall::new(
            context.root,
            context.priority,
            clock::now().minus(context.root_age),
            context.expiry,
            context.depth + 1,
            RetryLedger::new(context.tokens, context.repeat),
        );
        running.of_tenant(field_text(&self.head.headers, self.shared.conventions.tenant_field()))
    }

    /// Waits for a slot of the back end.
    ///
    /// # Errors
    /// The reason of the refusal; the call has not run.
    async fn admit(&self, running: &RunningCall) -> Result<(Permit, Option<TrialRun>), Reason> {
        self.check_intake(running)?;
        let objective_end = clock::now().plus(self.head.context.objective_left);
        loop {
            let trial = self.admit_suspect(running, objective_end).await?;
            let permit = self.wait_for_slot(running, objective_end).await?;
            // Servers may have crashed under the request in the meantime, so that it has to run alone now, or not at all.
            if self.shared.suspects.may_run(self.head.request, trial.as_ref()) {
                return Ok((permit, trial));
            }
        }
    }

    async fn wait_for_slot(&self, running: &RunningCall, objective_end: Instant) -> Result<Permit, Reason> {
        let request = GateRequest {
            priority: running.priority,
            root_admitted: running.root_admitted,
            expiry: running.expiry,
            objective_end,
            kind: call_kind(running),
            continues_chain: self.goes_first(),
        };
        tokio::select! {
            permit = self.shared.server.gate.admit(request) => permit,
            () = self.cancelled.notified() => Err(Reason::Cancelled),
        }
    }

    /// Whether the operator orders requests by cost.
    fn is_ordered_by_cost(&self) -> bool {
        let snapshot = self.shared.snapshot();
        snapshot.configuration().is_some_and(|configuration| configuration.admission().by_cost)
    }

    /// Whether costs count here: the operator orders by cost, and the server reports this pace.
    fn counts_costs(&self, pace: Option<ServerPace>) -> bool {
        pace.is_some() && self.is_ordered_by_cost()
    }

    /// Whether the call goes before first calls of its class: its chain has begun at another server, and costs count here.
    fn goes_first(&self) -> bool {
        self.head.context.depth > 0 && self.counts_costs(self.shared.server.gate.pace())
    }

    /// Checks that the call is for this service, and that the daemon takes calls that end when this one does.
    fn check_intake(&self, running: &RunningCall) -> Result<(), Reason> {
        if self.head.service != self.shared.settings.service {
            // The route exists; the sender's record of this server is out of date.
            return Err(Reason::OtherService);
        }
        match self.shared.call_intake() {
            CallIntake::Open => Ok(()),
            CallIntake::FallbackOnly { .. } if self.can_finish(running) => Ok(()),
            CallIntake::Closed if self.shared.serves_callers() => Err(Reason::NoInstance),
            CallIntake::FallbackOnly { .. } | CallIntake::Closed => Err(Reason::Draining),
        }
    }

    /// Whether the call, if it starts now, can end before the process does.
    fn can_finish(&self, running: &RunningCall) -> bool {
        self.shared
            .can_finish(running.expiry, self.shared.server.gate.median_service_time(call_kind(running)))
    }

    /// Waits until a call whose request is a suspect may run, as long as its answer is worth waiting for. Other calls
    /// don't wait.
    async fn admit_suspect(
        &self,
        running: &RunningCall,
        objective_end: Instant,
    ) -> Result<Option<TrialRun>, Reason> {
        let latest = objective_end.min(running.expiry);
        let admitted = crashes::until_admitted(&self.shared.suspects, self.head.request);
        tokio::select! {
            admitted = clock::timeout_at(latest, admitted) => {
                admitted.unwrap_or(Err(Reason::DeadlineExceeded))
            }
            () = self.cancelled.notified() => Err(Reason::Cancelled),
        }
    }

    /// The caller's name of the request, where the conventions have one.
    fn request_name(&self) -> Option<&str> {
        self.shared.conventions.request_name(&self.head.headers)
    }

    /// How logs name the request: as its caller does, else by its root id.
    fn log_name(&self) -> String {
        self.request_name().map_or_else(|| self.head.context.root.to_string(), str::to_owned)
    }

    fn send(&self, message: PeerMessage) {
        // A lost connection cancels the call through its session.
        let _ = self.outbox.send(message);
    }
}

/// Groups calls whose service times may be compared: calls of one class at one depth mostly do the same work.
fn call_kind(running: &RunningCall) -> CallKind {
    let classes = PriorityClass::ALL.len() as u32;
    CallKind(running.depth * classes + running.priority.class.rank() as u32)
}
