//! The admission queue of one server.
//!
//! A call runs at once if a slot is free and no call waits. Otherwise it waits as long as its slot can come in
//! time, and is refused if it can't or if the queue is full of more important calls. A class that has used less
//! than its share of the slots goes first, then the most important waiting class. Within a class, calls are ordered
//! by bucket, so that every server of a chain prefers the same requests, and then by the age of the root request.
//! If the deployment orders calls by cost, calls that continue a chain go before first calls of their class. A back
//! end that names a rate gets calls at that rate, in the same order; at the end of the limit the estimates from before
//! it are restored, if there were any.

mod lateness;
mod rate_limited;

use super::floor::{FloorController, HIGH_FILL, Pressure};
use super::rate_limited::RateLimitedBackEnd;
use super::service_times::ServiceTimes;
use super::silence::SilenceDetector;
use super::slots::SlotTable;
use super::waiting::WaitingCalls;
use super::{
    Admission, AdmissionPolicy, AdmissionRequest, BackEndLoad, ConcurrencyLimit, Dequeued, KneeFinder,
    Ticket, share_of,
};
use crate::balance::{PaceTracker, ServerPace};
use crate::clock::{Instant, Microseconds};
use crate::outcome::Reason;
use crate::priority::{AdmissionFloor, PriorityClass};
use crate::return_time;

/// Decides which calls run at one server, which wait and which are refused.
#[derive(Debug)]
pub struct AdmissionQueue {
    policy: AdmissionPolicy,
    limit: ConcurrencyLimit,
    knee: KneeFinder,
    slots: SlotTable,
    waiting: WaitingCalls,
    floor: FloorController,
    service_times: ServiceTimes,
    pace: PaceTracker,
    silence: SilenceDetector,
    /// Set while the back end names a rate, and during the ramp that follows.
    rate_limited: Option<RateLimitedBackEnd>,
}

impl AdmissionQueue {
    /// An empty queue of a cold server.
    #[must_use]
    pub fn new(policy: AdmissionPolicy) -> Self {
        Self {
            policy,
            limit: ConcurrencyLimit::new(policy),
            knee: KneeFinder::new(policy.slots),
            slots: SlotTable::default(),
            waiting: WaitingCalls::default(),
            floor: FloorController::default(),
            service_times: ServiceTimes::default(),
            pace: PaceTracker::default(),
            silence: SilenceDetector::default(),
            rate_limited: None,
        }
    }

    /// Sets the number of calls that may wait for each slot. Calls that already wait stay.
    pub fn set_queue_per_slot(&mut self, queue_per_slot: u32) {
        self.policy.queue_per_slot = queue_per_slot;
    }

    /// Number of calls that hold a slot.
    #[must_use]
    pub fn running(&self) -> usize {
        self.slots.in_use()
    }

    /// Number of running calls that hold no slot, because their answers seem to be lost.
    #[must_use]
    pub fn lost(&self) -> usize {
        self.slots.lost()
    }

    /// Number of calls that hold a slot after their deadline.
    #[must_use]
    pub fn overdue(&self, now: Instant) -> usize {
        self.slots.overdue(now)
    }

