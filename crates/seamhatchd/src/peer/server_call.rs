//! One call on its way through the daemon beside its server: the gate, the back end, the answer.

use crate::base::clock;
use crate::base::metrics::seconds;
use crate::conventions::field_text;
use crate::conventions::headers;
use crate::peer::BODY_PIECE;
use crate::peer::credit::CreditWindow;
use crate::peer::link::Outbox;
use crate::peer::server::{Calls, Cancellation};
use crate::server::backend::{self, BackendAnswer, BackendError, BackendRequest};
use crate::server::crashes::{self, Trial};
use crate::server::gate::{GateRequest, Permit};
use crate::server::running::RunningCall;
use crate::shared::Shared;
use bytes::Bytes;
use log::info;
use seamhatch_core::Instant;
use seamhatch_core::admission::CallKind;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::identity::Address;
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::priority::PriorityClass;
use seamhatch_core::retry::RetryLedger;
use seamhatch_wire::{AnswerHead, AnswerTail, CallHead, CallIntake, PeerMessage, Refusal};
use std::sync::Arc;

/// Advice after a refusal that has nothing to do with load.
const SHORT_RETRY_AFTER: Microseconds = 200 * MILLISECOND;

/// Part of an answer that is read before its head is passed on, in bytes. Where the whole answer fits,
/// one that breaks off can still be asked for again, and nobody sees half of it.
const BEGINNING: usize = 64 * 1024;

/// The beginning of an answer's body.
struct Beginning {
    pieces: Vec<Bytes>,
    /// It is the whole body.
    whole: bool,
}

impl Beginning {
    async fn read(answer: &mut BackendAnswer) -> Result<Self, BackendError> {
        let mut pieces = Vec::new();
        let mut length = 0;
        while length < BEGINNING {
            let Some(piece) = answer.next().await? else { return Ok(Self { pieces, whole: true }) };
            length += piece.len();
            pieces.push(piece);
        }
        Ok(Self { pieces, whole: false })
    }
}

/// One call on its way through this daemon to the back end.
pub(super) struct ServerCall {
    pub(super) shared: Arc<Shared>,
    pub(super) outbox: Outbox,
    pub(super) calls: Calls,
    pub(super) window: Arc<CreditWindow>,
    pub(super) cancelled: Arc<Cancellation>,
    pub(super) head: CallHead,
    /// Peer address of the daemon that sent it.
    pub(super) from: Address,
    pub(super) arrived: Instant,
}

impl Drop for ServerCall {
    fn drop(&mut self) {
        self.calls.lock().expect("calls lock").remove(&self.head.call);
    }
}

impl ServerCall {
    /// Runs it from its arrival to its end; what became of it goes to the sender.
    pub(super) async fn run(self, body: backend::RequestBody) {
        self.shared.control.note_call_generation(self.head.generation);
        let now = clock::now();
        let context = &self.head.context;
        let running = RunningCall::new(
            context.root,
            context.priority,
            now.minus(context.root_age),
            context.expiry,
            context.depth + 1,
            RetryLedger::new(context.tokens, context.repeat),
        );
        let tenant = field_text(&self.head.headers, self.shared.conventions.tenant_field());
        let running = Arc::new(running.of_tenant(tenant));
        match self.admit(&running).await {
            Ok((permit, trial)) => self.execute(&running, permit, trial.as_ref(), body).await,
            Err(reason) => self.refuse(&running, Outcome::NotRun, reason, ""),
        }
    }

    async fn admit(&self, running: &RunningCall) -> Result<(Permit, Option<Trial>), Reason> {
        if self.head.service != self.shared.settings.service {
            // The route exists; only the sender's idea of this server is old.
            return Err(Reason::OtherService);
        }
        match self.shared.intake() {
            CallIntake::Open => {}
            CallIntake::FallbackOnly { .. } if self.shared.can_finish(running.expiry) => {}
            CallIntake::Closed if self.shared.serves_callers() => return Err(Reason::NoInstance),
            CallIntake::FallbackOnly { .. } | CallIntake::Closed => return Err(Reason::Draining),
        }
        let trial = self.admit_suspect(running).await?;
        let request = GateRequest {
            root: running.root,
            priority: running.priority,
            root_admitted: running.root_admitted,
            expiry: running.expiry,
            objective_end: clock::now().plus(self.head.context.objective_left),
            kind: call_kind(running),
        };
        let permit = tokio::select! {
            permit = self.shared.server.gate.admit(request) => permit?,
            () = self.cancelled.notify.notified() => return Err(Reason::Cancelled),
        };
        Ok((permit, trial))
    }

