//! The queue of a back end that names a rate.
//!
//! Calls take a turn besides a slot, in the same order; what the back end shows meanwhile is not remembered.

use super::super::Ticket;
use super::super::rate_limited::{RateLimitedBackEnd, ServiceEstimates};
use super::AdmissionQueue;
use crate::clock::{Instant, Microseconds, SECOND};
use crate::outcome::Reason;
use crate::rate::RequestRate;

impl AdmissionQueue {
    /// Holds calls to a rate that the back end names.
    pub fn set_rate_limit(&mut self, rate: RequestRate, now: Instant) {
        let learnt =
            || ServiceEstimates { limit: self.limit.clone(), service_times: self.service_times.clone() };
        match &mut self.rate_limited {
            Some(limited) => limited.set_rate(rate, learnt, now),
            None => self.rate_limited = Some(RateLimitedBackEnd::new(rate, learnt(), now)),
        }
        self.knee.give_up_probe();
    }

    /// The back end names no rate any more: calls come faster from now on, but not all at once.
    pub fn end_rate_limit(&mut self, now: Instant) {
        let full = self.full_rate();
        let Some(before) = self.rate_limited.as_mut().and_then(|limited| limited.lift(full, now)) else {
            return;
        };
        if before.limit.has_samples() {
            self.limit = before.limit;
            self.service_times = before.service_times;
        }
    }

    /// Lets the rate rise after its end; to be called at a steady pace (every 100 ms).
    pub fn ramp_up_rate(&mut self, now: Instant) {
        let full = self.full_rate();
        if self.rate_limited.as_mut().is_some_and(|limited| limited.rise(full, now)) {
            self.rate_limited = None;
        }
    }

    /// The rate that calls are held to.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        Some(self.rate_limited.as_ref()?.limiter().rate())
    }

    /// Time until the turn of a call that comes now; none where there is no rate.
    #[must_use]
    pub fn turn_in(&self, now: Instant) -> Option<Microseconds> {
        let turn = self.rate_limited.as_ref()?.limiter().turn_in(self.waiting.len(), now);
        let is_full = self.running() >= self.limit() as usize;
        Some(if is_full { turn.max(self.estimated_wait(self.waiting.len(), now)) } else { turn })
    }

    /// When the first call that waits may begin, as far as the rate decides it; none where no call waits for that.
    #[must_use]
    pub fn next_turn(&self, now: Instant) -> Option<Instant> {
        let limited = self.rate_limited.as_ref().filter(|_| !self.waiting.is_empty())?;
        (!limited.limiter().is_due(now)).then(|| limited.limiter().next_at())
    }

    /// Why a call is refused whose turn would come too late.
    #[must_use]
    pub fn late_reason(&self) -> Reason {
        if self.rate_limited.is_some() { Reason::BackendRate } else { Reason::DeadlineExceeded }
    }

    /// Slots that calls can use at once, as other daemons see it: fewer where a rate keeps them from being used.
    #[must_use]
    pub fn reported_limit(&self) -> u32 {
        (self.usable_slots().ceil() as u32).clamp(1, self.limit().max(1))
    }

    /// Frees the slot of a call that was never sent to the back end, and gives its turn to another one.
    pub fn withdraw(&mut self, ticket: Ticket, now: Instant) {
        if let Some(limited) = self.rate_limited.as_mut().filter(|_| self.slots.has_turn(ticket)) {
            limited.limiter_mut().give_back();
        }
        self.finish(ticket, now, false);
    }

    /// Slots that calls can use at once at present, on average.
    pub(super) fn usable_slots(&self) -> f64 {
        let limit = f64::from(self.limit());
        let service_time = self.limit.typical_service_time();
        self.rate_limited.as_ref().map_or(limit, |limited| limited.concurrency(service_time).min(limit))
    }

    /// The rate that the slots of the back end can do.
    fn full_rate(&self) -> RequestRate {
        let seconds = self.limit.typical_service_time().max(1) as f64 / SECOND as f64;
        RequestRate::per_second(f64::from(self.limit()) / seconds).unwrap_or_default()
    }

    /// Whether a slot is free, and the rate lets a call begin.
    pub(super) fn may_start(&self, now: Instant) -> bool {
        let is_due = self.rate_limited.as_ref().is_none_or(|limited| limited.limiter().is_due(now));
        self.running() < self.limit() as usize && is_due
    }
}
