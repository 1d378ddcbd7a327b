//! How many calls a back end should work on at once.

use super::AdmissionPolicy;
use crate::clock::{MILLISECOND, Microseconds};

/// The number of calls a back end should work on at once.
///
/// It never exceeds the reported slots. A cold server starts low and grows with
/// each success. It does not shrink when service times grow: a slower service
/// below takes the same slots for longer, and fewer of them would only add to it.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    slots: f64,
    current: f64,
    average: Option<f64>,
}

/// Weight of a new sample in the average service time.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Assumed before the first sample.
const ASSUMED_SERVICE_TIME: Microseconds = 5 * MILLISECOND;

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

    /// The limit of another instance of the same back end: what the last one's had grown to counts for
    /// nothing, but its service time is the best guess.
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

    /// Takes in the service time of a call that succeeded.
    pub fn observe(&mut self, service_time: Microseconds) {
        let sample = (service_time as f64).max(1.0);
        let average = self.average.map_or(sample, |average| average + AVERAGE_WEIGHT * (sample - average));
        self.average = Some(average);
        self.current = (self.current + 1.0 / self.current.max(1.0)).min(self.slots);
    }
}
