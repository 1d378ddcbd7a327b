//! One incoming call in the daemon beside its server: admission, execution on the back end, and the answer.
//!
//! A session starts a [`ServerCall`] for each incoming call, which ends with exactly one answer or refusal. It
//! owns nothing that outlives it: its entries in the table of running calls, the trial runs of suspects and the
//! admission queue are released when it ends or is cancelled. `execute` runs the call on the back end, `answer`
//! forwards the answer, and `refusal` reports why there is none.

mod answer;
mod execute;
mod refusal;

use crate::base::clock;
use crate::conventions::field_text;
use crate::intake::{AcceptedRequest, RequestProgress, RequestStage};
use crate::peer::CreditWindow;
use crate::peer::Outbox;
use crate::peer_server::cancellation::Cancellation;
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

/// One incoming call for the back end beside this daemon.
pub(super) struct ServerCall {
    pub(super) shared: Arc<Shared>,
    pub(super) outbox: Outbox,
    pub(super) calls: IncomingCalls,
    /// Flow-control window of the answer's body.
    pub(super) window: Arc<CreditWindow>,
    pub(super) cancellation: Arc<Cancellation>,
    pub(super) head: CallHead,
    /// Peer address of the daemon that sent it.
    pub(super) from: Address,
    /// Level of message additions that the sender reads; see [`seamhatch_wire::ADDITIONS`].
    pub(super) additions: u16,
    pub(super) arrived: Instant,
    pub(super) progress: Arc<RequestProgress>,
}

impl Drop for ServerCall {
    fn drop(&mut self) {
        self.calls.remove(self.head.call);
    }
}

impl ServerCall {
    /// Refuses a call that arrived after the intake closed.
    pub(super) fn refuse_stopping(self) {
        self.refuse(&self.running_call(), Outcome::NotRun, Reason::Draining, "");
    }

    /// Processes the call and sends its answer or refusal. `_accepted` keeps the call counted as in progress
    /// meanwhile.
    pub(super) async fn run(self, body: backend::RequestBody, _accepted: AcceptedRequest) {
        self.progress.set_name(self.log_name());
        self.shared.control.note_call_generation(self.head.generation);
        self.shared.server.notices.note_sender(self.from);
        let running = Arc::new(self.running_call());
        tokio::select! {
            biased;
            () = self.process(&running, body) => {}
            () = self.shared.intake.until_cut() => self.cut_off(&running),
        }
    }

    async fn process(&self, running: &Arc<RunningCall>, body: backend::RequestBody) {
        match self.admit(running).await {
            Ok((permit, trial)) => self.execute(running, permit, trial.as_ref(), body).await,
            Err(reason) => self.refuse(running, Outcome::NotRun, reason, ""),
        }
    }

    /// Ends the call because the process is about to end.
    fn cut_off(&self, running: &RunningCall) {
        match self.progress.stage() {
            RequestStage::Waiting => self.refuse(running, Outcome::NotRun, Reason::Draining, ""),
            RequestStage::Sent(_) => self.refuse(running, Outcome::Unknown, Reason::Draining, ""),
            RequestStage::Answering(_) => self.end(running, false),
            RequestStage::Refused => {}
        }
    }

    /// Describes this call as the parent of the calls that the back end makes for it.
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

    /// Waits until the call may run: for its trial if its request is a suspect, and for a slot of the back end.
    ///
    /// # Errors
    /// The reason for refusing the call, which has not run.
    async fn admit(&self, running: &RunningCall) -> Result<(Permit, Option<TrialRun>), Reason> {
        self.check_intake(running)?;
        let objective_end = clock::now().plus(self.head.context.objective_left);
        loop {
            let trial = self.admit_suspect(running, objective_end).await?;
            let permit = self.wait_for_slot(running, objective_end).await?;
            // The request may have crashed servers in the meantime, so that it must now run in isolation or not at
            // all.
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
            continues_chain: self.has_precedence(),
        };
        tokio::select! {
            permit = self.shared.server.gate.admit(request) => permit,
            () = self.cancellation.cancelled() => Err(Reason::Cancelled),
        }
    }

    /// Whether the configuration orders requests by cost.
    fn is_ordered_by_cost(&self) -> bool {
        let snapshot = self.shared.snapshot();
        snapshot.configuration().is_some_and(|configuration| configuration.admission().by_cost)
    }

    /// Whether costs are taken into account: the configuration orders by cost, and the server reports its pace.
    fn uses_costs(&self, pace: Option<ServerPace>) -> bool {
        pace.is_some() && self.is_ordered_by_cost()
    }

    /// Whether the call precedes calls of its class that begin a chain: it continues a chain that has begun at
    /// another server, and costs are taken into account.
    fn has_precedence(&self) -> bool {
        self.head.context.depth > 0 && self.uses_costs(self.shared.server.gate.pace())
    }

    /// Checks that the call is for this service, and that the daemon accepts calls with this deadline.
    fn check_intake(&self, running: &RunningCall) -> Result<(), Reason> {
        if self.head.service != self.shared.settings.service {
            // The route is valid, but the sender's record of this server is stale.
            return Err(Reason::OtherService);
        }
        match self.shared.call_intake() {
            CallIntake::Open => Ok(()),
            CallIntake::FallbackOnly { .. } if self.can_finish(running) => Ok(()),
            CallIntake::Closed if self.shared.accepts_callers() => Err(Reason::NoInstance),
            CallIntake::FallbackOnly { .. } | CallIntake::Closed => Err(Reason::Draining),
        }
    }

    /// Whether the call, if started now, can finish before the process ends.
    fn can_finish(&self, running: &RunningCall) -> bool {
        self.shared
            .can_finish(running.expiry, self.shared.server.gate.median_service_time(call_kind(running)))
    }

    /// Waits until a call whose request is a suspect may run, at most until the call's objective or expiry. Calls
    /// of other requests don't wait.
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
            () = self.cancellation.cancelled() => Err(Reason::Cancelled),
        }
    }

    /// The caller's name for the request, if the conventions define one.
    fn request_name(&self) -> Option<&str> {
        self.shared.conventions.request_name(&self.head.headers)
    }

    /// The name of the request in logs: the caller's name, or else the root id.
    fn log_name(&self) -> String {
        self.request_name().map_or_else(|| self.head.context.root.to_string(), str::to_owned)
    }

    fn send(&self, message: PeerMessage) {
        // If the connection is lost, the session cancels the call.
        let _ = self.outbox.send(message);
    }
}

/// Groups calls with comparable service times: calls of one class at one depth mostly do the same work.
fn call_kind(running: &RunningCall) -> CallKind {
    let classes = PriorityClass::ALL.len() as u32;
    CallKind(running.depth * classes + running.priority.class.rank() as u32)
}
