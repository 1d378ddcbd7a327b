//! Simulation, in steps of a millisecond, of a bottleneck that receives streams of calls.
#![allow(dead_code, reason = "each test program uses a part of it")]

use seamhatch_core::Instant;
use seamhatch_core::admission::{
    Admission, AdmissionPolicy, AdmissionQueue, AdmissionRequest, CallKind, Dequeued, Ticket,
};
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::priority::{AdmissionFloor, Priority, PriorityClass};
use std::collections::{BTreeSet, HashMap};
use std::ops::Range;

/// Slots of a steady server.
pub const SLOTS: u32 = 31;
/// Duration of a run.
pub const SECONDS: u64 = 20;
/// Steps between two ticks of the floor.
const TICK_STEPS: u64 = 100;
/// Time from the arrival of a call to its expiry, beyond twice its usual service time.
const SPARE_TIME: Microseconds = 610 * MILLISECOND;

/// Calls of one class that arrive at the bottleneck.
#[derive(Debug, Clone)]
pub struct Stream {
    pub class: PriorityClass,
    /// Number of buckets that the requests are spread over, from 0 on.
    pub buckets: u64,
    pub per_second: u64,
    pub service_time: Microseconds,
    pub max_wait: Microseconds,
    /// Milliseconds before the first call.
    pub from_step: u64,
}

impl Stream {
    /// Number of slots that all calls of the stream would need.
    pub fn demand(&self) -> f64 {
        self.per_second as f64 * self.service_time as f64 / SECOND as f64
    }

    /// From half to one and a half of the mean. With equal times, calls that started together would always end
    /// together, and no slot would become free in between.
    fn service_time_of(&self, ticket: Ticket) -> Microseconds {
        let drawn = ticket.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        self.service_time / 2 + self.service_time * (drawn % 1000) / 1000
    }

    /// Number of calls that arrive in this step.
    fn due(&self, step: u64) -> u64 {
        if step < self.from_step {
            return 0;
        }
        (step + 1) * self.per_second / 1000 - step * self.per_second / 1000
    }

    /// Number of calls that arrive in the whole run.
    fn calls(&self) -> u64 {
        self.per_second * (SECONDS * 1000 - self.from_step) / 1000
    }
}

/// The server that the calls arrive at.
#[derive(Debug, Clone)]
pub struct Server {
    pub slots: u32,
    /// Concurrency limit at the start, while the server is cold.
    pub initial_slots: u32,
    /// Milliseconds in which no call ends.
    pub paused: Range<u64>,
}

impl Server {
    /// A server with [`SLOTS`] slots that never pauses.
    pub fn steady() -> Self {
        Self { slots: SLOTS, initial_slots: SLOTS, paused: 0..0 }
    }
}

/// Share of the calls of each stream that is served, 0 to 1, if callers don't know the floor.
pub fn served(streams: &[Stream]) -> Vec<f64> {
    served_behind(streams, &Server::steady(), |_, _| true)
}

/// Share of the calls of each stream that `server` serves, 0 to 1. `admits` decides at the entry, by the floor of the
/// last tick.
pub fn served_behind(
    streams: &[Stream],
    server: &Server,
    admits: impl Fn(AdmissionFloor, Priority) -> bool,
) -> Vec<f64> {
    let mut run = SimulatedRun::new(streams, server);
    for step in 0..SECONDS * 1000 {
        run.now = run.now.plus(MILLISECOND);
        if !server.paused.contains(&step) {
            run.end_calls();
        }
        run.admit_calls(step, &admits);
        run.start_waiting();
        if step % TICK_STEPS == TICK_STEPS - 1 {
            run.queue.shed_late_calls(run.now);
            run.queue.tick();
            run.floor = run.queue.floor();
        }
    }
    streams.iter().zip(&run.done).map(|(stream, done)| *done as f64 / stream.calls() as f64).collect()
}

struct SimulatedRun<'a> {
    streams: &'a [Stream],
    queue: AdmissionQueue,
    /// The floor that the entry knows.
    floor: AdmissionFloor,
    /// Running calls by the time of their end.
    ends: BTreeSet<(Instant, Ticket)>,
    stream_of: HashMap<Ticket, usize>,
    /// Number of calls served of each stream.
    done: Vec<u64>,
    now: Instant,
    last_ticket: u64,
}

impl<'a> SimulatedRun<'a> {
    fn new(streams: &'a [Stream], server: &Server) -> Self {
        let policy =
            AdmissionPolicy { slots: server.slots, queue_per_slot: 4, initial_slots: server.initial_slots };
        Self {
            streams,
            queue: AdmissionQueue::new(policy),
            floor: AdmissionFloor::OPEN,
            ends: BTreeSet::new(),
            stream_of: HashMap::new(),
            done: vec![0; streams.len()],
            now: Instant(10 * SECOND),
            last_ticket: 0,
        }
    }

    fn end_calls(&mut self) {
        while let Some((end, ticket)) = self.ends.first().copied().filter(|(end, _)| *end <= self.now) {
            self.ends.remove(&(end, ticket));
            self.queue.finish(ticket, end, true);
            self.done[self.stream_of[&ticket]] += 1;
        }
    }

    fn admit_calls(&mut self, step: u64, admits: &impl Fn(AdmissionFloor, Priority) -> bool) {
        for (index, stream) in self.streams.iter().enumerate() {
            for _ in 0..stream.due(step) {
                self.last_ticket += 1;
                let bucket = (self.last_ticket * 37 % stream.buckets) as u8;
                let priority = Priority { class: stream.class, bucket };
                if admits(self.floor, priority) {
                    self.offer(index, priority);
                }
            }
        }
    }

    fn offer(&mut self, index: usize, priority: Priority) {
        let stream = &self.streams[index];
        let ticket = Ticket(self.last_ticket);
        self.stream_of.insert(ticket, index);
        let offered = AdmissionRequest {
            ticket,
            priority,
            root_admitted: self.now,
            expiry: self.now.plus(stream.service_time * 2 + SPARE_TIME),
            objective_end: self.now.plus(stream.max_wait + stream.service_time),
            kind: CallKind(index as u32),
            continues_chain: false,
        };
        if self.queue.offer(offered, self.now) == Admission::Run {
            self.start(ticket);
        }
    }

    fn start_waiting(&mut self) {
        while let Some(dequeued) = self.queue.next(self.now) {
            if let Dequeued::Run(ticket) = dequeued {
                self.start(ticket);
            }
        }
    }

    fn start(&mut self, ticket: Ticket) {
        let stream = &self.streams[self.stream_of[&ticket]];
        self.ends.insert((self.now.plus(stream.service_time_of(ticket)), ticket));
    }
}
