//! How many of a back end's slots are worth using.
//!
//! Decides the concurrency limit up to which a back end finishes more calls with each slot. Some back ends slow down when
//! nearly all of their slots are taken, so that the last ones cost more than they bring (37 ms a call with 13 of 20 slots
//! taken, 44 to 46 ms with 20). The input is the service times of calls that make no further calls, in microseconds: a slow
//! service below says nothing about this back end.
//!
//! Where that knee lies is found by probes on the live back end: two limits are used in turn, and the service times
//! of the calls that began at each are compared. Drift (a cold start, a changing mix, a slow machine) affects both alike.
//! Five days with trouble earned 0.522 of their worth on average with it, 0.495 without. Alternatives:
//! docs/DESIGN.md#slots-worth-using.

mod comparison;
mod probe;

pub use probe::ProbeMark;

use crate::clock::{Instant, Microseconds, SECOND};
use probe::{Arm, LimitProbe};

/// Calls of one kind do alike work, so that their service times may be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct CallKind(pub u32);

/// Parts of the slots by which two limits differ at least.
const STEPS: u32 = 20;

/// Distances of the probes of each round below the limit in use, in steps.
const NEAR: [u32; 2] = [1, 2];

/// Greater distances, one a round: a far knee doesn't show one step down, and looking for it costs most.
const FAR: [u32; 3] = [7, 5, 3];

/// Slots below which nothing is probed: one slot fewer would be too much of the whole.
const FEWEST_SLOTS: u32 = 8;

/// Share of the slots below which no limit is probed.
const LOWEST_SHARE: f64 = 0.5;

/// Rest after all limits around the one in use were probed; doubled while nothing changes, up to [`LONGEST_REST`]. A probe
/// of a worse limit costs capacity while it lasts (less than a second at a busy server).
const FIRST_REST: Microseconds = 2 * SECOND;

/// Longest rest: a surge lasts seconds, and a knee may move with the back end's load.
const LONGEST_REST: Microseconds = 16 * SECOND;

/// Finds the number of concurrent calls at which a back end finishes most.
#[derive(Debug, Clone)]
pub struct KneeFinder {
    slots: u32,
    /// The limit that was found best so far.
    level: u32,
    probe: Option<LimitProbe>,
    /// Tells the calls of one probe from those of others.
    number: u32,
    /// When the next probe may begin; none where it may at once.
    next: Option<Instant>,
    rest: Microseconds,
    /// The next probe tries a higher limit.
    upward: bool,
    /// Probes downward in this round.
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

    /// Calls that may run at once at present.
    #[must_use]
    pub fn level(&self) -> u32 {
        self.probe.as_ref().map_or(self.level, LimitProbe::level)
    }

    /// The limit that was found best so far.
    #[must_use]
    pub fn settled(&self) -> u32 {
        self.level
    }

    /// A call begins, and `running` run with it. Returns the mark to give back with its service time, where the call is
    /// part of a probe.
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

    /// Ends a probe in progress without a verdict, as what comes now can't be compared with what came before.
    pub fn give_up_probe(&mut self) {
        self.probe = None;
    }

    /// A call of a probe has ended.
    pub fn observe(&mut self, mark: ProbeMark, service_time: Microseconds) {
        if mark.probe == self.number {
            self.probe.iter_mut().for_each(|probe| probe.observe(mark, service_time));
        }
    }

    /// Slots of one step.
    fn step(&self) -> u32 {
        self.slots.div_ceil(STEPS)
    }

    /// Steps to the lower limit of the next probe downward.
    fn steps_down(&self) -> u32 {
        NEAR.get(self.downward_probes).copied().unwrap_or(FAR[self.rounds % FAR.len()])
    }

    /// Compares the limit in use, which has the first turn, with another one.
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

    /// Adopts the `better` limit. Where that is a change, the limits around it are probed at once; else the finder goes on
    /// to the next one of the round: one step up, then down, farther each time.
    fn settle(&mut self, better: u32, now: Instant) {
        let had_no_samples = self.probe.take().is_some_and(|probe| probe.has_no_samples());
        self.next = None;
        if had_no_samples {
            // Calls here make calls of their own; other limits would show no more.
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