    /// Number of waiting calls.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The present concurrency limit.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.current().min(self.knee.limit())
    }

    /// Number of slots that are worth using, according to the knee finder.
    #[must_use]
    pub fn worthwhile_slots(&self) -> u32 {
        self.knee.best_limit()
    }

    /// The admission floor to publish.
    #[must_use]
    pub fn floor(&self) -> AdmissionFloor {
        self.floor.floor()
    }

    /// How long a refused caller should wait before a retry, before jitter.
    #[must_use]
    pub fn retry_after(&self, now: Instant) -> Microseconds {
        return_time::after_queue(self.estimated_wait(self.waiting.len() + 1, now))
    }

    /// Adopts the slots that a new instance of the back end reports, and how many of them to start with. The limit
    /// starts cold again.
    pub fn set_slots(&mut self, slots: u32, initial_slots: u32) {
        self.policy.slots = slots;
        self.policy.initial_slots = initial_slots;
        self.limit = self.limit.for_new_instance(self.policy);
        self.knee = KneeFinder::new(slots);
        self.pace.reset_service_time();
        self.silence = SilenceDetector::default();
    }

    /// Removes and returns all waiting calls, because the server takes no more calls.
    pub fn close(&mut self) -> Vec<Ticket> {
        self.waiting.clear()
    }

    /// Requests a slot or a place in the queue.
    pub fn offer(&mut self, request: AdmissionRequest, now: Instant) -> Admission {
        self.floor.count_arrival(request.priority);
        if request.expiry <= now {
            return Admission::Refuse(Reason::DeadlineExceeded);
        }
        if self.waiting.is_empty() && self.may_start(now) {
            self.start(&request, now);
            return Admission::Run;
        }
        let ahead = self.ahead_of(request.priority.class, self.waiting.ahead_in_class(&request));
        if now.plus(self.estimated_wait(ahead, now)) >= self.latest_start(&request) {
            self.floor.count_refused(request.priority);
            return Admission::Refuse(self.late_reason());
        }
        let evicted = match self.make_room(&request) {
            Ok(evicted) => evicted,
            Err(reason) => {
                self.floor.count_refused(request.priority);
                return Admission::Refuse(reason);
            }
        };
        self.waiting.insert(request);
        Admission::Wait { evicted }
    }

    /// Removes the next call that can start or that has expired.
    pub fn next(&mut self, now: Instant) -> Option<Dequeued> {
        let request = *self.waiting.first_of(self.next_class()?)?;
        if self.latest_start(&request) <= now {
            self.expire(request.ticket);
            return Some(Dequeued::Expired(request.ticket));
        }
        if !self.may_start(now) {
            return None;
        }
        self.waiting.remove(request.ticket);
        self.start(&request, now);
        Some(Dequeued::Run(request.ticket))
    }

    /// Removes a call whose time to wait is over; returns false if it does not wait.
    pub fn expire(&mut self, ticket: Ticket) -> bool {
        let Some(request) = self.waiting.remove(ticket) else { return false };
        self.floor.count_refused(request.priority);
        true
    }

    /// Removes a waiting call whose caller no longer needs it; returns false if it does not wait.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(ticket).is_some()
    }

    /// Frees the slot of a call that ran; `succeeded` says that its service time is a valid sample.
    pub fn finish(&mut self, ticket: Ticket, now: Instant, succeeded: bool) {
        let Some(finished) = self.slots.finish(ticket, now) else { return };
        self.floor.count_served();
        if succeeded {
            self.limit.observe(finished.service_time);
            self.service_times.observe(finished.kind, finished.service_time);
            let is_own_work = !finished.makes_calls && !finished.failed;
            self.pace.record_success(is_own_work.then_some(finished.service_time), now);
            finished.mark.into_iter().for_each(|mark| self.knee.observe(mark, finished.service_time));
        }
    }

    /// Records the load that the back end reports with an answer. Overdue calls that the back end no longer works on
    /// lose their slot.
    pub fn note_back_end_load(&mut self, load: BackEndLoad, now: Instant) {
        if let Some(calls) = load.calls {
            self.slots.note_load(calls, self.limit.average_service_time(), now);
        }
        if let Some(percent) = load.time_percent {
            self.pace.record_time_percent(percent, now);
        }
    }

    /// Pace of the back end, to be reported to other daemons; `None` if the back end reports no percentage.
    #[must_use]
    pub fn pace(&self, now: Instant) -> Option<ServerPace> {
        self.pace.report(now)
    }

    /// Records that a running call makes calls of its own, so that its service time also depends on other back ends.
    pub fn note_calls_made(&mut self, ticket: Ticket) {
        self.slots.note_calls_made(ticket);
    }

    /// Records that the back end answers a running call with a failure; the time to a failure does not show how fast
    /// the back end works.
    pub fn note_failure(&mut self, ticket: Ticket) {
        self.slots.note_failure(ticket);
    }

    /// Records that the back end has answered a call, in whatever way.
    pub fn note_answer(&mut self) {
        self.silence.note_answer();
    }

    /// Records that the back end has not answered a running call, which will therefore never be answered.
    pub fn note_unanswered(&mut self) {
        self.silence.note_unanswered();
    }

    /// Whether the back end has stopped answering. It gets single calls then, until it answers one.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.silence.is_silent()
    }

    /// Adjusts the admission floor; to be called every 100 ms.
    pub fn tick(&mut self) {
        let healthy_calls = (f64::from(self.capacity()) * HIGH_FILL) as usize;
        let used = self.running() as f64 / self.usable_slots().max(1.0);
        let level = self.floor().level;
        let kept = PriorityClass::ALL.map(|class| self.waiting.count_from_level(class, level));
        let below_floor = self.waiting.len() - kept.iter().sum::<usize>();
        let pressure = Pressure {
            fill: below_floor as f64 / f64::from(self.capacity().max(1)),
            over_share: PriorityClass::ALL.map(|class| kept[class.rank()] > self.queue_share(class)),
            excess_level: self.waiting.level_at(healthy_calls),
            free: (1.0 - used).max(0.0),
        };
        self.floor.tick(pressure, self.slots.shares(), self.usable_slots());
    }

    /// Number of places in the queue.
    fn capacity(&self) -> u32 {
        match self.rate_limited {
            None => self.policy.slots * self.policy.queue_per_slot,
            Some(_) => (self.usable_slots().max(1.0) * f64::from(self.policy.queue_per_slot)).ceil() as u32,
        }
    }

    /// Number of places in the queue that are reserved for a class.
    fn queue_share(&self, class: PriorityClass) -> usize {
        (f64::from(self.capacity()) * share_of(class)) as usize
    }

    fn start(&mut self, request: &AdmissionRequest, now: Instant) {
        let mark = match &mut self.rate_limited {
            None => self.knee.call_started(self.running() as u32 + 1, request.kind, now),
            Some(limited) => {
                limited.limiter_mut().take(now);
                None
            }
        };
        self.silence.note_start(now);
        self.slots.start(request, mark, self.rate_limited.is_some(), now);
    }

    fn below_share(&self, class: PriorityClass) -> bool {
        self.slots.shares().below_share(class, self.usable_slots())
    }

    /// The class whose call goes next: one below its share, otherwise the most important one that waits.
    fn next_class(&self) -> Option<PriorityClass> {
        let waits = |class: &PriorityClass| self.waiting.len_of(*class) > 0;
        let below = PriorityClass::ALL.into_iter().find(|class| waits(class) && self.below_share(*class));
        below.or_else(|| PriorityClass::ALL.into_iter().find(waits))
    }

    /// Makes room for `request` in the queue; returns the evicted call, if any.
    fn make_room(&mut self, request: &AdmissionRequest) -> Result<Option<Ticket>, Reason> {
        if self.waiting.len() < self.capacity() as usize {
            return Ok(None);
        }
        let full = if self.rate_limited.is_some() { Reason::BackendRate } else { Reason::QueueFull };
        let victim = self.victim(request).ok_or(full)?;
        self.expire(victim);
        Ok(Some(victim))
    }

    /// The waiting call to evict for `request`: the last one of the least important class that has more places than its
    /// share, provided that it is less important or that the class of `request` has fewer places than its share.
    fn victim(&self, request: &AdmissionRequest) -> Option<Ticket> {
        let own = request.priority.class;
        let is_below_share = self.waiting.len_of(own) < self.queue_share(own);
        let mut classes = PriorityClass::ALL.into_iter().rev();
        let class = classes.find(|class| self.waiting.len_of(*class) > self.queue_share(*class))?;
        let last = self.waiting.last_of(class)?;
        (is_below_share || last.rank() > request.rank()).then_some(last.ticket)
    }
}
