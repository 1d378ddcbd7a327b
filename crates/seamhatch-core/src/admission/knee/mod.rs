//! How many of a back end's slots are worth using.
//!
//! Some back ends slow down when nearly all of their slots are taken, so that the last slots cost more
//! than they bring. Where that knee lies is found by trial on the back end itself: two levels of
//! concurrency are used in turn, and the service times of calls that began at the one and at the other
//! are compared. Drift (a cold start, a changing mix, a slow machine) meets both alike.

mod comparison;
mod probe;

pub use probe::ProbeMark;

use crate::clock::{Instant, Microseconds, SECOND};
use probe::{Arm, LimitProbe};

/// Calls of one kind do alike work, so that their service times may be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct CallKind(pub u32);

/// Parts of the slots by which two levels differ at least.
const STEPS: u32 = 20;
/// Distances of the trials of each round below the level in use, in steps.
const NEAR: [u32; 2] = [1, 2];
/// Greater distances, one a round: a far knee doesn't show one step down, and looking for it costs most.
const FAR: [u32; 3] = [7, 5, 3];
/// Slots below which nothing is probed: one slot fewer would be too much of the whole.
const FEWEST_SLOTS: u32 = 8;
/// Share of the slots below which no level is probed.
const LOWEST_SHARE: f64 = 0.5;
/// Rest after all levels around the one in use were probed; doubled while nothing changes, up to
/// [`LONGEST_REST`]. A trial of a worse level costs capacity while it lasts (less than a second at a
/// busy server).
const FIRST_REST: Microseconds = 2 * SECOND;
/// Longest rest: a surge lasts seconds, and a knee may move with the back end's load.
const LONGEST_REST: Microseconds = 16 * SECOND;

/// Finds the number of calls at work at which a back end finishes most.
///
/// Only the service times of calls that make no further calls are to be told, as a slow service below
/// says nothing about this one.
#[derive(Debug, Clone)]
pub struct KneeFinder {
    slots: u32,
    level: u32,
    probe: Option<LimitProbe>,
    /// Tells the calls of one trial from those of others.
    number: u32,
    next: Option<Instant>,
    rest: Microseconds,
    /// The next trial looks at a higher level.
    upward: bool,
    /// Trials downward in this round.
    downward_probes: usize,
    /// Rounds that have ended.
    rounds: usize,
}

impl KneeFinder {
    /// A finder for a back end of which nothing but its slots is known: all of them are used.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            level: slots,
            probe: None,
            number: 0,
            next: None,
            rest: FIRST_REST,
            upward: false,
            downward_probes: 0,
            rounds: 0,
        }
    }

    /// Calls that may be at work at present.
    #[must_use]
    pub fn level(&self) -> u32 {
        self.probe.as_ref().map_or(self.level, LimitProbe::level)
    }

    /// The level that was found best so far.
    #[must_use]
    pub fn settled(&self) -> u32 {
        self.level
    }

    /// A call begins, and `running` are at work with it. The mark to give back with its service time,
    /// where the call is part of a trial.
    pub fn begin(&mut self, running: u32, kind: CallKind, now: Instant) -> Option<ProbeMark> {
        if running < self.level() {
            return None;
        }
        if self.probe.is_none() && self.next.is_none_or(|next| now >= next) {
            self.start_probe(now);
        }
        let number = self.number;
        let probe = self.probe.as_mut()?;
        if running != probe.level() {
            return None;
        }
        let mark = probe.mark(number, kind);
        if let Some(better) = probe.count_begun() {
            self.settle(better, now);
        }
        Some(mark)
    }

    /// A call of a trial has ended.
    pub fn observe(&mut self, mark: ProbeMark, service_time: Microseconds) {
        if mark.probe == self.number {
            self.probe.iter_mut().for_each(|probe| probe.observe(mark, service_time));
        }
    }

    fn step(&self) -> u32 {
        self.slots.div_ceil(STEPS)
    }

    /// Steps to the lower level of the next trial downward.
    fn steps_down(&self) -> u32 {
        NEAR.get(self.downward_probes).copied().unwrap_or(FAR[self.rounds % FAR.len()])
    }

    /// Compares the level in use, which has the first turn, with another one.
    fn start_probe(&mut self, now: Instant) {
        if self.slots < FEWEST_SLOTS {
            return;
        }
        let lowest = ((f64::from(self.slots) * LOWEST_SHARE) as u32).max(1);
        self.upward &= self.level < self.slots;
        let (lower, upper) = if self.upward {
            (self.level, (self.level + self.step()).min(self.slots))
        } else {
            (self.level.saturating_sub(self.step() * self.steps_down()).max(lowest), self.level)
        };
        if lower >= upper {
            self.settle(self.level, now);
            return;
        }
        self.number = self.number.wrapping_add(1);
        let arm = if lower == self.level { Arm::Lower } else { Arm::Upper };
        self.probe = Some(LimitProbe::new(lower, upper, arm));
    }

    /// Takes the `better` level. Where that is a change, the levels around it are probed at once; else the
    /// finder goes on to the next level of the round: one step up, then down, farther each time.
    fn settle(&mut self, better: u32, now: Instant) {
        let has_no_samples = self.probe.take().is_some_and(|probe| probe.has_no_samples());
        self.next = None;
        if has_no_samples {
            // Calls here make calls of their own; other levels would tell no more.
            self.downward_probes = NEAR.len();
        }
        if better != self.level {
            self.upward = better > self.level;
            self.level = better;
            self.downward_probes = 0;
            self.rest = FIRST_REST;
        } else if self.upward {
            self.upward = false;
        } else if self.downward_probes < NEAR.len() {
            self.downward_probes += 1;
        } else {
            self.downward_probes = 0;
            self.rounds += 1;
            self.upward = true;
            self.next = Some(now.plus(self.rest));
            self.rest = (self.rest * 2).min(LONGEST_REST);
        }
    }
}
