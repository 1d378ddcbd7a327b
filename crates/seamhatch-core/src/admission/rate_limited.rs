//! A back end that is held to a rate: while it names one, and for a while after it has stopped to.
//!
//! Owns the limiter, the rise of the rate after its end, and what the queue had learnt before: service times of a back end in need say nothing
//! about the time after, and only show how it does now. Used by [`super::AdmissionQueue`] alone.

use super::ConcurrencyLimit;
use super::service_times::ServiceTimes;
use crate::clock::{Instant, Microseconds, SECOND};
use crate::rate::{RateLimiter, RequestRate};

/// The rate after the end of a limit begins with this part of what the back end's slots can do, or with the rate that it had named.
const FIRST_SHARE: f64 = 1.0 / 32.0;

/// By how much the rate then rises in each tick of 100 ms: it doubles in a second.
const RISE_PER_TICK: f64 = 1.072;

/// What is learnt of a back end from its answers.
#[derive(Debug, Clone)]
pub(super) struct ServiceEstimates {
    pub(super) limit: ConcurrencyLimit,
    pub(super) service_times: ServiceTimes,
}

/// A back end that is held to a rate.
#[derive(Debug)]
pub(super) struct RateLimitedBackEnd {
    limiter: RateLimiter,
    /// What was known before it named a rate; none once it names none any more.
    before: Option<ServiceEstimates>,
}

impl RateLimitedBackEnd {
    /// It names a rate, with this known of it.
    pub(super) fn new(rate: RequestRate, before: ServiceEstimates, now: Instant) -> Self {
        Self { limiter: RateLimiter::new(rate, now), before: Some(before) }
    }

    /// It names a rate again, or another one.
    pub(super) fn set_rate(
        &mut self,
        rate: RequestRate,
        learnt: impl FnOnce() -> ServiceEstimates,
        now: Instant,
    ) {
        self.limiter.set_rate(rate, now);
        self.before.get_or_insert_with(learnt);
    }

    /// It names no rate any more: the rate rises from now on, up to `full`, which its slots can do. Returns what was known before.
    pub(super) fn lift(&mut self, full: RequestRate, now: Instant) -> Option<ServiceEstimates> {
        let before = self.before.take()?;
        let first = self.limiter.rate().max(full.times(FIRST_SHARE));
        self.limiter.set_rate(first, now);
        Some(before)
    }

    /// Lets the rate rise where none is named any more, to be called every 100 ms. True once it reaches `full`.
    pub(super) fn rise(&mut self, full: RequestRate, now: Instant) -> bool {
        if self.before.is_some() {
            return false;
        }
        self.limiter.set_rate(self.limiter.rate().times(RISE_PER_TICK), now);
        self.limiter.rate() >= full
    }

    /// Calls that run at once at the rate, where each takes `service_time`.
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
