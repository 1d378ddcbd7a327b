//! Rates of requests, and a limiter that keeps one exactly.
//!
//! Decides when the next request may begin, by the generic cell rate algorithm (ITU-T I.371, annex A): a request is due an interval
//! after the one before, and may come earlier by what was saved up, at most [`BURST_SPAN`]. Inputs are instants of the boot clock, so a
//! process that was frozen has saved up no more than that. It is pure, as all rules here; a library that owns its clock (`governor`) could
//! not be searched by the models, nor share out its waiting time. Used by [`crate::admission`].

use crate::clock::{Instant, MILLISECOND, Microseconds, SECOND};
use speedy::{Readable, Writable};

/// Requests that come in this span at the rate may be saved up.
pub const BURST_SPAN: Microseconds = 100 * MILLISECOND;

/// Longest interval between two requests: however low its rate, a back end is asked this often whether it still holds.
pub const LONGEST_INTERVAL: Microseconds = 10 * SECOND;

/// Parts of a request a second in which rates are counted.
const PARTS: f64 = 1e6;

/// Requests a second, counted in millionths so that rates compare and hash.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct RequestRate {
    millionths: u64,
}

impl RequestRate {
    /// So many requests a second; none unless that is a number from 0 on.
    #[must_use]
    pub fn per_second(rate: f64) -> Option<Self> {
        // The conversion saturates.
        (rate.is_finite() && rate >= 0.0).then(|| Self { millionths: (rate * PARTS).round() as u64 })
    }

    /// Requests a second.
    #[must_use]
    pub fn as_per_second(self) -> f64 {
        self.millionths as f64 / PARTS
    }

    /// Thousandths of a request a second.
    #[must_use]
    pub fn as_thousandths(self) -> u64 {
        self.millionths / 1_000
    }

    /// Time between two requests, at most [`LONGEST_INTERVAL`].
    #[must_use]
    pub fn interval(self) -> Microseconds {
        const INTERVAL_OF_ONE: u64 = 1_000_000 * SECOND;
        INTERVAL_OF_ONE.checked_div(self.millionths).unwrap_or(LONGEST_INTERVAL).min(LONGEST_INTERVAL)
    }

    /// The rate times `factor`, which is not negative.
    #[must_use]
    pub fn times(self, factor: f64) -> Self {
        Self { millionths: (self.millionths as f64 * factor) as u64 }
    }
}

/// Keeps requests to a rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RateLimiter {
    rate: RequestRate,
    /// When the next request is due if none comes early.
    due: Instant,
}

impl RateLimiter {
    /// A limiter with nothing saved up: the first request may begin at once.
    #[must_use]
    pub fn new(rate: RequestRate, now: Instant) -> Self {
        Self { rate, due: now.plus(BURST_SPAN) }
    }

    /// The rate.
    #[must_use]
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Goes on with another rate.
    pub fn set_rate(&mut self, rate: RequestRate, now: Instant) {
        self.rate = rate;
        self.due = self.due.min(now.plus(rate.interval()).plus(BURST_SPAN));
    }

    /// When the next request may begin.
    #[must_use]
    pub fn next_at(&self) -> Instant {
        self.due.minus(BURST_SPAN)
    }

    /// Whether a request may begin.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        self.next_at() <= now
    }

    /// Time until a request may begin that has `ahead` others before it.
    #[must_use]
    pub fn turn_in(&self, ahead: usize, now: Instant) -> Microseconds {
        let turn = self.next_at().max(now.minus(BURST_SPAN)).plus(self.rate.interval() * ahead as u64);
        turn.since(now)
    }

    /// A request begins.
    pub fn take(&mut self, now: Instant) {
        self.due = self.due.max(now).plus(self.rate.interval());
    }

    /// A request that was to begin was never sent.
    pub fn give_back(&mut self) {
        self.due = self.due.minus(self.rate.interval());
    }
}
