//! Logs the phases of a stop and each request that it cut off.

use super::elapsed_since;
use crate::base::clock;
use crate::intake::RequestProgress;
use crate::shared::Shared;
use log::{info, warn};
use seamhatch_core::Instant;
use seamhatch_core::clock::MILLISECOND;
use std::sync::Arc;
use std::time::Duration;

/// The course of a stop so far. Durations are measured from the stop request.
#[derive(Debug)]
pub(super) struct StopReport {
    started: Instant,
    /// Time until callers and other daemons' calls were refused.
    served: Duration,
    /// Number of requests in progress at that time.
    in_progress: usize,
    /// Time until the intake closed.
    closed: Duration,
    /// Number of requests cut off.
    cut: usize,
}

impl StopReport {
    /// Starts the report of a stop that was requested at `started`.
    pub(super) fn begin(started: Instant) -> Self {
        Self { started, served: Duration::ZERO, in_progress: 0, closed: Duration::ZERO, cut: 0 }
    }

    /// Records that the daemon now accepts only calls made for requests in progress.
    pub(super) fn note_calls_only(&mut self, in_progress: usize) {
        self.served = elapsed_since(self.started);
        self.in_progress = in_progress;
    }

    /// Records that the intake is closed and that the `unfinished` requests are cut off.
    pub(super) fn note_closed(&mut self, shared: &Shared, unfinished: &[Arc<RequestProgress>]) {
        self.closed = elapsed_since(self.started);
        self.cut = unfinished.len();
        for request in unfinished {
            shared.metrics.cut_requests.inc();
            log_cut(request);
        }
    }

    /// Logs the phases, and how many answers are still unwritten as the process ends.
    pub(super) fn log(&self, shared: &Shared) {
        info!(
            served_ms = self.served.as_millis(),
            in_progress = self.in_progress,
            closed_ms = self.closed.as_millis(),
            cut = self.cut,
            refused = shared.intake.refused(),
            ended_ms = elapsed_since(self.started).as_millis(),
            unwritten = shared.intake.count();
            "the stop's phases"
        );
    }
}

fn log_cut(request: &RequestProgress) {
    let stage = request.stage();
    let server = stage.server().map(|server| server.to_string()).unwrap_or_default();
    warn!(
        request = request.name(),
        entry = request.entry.name(),
        stage = stage.name(),
        server = server.as_str(),
        age_ms = clock::now().since(request.since) / MILLISECOND;
        "request cut off by the end of the stop"
    );
}
