//! Slowdown of calls at the upper of two concurrency limits.

use super::CallKind;
use super::probe::Arm;
use crate::clock::Microseconds;

/// Kinds of calls that a probe distinguishes; calls of further kinds are ignored.
const MAX_KINDS: usize = 16;

/// Sums over the logarithms of the service times of one kind at one limit.
#[derive(Debug, Clone, Copy, Default)]
struct LogTimes {
    count: f64,
    sum: f64,
    squares: f64,
}

impl LogTimes {
    fn add(&mut self, value: f64) {
        self.count += 1.0;
        self.sum += value;
        self.squares += value * value;
    }

    fn mean(&self) -> f64 {
        self.sum / self.count
    }

    /// Sum of the squared deviations from the mean.
    fn deviations(&self) -> f64 {
        self.squares - self.sum * self.sum / self.count
    }
}

/// Service times at two limits.
#[derive(Debug, Clone, Default)]
pub(super) struct Comparison {
    kinds: Vec<(CallKind, [LogTimes; 2])>,
}

/// Slowdown of calls at the upper limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct Slowdown {
    /// Difference of the mean logarithms of the service times.
    pub(super) mean: f64,
    /// Standard error of the mean.
    pub(super) error: f64,
    /// Number of comparable calls of each limit.
    pub(super) samples: f64,
}

impl Comparison {
    /// Records the service time of a call that started at the limit of `arm`.
    pub(super) fn add(&mut self, arm: Arm, kind: CallKind, service_time: Microseconds) {
        let value = (service_time.max(1) as f64).ln();
        if let Some((_, samples)) = self.kinds.iter_mut().find(|(known, _)| *known == kind) {
            return samples[arm as usize].add(value);
        }
        if self.kinds.len() < MAX_KINDS {
            let mut samples = [LogTimes::default(); 2];
            samples[arm as usize].add(value);
            self.kinds.push((kind, samples));
        }
    }

    /// The slowdown within each kind, averaged with weights by sample size; `None` without comparable samples.
    pub(super) fn slowdown(&self) -> Option<Slowdown> {
        let (mut weight, mut weighted, mut deviations, mut degrees_of_freedom) = (0.0, 0.0, 0.0, 0.0);
        for (_, [lower, upper]) in &self.kinds {
            if lower.count == 0.0 || upper.count == 0.0 {
                continue;
            }
            let kind_weight = lower.count * upper.count / (lower.count + upper.count);
            weight += kind_weight;
            weighted += kind_weight * (upper.mean() - lower.mean());
            deviations += lower.deviations() + upper.deviations();
            degrees_of_freedom += lower.count + upper.count - 2.0;
        }
        if weight == 0.0 || degrees_of_freedom < 1.0 {
            return None;
        }
        let variance = deviations / degrees_of_freedom;
        let error = (variance / weight).sqrt();
        Some(Slowdown { mean: weighted / weight, error, samples: 2.0 * weight })
    }
}
