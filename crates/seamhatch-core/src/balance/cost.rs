//! The measure by which the candidates of one choice are compared.
//!
//! Where a usable candidate's daemon reports no pace, load over slots decides for all, since the two measures can't be compared. Otherwise
//! the expected completion time decides, in units of the mean service time of the candidates, so that with equal servers the margins mean
//! the same in both.

use super::{Candidate, CandidateStatus, KnownPace};
use crate::clock::{MILLISECOND, Microseconds};

/// Calls of one request that usually go to one service, one after the other; the request fails with any of them, so a
/// server's success counts to this power.
const CALLS_AT_STAKE: i32 = 4;

/// Success below this makes no further difference.
const LEAST_SUCCESS: f64 = 0.05;

/// Load over slots below which a server starts a call about at once.
const SPILL_COST: f64 = 0.8;

/// How much costlier a server in the own zone may be than one in another zone before a call goes there: in load over slots, or in mean
/// service times where completion times are compared. It keeps calls, and their bytes, in the zone while all zones are about equally
/// full.
const ZONE_SPILL_MARGIN: f64 = 0.5;

/// Wait for its turn that makes a server which names a rate as costly as one whose slots are all taken.
const COSTLY_TURN: Microseconds = 100 * MILLISECOND;

/// Least service time that counts in full, in units of the mean of all. A server that fails at once also has short service times, and must
/// not draw all calls.
const LEAST_TIME: f64 = 0.5;

/// Greatest service time that counts in full, in units of the mean of all, so that a server of which a wrong one is known still gets calls.
const MOST_TIME: f64 = 4.0;

/// How candidates are compared.
pub(super) enum CostMetric {
    /// By load over slots.
    Load,
    /// By expected completion time.
    Completion {
        /// Mean usual service time of those that are known, in milliseconds; 1 where none is.
        mean_work: f64,
        /// Mean service time at the present pace, likewise.
        mean_time: f64,
    },
}

impl CostMetric {
    /// The measure for these candidates. Those that fail or are silent don't count.
    pub(super) fn of(candidates: &[Candidate]) -> Self {
        let usable = || candidates.iter().filter(|candidate| candidate.status != CandidateStatus::Ejected);
        if usable().any(|candidate| candidate.pace == KnownPace::NotReported) {
            return Self::Load;
        }
        let told = || {
            usable().filter_map(|candidate| match candidate.pace {
                KnownPace::Reported { usual_ms, factor } => Some((usual_ms, factor)),
                KnownPace::Unknown | KnownPace::NotReported => None,
            })
        };
        let mean_work = mean(told().filter_map(|(usual_ms, _)| usual_ms)).unwrap_or(1.0);
        let times = told().map(|(usual_ms, factor)| usual_ms.unwrap_or(mean_work) * factor);
        mean(times).map_or(Self::Load, |mean_time| Self::Completion { mean_work, mean_time })
    }

    /// Whether a server's speed makes a difference.
    pub(super) fn compares_speed(&self) -> bool {
        matches!(self, Self::Completion { .. })
    }

    /// What a call costs there, divided by the chance that all calls of a request are answered.
    pub(super) fn cost(&self, candidate: &Candidate) -> f64 {
        match self {
            Self::Load => load_cost(candidate),
            Self::Completion { .. } => {
                let ahead = (load(candidate) / slots(candidate)).max(turn(candidate));
                (ahead + 1.0) * self.time(candidate) / success(candidate)
            }
        }
    }

    /// Whether the server starts a call about at once.
    pub(super) fn starts_at_once(&self, candidate: &Candidate) -> bool {
        load_cost(candidate) < SPILL_COST
    }

    /// Whether a server in another zone is so much better than one in the own zone that a call goes there.
    pub(super) fn spills(&self, near: &Candidate, far: &Candidate) -> bool {
        let is_as_fast = self.time(near) <= self.time(far) * (1.0 + ZONE_SPILL_MARGIN);
        let stays = is_as_fast && self.starts_at_once(near);
        !stays && self.cost(near) > self.cost(far) + ZONE_SPILL_MARGIN
    }

    /// Service time in units of the mean of all. A server of which nothing was heard counts as an average one.
    fn time(&self, candidate: &Candidate) -> f64 {
        let (Self::Completion { mean_work, mean_time }, KnownPace::Reported { usual_ms, factor }) =
            (self, candidate.pace)
        else {
            return 1.0;
        };
        (usual_ms.unwrap_or(*mean_work) * factor / mean_time).clamp(LEAST_TIME, MOST_TIME)
    }
}

/// Load over slots, or the wait for its turn where that is worse, by success.
fn load_cost(candidate: &Candidate) -> f64 {
    ((load(candidate) + 1.0) / slots(candidate)).max(turn(candidate)) / success(candidate)
}

fn load(candidate: &Candidate) -> f64 {
    f64::from(candidate.in_flight.max(candidate.reported_load))
}

fn slots(candidate: &Candidate) -> f64 {
    f64::from(candidate.slots.max(1))
}

/// The wait for its turn, 1 where that is as costly as slots that are all taken.
fn turn(candidate: &Candidate) -> f64 {
    candidate.turn_in.unwrap_or_default() as f64 / COSTLY_TURN as f64
}

fn success(candidate: &Candidate) -> f64 {
    candidate.success.max(LEAST_SUCCESS).powi(CALLS_AT_STAKE)
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0_u32), |(sum, count), value| (sum + value, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}
