//! How long calls of each kind lately needed from their slot to their answer.

use super::CallKind;
use crate::clock::Microseconds;
use std::collections::HashMap;

/// Kinds that are remembered at most; they are classes at depths of a chain, so far fewer come.
const MOST_KINDS: usize = 256;
/// Part of itself by which an estimate moves with each sample, so that it has halved or doubled after
/// some fifteen that all lie on one side.
const STEP: f64 = 0.05;

/// Running medians of service times, by kind of call.
///
/// The median is what a call needs as likely as not. A mean would follow the few that take many times as
/// long.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    medians: HashMap<CallKind, f64>,
}

impl ServiceTimes {
    /// The usual service time of a kind; none before its first sample.
    pub fn usual(&self, kind: CallKind) -> Option<Microseconds> {
        self.medians.get(&kind).map(|median| *median as Microseconds)
    }

    /// Takes in the service time of a call that succeeded.
    pub fn observe(&mut self, kind: CallKind, service_time: Microseconds) {
        if self.medians.len() >= MOST_KINDS && !self.medians.contains_key(&kind) {
            self.medians.clear();
        }
        let sample = (service_time as f64).max(1.0);
        let median = self.medians.entry(kind).or_insert(sample);
        // It never passes the sample, so that equal samples are met exactly.
        *median = sample.clamp(*median * (1.0 - STEP), *median * (1.0 + STEP));
    }
}