    /// Waits for the turn of a call whose request is a suspect, as long as its answer is worth waiting for.
    async fn admit_suspect(&self, running: &RunningCall) -> Result<Option<Trial>, Reason> {
        let latest = clock::now().plus(self.head.context.objective_left).min(running.expiry);
        let admitted = crashes::until_admitted(&self.shared, self.head.request);
        tokio::select! {
            admitted = clock::timeout_at(latest, admitted) => {
                admitted.unwrap_or(Err(Reason::DeadlineExceeded))
            }
            () = self.cancelled.notify.notified() => Err(Reason::Cancelled),
        }
    }

    async fn execute(
        &self,
        running: &Arc<RunningCall>,
        mut permit: Permit,
        trial: Option<&Trial>,
        body: backend::RequestBody,
    ) {
        let name = self.shared.conventions.request_name(&self.head.headers);
        let registration = self.shared.server.running.register(running.clone(), name);
        // Last of all: this process may have been frozen since the slot was given, and the instance
        // may have closed.
        if running.expiry <= clock::now() {
            return self.refuse(running, Outcome::NotRun, Reason::DeadlineExceeded, "");
        }
        // The call may have waited for its slot while the daemon came nearer to its end.
        if !self.shared.can_finish(running.expiry) {
            return self.refuse(running, Outcome::NotRun, Reason::Draining, "");
        }
        let Some(instance) = self.shared.server.instances.open() else {
            return self.refuse(running, Outcome::NotRun, Reason::NoInstance, "");
        };
        let request = BackendRequest {
            method: &self.head.method,
            path: &self.head.path,
            headers: &self.head.headers,
            context: registration.header(),
            expiry: running.expiry,
            instance: instance.id.as_ref(),
        };
        self.shared.metrics.execution(running.priority.class);
        let on_trial = trial.is_some_and(Trial::is_isolated);
        let work = self.shared.server.crashes.begin(instance.id.as_ref(), self.head.request, on_trial);
        let started = clock::now();
        let exchange = async {
            let mut answer = self.shared.server.backend.send(&request, body).await?;
            let beginning = Beginning::read(&mut answer).await?;
            Ok((answer, beginning))
        };
        let exchanged = tokio::select! {
            exchanged = exchange => exchanged,
            () = self.given_up() => return self.refuse(running, Outcome::Unknown, Reason::Cancelled, ""),
        };
        match exchanged {
            Ok((answer, beginning)) => {
                let load = self.shared.conventions.back_end_load(&answer.headers);
                load.into_iter().for_each(|load| permit.note_load(load));
                let status = answer.status.as_u16();
                let passed = tokio::select! {
                    complete = self.pass_answer(running, answer, beginning) => Some(complete),
                    () = self.given_up() => None,
                };
                let complete = passed == Some(true);
                if running.has_calls() {
                    permit.mark_calls_made();
                }
                if complete {
                    self.note_good_end();
                    permit.mark_succeeded();
                    self.shared.metrics.backend_seconds.observe(seconds(clock::now().since(started)));
                }
                drop(permit);
                self.log_run(status, complete, started);
                self.end(running, complete);
                if passed == Some(false) {
                    crashes::has_crashed(&self.shared, &work, instance.id.as_ref()).await;
                }
            }
            Err(BackendError::NotRun { reason, detail }) => {
                let lost = matches!(reason, Reason::BackendUnreachable | Reason::OtherInstance);
                if let Some(instance) = instance.id.filter(|_| lost) {
                    self.shared.control.lost_instance(instance, reason);
                }
                self.refuse(running, Outcome::NotRun, reason, &detail);
            }
            Err(BackendError::Failed { detail }) => {
                let crashed = crashes::has_crashed(&self.shared, &work, instance.id.as_ref()).await;
                let reason = if crashed { Reason::BackendCrashed } else { Reason::BackendFailed };
                self.refuse(running, Outcome::Unknown, reason, &detail);
            }
        }
    }

    /// Resolves when a call that may run again is given up; one that may not
    /// runs to its end, since its effect is wanted or can't be undone.
    async fn given_up(&self) {
        self.cancelled.notify.notified().await;
        if !self.head.context.repeatable {
            std::future::pending::<()>().await;
        }
    }

