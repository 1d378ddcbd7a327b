//! Cost metrics by which the candidates of one choice are compared.
//!
//! If the daemon of any usable candidate reports no pace, load over slots decides for all candidates, since the two
//! metrics are not comparable. Otherwise the expected completion time decides. It is measured in units of the mean
//! service time of the candidates, so that the margins mean the same under both metrics when servers are equal.

use super::{Candidate, CandidateStatus, KnownPace};
use crate::clock::{MILLISECOND, Microseconds};

/// Typical number of sequential calls of one request to a service. The request fails if any of them fails, so a
/// server's success rate is raised to this power.
const CALLS_PER_REQUEST: i32 = 4;

/// Lower bound of the success rate in the cost.
const MIN_SUCCESS: f64 = 0.05;

/// Load over slots below which a server starts a call almost at once.
const SPILL_COST: f64 = 0.8;

/// Extra cost of a server in the caller's zone from which on a call goes to another zone: in load over slots, or in
/// mean service times where completion times are compared. It keeps calls, and their bytes, in the zone while all zones
/// are about equally full.
const ZONE_SPILL_MARGIN: f64 = 0.5;

/// Wait for a rate limit that makes a server as costly as one whose slots are all in use.
const FULL_COST_WAIT: Microseconds = 100 * MILLISECOND;

/// Lower bound of a service time, relative to the mean of all candidates. A server that fails at once also has short
/// service times and must not attract all calls.
const MIN_RELATIVE_TIME: f64 = 0.5;

/// Upper bound of a service time, relative to the mean of all candidates, so that a server whose known service time is
/// wrong still gets calls.
const MAX_RELATIVE_TIME: f64 = 4.0;

/// The metric by which candidates are compared.
pub(super) enum CostMetric {
    /// Load over slots.
    Load,
    /// Expected completion time.
    Completion {
        /// Mean of the known usual service times, in milliseconds; 1 if none is known.
        mean_usual_ms: f64,
        /// Mean service time at the present pace, in the same unit.
        mean_current_ms: f64,
    },
}

impl CostMetric {
    /// The metric for these candidates. Ejected ones are ignored.
    pub(super) fn for_candidates(candidates: &[Candidate]) -> Self {
        let usable = || candidates.iter().filter(|candidate| candidate.status != CandidateStatus::Ejected);
        if usable().any(|candidate| candidate.pace == KnownPace::NotReported) {
            return Self::Load;
        }
        let reported = || {
            usable().filter_map(|candidate| match candidate.pace {
                KnownPace::Reported { usual_ms, factor } => Some((usual_ms, factor)),
                KnownPace::Unknown | KnownPace::NotReported => None,
            })
        };
        let mean_usual_ms = mean(reported().filter_map(|(usual_ms, _)| usual_ms)).unwrap_or(1.0);
        let times = reported().map(|(usual_ms, factor)| usual_ms.unwrap_or(mean_usual_ms) * factor);
        mean(times).map_or(Self::Load, |mean_current_ms| Self::Completion { mean_usual_ms, mean_current_ms })
    }

    /// Whether the speed of a server affects its cost.
    pub(super) fn compares_speed(&self) -> bool {
        matches!(self, Self::Completion { .. })
    }

    /// Cost of a call to this server, divided by the probability that all calls of a request are answered.
    pub(super) fn cost(&self, candidate: &Candidate) -> f64 {
        match self {
            Self::Load => load_cost(candidate),
            Self::Completion { .. } => {
                let ahead = (load(candidate) / slots(candidate)).max(wait_cost(candidate));
                (ahead + 1.0) * self.time(candidate) / success(candidate)
            }
        }
    }

    /// Whether the server starts a call almost at once.
    pub(super) fn starts_at_once(&self, candidate: &Candidate) -> bool {
        load_cost(candidate) < SPILL_COST
    }

    /// Whether a server in another zone is so much better than one in the caller's zone that the call goes there.
    pub(super) fn spills(&self, near: &Candidate, far: &Candidate) -> bool {
        let is_as_fast = self.time(near) <= self.time(far) * (1.0 + ZONE_SPILL_MARGIN);
        let stays = is_as_fast && self.starts_at_once(near);
        !stays && self.cost(near) > self.cost(far) + ZONE_SPILL_MARGIN
    }

    /// Service time relative to the mean of all candidates. A server without a report counts as average.
    fn time(&self, candidate: &Candidate) -> f64 {
        let (Self::Completion { mean_usual_ms, mean_current_ms }, KnownPace::Reported { usual_ms, factor }) =
            (self, candidate.pace)
        else {
            return 1.0;
        };
        (usual_ms.unwrap_or(*mean_usual_ms) * factor / mean_current_ms)
            .clamp(MIN_RELATIVE_TIME, MAX_RELATIVE_TIME)
    }
}

/// Load over slots, or the cost of the wait for a rate limit if that is higher, divided by the success rate.
fn load_cost(candidate: &Candidate) -> f64 {
    ((load(candidate) + 1.0) / slots(candidate)).max(wait_cost(candidate)) / success(candidate)
}

fn load(candidate: &Candidate) -> f64 {
    f64::from(candidate.in_flight.max(candidate.reported_load))
}

fn slots(candidate: &Candidate) -> f64 {
    f64::from(candidate.slots.max(1))
}

/// Cost of the wait for a rate limit; 1 is the cost of a server whose slots are all in use.
fn wait_cost(candidate: &Candidate) -> f64 {
    candidate.turn_in.unwrap_or_default() as f64 / FULL_COST_WAIT as f64
}

fn success(candidate: &Candidate) -> f64 {
    candidate.success.max(MIN_SUCCESS).powi(CALLS_PER_REQUEST)
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0_u32), |(sum, count), value| (sum + value, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}
