//! Recent service times (from slot to answer) by kind of call.
//!
//! The queue refuses a call that could not end within its objective if it took the median time of its kind.

use super::CallKind;
use crate::clock::Microseconds;
use crate::running_quantile::RunningQuantile;
use std::collections::HashMap;

/// Limit on tracked kinds; all are discarded when it is exceeded. Kinds are classes at depths of a chain, so far fewer
/// occur.
const MAX_KINDS: usize = 256;

/// Quantile that is tracked. A mean would follow the few calls that take many times as long.
const MEDIAN: f64 = 0.5;

/// Running medians of service times, by kind of call.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceTimes {
    medians: HashMap<CallKind, RunningQuantile>,
}

impl ServiceTimes {
    /// The median service time of a kind; `None` before its first sample.
    pub(super) fn median(&self, kind: CallKind) -> Option<Microseconds> {
        self.medians.get(&kind).map(|median| median.value())
    }

    /// Records the service time of a call that succeeded.
    pub(super) fn observe(&mut self, kind: CallKind, service_time: Microseconds) {
        if self.medians.len() >= MAX_KINDS && !self.medians.contains_key(&kind) {
            self.medians.clear();
        }
        self.medians.entry(kind).or_insert(RunningQuantile::of(MEDIAN, service_time)).observe(service_time);
    }
}
