//! Which calls' turns come too late for their answers to be worth anything.

use super::super::{AdmissionRequest, CallKind, Ticket, share_of};
use super::AdmissionQueue;
use crate::clock::{Instant, Microseconds};
use crate::priority::PriorityClass;

impl AdmissionQueue {
    /// How long calls of this kind usually take from their slot to their answer; none before the first.
    #[must_use]
    pub fn median_service_time(&self, kind: CallKind) -> Option<Microseconds> {
        self.service_times.usual(kind)
    }

    /// The latest instant at which a call may start: its kind's usual service time before the end of its objective, and
    /// at least half of the typical service time before its expiry, since some calls are faster.
    #[must_use]
    pub fn latest_start(&self, request: &AdmissionRequest) -> Instant {
        let typical = self.limit.typical_service_time();
        let usual = self.service_times.usual(request.kind).unwrap_or(typical);
        request.expiry.minus(typical / 2).min(request.objective_end.minus(usual))
    }

    /// Removes the waiting calls whose turn comes too late at the pace at which the queue drains now: their callers do
    /// better elsewhere than held until the last moment. Calls without an objective of their own stay: they are part of
    /// requests that have begun, and all that was done for those would be lost by an estimate that may err.
    pub fn shed_late_calls(&mut self, now: Instant) -> Vec<Ticket> {
        let mut late = Vec::new();
        for class in PriorityClass::ALL {
            let mut in_line = 0;
            for request in self.waiting.line(class) {
                let has_objective = request.objective_end != Instant::NEVER;
                if has_objective && self.comes_too_late(request, in_line, now) {
                    late.push(request.ticket);
                } else {
                    in_line += 1;
                }
            }
        }
        for ticket in &late {
            self.expire(*ticket);
        }
        late
    }

    /// Whether the turn of a waiting call, behind `in_line` others of its class, comes after its latest start:
    /// neither in the order of importance nor on its class's own share of the slots does it come sooner.
    fn comes_too_late(&self, request: &AdmissionRequest, in_line: usize, now: Instant) -> bool {
        let class = request.priority.class;
        let in_turn = self.estimated_wait(self.ahead_of(class, in_line), now);
        let on_share = self.estimated_wait(in_line, now) as f64 / share_of(class);
        now.plus(in_turn.min(on_share as Microseconds)) >= self.latest_start(request)
    }

    /// Calls that go before one of `class` behind `in_line` others of it, as it looks now.
    pub(super) fn ahead_of(&self, class: PriorityClass, in_line: usize) -> usize {
        let before = if self.below_share(class) { 0 } else { self.waiting.more_important(class) };
        before + in_line
    }

    pub(super) fn estimated_wait(&self, ahead: usize, now: Instant) -> Microseconds {
        let service_time = self.limit.typical_service_time();
        let for_slot = service_time * (ahead as u64 + 1) / u64::from(self.limit().max(1));
        let for_turn = self.rate_limited.as_ref().map_or(0, |limited| limited.limiter().turn_in(ahead, now));
        for_slot.max(for_turn)
    }
}
