//! Detection of calls that can't start in time.

use super::super::{AdmissionRequest, CallKind, Ticket, share_of};
use super::AdmissionQueue;
use crate::clock::{Instant, Microseconds};
use crate::priority::PriorityClass;

impl AdmissionQueue {
    /// Median time from slot to answer of calls of this kind; `None` before the first sample.
    #[must_use]
    pub fn median_service_time(&self, kind: CallKind) -> Option<Microseconds> {
        self.service_times.median(kind)
    }

    /// The latest instant at which a call may start: the median service time of its kind before the end of its
    /// objective, and half of the average service time before its expiry, since some calls are faster than average.
    #[must_use]
    pub fn latest_start(&self, request: &AdmissionRequest) -> Instant {
        let average = self.limit.average_service_time();
        let median = self.service_times.median(request.kind).unwrap_or(average);
        request.expiry.minus(average / 2).min(request.objective_end.minus(median))
    }

    /// Removes and returns the waiting calls that can't start in time at the rate at which the queue drains now,
    /// because their callers do better at another server than waiting until the last moment. Calls without an objective
    /// stay: they belong to requests that are in progress, and a wrong estimate would waste the work done for those.
    pub fn shed_late_calls(&mut self, now: Instant) -> Vec<Ticket> {
        let mut late = Vec::new();
        for class in PriorityClass::ALL {
            let mut ahead_in_class = 0;
            for request in self.waiting.of_class(class) {
                let has_objective = request.objective_end != Instant::NEVER;
                if has_objective && self.comes_too_late(request, ahead_in_class, now) {
                    late.push(request.ticket);
                } else {
                    ahead_in_class += 1;
                }
            }
        }
        for ticket in &late {
            self.expire(*ticket);
        }
        late
    }

    /// Whether a waiting call, behind `ahead_in_class` others of its class, would start after its latest start, both in
    /// order of importance and on its class's own share of the slots.
    fn comes_too_late(&self, request: &AdmissionRequest, ahead_in_class: usize, now: Instant) -> bool {
        let class = request.priority.class;
        let by_priority = self.estimated_wait(self.ahead_of(class, ahead_in_class), now);
        let by_share = self.estimated_wait(ahead_in_class, now) as f64 / share_of(class);
        now.plus(by_priority.min(by_share as Microseconds)) >= self.latest_start(request)
    }

    /// Number of calls that go before one of `class` with `ahead_in_class` others of its class before it.
    pub(super) fn ahead_of(&self, class: PriorityClass, ahead_in_class: usize) -> usize {
        let before = if self.below_share(class) { 0 } else { self.waiting.count_more_important(class) };
        before + ahead_in_class
    }

    pub(super) fn estimated_wait(&self, ahead: usize, now: Instant) -> Microseconds {
        let service_time = self.limit.average_service_time();
        let for_slot = service_time * (ahead as u64 + 1) / u64::from(self.limit().max(1));
        let for_rate = self.rate_limited.as_ref().map_or(0, |limited| limited.limiter().turn_in(ahead, now));
        for_slot.max(for_rate).max(self.silence.turn_in(ahead, now))
    }
}
