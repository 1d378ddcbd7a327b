//! The queue of a back end that names a rate.
//!
//! A call needs permission from the rate limiter in addition to a slot. Calls start in the same order as without a
//! limit. At its end the estimates from before it are restored, if there were any.

use super::super::Ticket;
use super::super::rate_limited::{RateLimitedBackEnd, ServiceEstimates};
use super::AdmissionQueue;
use crate::clock::{Instant, Microseconds, SECOND};
use crate::outcome::Reason;
use crate::rate::RequestRate;

impl AdmissionQueue {
    /// Limits calls to the rate that the back end names.
    pub fn set_rate_limit(&mut self, rate: RequestRate, now: Instant) {
        let estimates =
            || ServiceEstimates { limit: self.limit.clone(), service_times: self.service_times.clone() };
        match &mut self.rate_limited {
            Some(limited) => limited.set_rate(rate, estimates, now),
            None => self.rate_limited = Some(RateLimitedBackEnd::new(rate, estimates(), now)),
        }
        self.knee.cancel_probe();
    }

    /// Ends the limit. The rate then ramps up, so that the waiting calls do not start all at once.
    pub fn end_rate_limit(&mut self, now: Instant) {
        let full = self.full_rate();
        let Some(saved) = self.rate_limited.as_mut().and_then(|limited| limited.end(full, now)) else {
            return;
        };
        if saved.limit.has_samples() {
            self.limit = saved.limit;
            self.service_times = saved.service_times;
        }
    }

    /// Advances the ramp after the end of a limit; to be called every 100 ms.
    pub fn ramp_up_rate(&mut self, now: Instant) {
        let full = self.full_rate();
        if self.rate_limited.as_mut().is_some_and(|limited| limited.ramp_up(full, now)) {
            self.rate_limited = None;
        }
    }

    /// The rate in force; `None` if there is no limit.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        Some(self.rate_limited.as_ref()?.limiter().rate())
    }

    /// Time until a call that arrives now may start; `None` if there is no rate limit.
    #[must_use]
    pub fn turn_in(&self, now: Instant) -> Option<Microseconds> {
        let turn = self.rate_limited.as_ref()?.limiter().turn_in(self.waiting.len(), now);
        let is_full = self.running() >= self.limit() as usize;
        Some(if is_full { turn.max(self.estimated_wait(self.waiting.len(), now)) } else { turn })
    }

    /// When the rate limiter allows the first waiting call to start; `None` if no call waits for the limiter.
    #[must_use]
    pub fn next_turn(&self, now: Instant) -> Option<Instant> {
        let limited = self.rate_limited.as_ref().filter(|_| !self.waiting.is_empty())?;
        (!limited.limiter().is_due(now)).then(|| limited.limiter().next_at())
    }

    /// The reason of the refusal of a call that could not start in time.
    #[must_use]
    pub fn late_reason(&self) -> Reason {
        if self.rate_limited.is_some() { Reason::BackendRate } else { Reason::DeadlineExceeded }
    }

    /// Number of usable slots as reported to other daemons, which is lower while a rate limit or a silent back end
    /// leaves slots unused.
    #[must_use]
    pub fn reported_limit(&self) -> u32 {
        if self.is_silent() {
            return 1;
        }
        (self.usable_slots().ceil() as u32).clamp(1, self.limit().max(1))
    }

    /// Frees the slot of a call that was never sent to the back end, and returns its turn to the rate limiter.
    pub fn withdraw(&mut self, ticket: Ticket, now: Instant) {
        if let Some(limited) = self.rate_limited.as_mut().filter(|_| self.slots.has_turn(ticket)) {
            limited.limiter_mut().give_back();
        }
        self.finish(ticket, now, false);
    }

    /// Average number of slots that calls can use at present.
    pub(super) fn usable_slots(&self) -> f64 {
        let limit = f64::from(self.limit());
        let service_time = self.limit.average_service_time();
        self.rate_limited.as_ref().map_or(limit, |limited| limited.concurrency(service_time).min(limit))
    }

    /// The rate that the slots of the back end can sustain.
    fn full_rate(&self) -> RequestRate {
        let seconds = self.limit.average_service_time().max(1) as f64 / SECOND as f64;
        RequestRate::per_second(f64::from(self.limit()) / seconds).unwrap_or_default()
    }

    /// Whether a slot is free, and neither the rate limiter nor a silent back end holds the call back.
    pub(super) fn may_start(&self, now: Instant) -> bool {
        let is_due = self.rate_limited.as_ref().is_none_or(|limited| limited.limiter().is_due(now));
        self.running() < self.limit() as usize && is_due && self.silence.may_start(now)
    }
}
