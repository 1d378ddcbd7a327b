//! Runs an admitted call on the back end.
//!
//! The order of the steps matters. Conditions that may have changed while the call was queued are checked last,
//! right before the request is written. The permit is held until the answer's body, or the refusal, has been sent.
//! A truncated answer is ended before the check for a crash, but a refusal waits for that check, because its
//! reason depends on the result.

use super::ServerCall;
use super::answer::{AnswerStart, discard_rest};
use crate::base::clock;
use crate::base::metrics::seconds;
use crate::intake::RequestStage;
use crate::server::backend::{self, BackendAnswer, BackendError, BackendRequest, UnsoundAnswer};
use crate::server::crashes::{TrackedRun, TrialRun};
use crate::server::gate::Permit;
use crate::server::instances::OpenInstance;
use crate::server::running::RunningCall;
use log::{info, warn};
use seamhatch_core::Instant;
use seamhatch_core::clock::MILLISECOND;
use seamhatch_core::crashes::{RunEnd, RunMode, SURVIVAL_AFTER_ANSWER};
use seamhatch_core::identity::Address;
use seamhatch_core::instance::InstanceId;
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::return_time;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time for which an answer that announces a departure waits for the store. Such an answer is ready and its caller
/// waits, so it is not held back for a slow store.
const MAX_RECORD_WAIT: Duration = Duration::from_millis(50);

/// One execution of a call on the back end.
struct BackendRun {
    /// The intended instance, if instances register.
    instance: Option<InstanceId>,
    /// The call's entry in the table by which a crash of the back end is attributed to requests.
    tracked_run: TrackedRun,
    mode: RunMode,
    started: Instant,
}

impl ServerCall {
    /// Runs the call on the back end and sends its answer or a refusal.
    pub(super) async fn execute(
        &self,
        running: &Arc<RunningCall>,
        mut permit: Permit,
        trial: Option<&TrialRun>,
        body: backend::RequestBody,
    ) {
        let registration = self.shared.server.running.register(running.clone(), self.request_name());
        let begun = self.check_before_run(running).and_then(|open| Ok((open.id, self.begin_run(trial)?)));
        let (instance, mode) = match begun {
            Ok(begun) => begun,
            Err(reason) => {
                registration.mark_ended();
                return self.refuse_unsent(running, permit, reason);
            }
        };
        self.shared.metrics.execution(running.priority.class);
        let tracked_run = self.shared.server.crashes.begin(instance.as_ref(), self.head.request, mode);
        self.set_stage(RequestStage::Sent);
        let run = BackendRun { instance, tracked_run, mode, started: clock::now() };
        let exchanged = tokio::select! {
            exchanged = self.exchange(running, &run, registration.header(), body) => exchanged,
            () = self.until_abandoned() => return self.refuse(running, Outcome::Unknown, Reason::Cancelled, ""),
        };
        if !matches!(&exchanged, Err(error) if error.may_have_run()) {
            registration.mark_ended();
        }
        match exchanged {
            Ok((answer, start)) => self.finish(running, &run, permit, answer, start).await,
            Err(error) => self.fail(running, &run, &mut permit, error).await,
        }
    }

    /// Records the call's stage at the back end beside this daemon.
    fn set_stage(&self, stage: impl FnOnce(Address) -> RequestStage) {
        self.progress.set_stage(stage(self.shared.settings.advertise.peer));
    }

    /// Refuses a call that was not sent to the back end. Its turn at the back end passes to another call.
    fn refuse_unsent(&self, running: &RunningCall, mut permit: Permit, reason: Reason) {
        permit.mark_unsent();
        self.refuse(running, Outcome::NotRun, reason, "");
    }

