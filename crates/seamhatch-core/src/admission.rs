//! Admission at one server: slots, an adaptive limit, and a bounded waiting queue.

use crate::clock::{Instant, MILLISECOND, Microseconds, SECOND};
use crate::outcome::Reason;
use crate::priority::{AdmissionFloor, Priority};
use std::collections::{BTreeMap, HashMap};

/// Names a call that waits or runs; unique within one server's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// How a server admits work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionPolicy {
    /// Calls that the back end works on at once, as it reports.
    pub slots: u32,
    /// Calls that may wait, for each slot.
    pub queue_per_slot: u32,
    /// Slots that a cold server starts with.
    pub initial_slots: u32,
}

impl AdmissionPolicy {
    /// The policy of a server that reports `slots`.
    #[must_use]
    pub fn for_slots(slots: u32) -> Self {
        Self { slots, queue_per_slot: 4, initial_slots: slots.div_ceil(4).max(1) }
    }
}

/// A call that asks to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Name of the call in this queue.
    pub ticket: Ticket,
    /// Order of shedding.
    pub priority: Priority,
    /// When the root request was admitted, in the local clock.
    pub root_admitted: Instant,
    /// When the call becomes useless, in the local clock.
    pub expiry: Instant,
    /// When it is refused if it still waits, in the local clock: later, its answer is worth less
    /// than an early refusal.
    pub start_by: Instant,
}

/// The answer to a call that asks to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It has a slot; [`AdmissionQueue::finish`] must follow.
    Run,
    /// It waits, in place of `evicted` if that is set.
    Wait {
        /// A less important call that lost its place.
        evicted: Option<Ticket>,
    },
    /// It is refused.
    Refuse(Reason),
}

/// A call that leaves the waiting queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Dequeued {
    /// It has a slot now.
    Run(Ticket),
    /// Its deadline can't be met any more.
    Expired(Ticket),
}

type QueueKey = (u16, Instant, Ticket);

/// Decides which calls run at one server, which wait and which are refused.
///
/// Waiting calls are ordered by priority and, within it, by the age of the
/// whole request, so that requests already far along their chain finish first.
#[derive(Debug)]
pub struct AdmissionQueue {
    policy: AdmissionPolicy,
    limit: ConcurrencyLimit,
    running: HashMap<Ticket, Instant>,
    waiting: BTreeMap<QueueKey, AdmissionRequest>,
    keys: HashMap<Ticket, QueueKey>,
    floor: FloorController,
}

impl AdmissionQueue {
    /// An empty queue of a cold server.
    #[must_use]
    pub fn new(policy: AdmissionPolicy) -> Self {
        Self {
            policy,
            limit: ConcurrencyLimit::new(policy),
            running: HashMap::new(),
            waiting: BTreeMap::new(),
            keys: HashMap::new(),
            floor: FloorController::default(),
        }
    }

    /// Sets how many calls may wait for each slot; calls that wait already stay.
    pub fn set_queue_per_slot(&mut self, queue_per_slot: u32) {
        self.policy.queue_per_slot = queue_per_slot;
    }

