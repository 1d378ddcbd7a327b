//! Request rates, and a limiter that keeps one exactly.
//!
//! Decides when the next request may start, by the generic cell rate algorithm (ITU-T I.371, annex A): a
//! request is due one interval after the previous one and may come earlier by the saved time, at most
//! [`BURST_SPAN`]. The inputs are instants of the boot clock, so a process that was frozen has saved no more
//! than that. The limiter is a pure state machine, like all rules of this crate; a library that owns its
//! clock (`governor`) could not be explored by the model checks, nor divide its waiting time among several
//! senders. Used by [`crate::admission`].

use crate::clock::{Instant, MILLISECOND, Microseconds, SECOND};
use speedy::{Readable, Writable};

/// Maximum span whose requests at the given rate can be saved up.
pub const BURST_SPAN: Microseconds = 100 * MILLISECOND;

/// Maximum interval between two requests. However low the rate, a back end gets a request this often, which
/// shows whether it still names that rate.
pub const MAX_INTERVAL: Microseconds = 10 * SECOND;

/// Units of [`RequestRate`] in one request per second.
const MILLIONTHS: f64 = 1e6;

/// Requests per second, counted in millionths so that rates can be compared and hashed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct RequestRate {
    millionths: u64,
}

impl RequestRate {
    /// Creates a rate from requests per second; `None` unless `rate` is finite and not negative.
    #[must_use]
    pub fn per_second(rate: f64) -> Option<Self> {
        // The conversion to `u64` saturates.
        (rate.is_finite() && rate >= 0.0).then(|| Self { millionths: (rate * MILLIONTHS).round() as u64 })
    }

    /// Requests per second.
    #[must_use]
    pub fn as_per_second(self) -> f64 {
        self.millionths as f64 / MILLIONTHS
    }

    /// Thousandths of a request per second.
    #[must_use]
    pub fn as_thousandths(self) -> u64 {
        self.millionths / 1_000
    }

    /// Time between two requests, at most [`MAX_INTERVAL`].
    #[must_use]
    pub fn interval(self) -> Microseconds {
        const INTERVAL_OF_ONE_US: u64 = 1_000_000 * SECOND;
        INTERVAL_OF_ONE_US.checked_div(self.millionths).unwrap_or(MAX_INTERVAL).min(MAX_INTERVAL)
    }

    /// The rate multiplied by `factor`, which must not be negative.
    #[must_use]
    pub fn times(self, factor: f64) -> Self {
        Self { millionths: (self.millionths as f64 * factor) as u64 }
    }
}

/// Limits requests to a rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RateLimiter {
    rate: RequestRate,
    /// When the next request is due if it does not use saved time.
    due: Instant,
}

impl RateLimiter {
    /// Creates a limiter without saved time; the first request may start at once.
    #[must_use]
    pub fn new(rate: RequestRate, now: Instant) -> Self {
        Self { rate, due: now.plus(BURST_SPAN) }
    }

    /// Current rate.
    #[must_use]
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, rate: RequestRate, now: Instant) {
        self.rate = rate;
        self.due = self.due.min(now.plus(rate.interval()).plus(BURST_SPAN));
    }

    /// When the next request may start.
    #[must_use]
    pub fn next_at(&self) -> Instant {
        self.due.minus(BURST_SPAN)
    }

    /// Whether a request may start at `now`.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        self.next_at() <= now
    }

    /// Time until a request may start that has `ahead` others before it.
    #[must_use]
    pub fn turn_in(&self, ahead: usize, now: Instant) -> Microseconds {
        let turn = self.next_at().max(now.minus(BURST_SPAN)).plus(self.rate.interval() * ahead as u64);
        turn.since(now)
    }

    /// Records the start of a request.
    pub fn take(&mut self, now: Instant) {
        self.due = self.due.max(now).plus(self.rate.interval());
    }

    /// Undoes [`Self::take`] for a request that was not sent after all.
    pub fn give_back(&mut self) {
        self.due = self.due.minus(self.rate.interval());
    }
}