    /// Records the rate limit and departure that the back end announces, before its answer is forwarded. A departure is
    /// in the store by then, for at most [`MAX_RECORD_WAIT`]: a kill of all daemons must not undo what callers saw.
    async fn record_notice(&self, run: &BackendRun, answered: &Result<BackendAnswer, BackendError>) {
        let notice = match answered {
            Ok(answer) => answer.notice,
            Err(BackendError::NotRun { notice, .. }) => *notice,
            Err(BackendError::Failed { .. } | BackendError::Unsound(_) | BackendError::Unanswered) => return,
        };
        self.shared.server.notices.note_answer(run.instance.as_ref(), notice, run.started);
        if notice.leaving {
            self.shared.note_leaving(run.instance.as_ref());
            if let Some(instance) = run.instance.clone() {
                let recorded = self.shared.control.departure_recorded(instance);
                // After the time-out, the back end's next answer says it again.
                let _ = tokio::time::timeout(MAX_RECORD_WAIT, recorded).await;
            }
        }
    }

    /// Repeats the checks whose results may have changed: the call was queued for its slot, and the process may
    /// have been frozen since then.
    fn check_before_run(&self, running: &RunningCall) -> Result<OpenInstance, Reason> {
        if running.expiry <= clock::now() {
            return Err(Reason::DeadlineExceeded);
        }
        if !self.can_finish(running) {
            return Err(Reason::Draining);
        }
        self.shared.server.instances.open().ok_or(Reason::NoInstance)
    }

    /// Returns how the call runs. The trial run of a condemned request is announced to all daemons and the store
    /// as it begins.
    fn begin_run(&self, trial: Option<&TrialRun>) -> Result<RunMode, Reason> {
        let request = self.head.request;
        let mode = self.shared.suspects.begin_run(request, trial)?;
        if matches!(mode, RunMode::Trial(_)) {
            info!(digest = request.to_string().as_str(); "trial run of a condemned request");
            self.shared.control.suspects_changed(vec![request]);
            self.shared.control.remember_evidence(vec![request]);
        }
        Ok(mode)
    }

    /// Sends the request to the back end and reads the start of its answer.
    async fn exchange(
        &self,
        running: &RunningCall,
        run: &BackendRun,
        context: &str,
        body: backend::RequestBody,
    ) -> Result<(BackendAnswer, AnswerStart), BackendError> {
        let request = BackendRequest {
            method: &self.head.method,
            path: &self.head.path,
            headers: &self.head.headers,
            context,
            expiry: self.shared.capped_expiry(running.expiry),
            instance: run.instance.as_ref(),
        };
        let answered = self.shared.server.backend.send(&request, body).await;
        self.record_notice(run, &answered).await;
        let mut answer = answered?;
        let start = AnswerStart::read(&mut answer).await?;
        Ok((answer, start))
    }

    /// Resolves when the sender has cancelled a repeatable call. A call that is not repeatable runs to its end, at the
    /// latest until its answer is cut off, because its effect is wanted or can't be undone.
    async fn until_abandoned(&self) {
        self.cancellation.cancelled().await;
        if !self.head.context.repeatable {
            std::future::pending::<()>().await;
        }
    }

    /// Forwards the answer and records the result of the execution.
    async fn finish(
        &self,
        running: &RunningCall,
        run: &BackendRun,
        mut permit: Permit,
        mut answer: BackendAnswer,
        start: AnswerStart,
    ) {
        permit.note_answer();
        if let Some(load) = self.shared.conventions.back_end_load(&answer.headers) {
            permit.note_load(load);
        }
        self.set_stage(RequestStage::Answering);
        let status = answer.status.as_u16();
        let cut_off = answer.until_cut_off();
        let forwarded = tokio::select! {
            forwarded = self.forward_answer(running, run.started, &mut answer, start) => Some(forwarded),
            () = self.cancellation.cancelled() => None,
            // A sender that stands still takes nothing of the answer and can't cancel the call.
            () = cut_off => None,
        };
        if let Some(Err(BackendError::Unsound(unsound))) = &forwarded {
            self.note_unsound(run, unsound);
        }
        // The answer's tail tells the sender whether it is complete.
        let forwarded = match forwarded {
            None if !self.head.context.repeatable => Some(discard_rest(&mut answer).await),
            forwarded => forwarded.map(|forwarded| forwarded.is_ok()),
        };
        // Closes the connection of an answer that was not read to its end.
        drop(answer);
        let complete = forwarded == Some(true);
        if running.has_calls() {
            permit.mark_calls_made();
        }
        if status >= 500 {
            permit.mark_failed();
        }
        if complete {
            permit.mark_succeeded();
            self.shared.metrics.backend_seconds.observe(seconds(clock::now().since(run.started)));
        }
        // The slot is released before the sender learns that the call has ended.
        drop(permit);
        self.log_run(status, complete, run.started);
        self.end(running, complete);
        match forwarded {
            Some(true) => self.clear_suspicion(run).await,
            Some(false) => drop(self.has_crashed(run).await),
            None => {}
        }
    }

