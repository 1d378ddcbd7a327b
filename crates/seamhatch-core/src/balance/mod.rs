//! Server choice: selects the server of a service that gets a call.
//!
//! The choice uses the power of two random choices: of two randomly drawn candidates, the one with the lower load over
//! slots is taken (M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 1996). Inputs for each
//! candidate: the calls that this daemon has in flight there, its load according to its last answer or heartbeat (at
//! most 0.75 s old, or the server counts as [silent](candidate_status)), and the share of its recent calls that were
//! answered.
//!
//! If servers report their pace, the candidate with the lower expected completion time is taken instead: `pace` holds
//! the reports, and `cost` decides which of the two metrics applies.
//!
//! The choice protects servers from more work than they have slots, and avoids needless traffic between zones. Lost
//! answers make a server costlier, and [ejection](Ejection) excludes it for a while; neither ever excludes a whole
//! pool. Used by `seamhatchd::dispatch`. Alternatives and figures: docs/DESIGN.md#server-choice.

mod cost;
mod outlier;
mod pace;
mod silence;
mod turn;

pub use outlier::{CallEnd, Ejection, SuccessRate};
pub use pace::{KnownPace, PaceTracker, ServerPace, parse_time_percent};
pub use silence::{candidate_status, silent_at};
pub use turn::{NextTurn, SenderRoundRobin, TurnReport};

use crate::clock::Microseconds;
use cost::CostMetric;

/// Whether a candidate may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CandidateStatus {
    /// The server takes calls.
    Available,
    /// The forwarded work of the server's daemon is due after this time, shortly before the daemon's process ends; the
    /// server itself keeps running.
    Leaving(Microseconds),
    /// Chosen only if no other candidate is left: the server fails, is silent or accepts no calls.
    Ejected,
}

/// What a daemon knows of a candidate server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The server is in the caller's zone.
    pub same_zone: bool,
    /// Concurrency limit that the server reports; all of its slots if it is rate-limited, since `turn_in` accounts for
    /// that.
    pub slots: u32,
    /// Calls that this daemon has in flight to the server.
    pub in_flight: u32,
    /// Running and waiting calls according to the server's last report.
    pub reported_load: u32,
    /// Share of recent calls that were answered, 0 to 1.
    pub success: f64,
    /// Time until the server's rate limit allows a call of this daemon; `None` if the server is not rate-limited (no
    /// named rate, and no ramp after one).
    pub turn_in: Option<Microseconds>,
    /// Speed of the server according to its reports.
    pub pace: KnownPace,
    /// Whether the server may be chosen.
    pub status: CandidateStatus,
}

/// Returns the index of the chosen server, or `None` if `candidates` is empty.
///
/// `random` draws a number below its argument. Servers whose daemons are about to stop are used only if those that stay
/// are nearly full or none stays, and ejected ones only if there is no other, so that a whole pool is never excluded.
pub fn pick(candidates: &[Candidate], mut random: impl FnMut(usize) -> usize) -> Option<usize> {
    let metric = CostMetric::for_candidates(candidates);
    let available = indices(candidates, |candidate| candidate.status == CandidateStatus::Available);
    let available = pick_from(&metric, candidates, &available, &mut random);
    if available.is_some_and(|available| metric.starts_at_once(&candidates[available])) {
        return available;
    }
    let leaving = pick_from(&metric, candidates, &leaving_except_first(candidates), &mut random);
    match (available, leaving) {
        (Some(available), Some(leaving)) => Some(cheaper(&metric, candidates, available, leaving)),
        (None, None) => pick_from(&metric, candidates, &indices(candidates, |_| true), &mut random),
        (available, leaving) => available.or(leaving),
    }
}

/// Servers whose daemons stop, except the first one to end if there are several. Without new calls that daemon ends
/// first, is back first and takes over; if all of them took calls until their ends, all would be away at the same time.
fn leaving_except_first(candidates: &[Candidate]) -> Vec<usize> {
    let time_left = |index: &usize| match candidates[*index].status {
        CandidateStatus::Leaving(left) => Some(left),
        CandidateStatus::Available | CandidateStatus::Ejected => None,
    };
    let mut leaving: Vec<usize> = (0..candidates.len()).filter(|index| time_left(index).is_some()).collect();
    leaving.sort_by_key(time_left);
    if leaving.len() > 1 {
        leaving.remove(0);
    }
    leaving
}

/// Picks from `pool`, preferring servers in the caller's zone until those of other zones are clearly better.
fn pick_from(
    metric: &CostMetric,
    candidates: &[Candidate],
    pool: &[usize],
    random: &mut impl FnMut(usize) -> usize,
) -> Option<usize> {
    let (near, far): (Vec<usize>, Vec<usize>) = pool.iter().partition(|index| candidates[**index].same_zone);
    let near = cheaper_of_two(metric, candidates, &near, random);
    if !metric.compares_speed() && near.is_some_and(|near| metric.starts_at_once(&candidates[near])) {
        return near;
    }
    let far = cheaper_of_two(metric, candidates, &far, random);
    let (Some(nearer), Some(farther)) = (near, far) else { return near.or(far) };
    let spills = metric.spills(&candidates[nearer], &candidates[farther]);
    if spills { far } else { near }
}

/// The cheaper of two candidates drawn from `pool`.
fn cheaper_of_two(
    metric: &CostMetric,
    candidates: &[Candidate],
    pool: &[usize],
    random: &mut impl FnMut(usize) -> usize,
) -> Option<usize> {
    match pool.len() {
        0 => None,
        1 => Some(pool[0]),
        count => {
            let first = random(count);
            let second = (first + 1 + random(count - 1)) % count;
            Some(cheaper(metric, candidates, pool[first], pool[second]))
        }
    }
}

fn indices(candidates: &[Candidate], keep: impl Fn(&Candidate) -> bool) -> Vec<usize> {
    (0..candidates.len()).filter(|&index| keep(&candidates[index])).collect()
}

fn cheaper(metric: &CostMetric, candidates: &[Candidate], first: usize, second: usize) -> usize {
    let is_second = metric.cost(&candidates[second]) < metric.cost(&candidates[first]);
    if is_second { second } else { first }
}
