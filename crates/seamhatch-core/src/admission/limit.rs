//! Concurrency limit of a server that has just started.
//!
//! The limit follows from the slots that the back end reports and from the calls that have succeeded since its start: a
//! cold server starts low and gains one slot with each round of successes, until it uses all of its slots. The limit
//! does not shrink when service times grow: a slow downstream service occupies the same slots for longer, and fewer
//! slots would make that worse (70 good answers a second with a limit that shrinks, 129 without;
//! docs/DESIGN.md#queue-and-slots).

use super::AdmissionPolicy;
use crate::clock::{MILLISECOND, Microseconds};

/// Weight of a new sample in the average service time.
const AVERAGE_WEIGHT: f64 = 0.05;

/// Service time assumed before the first sample.
const DEFAULT_SERVICE_TIME: Microseconds = 5 * MILLISECOND;

/// The number of calls that a back end may run at once.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    slots: f64,
    current: f64,
    /// Average service time in microseconds; `None` before the first sample.
    average: Option<f64>,
}

impl ConcurrencyLimit {
    /// The limit of a cold server.
    #[must_use]
    pub fn new(policy: AdmissionPolicy) -> Self {
        Self {
            slots: f64::from(policy.slots.max(1)),
            current: f64::from(policy.initial_slots.clamp(1, policy.slots.max(1))),
            average: None,
        }
    }

    /// The limit for another instance of the same back end: it starts cold again, but keeps the average service time of
    /// the previous instance as its estimate.
    #[must_use]
    pub fn for_new_instance(&self, policy: AdmissionPolicy) -> Self {
        Self { average: self.average, ..Self::new(policy) }
    }

    /// The number of calls that may run at once.
    #[must_use]
    pub fn current(&self) -> u32 {
        self.current as u32
    }

    /// Exponentially weighted average of the service times.
    #[must_use]
    pub fn average_service_time(&self) -> Microseconds {
        self.average.map_or(DEFAULT_SERVICE_TIME, |average| average as u64)
    }

    /// Whether at least one call has succeeded.
    #[must_use]
    pub fn has_samples(&self) -> bool {
        self.average.is_some()
    }

    /// Records the service time of a call that succeeded.
    pub fn observe(&mut self, service_time: Microseconds) {
        let sample = (service_time as f64).max(1.0);
        let average = self.average.map_or(sample, |average| average + AVERAGE_WEIGHT * (sample - average));
        self.average = Some(average);
        self.current = (self.current + 1.0 / self.current.max(1.0)).min(self.slots);
    }
}
