//! How long calls of each kind recently took from their slot to their answer.
//!
//! Owns a running median for each kind; the queue refuses a call that could not end within its objective by it.

use super::CallKind;
use crate::clock::Microseconds;
use crate::running_quantile::RunningQuantile;
use std::collections::HashMap;

/// Kinds that are remembered at most; all are forgotten when there are more: kinds are classes at depths of a chain, so far
/// fewer come.
const MOST_KINDS: usize = 256;

/// Share of calls that end within the usual service time: the median is what a call takes as likely as not. A mean would
/// follow the few that take many times as long.
const USUAL_SHARE: f64 = 0.5;

/// Running medians of service times, by kind of call.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceTimes {
    medians: HashMap<CallKind, RunningQuantile>,
}

impl ServiceTimes {
    /// The usual service time of a kind; none before its first sample.
    pub(super) fn usual(&self, kind: CallKind) -> Option<Microseconds> {
        self.medians.get(&kind).map(|median| median.value())
    }

    /// Records the service time of a call that succeeded.
    pub(super) fn observe(&mut self, kind: CallKind, service_time: Microseconds) {
        if self.medians.len() >= MOST_KINDS && !self.medians.contains_key(&kind) {
            self.medians.clear();
        }
        self.medians
            .entry(kind)
            .or_insert(RunningQuantile::of(USUAL_SHARE, service_time))
            .observe(service_time);
    }
}
