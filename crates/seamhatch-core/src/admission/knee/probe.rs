//! A probe uses two concurrency limits alternately until one is known to be better.

use super::CallKind;
use super::comparison::Comparison;
use crate::clock::Microseconds;

/// A period ends after this many started calls, or after as many as the upper limit if that is larger. Such a period
/// lasts about one service time: short enough that drift affects both limits alike, and long enough to take effect.
const MIN_PERIOD_CALLS: u32 = 8;

/// Periods, each about a service time long, after which all calls of a period count as finished. Of the calls of later
/// periods only the short ones have finished, which would favour the most recent limit: evaluated at each answer, the
/// finder wandered down to 0.6 of the slots.
const PERIODS_TO_FINISH: u32 = 4;

/// Periods after which a probe without any comparable finished call ends undecided.
const MAX_PERIODS_WITHOUT_SAMPLES: u32 = 12;

/// Periods after which a probe ends undecided in any case.
const MAX_PERIODS: u32 = 100;

/// Comparable calls of each limit that are needed for a result.
const MIN_SAMPLES: f64 = 24.0;

/// Comparable calls of each limit after which a probe ends undecided, which leaves the upper limit in use.
const MAX_SAMPLES: f64 = 400.0;

/// Standard errors that a difference must exceed. The test is repeated after each period, so a smaller number would
/// yield false results.
const REQUIRED_STANDARD_ERRORS: f64 = 3.0;

/// Throughput gain from which on a lower limit is preferred (natural logarithm).
const MIN_GAIN: f64 = 0.02;

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
    pub(super) period: u32,
    pub(super) arm: Arm,
    pub(super) kind: CallKind,
}

/// A comparison of two limits in progress.
#[derive(Debug, Clone)]
pub(super) struct LimitProbe {
    lower: u32,
    upper: u32,
    arm: Arm,
    /// Calls started at the limit of `arm` in this period.
    started: u32,
    /// Number of finished periods.
    periods: u32,
    /// Service times of calls whose period is too recent for the comparison.
    recent: Vec<(ProbeMark, Microseconds)>,
    comparison: Comparison,
}

impl LimitProbe {
    /// Starts with the limit of `arm`.
    pub(super) fn new(lower: u32, upper: u32, arm: Arm) -> Self {
        let comparison = Comparison::default();
        Self { lower, upper, arm, started: 0, periods: 0, recent: Vec::new(), comparison }
    }

    /// The limit of the present period.
    pub(super) fn limit(&self) -> u32 {
        match self.arm {
            Arm::Lower => self.lower,
            Arm::Upper => self.upper,
        }
    }

    /// The mark of a call that starts now in the probe with this `number`.
    pub(super) fn mark(&self, number: u32, kind: CallKind) -> ProbeMark {
        ProbeMark { probe: number, period: self.periods, arm: self.arm, kind }
    }

    /// Counts a call that starts. Returns the better limit if that ends the probe.
    pub(super) fn count_started(&mut self) -> Option<u32> {
        self.started += 1;
        if self.started < self.upper.max(MIN_PERIOD_CALLS) {
            return None;
        }
        self.started = 0;
        self.periods += 1;
        self.arm = if self.arm == Arm::Lower { Arm::Upper } else { Arm::Lower };
        let (periods, comparison) = (self.periods, &mut self.comparison);
        self.recent.retain(|(mark, service_time)| {
            let has_ended = mark.period + PERIODS_TO_FINISH <= periods;
            if has_ended {
                comparison.add(mark.arm, mark.kind, *service_time);
            }
            !has_ended
        });
        self.verdict().or_else(|| self.is_inconclusive().then_some(self.upper))
    }

    /// Records the service time of a finished call. A call of a period that was already compared is ignored.
    pub(super) fn observe(&mut self, mark: ProbeMark, service_time: Microseconds) {
        if mark.period + PERIODS_TO_FINISH > self.periods {
            self.recent.push((mark, service_time));
        }
    }

    /// Whether no calls were comparable.
    pub(super) fn has_no_samples(&self) -> bool {
        self.comparison.slowdown().is_none()
    }

    /// Whether the probe has lasted too long without a result.
    fn is_inconclusive(&self) -> bool {
        self.periods >= MAX_PERIODS || (self.periods >= MAX_PERIODS_WITHOUT_SAMPLES && self.has_no_samples())
    }

    /// The better limit once it is known. The upper limit is kept unless the lower one shows a higher throughput, since
    /// using fewer slots must pay off.
    fn verdict(&self) -> Option<u32> {
        let slowdown = self.comparison.slowdown().filter(|slowdown| slowdown.samples >= MIN_SAMPLES)?;
        let gain = slowdown.mean - (f64::from(self.upper) / f64::from(self.lower)).ln();
        let margin = REQUIRED_STANDARD_ERRORS * slowdown.error;
        if gain - margin > MIN_GAIN {
            return Some(self.lower);
        }
        let settled = gain + margin < MIN_GAIN || slowdown.samples >= MAX_SAMPLES;
        settled.then_some(self.upper)
    }
}