    /// Refuses a call that the back end did not answer.
    async fn fail(&self, running: &RunningCall, run: &BackendRun, permit: &mut Permit, error: BackendError) {
        match error {
            BackendError::NotRun { reason, detail, notice } => {
                if reason.reached_back_end() {
                    permit.note_answer();
                }
                if reason == Reason::BackendUnreachable {
                    permit.mark_unsent();
                }
                let lost = matches!(reason, Reason::BackendUnreachable | Reason::OtherInstance);
                if let Some(instance) = run.instance.as_ref().filter(|_| lost) {
                    self.shared.control.lost_instance(instance.clone(), reason);
                }
                self.record_not_run(run);
                let stated = notice.return_after.map(return_time::as_stated);
                let retry_after = stated.unwrap_or_else(|| self.retry_after(reason));
                self.refuse_with_retry_after(running, Outcome::NotRun, reason, &detail, retry_after);
                if reason == Reason::BackendUnreachable {
                    // One of the last executions may have crashed the back end.
                    self.has_crashed(run).await;
                }
            }
            BackendError::Failed { detail } => self.refuse_failed(running, run, &detail).await,
            BackendError::Unsound(answer) => {
                self.note_unsound(run, &answer);
                self.refuse_failed(running, run, &answer.to_string()).await;
            }
            error @ BackendError::Unanswered => {
                permit.note_unanswered();
                self.shared.metrics.unanswered.inc();
                self.refuse_failed(running, run, &error.to_string()).await;
            }
        }
    }

    /// Counts and logs an answer that can't be understood.
    fn note_unsound(&self, run: &BackendRun, answer: &UnsoundAnswer) {
        self.shared.metrics.unsound_answers.inc();
        warn!(
            request = self.log_name().as_str(),
            instance = run.instance.as_ref().map_or("", |instance| instance.name.as_str()),
            detail = answer.to_string().as_str();
            "an answer of the back end can't be understood"
        );
    }

    /// Refuses a call that the back end may have run.
    async fn refuse_failed(&self, running: &RunningCall, run: &BackendRun, detail: &str) {
        let crashed = self.has_crashed(run).await;
        let reason = if crashed { Reason::BackendCrashed } else { Reason::BackendFailed };
        self.refuse(running, Outcome::Unknown, reason, detail);
    }

    /// Records that the back end did not start the call, and withdraws its trial run, if any.
    fn record_not_run(&self, run: &BackendRun) {
        run.tracked_run.finish(RunEnd::NotRun);
        if let RunMode::Trial(trial_id) = run.mode {
            self.shared.suspects.withdraw_trial(self.head.request, trial_id);
            self.shared.control.suspects_changed(vec![self.head.request]);
        }
    }

    async fn has_crashed(&self, run: &BackendRun) -> bool {
        self.shared.crash_context().has_crashed(&run.tracked_run, run.instance.as_ref()).await
    }

    /// Clears a suspect request once the back end has stayed up for [`SURVIVAL_AFTER_ANSWER`] after the answer,
    /// because a request may crash its server with the answer's last byte. Other copies of the request wait for
    /// the result.
    async fn clear_suspicion(&self, run: &BackendRun) {
        let request = self.head.request;
        if !self.shared.suspects.is_suspect(request) {
            return run.tracked_run.finish(RunEnd::Answered);
        }
        clock::sleep_until(clock::now().plus(SURVIVAL_AFTER_ANSWER)).await;
        if self.has_crashed(run).await {
            return;
        }
        run.tracked_run.finish(RunEnd::Answered);
        if self.shared.suspects.clear(request) {
            self.shared.control.suspects_changed(vec![request]);
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
}
