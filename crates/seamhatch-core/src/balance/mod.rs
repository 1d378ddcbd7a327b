//! Server choice: which server of a service gets a call.
//!
//! Decides by power of two random choices: two candidates are drawn and the one with less load for its slots is taken
//! (M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 1996). Inputs for each candidate: the calls
//! that this daemon has in flight there, its load by its last answer or heartbeat (at most 0.75 s old, else the server is
//! [silent](standing)), and the share of its answers that arrived in the last seconds.
//!
//! It protects servers from more work than they have slots, and the bytes between zones from being spent without need.
//! Loss of answers makes a server costlier; [ejection](Ejection) leaves it out for a while; neither gives up a whole pool.
//! Alternatives and figures: docs/DESIGN.md#server-choice. Who calls it: `seamhatchd::dispatch`.

mod outlier;
mod silence;
mod turn;

pub use outlier::{CallEnd, Ejection, SuccessRate};
pub use silence::{silent_at, standing};
pub use turn::{NextTurn, SenderRound, TurnReport};

use crate::clock::{MILLISECOND, Microseconds};

/// Whether a candidate is used while others are there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CandidateStanding {
    /// It takes calls.
    Usual,
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
    /// Whether it is used while others are there.
    pub standing: CandidateStanding,
}

/// Calls of one request that usually go to one service, one after the other; the request fails with any of them, so a
/// server's success counts to this power.
const CALLS_AT_STAKE: i32 = 4;

/// Success below this makes no further difference.
const LEAST_SUCCESS: f64 = 0.05;

/// Load over slots below which a server starts a call about at once.
const SPILL_COST: f64 = 0.8;

/// How much more load over slots a server in the own zone may have than one in another zone: about the part of a service
/// time that a call waits longer so that its bytes stay in the zone. Without it all calls are spread over all zones as
/// soon as a service is full everywhere.
const ZONE_SPILL_MARGIN: f64 = 0.5;

/// Wait for its turn that makes a server which names a rate as costly as one whose slots are all taken.
const COSTLY_TURN: Microseconds = 100 * MILLISECOND;

impl Candidate {
    /// Load over slots, or the wait for its turn where that is worse, divided by the chance that all calls of a request are answered.
    fn cost(&self) -> f64 {
        let load = f64::from(self.in_flight.max(self.reported_load) + 1);
        let turn = self.turn_in.unwrap_or_default() as f64 / COSTLY_TURN as f64;
        let success = self.success.max(LEAST_SUCCESS).powi(CALLS_AT_STAKE);
        (load / f64::from(self.slots.max(1))).max(turn) / success
    }

    /// Whether no other server would do better for a call.
    fn starts_at_once(&self) -> bool {
        self.cost() < SPILL_COST
    }
}

/// Picks the index of a server, or none when `candidates` is empty.
///
/// `random` draws a number below its argument. Servers whose daemons are about to stop are used only where those that stay are
/// nearly full or none is left, and ejected ones only where there is no other, so that a whole pool is never given up.
pub fn pick(candidates: &[Candidate], mut random: impl FnMut(usize) -> usize) -> Option<usize> {
    let usual = indices(candidates, |candidate| candidate.standing == CandidateStanding::Usual);
    let usual = nearest(candidates, &usual, &mut random);
    if usual.is_some_and(|usual| candidates[usual].starts_at_once()) {
        return usual;
    }
    let leaving = nearest(candidates, &leaving_but_the_next(candidates), &mut random);
    match (usual, leaving) {
        (Some(usual), Some(leaving)) => Some(less_loaded(candidates, usual, leaving)),
        (None, None) => nearest(candidates, &indices(candidates, |_| true), &mut random),
        (usual, leaving) => usual.or(leaving),
    }
}

/// Servers whose daemons stop, without the next one to end where there are several: given nothing more, it ends first, is back
/// first and takes over. If all went on until their ends, all would be away at the same time.
fn leaving_but_the_next(candidates: &[Candidate]) -> Vec<usize> {
    let time_left = |index: &usize| match candidates[*index].standing {
        CandidateStanding::Leaving(left) => Some(left),
        CandidateStanding::Usual | CandidateStanding::Ejected => None,
    };
    let mut leaving: Vec<usize> = (0..candidates.len()).filter(|index| time_left(index).is_some()).collect();
    leaving.sort_by_key(time_left);
    if leaving.len() > 1 {
        leaving.remove(0);
    }
    leaving
}

/// Picks from `pool`: servers in the caller's zone go first, until they are nearly full and clearly fuller than those of other
/// zones.
fn nearest(
    candidates: &[Candidate],
    pool: &[usize],
    random: &mut impl FnMut(usize) -> usize,
) -> Option<usize> {
    let (near, far): (Vec<usize>, Vec<usize>) = pool.iter().partition(|index| candidates[**index].same_zone);
    let near = less_loaded_of_two(candidates, &near, random);
    if near.is_some_and(|near| candidates[near].starts_at_once()) {
        return near;
    }
    let far = less_loaded_of_two(candidates, &far, random);
    let (Some(nearer), Some(farther)) = (near, far) else { return near.or(far) };
    let spills = candidates[nearer].cost() > candidates[farther].cost() + ZONE_SPILL_MARGIN;
    if spills { far } else { near }
}

/// The less loaded one of two that are drawn from `pool`.
fn less_loaded_of_two(
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
            Some(less_loaded(candidates, pool[first], pool[second]))
        }
    }
}

fn indices(candidates: &[Candidate], keep: impl Fn(&Candidate) -> bool) -> Vec<usize> {
    (0..candidates.len()).filter(|&index| keep(&candidates[index])).collect()
}

fn less_loaded(candidates: &[Candidate], first: usize, second: usize) -> usize {
    if candidates[second].cost() < candidates[first].cost() { second } else { first }
}
