//! How many calls a server that has just started runs at once.
//!
//! Decides the concurrency limit from the slots that the back end reports and from the calls that succeeded since: a cold
//! server starts low and grows by one with each round of successes, up to its slots. It does not shrink when service times
//! grow: a slower service below takes the same slots for longer, and fewer of them would add to it (70 good answers a
//! second with such a rule, 129 without it; docs/DESIGN.md#queue-and-slots).

use super::AdmissionPolicy;
use crate::clock::{MILLISECOND, Microseconds};

/// Weight of a new sample in the average service time.
const AVERAGE_WEIGHT: f64 = 0.05;

/// Service time that is assumed before the first sample.
const ASSUMED_SERVICE_TIME: Microseconds = 5 * MILLISECOND;

/// The number of calls a back end should run at once.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    slots: f64,
    current: f64,
    /// Average service time in microseconds; none before the first sample.
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

    /// The limit of another instance of the same back end: what the last one's had grown to counts for nothing, but its
    /// service time is the best guess.
    #[must_use]
    pub fn restarted(&self, policy: AdmissionPolicy) -> Self {
        Self { average: self.average, ..Self::new(policy) }
    }

    /// Calls that may run at once.
    #[must_use]
    pub fn current(&self) -> u32 {
        self.current as u32
    }

    /// The recent average service time.
    #[must_use]
    pub fn typical_service_time(&self) -> Microseconds {
        self.average.map_or(ASSUMED_SERVICE_TIME, |average| average as u64)
    }

    /// Whether a call has succeeded yet.
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
