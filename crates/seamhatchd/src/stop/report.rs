//! What a stop says of itself: its phases, and each request that it cut off.

use super::passed_since;
use crate::base::clock;
use crate::intake::RequestProgress;
use crate::shared::Shared;
use log::{info, warn};
use seamhatch_core::Instant;
use seamhatch_core::clock::MILLISECOND;
use std::sync::Arc;
use std::time::Duration;

/// How a stop went, up to now. Times are from the request to stop.
#[derive(Debug)]
pub(super) struct StopReport {
    started: Instant,
    /// When callers and other daemons' calls were shut out.
    served: Duration,
    /// Requests in progress then.
    at_border: usize,
    /// When the intake closed.
    closed: Duration,
    /// Requests cut off.
    cut: usize,
}

impl StopReport {
    /// A stop that began at `started`.
    pub(super) fn begin(started: Instant) -> Self {
        Self { started, served: Duration::ZERO, at_border: 0, closed: Duration::ZERO, cut: 0 }
    }

    /// The daemon takes only calls of requests in progress from now on.
    pub(super) fn note_border(&mut self, in_progress: usize) {
        self.served = passed_since(self.started);
        self.at_border = in_progress;
    }

    /// The daemon takes nothing more, and gives these requests up.
    pub(super) fn note_closed(&mut self, shared: &Shared, unfinished: &[Arc<RequestProgress>]) {
        self.closed = passed_since(self.started);
        self.cut = unfinished.len();
        for request in unfinished {
            shared.metrics.cut_requests.inc();
            log_cut(request);
        }
    }

    /// Logs the phases, with what has not been written when the process ends.
    pub(super) fn log(&self, shared: &Shared) {
        info!(
            served_ms = self.served.as_millis(),
            in_progress = self.at_border,
            closed_ms = self.closed.as_millis(),
            cut = self.cut,
            refused = shared.intake.refused(),
            ended_ms = passed_since(self.started).as_millis(),
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