    /// Calls with a slot.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Calls that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Slots in use at most, at present.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.current()
    }

    /// The admission floor to publish.
    #[must_use]
    pub fn floor(&self) -> AdmissionFloor {
        self.floor.floor()
    }

    /// How long a refused caller should stay away, before jitter.
    #[must_use]
    pub fn retry_after(&self) -> Microseconds {
        self.estimated_wait(self.waiting.len() + 1).clamp(100 * MILLISECOND, 10 * SECOND)
    }

    /// The latest instant at which a call may start: when the caller's patience ends, and at least
    /// half of the typical service time before its expiry, since some calls are faster.
    #[must_use]
    pub fn latest_start(&self, request: &AdmissionRequest) -> Instant {
        request.expiry.minus(self.limit.typical_service_time() / 2).min(request.start_by)
    }

    /// Takes over what an instance of the back end tells: its slots, and whether it is cold.
    /// What the last one's limit had grown to counts for nothing.
    pub fn set_slots(&mut self, slots: u32, initial_slots: u32) {
        self.policy.slots = slots;
        self.policy.initial_slots = initial_slots;
        self.limit = ConcurrencyLimit { average: self.limit.average, ..ConcurrencyLimit::new(self.policy) };
    }

    /// Takes all waiting calls out, as nothing will run here any more.
    pub fn close(&mut self) -> Vec<Ticket> {
        self.waiting.clear();
        self.keys.drain().map(|(ticket, _)| ticket).collect()
    }

    /// Asks for a slot or a place in the queue.
    pub fn offer(&mut self, request: AdmissionRequest, now: Instant) -> Admission {
        self.floor.count_arrival(request.priority.level());
        if request.expiry <= now {
            return Admission::Refuse(Reason::DeadlineExceeded);
        }
        if self.waiting.is_empty() && self.running.len() < self.limit.current() as usize {
            self.running.insert(request.ticket, now);
            return Admission::Run;
        }
        let key = (request.priority.level(), request.root_admitted, request.ticket);
        let ahead = self.waiting.range(..key).count();
        if now.plus(self.estimated_wait(ahead)) >= self.latest_start(&request) {
            self.floor.count_refused(key.0);
            return Admission::Refuse(Reason::DeadlineExceeded);
        }
        let evicted = match self.make_room(key) {
            Ok(evicted) => evicted,
            Err(reason) => {
                self.floor.count_refused(key.0);
                return Admission::Refuse(reason);
            }
        };
        self.waiting.insert(key, request);
        self.keys.insert(request.ticket, key);
        Admission::Wait { evicted }
    }

    /// Takes out a call that has waited as long as it could; false when it doesn't wait.
    pub fn expire(&mut self, ticket: Ticket) -> bool {
        if let Some(key) = self.keys.get(&ticket) {
            self.floor.count_refused(key.0);
        }
        self.cancel(ticket)
    }

    /// Takes out a waiting call that is not wanted any more; false when it doesn't wait.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(key) = self.keys.remove(&ticket) else { return false };
        self.waiting.remove(&key);
        true
    }

    /// Frees the slot of a call that ran.
    ///
    /// `succeeded` says that its service time is a fair sample.
    pub fn finish(&mut self, ticket: Ticket, now: Instant, succeeded: bool) {
        let Some(started) = self.running.remove(&ticket) else { return };
        self.floor.count_served();
        if succeeded {
            self.limit.observe(now.since(started));
        }
    }

    /// The next call to leave the queue, if one can.
    pub fn next(&mut self, now: Instant) -> Option<Dequeued> {
        let (key, request) = self.waiting.first_key_value()?;
        let (key, request) = (*key, *request);
        if self.latest_start(&request) <= now {
            self.remove(key);
            self.floor.count_refused(key.0);
            return Some(Dequeued::Expired(request.ticket));
        }
        if self.running.len() >= self.limit.current() as usize {
            return None;
        }
        self.remove(key);
        self.running.insert(request.ticket, now);
        Some(Dequeued::Run(request.ticket))
    }

    /// Moves the floor; to be called at a steady pace (every 100 ms).
    pub fn tick(&mut self) {
        let fill = self.waiting.len() as f64 / f64::from(self.capacity().max(1));
        let healthy = (f64::from(self.capacity()) * HIGH_FILL) as usize;
        let first_in_excess = self.waiting.keys().nth(healthy).map(|key| key.0);
        let free = 1.0 - self.running.len() as f64 / f64::from(self.limit.current().max(1));
        self.floor.tick(fill, first_in_excess, free.max(0.0));
    }

    fn capacity(&self) -> u32 {
        self.policy.slots * self.policy.queue_per_slot
    }

    fn estimated_wait(&self, ahead: usize) -> Microseconds {
        let service_time = self.limit.typical_service_time();
        service_time * (ahead as u64 + 1) / u64::from(self.limit.current().max(1))
    }

    fn make_room(&mut self, key: QueueKey) -> Result<Option<Ticket>, Reason> {
        if self.waiting.len() < self.capacity() as usize {
            return Ok(None);
        }
        let Some((&worst, _)) = self.waiting.last_key_value() else {
            return Err(Reason::QueueFull);
        };
        if worst.0 <= key.0 {
            return Err(Reason::QueueFull);
        }
        self.remove(worst);
        self.floor.count_refused(worst.0);
        Ok(Some(worst.2))
    }

    fn remove(&mut self, key: QueueKey) {
        self.waiting.remove(&key);
        self.keys.remove(&key.2);
    }
}

/// The number of calls a back end should work on at once.
///
/// It never exceeds the reported slots. A cold server starts low and grows with
/// each success. It does not shrink when service times grow: a slower service
/// below takes the same slots for longer, and fewer of them would only add to it.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    slots: f64,
    current: f64,
    average: Option<f64>,
}

/// Weight of a new sample in the average service time.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Assumed before the first sample.
const ASSUMED_SERVICE_TIME: Microseconds = 5 * MILLISECOND;

