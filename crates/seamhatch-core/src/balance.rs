//! Choice of a server for a call.
//!
//! Two candidates are drawn and the less loaded is taken (power of two random
//! choices, M. Mitzenmacher, "The Power of Two Choices in Randomized Load
//! Balancing", 1996), on work in flight that this daemon knows of, weighed by how many of a server's
//! answers arrive.

use crate::clock::{Instant, MILLISECOND, Microseconds, SECOND};

/// Whether a candidate is used while others are there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CandidateStanding {
    /// It takes work.
    Usual,
    /// Its daemon is about to stop, in this time; its server stays.
    Leaving(Microseconds),
    /// Seen from here it fails.
    Ejected,
}

/// What is known of one candidate server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// It is in the caller's zone.
    pub same_zone: bool,
    /// Slots that the server reports.
    pub slots: u32,
    /// Calls that this daemon has in flight there.
    pub in_flight: u32,
    /// Work at the server as its last answer told (running and waiting).
    pub reported_load: u32,
    /// Share of its answers that arrived lately, 0 to 1.
    pub success: f64,
    /// Whether it is used while others are there.
    pub standing: CandidateStanding,
}

impl Candidate {
    fn cost(&self) -> f64 {
        let load = f64::from(self.in_flight.max(self.reported_load) + 1);
        let success = self.success.max(LEAST_SUCCESS).powi(CALLS_AT_STAKE);
        load / f64::from(self.slots.max(1)) / success
    }

    /// Whether no other server would do better for a call.
    fn starts_at_once(&self) -> bool {
        self.cost() < SPILL_COST
    }
}

/// Calls of one request that usually go to one service, one after the other: all are lost with one.
const CALLS_AT_STAKE: i32 = 4;
/// Success below this makes no further difference.
const LEAST_SUCCESS: f64 = 0.05;

/// Load over slots below which a server starts a call about at once.
const SPILL_COST: f64 = 0.8;
/// How much more load over slots a server in the own zone may have than one in another zone: about the part
/// of a service time that a call waits longer so that its bytes stay in the zone. Without it all work is
/// spread over all zones as soon as a service is full everywhere.
const ZONE_SPILL_MARGIN: f64 = 0.5;

/// Picks the index of a server, or none when `candidates` is empty.
///
/// `random` draws a number below its argument. Servers whose daemons are about to stop are used only where
/// those that stay are nearly full or none is left, and ejected ones only where there is no other, so that a
/// whole pool is never given up.
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

/// Those that leave, without the next to go where there are several: given nothing more, it ends, is back
/// soonest and takes over. If all went on until their ends, all would be away at the same time.
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

/// Picks from `pool`: servers in the caller's zone go first, until they are nearly full and clearly fuller
/// than those of other zones.
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

/// How one call to a server ended, for the ejection decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// An answer came.
    Answered,
    /// The server or its daemon could not be reached, or the answer was lost.
    Lost,
}

/// Share of a server's answers that arrived lately.
///
/// A server that loses part of its answers is never ejected, since others arrive in between; its share
/// makes it costlier. What is old counts less, so that a server that gets no calls is tried again.
#[derive(Debug, Clone, Default)]
pub struct SuccessRate {
    lost: f64,
    seen: Instant,
}

/// Weight of a new sample in the share of lost answers.
const LOSS_WEIGHT: f64 = 0.1;
/// Time in which the share of lost answers halves where nothing is sent.
const LOSS_HALF_LIFE: Microseconds = SECOND;

impl SuccessRate {
    /// Takes in the end of a call.
    pub fn record(&mut self, end: CallEnd, now: Instant) {
        let sample = if end == CallEnd::Lost { 1.0 } else { 0.0 };
        let lost = self.lost_at(now);
        self.lost = lost + LOSS_WEIGHT * (sample - lost);
        self.seen = now;
    }

    /// The share as it counts at `now`, 0 to 1.
    #[must_use]
    pub fn at(&self, now: Instant) -> f64 {
        1.0 - self.lost_at(now)
    }

    fn lost_at(&self, now: Instant) -> f64 {
        let age = now.since(self.seen) as f64 / LOSS_HALF_LIFE as f64;
        self.lost * (-age).exp2()
    }
}

/// Ejects a server after consecutive losses, for a time that grows when it happens again.
#[derive(Debug, Clone, Default)]
pub struct Ejection {
    consecutive_losses: u32,
    ejections: u32,
    until: Option<Instant>,
}

/// Losses in a row that eject a server.
const LOSSES_TO_EJECT: u32 = 3;
/// First ejection time; doubled at each further one.
const FIRST_EJECTION: Microseconds = 500 * MILLISECOND;
/// Longest ejection time.
const LONGEST_EJECTION: Microseconds = 10 * SECOND;

impl Ejection {
    /// Takes in the end of a call.
    pub fn record(&mut self, end: CallEnd, now: Instant) {
        match end {
            CallEnd::Answered => {
                self.consecutive_losses = 0;
                self.ejections = 0;
                self.until = None;
            }
            CallEnd::Lost => {
                self.consecutive_losses += 1;
                if self.consecutive_losses >= LOSSES_TO_EJECT {
                    self.eject(now);
                }
            }
        }
    }

    /// Whether the server should get no calls at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    fn eject(&mut self, now: Instant) {
        let span = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(10)).min(LONGEST_EJECTION);
        self.ejections += 1;
        self.until = Some(now.plus(span));
    }
}
