//! How long work takes at a server, as its own figure and its observed service times show.
//!
//! A server tells in its answers how long work takes there at this moment, in percent of the usual. The daemon beside it keeps the last
//! figure with its age ([`PaceTracker`]) and reports it with the usual service time ([`ServerPace`]); a daemon that sends calls compares
//! servers by both ([`KnownPace`]). Reports are hints: an old figure counts as the usual, and one that is too good is bounded.

use crate::clock::{Instant, MILLISECOND, Microseconds, SECOND};
use speedy::{Readable, Writable};

/// The figure of a server that works as usual.
const USUAL_PERCENT: u16 = 100;

/// Greatest figure that counts as one.
const GREATEST_PERCENT: u16 = 10_000;

/// Least figure that counts in full: a server that claims less must not look more than twice as fast as its observed service times show.
const LEAST_PERCENT: u16 = 50;

/// Age from which on a figure counts as the usual. Figures change many times a second.
const FIGURE_LIFETIME: Microseconds = SECOND;

/// Weight of a new sample in the usual service time, once there are enough. It is small, so that chance in the samples does not make
/// equal servers look different.
const WORK_WEIGHT: f64 = 0.02;

/// Age of the last sample from which on the usual service time counts as unknown, so that a server that gets no calls is tried again.
const WORK_LIFETIME: Microseconds = 10 * SECOND;

/// Answers without a figure after which a server counts as one that tells none, where its last figure is old too.
const ANSWERS_WITHOUT_FIGURE: u32 = 8;

/// What the daemon beside a server reports of its pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct ServerPace {
    /// How long work took there by the server's last figure, in percent of the usual.
    pub time_percent: u16,
    /// Age of that figure.
    pub age_ms: u16,
    /// Usual service time of its calls; 0 before the first.
    pub work_ms: u32,
}

/// The figure in a field; none where it is no whole number from 1 to 10,000.
#[must_use]
pub fn parse_time_percent(text: &str) -> Option<u16> {
    let text = text.trim();
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|percent| is_plain && is_figure(*percent))
}

fn is_figure(percent: u16) -> bool {
    (1..=GREATEST_PERCENT).contains(&percent)
}

/// What a figure of this age counts for, 1 for the usual.
fn factor_of(percent: u16, age: Microseconds) -> f64 {
    let percent = if age >= FIGURE_LIFETIME { USUAL_PERCENT } else { percent.max(LEAST_PERCENT) };
    f64::from(percent) / f64::from(USUAL_PERCENT)
}

/// What the daemon beside a server knows of its pace.
#[derive(Debug, Clone, Default)]
pub struct PaceTracker {
    /// The last figure and when it came; none where the server tells none.
    figure: Option<(u16, Instant)>,
    /// Calls that succeeded since then.
    answers_since: u32,
    /// None before the first sample.
    work: Option<UsualWork>,
}

/// The usual service time: a mean of the first samples, then an exponential one.
#[derive(Debug, Clone, Copy)]
struct UsualWork {
    /// In microseconds.
    mean: f64,
    samples: u32,
    /// When the last sample came.
    last: Instant,
}

impl UsualWork {
    fn with(known: Option<Self>, sample: f64, now: Instant) -> Self {
        let (mean, samples) = known.map_or((0.0, 0), |known| (known.mean, known.samples));
        let samples = samples.saturating_add(1);
        let weight = WORK_WEIGHT.max(1.0 / f64::from(samples));
        Self { mean: mean + weight * (sample - mean), samples, last: now }
    }

    fn is_fresh(&self, now: Instant) -> bool {
        now.since(self.last) < WORK_LIFETIME
    }
}

impl PaceTracker {
    /// Records the figure beside an answer.
    pub fn record_time_percent(&mut self, percent: u16, now: Instant) {
        if is_figure(percent) {
            self.figure = Some((percent, now));
            self.answers_since = 0;
        }
    }

    /// Records the service time of a call that succeeded; none where it made calls of its own.
    ///
    /// The figure is taken out of it, so that a slow phase doesn't count twice, and a server that always claims the same looks as fast as
    /// it is.
    pub fn record_success(&mut self, service_time: Option<Microseconds>, now: Instant) {
        self.answers_since = self.answers_since.saturating_add(1);
        let Some((percent, heard)) = self.figure else { return };
        let age = now.since(heard);
        if let Some(service_time) = service_time {
            let sample = service_time as f64 / factor_of(percent, age);
            let known = self.work.filter(|work| work.is_fresh(now));
            self.work = Some(UsualWork::with(known, sample, now));
        }
        if age >= FIGURE_LIFETIME && self.answers_since > ANSWERS_WITHOUT_FIGURE {
            *self = Self::default();
        }
    }

    /// What other daemons are told; none where the server tells no figure.
    #[must_use]
    pub fn report(&self, now: Instant) -> Option<ServerPace> {
        let (time_percent, heard) = self.figure?;
        let age_ms = u16::try_from(now.since(heard) / MILLISECOND).unwrap_or(u16::MAX);
        let work = self.work.filter(|work| work.is_fresh(now));
        // The conversion saturates.
        let work_ms = work.map_or(0, |work| (work.mean / MILLISECOND as f64).ceil() as u32);
        Some(ServerPace { time_percent, age_ms, work_ms })
    }

    /// Forgets the usual service time, as another instance of the server runs now. The figure stays until that tells one.
    pub fn reset_service_time(&mut self) {
        self.work = None;
    }
}

/// What a daemon that sends calls knows of a server's pace.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum KnownPace {
    /// Nothing was reported of the server yet.
    #[default]
    Unknown,
    /// Its daemon reports none.
    NotReported,
    /// Its daemon reports this.
    Reported {
        /// Usual service time in milliseconds; none before the first.
        usual_ms: Option<f64>,
        /// How long work takes at this moment, 1 for the usual.
        factor: f64,
    },
}

impl KnownPace {
    /// By the last report, which came at `heard`.
    #[must_use]
    pub fn from_report(report: Option<ServerPace>, heard: Instant, now: Instant) -> Self {
        let Some(pace) = report.filter(|pace| is_figure(pace.time_percent)) else { return Self::NotReported };
        let age = Microseconds::from(pace.age_ms) * MILLISECOND + now.since(heard);
        let usual_ms = (pace.work_ms > 0).then_some(f64::from(pace.work_ms));
        Self::Reported { usual_ms, factor: factor_of(pace.time_percent, age) }
    }
}
