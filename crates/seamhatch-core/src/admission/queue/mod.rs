//! The admission queue of one server.
//!
//! A call runs at once where a slot is free and none waits. Else it waits while its turn can come in time, and is refused
//! where it can't or where the queue is full of more important calls. A class that has used less than its share of the
//! slots goes first, then the most important one that waits; within a class calls are ordered by bucket, so that every
//! server of a chain prefers the same requests, and then by the age of the whole request. Where the deployment orders by cost,
//! calls of chains that have begun elsewhere go before first calls of their class. A back end that names a rate gets calls at that
//! rate, in the same order; what it shows then is not remembered.

mod lateness;
mod rate_limited;

use super::floor::{FloorController, HIGH_FILL, Pressure};
use super::rate_limited::RateLimitedBackEnd;
use super::service_times::ServiceTimes;
use super::slots::SlotTable;
use super::waiting::WaitingLines;
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
    waiting: WaitingLines,
    floor: FloorController,
    service_times: ServiceTimes,
    pace: PaceTracker,
    /// Set while the back end names a rate, and for a while after.
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
            waiting: WaitingLines::default(),
            floor: FloorController::default(),
            service_times: ServiceTimes::default(),
            pace: PaceTracker::default(),
            rate_limited: None,
        }
    }

    /// Sets how many calls may wait for each slot; calls that wait already stay.
    pub fn set_queue_per_slot(&mut self, queue_per_slot: u32) {
        self.policy.queue_per_slot = queue_per_slot;
    }

    /// Calls with a slot.
    #[must_use]
    pub fn running(&self) -> usize {
        self.slots.taken()
    }

    /// Running calls that hold no slot, as their answers seem to be lost.
    #[must_use]
    pub fn lost(&self) -> usize {
        self.slots.lost()
    }

    /// Calls that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Calls that may run at once at present: the concurrency limit.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.current().min(self.knee.level())
    }

    /// Slots of the back end that were found worth using.
    #[must_use]
    pub fn worthwhile_slots(&self) -> u32 {
        self.knee.settled()
    }

    /// The admission floor to publish.
    #[must_use]
    pub fn floor(&self) -> AdmissionFloor {
        self.floor.floor()
    }

    /// How long a refused caller should stay away, before jitter.
    #[must_use]
    pub fn retry_after(&self, now: Instant) -> Microseconds {
        return_time::after_queue(self.estimated_wait(self.waiting.len() + 1, now))
    }

    /// Adopts what an instance of the back end reports: its slots, and how many of them to start with. What the last
    /// instance's limit had grown to counts for nothing.
    pub fn set_slots(&mut self, slots: u32, initial_slots: u32) {
        self.policy.slots = slots;
        self.policy.initial_slots = initial_slots;
        self.limit = self.limit.restarted(self.policy);
        self.knee = KneeFinder::new(slots);
        self.pace.reset_service_time();
    }

    /// Removes all waiting calls, as nothing will run here any more.
    pub fn close(&mut self) -> Vec<Ticket> {
        self.waiting.clear()
    }

    /// Asks for a slot or a place in the queue.
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

    /// The next call to leave the queue, if one can.
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

    /// Removes a call that has waited as long as it could; false when it doesn't wait.
    pub fn expire(&mut self, ticket: Ticket) -> bool {
        let Some(request) = self.waiting.remove(ticket) else { return false };
        self.floor.count_refused(request.priority);
        true
    }

    /// Removes a waiting call that is not wanted any more; false when it doesn't wait.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(ticket).is_some()
    }

    /// Frees the slot of a call that ran; `succeeded` says that its service time is a fair sample.
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

    /// Records the load that the back end reports beside an answer. Calls that are overdue and that it doesn't work on
    /// hold no slot from now on.
    pub fn note_back_end_load(&mut self, load: BackEndLoad, now: Instant) {
        if let Some(calls) = load.calls {
            self.slots.note_load(calls, self.limit.typical_service_time(), now);
        }
        if let Some(percent) = load.time_percent {
            self.pace.record_time_percent(percent, now);
        }
    }

    /// How long work takes at the back end; none where it tells no figure.
    #[must_use]
    pub fn pace(&self, now: Instant) -> Option<ServerPace> {
        self.pace.report(now)
    }

    /// A running call makes calls of its own: its service time depends on other back ends too.
    pub fn note_calls_made(&mut self, ticket: Ticket) {
        self.slots.note_calls_made(ticket);
    }

    /// The back end answers a running call with a failure: how soon it fails does not show how fast it works.
    pub fn note_failure(&mut self, ticket: Ticket) {
        self.slots.note_failure(ticket);
    }

    /// Moves the floor; to be called at a steady pace (every 100 ms).
    pub fn tick(&mut self) {
        let healthy = (f64::from(self.capacity()) * HIGH_FILL) as usize;
        let taken = self.running() as f64 / self.usable_slots().max(1.0);
        let level = self.floor().level;
        let kept = PriorityClass::ALL.map(|class| self.waiting.count_from_level(class, level));
        let passing = self.waiting.len() - kept.iter().sum::<usize>();
        let pressure = Pressure {
            fill: passing as f64 / f64::from(self.capacity().max(1)),
            crowded: PriorityClass::ALL.map(|class| kept[class.rank()] > self.queue_share(class)),
            first_in_excess: self.waiting.level_at(healthy),
            free: (1.0 - taken).max(0.0),
        };
        self.floor.tick(pressure, self.slots.shares(), self.usable_slots());
    }

    /// Places in the queue.
    fn capacity(&self) -> u32 {
        match self.rate_limited {
            None => self.policy.slots * self.policy.queue_per_slot,
            Some(_) => (self.usable_slots().max(1.0) * f64::from(self.policy.queue_per_slot)).ceil() as u32,
        }
    }

    /// Places in the queue that a class owns.
    fn queue_share(&self, class: PriorityClass) -> usize {
        (f64::from(self.capacity()) * share_of(class)) as usize
    }

    fn start(&mut self, request: &AdmissionRequest, now: Instant) {
        let mark = match &mut self.rate_limited {
            None => self.knee.begin(self.running() as u32 + 1, request.kind, now),
            Some(limited) => {
                limited.limiter_mut().take(now);
                None
            }
        };
        self.slots.start(request, mark, self.rate_limited.is_some(), now);
    }

    fn below_share(&self, class: PriorityClass) -> bool {
        self.slots.shares().below_share(class, self.usable_slots())
    }

    /// The class whose turn it is: one below its share, else the most important that waits.
    fn next_class(&self) -> Option<PriorityClass> {
        let waits = |class: &PriorityClass| self.waiting.len_of(*class) > 0;
        let below = PriorityClass::ALL.into_iter().find(|class| waits(class) && self.below_share(*class));
        below.or_else(|| PriorityClass::ALL.into_iter().find(waits))
    }

    /// Finds a place for `request` in the queue; the call that lost its place, if one did.
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
    /// share, if it is less important or the class of `request` has fewer places than its own.
    fn victim(&self, request: &AdmissionRequest) -> Option<Ticket> {
        let own = request.priority.class;
        let entitled = self.waiting.len_of(own) < self.queue_share(own);
        let mut classes = PriorityClass::ALL.into_iter().rev();
        let class = classes.find(|class| self.waiting.len_of(*class) > self.queue_share(*class))?;
        let worst = self.waiting.last_of(class)?;
        (entitled || worst.rank() > request.rank()).then_some(worst.ticket)
    }
}
