//! A quantile of a stream of times, followed sample by sample.

use crate::clock::Microseconds;

/// Part of itself by which the estimate of a median moves with each sample, so that it has halved or doubled
/// after some fifteen that all lie on one side.
const STEP: f64 = 0.05;

/// The time below which this share of a stream of times lately lay.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunningQuantile {
    share: f64,
    estimate: f64,
}

impl RunningQuantile {
    /// Begins with a first sample.
    #[must_use]
    pub fn of(share: f64, sample: Microseconds) -> Self {
        Self { share, estimate: (sample as f64).max(1.0) }
    }

    /// The estimate.
    #[must_use]
    pub fn value(self) -> Microseconds {
        self.estimate as Microseconds
    }

    /// Takes in a sample. It is never passed, so that equal samples are met exactly.
    pub fn observe(&mut self, sample: Microseconds) {
        let lowest = self.estimate * (1.0 - 2.0 * STEP * (1.0 - self.share));
        let highest = self.estimate * (1.0 + 2.0 * STEP * self.share);
        self.estimate = (sample as f64).max(1.0).clamp(lowest, highest);
    }
}
