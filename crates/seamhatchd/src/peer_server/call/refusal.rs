//! Telling the daemon that sent a call why there is no answer of the back end.

use super::ServerCall;
use crate::base::clock;
use crate::server::crashes;
use crate::server::running::RunningCall;
use log::info;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_wire::{PeerMessage, Refusal, ServerReport};

/// When to come back after a refusal that has nothing to do with load. Chosen, not measured.
const SHORT_RETRY_AFTER: Microseconds = 200 * MILLISECOND;

impl ServerCall {
    /// Refuses the call and gives back its retry tokens. `detail` is what the back end did, where it is the cause.
    pub(super) fn refuse(&self, running: &RunningCall, outcome: Outcome, reason: Reason, detail: &str) {
        self.shared.metrics.refusal(outcome, reason, running.priority.class);
        let server = self.shared.server.gate.report();
        self.log_refusal(running, outcome, reason, detail, server);
        if matches!(reason, Reason::BackendCrashed | Reason::CrashesServers) {
            // Ahead of the refusal, so that the sender's next attempt knows of the crash.
            let reports = self.shared.suspects.reports(&[self.head.request]);
            self.send(PeerMessage::Suspects(reports));
        }
        let refusal = Refusal {
            outcome,
            reason,
            retry_after: self.retry_after(reason),
            unspent_tokens: running.ledger().close(),
            crashes: self.shared.suspects.standing(self.head.request).crashes(),
            server,
        };
        self.send(PeerMessage::Refused { call: self.head.call, refusal });
    }

    /// When the caller should come back, before jitter.
    fn retry_after(&self, reason: Reason) -> Microseconds {
        match reason {
            Reason::QueueFull | Reason::Evicted | Reason::DeadlineExceeded | Reason::AdmissionFloor => {
                self.shared.server.gate.retry_after()
            }
            Reason::CrashesServers => crashes::time_until_trial(&self.shared, self.head.request),
            _ => SHORT_RETRY_AFTER,
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