impl ConcurrencyLimit {
    /// The limit of a cold server.
    #[must_use]
    pub fn new(policy: AdmissionPolicy) -> Self {
        Self {
            slots: f64::from(policy.slots.max(1)),
            current: f64::from(policy.initial_slots.clamp(1, policy.slots.max(1))),
            average: None,
        }
    }

    /// Calls that may run at once.
    #[must_use]
    pub fn current(&self) -> u32 {
        self.current as u32
    }

    /// The recent average service time.
    #[must_use]
    pub fn typical_service_time(&self) -> Microseconds {
        self.average.map_or(ASSUMED_SERVICE_TIME, |average| average as u64)
    }

    /// Takes in the service time of a call that succeeded.
    pub fn observe(&mut self, service_time: Microseconds) {
        let sample = (service_time as f64).max(1.0);
        let average = self.average.map_or(sample, |average| average + AVERAGE_WEIGHT * (sample - average));
        self.average = Some(average);
        self.current = (self.current + 1.0 / self.current.max(1.0)).min(self.slots);
    }
}

/// Moves the published admission floor with the pressure on the queue.
///
/// Under pressure (a long queue, or calls that can't be served in time) the floor goes to the level below which as much work arrived
/// as was served lately, but not below what waits in the healthy part of the
/// queue: a cold server serves little at first, and important work can wait.
/// Without pressure the floor rises step by step, faster where slots are free.
#[derive(Debug)]
struct FloorController {
    floor: u16,
    arrived: Vec<f32>,
    served: f32,
    /// Calls below the floor that could not be served in time.
    refused: f32,
}

/// Share of the counts that is kept from one tick to the next.
const COUNT_DECAY: f32 = 0.7;
/// Admitted work over served work under pressure.
const ADMITTED_SHARE: f32 = 0.95;
/// Levels that the floor rises in one tick at a server that is busy but has a short queue.
const FLOOR_STEP_UP: u16 = 4;
/// Levels that it rises in one tick more at a server with nothing to do; fewer the busier it is.
const FLOOR_STEP_IDLE: f64 = 28.0;
/// Refused work over served work at which the floor falls, however short the queue is: a queue may be
/// short because calls don't wait long enough to be served.
const REFUSED_SHARE: f32 = 0.03;
/// Refused calls that may be chance.
const REFUSED_BY_CHANCE: f32 = 3.0;
/// Queue fill at which the floor falls.
const HIGH_FILL: f64 = 0.4;
/// Queue fill below which the floor rises.
const LOW_FILL: f64 = 0.2;

impl Default for FloorController {
    fn default() -> Self {
        let open = AdmissionFloor::OPEN.0;
        Self { floor: open, arrived: vec![0.0; usize::from(open)], served: 0.0, refused: 0.0 }
    }
}

impl FloorController {
    fn floor(&self) -> AdmissionFloor {
        AdmissionFloor(self.floor)
    }

    fn count_arrival(&mut self, level: u16) {
        if let Some(count) = self.arrived.get_mut(usize::from(level)) {
            *count += 1.0;
        }
    }

    fn count_served(&mut self) {
        self.served += 1.0;
    }

    fn count_refused(&mut self, level: u16) {
        if level < self.floor {
            self.refused += 1.0;
        }
    }

    /// Whether more than chance would have it could not be served in time.
    fn refuses(&self) -> bool {
        self.refused > REFUSED_BY_CHANCE.max(self.served * REFUSED_SHARE)
    }

    /// `free` is the share of the slots that are not taken.
    fn tick(&mut self, queue_fill: f64, first_in_excess: Option<u16>, free: f64) {
        if queue_fill > HIGH_FILL || self.refuses() {
            let waits = first_in_excess.unwrap_or_default();
            self.floor = self.floor.min(self.sustainable_level().max(waits));
        } else if queue_fill < LOW_FILL {
            let step = FLOOR_STEP_UP + (FLOOR_STEP_IDLE * free) as u16;
            self.floor = (self.floor + step).min(AdmissionFloor::OPEN.0);
        }
        self.arrived.iter_mut().for_each(|count| *count *= COUNT_DECAY);
        self.served *= COUNT_DECAY;
        self.refused *= COUNT_DECAY;
    }

    /// The highest floor that admits no more than was served. At least one level stays open.
    fn sustainable_level(&self) -> u16 {
        let budget = self.served * ADMITTED_SHARE;
        let mut admitted = 0.0;
        for (level, count) in self.arrived.iter().enumerate() {
            admitted += count;
            if admitted > budget {
                return (level as u16).max(1);
            }
        }
        AdmissionFloor::OPEN.0
    }
}
