//! Refusals, which tell the daemon that sent a call why the back end does not answer it.

use super::ServerCall;
use crate::base::clock;
use crate::intake::RequestStage;
use crate::server::running::RunningCall;
use log::info;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::refusal::ReturnTime;
use seamhatch_core::return_time::SERVER_RETURN;
use seamhatch_wire::{PeerMessage, READS_BACKEND_RATE, Refusal, ServerReport};

impl ServerCall {
    /// Refuses the call and returns its unspent retry tokens. `detail` describes the back end's fault, if that is
    /// the cause.
    pub(super) fn refuse(&self, running: &RunningCall, outcome: Outcome, reason: Reason, detail: &str) {
        self.refuse_with_retry_after(running, outcome, reason, detail, self.retry_after(reason));
    }

    /// Refuses the call with an explicit time after which the caller should retry, before jitter.
    pub(super) fn refuse_with_retry_after(
        &self,
        running: &RunningCall,
        outcome: Outcome,
        reason: Reason,
        detail: &str,
        retry_after: Microseconds,
    ) {
        self.progress.set_stage(RequestStage::Refused);
        self.shared.metrics.refusal(outcome, reason, running.priority.class);
        let server = self.shared.server.gate.report();
        self.log_refusal(running, outcome, reason, detail, server);
        if matches!(reason, Reason::BackendCrashed | Reason::CrashesServers) {
            // Sent before the refusal, so that the sender knows of the crash when it makes its next attempt.
            let reports = self.shared.suspects.reports(&[self.head.request]);
            self.send(PeerMessage::Suspects(reports));
        }
        let refusal = Refusal {
            outcome,
            reason: self.reason_for_sender(reason),
            retry_after,
            unspent_tokens: running.ledger().close(),
            crashes: self.shared.suspects.standing(self.head.request).crashes(),
            server,
            turn: self.shared.server.notices.turn_of(self.from),
            pace: self.shared.server.gate.pace(),
        };
        self.send(PeerMessage::Refused { call: self.head.call, refusal });
    }

    /// The reason, or a replacement if the sender's release does not know it.
    fn reason_for_sender(&self, reason: Reason) -> Reason {
        match reason {
            Reason::BackendRate if self.additions < READS_BACKEND_RATE => Reason::QueueFull,
            reason => reason,
        }
    }

    /// The time after which the caller should retry, before jitter.
    pub(super) fn retry_after(&self, reason: Reason) -> Microseconds {
        match reason.rule().return_time {
            ReturnTime::AfterQueue => self.shared.server.gate.retry_after(),
            ReturnTime::UntilTrial => self.shared.suspects.pause_left(self.head.request),
            ReturnTime::Never | ReturnTime::After(_) | ReturnTime::AfterOverload | ReturnTime::AtLimit => {
                SERVER_RETURN
            }
        }
    }

    fn log_refusal(
        &self,
        running: &RunningCall,
        outcome: Outcome,
        reason: Reason,
        detail: &str,
        server: ServerReport,
    ) {
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
    }
}
