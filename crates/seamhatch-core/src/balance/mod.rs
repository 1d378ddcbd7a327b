//! Server choice: which server of a service gets a call.
//!
//! Decides by power of two random choices: two candidates are drawn and the one with less load for its slots is taken
//! (M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 1996). Inputs for each candidate: the calls
//! that this daemon has in flight there, its load by its last answer or heartbeat (at most 0.75 s old, else the server is
//! [silent](candidate_status)), and the share of its answers that arrived in the last seconds.
//!
//! Where servers tell their pace, the one that is expected to complete the call sooner is taken instead: `pace` has what is known of
//! that, `cost` decides which of the two rules holds.
//!
//! It protects servers from more work than they have slots, and the bytes between zones from being spent without need.
//! Loss of answers makes a server costlier; [ejection](Ejection) leaves it out for a while; neither gives up a whole pool.
//! Alternatives and figures: docs/DESIGN.md#server-choice. Who calls it: `seamhatchd::dispatch`.

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

/// Whether a candidate is used while others are there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CandidateStatus {
    /// It takes calls.
    Available,
    /// Its daemon stops in this time; its server stays.
    Leaving(Microseconds),
    /// It is left out while any other is there: it fails or is silent, or accepts no calls.
    Ejected,
}

/// What is known of one candidate server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// It is in the caller's zone.
    pub same_zone: bool,
    /// Concurrency limit that the server reports; all its slots where it names a rate, which `turn_in` stands for.
    pub slots: u32,
    /// Calls that this daemon has in flight there.
    pub in_flight: u32,
    /// Calls running and waiting there by its last report.
    pub reported_load: u32,
    /// Share of its answers that arrived recently, 0 to 1.
    pub success: f64,
    /// Time until its turn for a call, where it names a rate.
    pub turn_in: Option<Microseconds>,
    /// How long work takes there.
    pub pace: KnownPace,
    /// Whether it is used while others are there.
    pub status: CandidateStatus,
}

/// Picks the index of a server, or none when `candidates` is empty.
///
/// `random` draws a number below its argument. Servers whose daemons are about to stop are used only where those that stay are
/// nearly full or none is left, and ejected ones only where there is no other, so that a whole pool is never given up.
pub fn pick(candidates: &[Candidate], mut random: impl FnMut(usize) -> usize) -> Option<usize> {
    let metric = CostMetric::of(candidates);
    let usual = indices(candidates, |candidate| candidate.status == CandidateStatus::Available);
    let usual = nearest(&metric, candidates, &usual, &mut random);
    if usual.is_some_and(|usual| metric.starts_at_once(&candidates[usual])) {
        return usual;
    }
    let leaving = nearest(&metric, candidates, &leaving_but_the_next(candidates), &mut random);
    match (usual, leaving) {
        (Some(usual), Some(leaving)) => Some(cheaper(&metric, candidates, usual, leaving)),
        (None, None) => nearest(&metric, candidates, &indices(candidates, |_| true), &mut random),
        (usual, leaving) => usual.or(leaving),
    }
}

/// Servers whose daemons stop, without the next one to end where there are several: given nothing more, it ends first, is back
/// first and takes over. If all went on until their ends, all would be away at the same time.
fn leaving_but_the_next(candidates: &[Candidate]) -> Vec<usize> {
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

/// Picks from `pool`: servers in the caller's zone go first, until those of other zones are clearly better.
fn nearest(
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

/// The cheaper one of two that are drawn from `pool`.
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
