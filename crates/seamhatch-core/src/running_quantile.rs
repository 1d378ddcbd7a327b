//! A quantile of a stream of times, followed sample by sample.

use crate::clock::Microseconds;

/// Part of itself by which the estimate of a median moves with each sample: it has halved or doubled after some fifteen
/// samples that all lie on one side. Chosen, not measured.
const STEP: f64 = 0.05;

/// The time below which this share of the recent samples lay.
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

    /// The estimate, in microseconds.
    #[must_use]
    pub fn value(self) -> Microseconds {
        self.estimate as Microseconds
    }

    /// Records a sample. The estimate moves towards it and never beyond, so that equal samples are met exactly.
    pub fn observe(&mut self, sample: Microseconds) {
        let lowest = self.estimate * (1.0 - 2.0 * STEP * (1.0 - self.share));
        let highest = self.estimate * (1.0 + 2.0 * STEP * self.share);
        self.estimate = (sample as f64).max(1.0).clamp(lowest, highest);
    }
}