    /// Passes the answer on; true when it was complete.
    async fn pass_answer(
        &self,
        running: &RunningCall,
        mut answer: BackendAnswer,
        beginning: Beginning,
    ) -> bool {
        let report = self.shared.server.gate.report();
        let conventions = &self.shared.conventions;
        let head = AnswerHead {
            call: self.head.call,
            status: answer.status.as_u16(),
            headers: headers::passing_fields(&answer.headers, |name| conventions.passes_through(name)),
            server: report,
            chain_floor: running.chain_floor(),
        };
        let _ = self.outbox.send(PeerMessage::AnswerHead(Box::new(head)));
        for piece in beginning.pieces {
            self.send_pieces(piece).await;
        }
        if !beginning.whole && !self.pass_rest(&mut answer).await {
            return false;
        }
        self.shared.server.backend.finish(answer);
        true
    }

    async fn pass_rest(&self, answer: &mut BackendAnswer) -> bool {
        loop {
            match answer.next().await {
                Ok(Some(piece)) => self.send_pieces(piece).await,
                Ok(None) => return true,
                Err(_) => return false,
            }
        }
    }

    async fn send_pieces(&self, mut data: Bytes) {
        while !data.is_empty() {
            let piece = data.split_to(data.len().min(BODY_PIECE));
            self.window.ready().await;
            self.window.spend(piece.len());
            let message = PeerMessage::AnswerChunk { call: self.head.call, bytes: piece.to_vec() };
            // A lost connection ends the call by its cancellation.
            let _ = self.outbox.send(message);
        }
    }

    /// A request that crashes every server never comes to a good end.
    fn note_good_end(&self) {
        if self.shared.suspects.ended_well(self.head.request) {
            self.shared.control.suspects_changed(vec![self.head.request]);
        }
    }

    fn log_run(&self, status: u16, complete: bool, started: Instant) {
        info!(
            request = self.log_name().as_str(),
            digest = self.head.request.to_string().as_str(),
            from = self.from.to_string().as_str(),
            status = status,
            complete = complete,
            waited_ms = started.since(self.arrived) / MILLISECOND,
            ran_ms = clock::now().since(started) / MILLISECOND;
            "call ran"
        );
    }

    /// How logs name the request.
    fn log_name(&self) -> String {
        let name = self.shared.conventions.request_name(&self.head.headers);
        name.map_or_else(|| self.head.context.root.to_string(), str::to_owned)
    }

    fn end(&self, running: &RunningCall, complete: bool) {
        let unspent_tokens = running.ledger().close();
        let tail = AnswerTail { call: self.head.call, complete, unspent_tokens };
        let _ = self.outbox.send(PeerMessage::AnswerTail(tail));
    }

    /// `detail` is what the back end did, where it is the cause.
    fn refuse(&self, running: &RunningCall, outcome: Outcome, reason: Reason, detail: &str) {
        self.shared.metrics.refusal(outcome, reason, running.priority.class);
        let server = self.shared.server.gate.report();
        info!(
            request = self.log_name().as_str(),
            root = self.head.context.root.to_string().as_str(),
            digest = self.head.request.to_string().as_str(),
            from = self.from.to_string().as_str(),
            outcome = outcome.name(),
            reason = reason.name(),
            detail = detail,
            priority = running.priority.level(),
            load = server.load,
            limit = server.limit,
            floor = server.floor.level,
            kept = server.floor.kept[running.priority.class.rank()],
            left_ms = running.expiry.since(clock::now()) / MILLISECOND;
            "call refused"
        );
        if matches!(reason, Reason::BackendCrashed | Reason::CrashesServers) {
            let reports = self.shared.suspects.reports(&[self.head.request]);
            let _ = self.outbox.send(PeerMessage::Suspects(reports));
        }
        let refusal = Refusal {
            outcome,
            reason,
            retry_after: self.retry_after(reason),
            unspent_tokens: running.ledger().close(),
            crashes: self.shared.suspects.standing(self.head.request).crashes(),
            server,
        };
        let _ = self.outbox.send(PeerMessage::Refused { call: self.head.call, refusal });
    }

    fn retry_after(&self, reason: Reason) -> Microseconds {
        match reason {
            Reason::QueueFull | Reason::Evicted | Reason::DeadlineExceeded | Reason::AdmissionFloor => {
                self.shared.server.gate.retry_after()
            }
            Reason::CrashesServers => crashes::time_until_trial(&self.shared, self.head.request),
            _ => SHORT_RETRY_AFTER,
        }
    }
}

/// Calls of one class at one depth mostly do the same work.
fn call_kind(running: &RunningCall) -> CallKind {
    let classes = PriorityClass::ALL.len() as u32;
    CallKind(running.depth * classes + running.priority.class.rank() as u32)
}
