//! How soon a daemon that nobody helps learns of a configuration: its watch is silent, no other daemon reaches it, and it reads
//! the store by [`ProofSchedule`]. One packet is lost at any moment, or the store is in trouble for a while.
//!
//! Bounds: one daemon, one change, steps of 100 ms. An answer takes up to 0.4 s, which includes the check of the schedule and
//! the time until what it brings is in force.

use crate::search::{Model, SearchResult, Step, action, search};
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::proof_schedule::{HEDGE_DELAY, ProofSchedule, READ_TIMEOUT};

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LearningFault {
    /// None.
    None,
    /// A read is not repeated before it has failed.
    NoHedge,
    /// A read counts as failed after 1.5 s only, and the pauses last up to 1.8 s.
    SlowRetry,
}

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct LearningModel {
    /// Rank of the daemon in the order of those that read.
    pub rank: usize,
    /// Packets that are lost.
    pub losses: u8,
    /// Longest trouble of the store, in steps.
    pub trouble: u64,
    /// The seeded fault.
    pub fault: LearningFault,
}

/// Length of a step.
const STEP: Microseconds = 100 * MILLISECOND;
/// Steps of a search.
const STEPS: u64 = 95;
/// Steps in which something may begin: more than the time between two reads.
const BEGINNINGS: std::ops::Range<u64> = 13..27;
/// Steps that an answer may take.
const ANSWER_STEPS: [u64; 2] = [1, 4];
/// From the acknowledgement of a configuration until it is in force.
const IN_FORCE_STEPS: u64 = 20;
/// From the end of trouble of the store until the bound holds again.
const IN_TOUCH_STEPS: u64 = 30;
/// Time after which a read fails by a seeded fault, and how much longer its pauses are drawn.
const SLOW_TIMEOUT: Microseconds = 1500 * MILLISECOND;
const SLOW_PAUSES: f64 = 1.75;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Fate {
    /// Answered at this step with the configuration that was the newest when it was sent.
    Answered { at: u64, is_new: bool },
    /// Refused at once.
    Refused { at: u64 },
    /// Never answered.
    Lost { sent: u64 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ReadInProgress {
    sent: u64,
    first: Fate,
    second: Option<Fate>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Trouble {
    NotYet,
    Since(u64),
    Until(u64),
}

/// What the daemon and the store have done so far.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LearningState {
    now: u64,
    schedule: ProofSchedule,
    proved_at: u64,
    read: Option<ReadInProgress>,
    accepted: Option<u64>,
    in_force: bool,
    trouble: Trouble,
    losses_left: u8,
}

impl Model for LearningModel {
    type State = LearningState;

    fn initial(&self) -> LearningState {
        LearningState {
            now: 0,
            schedule: ProofSchedule::new(instant(0)),
            proved_at: 0,
            read: None,
            accepted: None,
            in_force: false,
            trouble: Trouble::NotYet,
            losses_left: self.losses,
        }
    }

    fn steps(&self, state: &LearningState) -> Vec<Step<LearningState>> {
        let mut steps = Vec::new();
        if state.now >= STEPS {
            return steps;
        }
        let may_begin = BEGINNINGS.contains(&state.now);
        if state.accepted.is_none() && (may_begin || state.trouble != Trouble::NotYet) {
            Step::add(&mut steps, state, action("a configuration is accepted", 0, 0), |next| {
                next.accepted = Some(next.now);
            });
        }
        match state.trouble {
            Trouble::NotYet if self.trouble > 0 && may_begin => {
                Step::add(&mut steps, state, action("the store gets into trouble", 0, 0), |next| {
                    next.trouble = Trouble::Since(next.now);
                });
            }
            Trouble::Since(_) => Step::add(&mut steps, state, action("the store recovers", 0, 0), |next| {
                next.trouble = Trouble::Until(next.now);
            }),
            Trouble::NotYet | Trouble::Until(_) => {}
        }
        if !matches!(state.trouble, Trouble::Since(since) if state.now >= since + self.trouble) {
            self.advance(state, &mut steps);
        }
        steps
    }

    fn violation(&self, state: &LearningState) -> Option<&'static str> {
        let is_late = |accepted: u64| !state.in_force && state.now > accepted + IN_FORCE_STEPS;
        let is_excused = match state.trouble {
            Trouble::NotYet => false,
            Trouble::Since(_) => true,
            Trouble::Until(until) => state.now <= until + IN_TOUCH_STEPS,
        };
        (state.accepted.is_some_and(is_late) && !is_excused)
            .then_some("a configuration is not in force in time")
    }
}

impl LearningModel {
    /// Searches all reachable states, at most `limit`.
    #[must_use]
    pub fn search(&self, limit: usize) -> SearchResult {
        search(self, limit)
    }

    /// Time passes: what is due happens, and a read that begins meets one of its fates.
    fn advance(&self, state: &LearningState, steps: &mut Vec<Step<LearningState>>) {
        let mut passed = state.clone();
        passed.now += 1;
        let longest = if self.fault == LearningFault::SlowRetry { SLOW_PAUSES } else { 1.0 };
        let pauses = if self.end_read(&mut passed.clone(), 0.0) { vec![0.0, longest] } else { vec![0.0] };
        for pause in pauses {
            let mut next = passed.clone();
            self.end_read(&mut next, pause);
            if !self.sends_read(&next) {
                Step::add(steps, state, action("time passes", 0, 0), |state| *state = next);
                continue;
            }
            for fate in self.fates(&next) {
                Step::add(steps, state, action("a read is sent", 0, 0), |state| {
                    *state = next.clone();
                    state.send(fate);
                });
            }
        }
    }

    /// Ends a read that is answered or has failed. True where the pause after it depends on chance.
    fn end_read(&self, state: &mut LearningState, random: f64) -> bool {
        let Some(read) = state.read else { return false };
        let fates = [Some(read.first), read.second];
        let answer = fates.iter().flatten().find_map(|fate| match fate {
            Fate::Answered { at, is_new } if *at <= state.now => Some(*is_new),
            _ => None,
        });
        if let Some(is_new) = answer {
            state.read = None;
            state.in_force |= is_new;
            state.proved_at = read.sent;
            state.schedule.answered(self.rank, instant(read.sent));
            return false;
        }
        if !fates.iter().flatten().all(|fate| self.has_failed(*fate, state.now)) {
            return false;
        }
        state.read = None;
        state.schedule.failed(self.rank, instant(state.now), random);
        true
    }

    fn has_failed(&self, fate: Fate, now: u64) -> bool {
        let timeout = if self.fault == LearningFault::SlowRetry { SLOW_TIMEOUT } else { READ_TIMEOUT };
        match fate {
            Fate::Answered { .. } => false,
            Fate::Refused { at } => at <= now,
            Fate::Lost { sent } => now >= sent + timeout / STEP,
        }
    }

    /// Whether a first read is due, or a second one beside a first that has no answer yet.
    fn sends_read(&self, state: &LearningState) -> bool {
        let age = (state.now - state.proved_at) * STEP;
        match state.read {
            None => state.schedule.is_due(self.rank, Some(age), instant(state.now)),
            Some(read) => {
                self.fault != LearningFault::NoHedge
                    && read.second.is_none()
                    && state.now >= read.sent + HEDGE_DELAY / STEP
            }
        }
    }

    fn fates(&self, state: &LearningState) -> Vec<Fate> {
        let now = state.now;
        if matches!(state.trouble, Trouble::Since(_)) {
            return vec![Fate::Refused { at: now + 1 }, Fate::Lost { sent: now }];
        }
        let is_new = state.accepted.is_some();
        let mut fates: Vec<Fate> =
            ANSWER_STEPS.iter().map(|steps| Fate::Answered { at: now + steps, is_new }).collect();
        if state.losses_left > 0 {
            fates.push(Fate::Lost { sent: now });
        }
        fates
    }
}

impl LearningState {
    fn send(&mut self, fate: Fate) {
        let is_packet_lost = matches!(fate, Fate::Lost { .. }) && !matches!(self.trouble, Trouble::Since(_));
        self.losses_left -= u8::from(is_packet_lost);
        match &mut self.read {
            Some(read) => read.second = Some(fate),
            None => self.read = Some(ReadInProgress { sent: self.now, first: fate, second: None }),
        }
    }
}

fn instant(step: u64) -> Instant {
    Instant(step * STEP)
}
