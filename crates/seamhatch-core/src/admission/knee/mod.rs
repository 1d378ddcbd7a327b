//! How many of a back end's slots are worth using.
//!
//! Finds the concurrency limit up to which each additional slot raises the throughput of a back end. Some back ends
//! slow down when nearly all of their slots are in use, so that the last slots cost more than they yield (37 ms a call
//! with 13 of 20 slots in use, 44 to 46 ms with 20). The input is the service times, in microseconds, of calls that
//! make no calls of their own: a slow downstream service says nothing about this back end.
//!
//! Probes on the live back end locate the knee: two limits are used alternately, and the service times of the calls
//! that started at each are compared. Drift (a cold start, a changing mix of calls, a slow machine) affects both alike.
//! Alternatives: docs/DESIGN.md#slots-worth-using.

mod comparison;
mod probe;

pub use probe::ProbeMark;

use crate::clock::{Instant, Microseconds, SECOND};
use probe::{Arm, LimitProbe};

/// Identifies calls that do similar work, so that their service times are comparable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct CallKind(pub u32);

/// Two limits differ by at least one step: the number of slots divided by this, rounded up.
const STEPS: u32 = 20;

/// Distances of the first probes of a round below the limit in use, in steps.
const NEAR_STEPS: [u32; 2] = [1, 2];

/// Greater distances, one per round: a distant knee does not show one step down, and probing far down costs most.
const FAR_STEPS: [u32; 3] = [7, 5, 3];

/// Servers with fewer slots are not probed: a single slot would be too large a part of them.
const MIN_SLOTS: u32 = 8;

/// Share of the slots below which no limit is probed.
const MIN_SLOT_SHARE: f64 = 0.5;

/// Pause after all limits around the one in use were probed; doubled while nothing changes, up to [`MAX_PAUSE`]. A
/// probe of a worse limit costs capacity while it lasts (less than a second at a busy server).
const MIN_PAUSE: Microseconds = 2 * SECOND;

/// Longest pause: load surges last seconds, and the knee may move with the load.
const MAX_PAUSE: Microseconds = 16 * SECOND;

/// Finds the concurrency limit at which a back end has the highest throughput.
#[derive(Debug, Clone)]
pub struct KneeFinder {
    slots: u32,
    /// The best limit found so far.
    best_limit: u32,
    probe: Option<LimitProbe>,
    /// Distinguishes the calls of this probe from those of earlier ones.
    probe_number: u32,
    /// When the next probe may start; `None` if it may start at once.
    next_probe_at: Option<Instant>,
    pause: Microseconds,
    /// The next probe tries a higher limit.
    is_upward: bool,
    /// Number of downward probes in this round.
    downward_probes: usize,
    /// Number of finished rounds.
    rounds: usize,
}

impl KneeFinder {
    /// A finder for a back end of which only the number of slots is known: it uses all of them.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            best_limit: slots,
            probe: None,
            probe_number: 0,
            next_probe_at: None,
            pause: MIN_PAUSE,
            is_upward: false,
            downward_probes: 0,
            rounds: 0,
        }
    }

    /// The concurrency limit at present, which alternates during a probe.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.probe.as_ref().map_or(self.best_limit, LimitProbe::limit)
    }

    /// The best limit found so far.
    #[must_use]
    pub fn best_limit(&self) -> u32 {
        self.best_limit
    }

    /// Records that a call starts; `running` is the number of running calls, including this one. Returns a mark to pass
    /// to [`Self::observe`] with the service time if the call is part of a probe.
    pub fn call_started(&mut self, running: u32, kind: CallKind, now: Instant) -> Option<ProbeMark> {
        if running < self.limit() {
            return None;
        }
        if self.probe.is_none() && self.next_probe_at.is_none_or(|next| now >= next) {
            self.start_probe(now);
        }
        let number = self.probe_number;
        let probe = self.probe.as_mut()?;
        if running != probe.limit() {
            return None;
        }
        let mark = probe.mark(number, kind);
        if let Some(better) = probe.count_started() {
            self.settle(better, now);
        }
        Some(mark)
    }

    /// Ends a probe without a result, because coming service times are not comparable with earlier ones.
    pub fn cancel_probe(&mut self) {
        self.probe = None;
    }

    /// Records the service time of a call that is part of a probe.
    pub fn observe(&mut self, mark: ProbeMark, service_time: Microseconds) {
        if mark.probe == self.probe_number {
            self.probe.iter_mut().for_each(|probe| probe.observe(mark, service_time));
        }
    }

    fn step(&self) -> u32 {
        self.slots.div_ceil(STEPS)
    }

    /// Distance of the next downward probe, in steps.
    fn steps_down(&self) -> u32 {
        NEAR_STEPS.get(self.downward_probes).copied().unwrap_or(FAR_STEPS[self.rounds % FAR_STEPS.len()])
    }

    /// Starts a probe of the limit in use, which is used first, against another one.
    fn start_probe(&mut self, now: Instant) {
        if self.slots < MIN_SLOTS {
            return;
        }
        let lowest = ((f64::from(self.slots) * MIN_SLOT_SHARE) as u32).max(1);
        self.is_upward &= self.best_limit < self.slots;
        let (lower, upper) = if self.is_upward {
            (self.best_limit, (self.best_limit + self.step()).min(self.slots))
        } else {
            (self.best_limit.saturating_sub(self.step() * self.steps_down()).max(lowest), self.best_limit)
        };
        if lower >= upper {
            self.settle(self.best_limit, now);
            return;
        }
        self.probe_number = self.probe_number.wrapping_add(1);
        let arm = if lower == self.best_limit { Arm::Lower } else { Arm::Upper };
        self.probe = Some(LimitProbe::new(lower, upper, arm));
    }

    /// Adopts the `better` limit. If it is a new one, the limits around it are probed at once; otherwise the next probe
    /// of the round follows: one step up, then down at growing distances.
    fn settle(&mut self, better: u32, now: Instant) {
        let had_no_samples = self.probe.take().is_some_and(|probe| probe.has_no_samples());
        self.next_probe_at = None;
        if had_no_samples {
            // Calls at this server make calls of their own, so other limits would yield no samples either.
            self.downward_probes = NEAR_STEPS.len();
        }
        if better != self.best_limit {
            self.is_upward = better > self.best_limit;
            self.best_limit = better;
            self.downward_probes = 0;
            self.pause = MIN_PAUSE;
        } else if self.is_upward {
            self.is_upward = false;
        } else if self.downward_probes < NEAR_STEPS.len() {
            self.downward_probes += 1;
        } else {
            self.downward_probes = 0;
            self.rounds += 1;
            self.is_upward = true;
            self.next_probe_at = Some(now.plus(self.pause));
            self.pause = (self.pause * 2).min(MAX_PAUSE);
        }
    }
}
