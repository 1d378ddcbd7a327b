//! Two concurrency limits that are used in turn, until one is known to be better.

use super::CallKind;
use super::comparison::Comparison;
use crate::clock::Microseconds;

/// Calls that begin at one limit before the other one's turn, at least; else as many as run at once, which is about one
/// service time: short, so that drift affects both alike, and long enough to be felt. Chosen, not measured.
const SHORTEST_TURN: u32 = 8;

/// Turns after which the calls of a turn are taken to have ended, each about a service time. Of the calls of later turns
/// only the short ones have, which would speak for the limit whose turn was last: judged at each answer, the finder wandered
/// to 0.6 of the slots. The figure is chosen.
const TURNS_TO_END: u32 = 4;

/// Turns after which a probe ends undecided when no comparable call has ended. Chosen, not measured.
const TURNS_WITHOUT_SAMPLES: u32 = 12;

/// Turns after which a probe ends undecided in any case. Chosen, not measured.
const MOST_TURNS: u32 = 100;

/// Comparable calls of each limit before anything is concluded. Chosen, not measured.
const FEWEST_SAMPLES: f64 = 24.0;

/// Comparable calls of each limit after which a probe ends undecided, which leaves the upper limit. Chosen, not measured.
const MOST_SAMPLES: f64 = 400.0;

/// Standard errors that a difference must exceed. Chosen, not measured: it is looked at after each turn, so fewer would
/// mislead.
const CERTAINTY: f64 = 3.0;

/// Gain in finished calls a second from which on a lower limit is preferred (natural logarithm). Chosen, not measured.
const LEAST_GAIN: f64 = 0.02;

/// One of the two limits of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Arm {
    Lower,
    Upper,
}

/// The part of a probe that a call belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeMark {
    pub(super) probe: u32,
    pub(super) turn: u32,
    pub(super) arm: Arm,
    pub(super) kind: CallKind,
}

/// A comparison of two limits in progress.
#[derive(Debug, Clone)]
pub(super) struct LimitProbe {
    lower: u32,
    upper: u32,
    arm: Arm,
    /// Calls that began at the limit of `arm` in this turn.
    begun: u32,
    /// Turns that have ended.
    turns: u32,
    /// Service times of calls whose turn has ended too recently to be compared.
    recent: Vec<(ProbeMark, Microseconds)>,
    comparison: Comparison,
}

impl LimitProbe {
    /// The limit of `arm` has the first turn.
    pub(super) fn new(lower: u32, upper: u32, arm: Arm) -> Self {
        let comparison = Comparison::default();
        Self { lower, upper, arm, begun: 0, turns: 0, recent: Vec::new(), comparison }
    }

    /// The limit whose turn it is.
    pub(super) fn level(&self) -> u32 {
        match self.arm {
            Arm::Lower => self.lower,
            Arm::Upper => self.upper,
        }
    }

    /// The mark of a call that begins now, in the probe of this `number`.
    pub(super) fn mark(&self, number: u32, kind: CallKind) -> ProbeMark {
        ProbeMark { probe: number, turn: self.turns, arm: self.arm, kind }
    }

    /// Counts a call that begins. Returns the better limit, where that ends the probe.
    pub(super) fn count_begun(&mut self) -> Option<u32> {
        self.begun += 1;
        if self.begun < self.upper.max(SHORTEST_TURN) {
            return None;
        }
        self.begun = 0;
        self.turns += 1;
        self.arm = if self.arm == Arm::Lower { Arm::Upper } else { Arm::Lower };
        let (turns, comparison) = (self.turns, &mut self.comparison);
        self.recent.retain(|(mark, service_time)| {
            let has_ended = mark.turn + TURNS_TO_END <= turns;
            if has_ended {
                comparison.add(mark.arm, mark.kind, *service_time);
            }
            !has_ended
        });
        self.verdict().or_else(|| self.is_vain().then_some(self.upper))
    }

    /// A call has ended. One of a turn that was compared already is too late.
    pub(super) fn observe(&mut self, mark: ProbeMark, service_time: Microseconds) {
        if mark.turn + TURNS_TO_END > self.turns {
            self.recent.push((mark, service_time));
        }
    }

    /// Whether no calls could be compared.
    pub(super) fn has_no_samples(&self) -> bool {
        self.comparison.slowdown().is_none()
    }

    /// Whether it goes on without showing anything.
    fn is_vain(&self) -> bool {
        self.turns >= MOST_TURNS || (self.turns >= TURNS_WITHOUT_SAMPLES && self.has_no_samples())
    }

    /// The better limit, once it is known. The upper one stands unless the lower is shown to finish more calls: fewer slots
    /// must be worth it.
    fn verdict(&self) -> Option<u32> {
        let slowdown = self.comparison.slowdown().filter(|slowdown| slowdown.samples >= FEWEST_SAMPLES)?;
        let gain = slowdown.mean - (f64::from(self.upper) / f64::from(self.lower)).ln();
        let doubt = CERTAINTY * slowdown.error;
        if gain - doubt > LEAST_GAIN {
            return Some(self.lower);
        }
        let settled = gain + doubt < LEAST_GAIN || slowdown.samples >= MOST_SAMPLES;
        settled.then_some(self.upper)
    }
}
