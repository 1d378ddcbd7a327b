//! Pace of a server: its present speed, according to its own reports and its observed service times.
//!
//! A server states in its answers how long work takes at the moment, in percent of the usual time. The daemon beside it
//! keeps the last percentage with its age ([`PaceTracker`]) and reports it with the usual service time
//! ([`ServerPace`]); a daemon that sends calls compares servers by both ([`KnownPace`]). Reports are hints: an old
//! percentage counts as the usual one, and one that claims too much speed is bounded.

use crate::clock::{Instant, MILLISECOND, Microseconds, SECOND};
use speedy::{Readable, Writable};

/// Percentage of a server that works at its usual speed.
const USUAL_PERCENT: u16 = 100;

/// Largest valid percentage.
const MAX_PERCENT: u16 = 10_000;

/// Lower bound of a percentage in comparisons: a claim must not make a server look more than twice as fast as its
/// observed service times show.
const MIN_COUNTED_PERCENT: u16 = 50;

/// Age from which on a percentage counts as [`USUAL_PERCENT`]. Percentages change many times a second.
const PERCENT_LIFETIME: Microseconds = SECOND;

/// Weight of a new sample in the usual service time, after the first samples. It is small, so that random variation
/// does not make equal servers look different.
const USUAL_TIME_WEIGHT: f64 = 0.02;

/// Age of the last sample from which on the usual service time is unknown, so that a server without calls is tried
/// again.
const USUAL_TIME_LIFETIME: Microseconds = 10 * SECOND;

/// Answers without a percentage after which a server counts as one that reports none, if its last percentage is old as
/// well.
const MAX_ANSWERS_WITHOUT_PERCENT: u32 = 8;

/// What the daemon beside a server reports of the server's pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct ServerPace {
    /// The server's last statement of its present service time, in percent of the usual one.
    pub time_percent: u16,
    /// Age of that percentage.
    pub age_ms: u16,
    /// Usual service time of its calls; 0 before the first sample.
    pub work_ms: u32,
}

/// Parses the percentage in a header field; `None` if it is not a whole number from 1 to 10,000.
#[must_use]
pub fn parse_time_percent(text: &str) -> Option<u16> {
    let text = text.trim();
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|percent| is_plain && is_valid_percent(*percent))
}

fn is_valid_percent(percent: u16) -> bool {
    (1..=MAX_PERCENT).contains(&percent)
}

/// Factor on the usual service time for a percentage of this age; 1 means usual speed.
fn slowdown_factor(percent: u16, age: Microseconds) -> f64 {
    let percent = if age >= PERCENT_LIFETIME { USUAL_PERCENT } else { percent.max(MIN_COUNTED_PERCENT) };
    f64::from(percent) / f64::from(USUAL_PERCENT)
}

/// Tracks the pace of the server beside the daemon.
#[derive(Debug, Clone, Default)]
pub struct PaceTracker {
    /// The last percentage and when it arrived; `None` if the server reports none.
    time_percent: Option<(u16, Instant)>,
    /// Calls that succeeded since the last percentage.
    answers_since: u32,
    /// Usual service time; `None` before the first sample.
    usual: Option<UsualServiceTime>,
}

/// The usual service time: the mean of the first samples, later an exponentially weighted average.
#[derive(Debug, Clone, Copy)]
struct UsualServiceTime {
    /// In microseconds.
    mean: f64,
    samples: u32,
    /// When the last sample arrived.
    last: Instant,
}

impl UsualServiceTime {
    fn updated(known: Option<Self>, sample: f64, now: Instant) -> Self {
        let (mean, samples) = known.map_or((0.0, 0), |known| (known.mean, known.samples));
        let samples = samples.saturating_add(1);
        let weight = USUAL_TIME_WEIGHT.max(1.0 / f64::from(samples));
        Self { mean: mean + weight * (sample - mean), samples, last: now }
    }

    fn is_fresh(&self, now: Instant) -> bool {
        now.since(self.last) < USUAL_TIME_LIFETIME
    }
}

impl PaceTracker {
    /// Records the percentage that came with an answer.
    pub fn record_time_percent(&mut self, percent: u16, now: Instant) {
        if is_valid_percent(percent) {
            self.time_percent = Some((percent, now));
            self.answers_since = 0;
        }
    }

    /// Records the service time of a call that succeeded; `None` if the call made calls of its own.
    ///
    /// The service time is divided by the slowdown factor, so that a slow phase does not count twice, and a server that
    /// always states the same percentage is rated at its actual speed.
    pub fn record_success(&mut self, service_time: Option<Microseconds>, now: Instant) {
        self.answers_since = self.answers_since.saturating_add(1);
        let Some((percent, heard)) = self.time_percent else { return };
        let age = now.since(heard);
        if let Some(service_time) = service_time {
            let sample = service_time as f64 / slowdown_factor(percent, age);
            let known = self.usual.filter(|usual| usual.is_fresh(now));
            self.usual = Some(UsualServiceTime::updated(known, sample, now));
        }
        if age >= PERCENT_LIFETIME && self.answers_since > MAX_ANSWERS_WITHOUT_PERCENT {
            *self = Self::default();
        }
    }

    /// The report for other daemons; `None` if the server reports no percentage.
    #[must_use]
    pub fn report(&self, now: Instant) -> Option<ServerPace> {
        let (time_percent, heard) = self.time_percent?;
        let age_ms = u16::try_from(now.since(heard) / MILLISECOND).unwrap_or(u16::MAX);
        let usual = self.usual.filter(|usual| usual.is_fresh(now));
        // The conversion saturates.
        let work_ms = usual.map_or(0, |usual| (usual.mean / MILLISECOND as f64).ceil() as u32);
        Some(ServerPace { time_percent, age_ms, work_ms })
    }

    /// Discards the usual service time, because another instance of the server runs now. The percentage stays until the
    /// new instance reports one.
    pub fn reset_service_time(&mut self) {
        self.usual = None;
    }
}

/// What a daemon that sends calls knows of a server's pace.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum KnownPace {
    /// No report about the server has arrived yet.
    #[default]
    Unknown,
    /// The server's daemon reports no pace.
    NotReported,
    /// The server's daemon reports a pace.
    Reported {
        /// Usual service time in milliseconds; `None` before the first sample.
        usual_ms: Option<f64>,
        /// Present service time relative to the usual one.
        factor: f64,
    },
}

impl KnownPace {
    /// The pace according to a report that arrived at `heard`.
    #[must_use]
    pub fn from_report(report: Option<ServerPace>, heard: Instant, now: Instant) -> Self {
        let Some(pace) = report.filter(|pace| is_valid_percent(pace.time_percent)) else {
            return Self::NotReported;
        };
        let age = Microseconds::from(pace.age_ms) * MILLISECOND + now.since(heard);
        let usual_ms = (pace.work_ms > 0).then_some(f64::from(pace.work_ms));
        Self::Reported { usual_ms, factor: slowdown_factor(pace.time_percent, age) }
    }
}
