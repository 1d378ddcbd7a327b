//! How much slower calls are at the upper of two concurrency limits.

use super::CallKind;
use super::probe::Arm;
use crate::clock::Microseconds;

/// Kinds of calls that are told apart in a probe; calls of more kinds are left out. Chosen, not measured.
const MOST_KINDS: usize = 16;

/// Service times of one kind at one limit, as logarithms.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    count: f64,
    sum: f64,
    squares: f64,
}

impl Sample {
    fn add(&mut self, value: f64) {
        self.count += 1.0;
        self.sum += value;
        self.squares += value * value;
    }

    fn mean(&self) -> f64 {
        self.sum / self.count
    }

    /// Sum of the squared distances from the mean.
    fn scatter(&self) -> f64 {
        self.squares - self.sum * self.sum / self.count
    }
}

/// Service times at two limits.
#[derive(Debug, Clone, Default)]
pub(super) struct Comparison {
    kinds: Vec<(CallKind, [Sample; 2])>,
}

/// How much slower calls are at the upper limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct Slowdown {
    /// Difference of the mean logarithms of the service time.
    pub(super) mean: f64,
    /// Standard error of the mean.
    pub(super) error: f64,
    /// Comparable calls of each limit.
    pub(super) samples: f64,
}

impl Comparison {
    /// Records a call that began at the limit `arm`.
    pub(super) fn add(&mut self, arm: Arm, kind: CallKind, service_time: Microseconds) {
        let value = (service_time.max(1) as f64).ln();
        if let Some((_, samples)) = self.kinds.iter_mut().find(|(known, _)| *known == kind) {
            return samples[arm as usize].add(value);
        }
        if self.kinds.len() < MOST_KINDS {
            let mut samples = [Sample::default(); 2];
            samples[arm as usize].add(value);
            self.kinds.push((kind, samples));
        }
    }

    /// The slowdown within each kind, weighted by how much each kind shows; none before there are samples.
    pub(super) fn slowdown(&self) -> Option<Slowdown> {
        let (mut weight, mut weighted, mut scatter, mut freedom) = (0.0, 0.0, 0.0, 0.0);
        for (_, [lower, upper]) in &self.kinds {
            if lower.count == 0.0 || upper.count == 0.0 {
                continue;
            }
            let evidence = lower.count * upper.count / (lower.count + upper.count);
            weight += evidence;
            weighted += evidence * (upper.mean() - lower.mean());
            scatter += lower.scatter() + upper.scatter();
            freedom += lower.count + upper.count - 2.0;
        }
        if weight == 0.0 || freedom < 1.0 {
            return None;
        }
        let variance = scatter / freedom;
        let error = (variance / weight).sqrt();
        Some(Slowdown { mean: weighted / weight, error, samples: 2.0 * weight })
    }
}
