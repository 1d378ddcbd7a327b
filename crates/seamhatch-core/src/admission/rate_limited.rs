//! The rate limit that a back end names, and the ramp that follows its end.
//!
//! Holds the limiter and the estimates from before the limit. Service times under a limit describe the back end only
//! while the limit lasts, so the earlier estimates, if any, are restored at its end.

use super::ConcurrencyLimit;
use super::service_times::ServiceTimes;
use crate::clock::{Instant, Microseconds, SECOND};
use crate::rate::{RateLimiter, RequestRate};

/// The ramp starts at this share of the rate that the back end's slots can sustain, or at the named rate if that is
/// higher.
const INITIAL_RAMP_SHARE: f64 = 1.0 / 32.0;

/// Growth of the rate per tick of 100 ms during the ramp: it doubles in a second.
const RAMP_FACTOR_PER_TICK: f64 = 1.072;

/// Estimates derived from the answers of a back end.
#[derive(Debug, Clone)]
pub(super) struct ServiceEstimates {
    pub(super) limit: ConcurrencyLimit,
    pub(super) service_times: ServiceTimes,
}

/// State of a back end that is or was recently rate-limited.
#[derive(Debug)]
pub(super) struct RateLimitedBackEnd {
    limiter: RateLimiter,
    /// Estimates from before the limit; `None` during the ramp.
    saved: Option<ServiceEstimates>,
}

impl RateLimitedBackEnd {
    /// Starts a limit at `rate`.
    pub(super) fn new(rate: RequestRate, saved: ServiceEstimates, now: Instant) -> Self {
        Self { limiter: RateLimiter::new(rate, now), saved: Some(saved) }
    }

    /// Sets the named rate; saves the present estimates if the limit had ended.
    pub(super) fn set_rate(
        &mut self,
        rate: RequestRate,
        estimates: impl FnOnce() -> ServiceEstimates,
        now: Instant,
    ) {
        self.limiter.set_rate(rate, now);
        self.saved.get_or_insert_with(estimates);
    }

    /// Ends the limit and starts the ramp towards `full`, the rate that the slots can sustain. Returns the saved
    /// estimates.
    pub(super) fn end(&mut self, full: RequestRate, now: Instant) -> Option<ServiceEstimates> {
        let saved = self.saved.take()?;
        let first = self.limiter.rate().max(full.times(INITIAL_RAMP_SHARE));
        self.limiter.set_rate(first, now);
        Some(saved)
    }

    /// Raises the rate by one step during the ramp, to be called every 100 ms. Returns true once it reaches `full`.
    pub(super) fn ramp_up(&mut self, full: RequestRate, now: Instant) -> bool {
        if self.saved.is_some() {
            return false;
        }
        self.limiter.set_rate(self.limiter.rate().times(RAMP_FACTOR_PER_TICK), now);
        self.limiter.rate() >= full
    }

    /// Average number of concurrent calls at this rate, with this service time.
    pub(super) fn concurrency(&self, service_time: Microseconds) -> f64 {
        self.limiter.rate().as_per_second() * service_time as f64 / SECOND as f64
    }

    pub(super) fn limiter(&self) -> &RateLimiter {
        &self.limiter
    }

    pub(super) fn limiter_mut(&mut self) -> &mut RateLimiter {
        &mut self.limiter
    }
}
