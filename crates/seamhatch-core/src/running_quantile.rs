//! Running estimate of a quantile of a stream of times.

use crate::clock::Microseconds;

/// Relative step of the estimate of a median with each sample: it halves or doubles after about fifteen
/// samples that all lie on one side.
const STEP: f64 = 0.05;

/// Estimate of the time below which a given share of the recent samples lie.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunningQuantile {
    share: f64,
    estimate: f64,
}

impl RunningQuantile {
    /// Starts with a first sample.
    #[must_use]
    pub fn of(share: f64, sample: Microseconds) -> Self {
        Self { share, estimate: (sample as f64).max(1.0) }
    }

    /// Current estimate, in microseconds.
    #[must_use]
    pub fn value(self) -> Microseconds {
        self.estimate as Microseconds
    }

    /// Records a sample. The estimate moves towards it but never past it, so that equal samples are matched
    /// exactly.
    pub fn observe(&mut self, sample: Microseconds) {
        let lowest = self.estimate * (1.0 - 2.0 * STEP * (1.0 - self.share));
        let highest = self.estimate * (1.0 + 2.0 * STEP * self.share);
        self.estimate = (sample as f64).max(1.0).clamp(lowest, highest);
    }
}
