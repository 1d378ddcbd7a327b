//! Admission gate of the back end, where calls wait for slots.
//!
//! Wraps [`seamhatch_core::admission::AdmissionQueue`], which makes the decisions, in a lock, and
//! owns the channels that deliver them to waiting calls. Each call to the back end holds a
//! [`Permit`]; the control thread calls [`AdmissionGate::tick`].

mod permit;
mod rate;

pub use permit::Permit;

use crate::base::clock;
use crate::base::lock::lock;
use crate::base::metrics::{Metrics, NO_PACE, seconds};
use log::{info, warn};
use permit::{PermitEnd, WaitGuard};
use seamhatch_core::Instant;
use seamhatch_core::admission::{
    Admission, AdmissionPolicy, AdmissionQueue, AdmissionRequest, CallKind, Dequeued, Ticket,
};
use seamhatch_core::balance::ServerPace;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::outcome::Reason;
use seamhatch_core::priority::Priority;
use seamhatch_wire::ServerReport;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use tokio::sync::oneshot;

/// A call that requests a slot.
#[derive(Debug, Clone, Copy)]
pub struct GateRequest {
    /// Order of load shedding.
    pub priority: Priority,
    /// When the root request was admitted.
    pub root_admitted: Instant,
    /// Deadline of the call.
    pub expiry: Instant,
    /// Until when the answer meets the objective; [`Instant::NEVER`] for a call without an
    /// objective.
    pub objective_end: Instant,
    /// Kind of the call: service times are compared only among calls of one kind.
    pub kind: CallKind,
    /// Whether the call goes before first calls of its class, since its chain has begun elsewhere.
    pub continues_chain: bool,
}

#[derive(Debug)]
struct State {
    queue: AdmissionQueue,
    waiters: HashMap<Ticket, oneshot::Sender<Result<(), Reason>>>,
    /// Number of slots worth using, as last logged.
    logged_slots: u32,
    /// Number of calls that hold a slot after their deadline, as last logged.
    logged_overdue: usize,
    /// Whether the back end is silent, as last logged.
    logged_silence: bool,
    /// When a task checks for the turn of a waiting call, if the back end is rate-limited.
    wake_at: Option<Instant>,
}

impl State {
    /// Refuses a call that was removed from the queue.
    fn refuse_waiting(&mut self, ticket: Ticket, reason: Reason) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            // Fails if the call was dropped: nobody needs the decision then.
            let _ = waiter.send(Err(reason));
        }
    }

    /// Logs the number of slots worth using if it has changed.
    fn log_slots(&mut self) {
        let slots = self.queue.worthwhile_slots();
        if slots != self.logged_slots {
            info!(slots = slots, before = self.logged_slots; "slots worth using");
            self.logged_slots = slots;
        }
    }

    /// Logs it when the back end stops answering, and when it answers again.
    fn log_silence(&mut self) {
        let is_silent = self.queue.is_silent();
        if is_silent == self.logged_silence {
            return;
        }
        self.logged_silence = is_silent;
        if is_silent {
            warn!(running = self.queue.running(); "the back end answers no calls; it gets single ones until it does");
        } else {
            info!("the back end answers again");
        }
    }

    /// Logs the number of calls that hold a slot after their deadline if it has changed. Returns the number.
    fn log_overdue(&mut self, now: Instant) -> usize {
        let overdue = self.queue.overdue(now);
        if overdue != self.logged_overdue {
            info!(calls = overdue, before = self.logged_overdue; "calls without an answer after their deadline");
            self.logged_overdue = overdue;
        }
        overdue
    }
}

/// Hands out the slots of the local back end.
#[derive(Debug)]
pub struct AdmissionGate {
    state: Mutex<State>,
    next_ticket: AtomicU64,
    metrics: Arc<Metrics>,
    /// Weak reference to the gate itself, for that task.
    weak_self: Weak<Self>,
}

impl AdmissionGate {
    /// Creates the gate of a cold server.
    #[must_use]
    pub fn new(policy: AdmissionPolicy, metrics: Arc<Metrics>) -> Arc<Self> {
        let queue = AdmissionQueue::new(policy);
        let logged_slots = queue.worthwhile_slots();
        let state = State {
            queue,
            waiters: HashMap::new(),
            logged_slots,
            logged_overdue: 0,
            logged_silence: false,
            wake_at: None,
        };
        Arc::new_cyclic(|weak_self| Self {
            state: Mutex::new(state),
            next_ticket: AtomicU64::new(0),
            metrics,
            weak_self: weak_self.clone(),
        })
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// Returns the reason for the refusal; the call has not run and won't.
    pub async fn admit(self: &Arc<Self>, request: GateRequest) -> Result<Permit, Reason> {
        let arrived = clock::now();
        let ticket = Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let offered = AdmissionRequest {
            ticket,
            priority: request.priority,
            root_admitted: request.root_admitted,
            expiry: request.expiry,
            objective_end: request.objective_end,
            kind: request.kind,
            continues_chain: request.continues_chain,
        };
        let Some(turn) = self.offer(offered, arrived)? else {
            return Ok(self.permit(ticket));
        };
        let mut guard = WaitGuard { gate: self, ticket, armed: true, expired: false };
        let latest_start = self.lock().queue.latest_start(&offered);
        let decided = clock::timeout_at(latest_start, turn).await;
        let waited = clock::now().since(arrived);
        self.metrics.queue_seconds.observe(seconds(waited));
        match decided {
            Some(Ok(Ok(()))) => {
                guard.armed = false;
                Ok(self.permit(ticket))
            }
            Some(Ok(Err(reason))) => Err(reason),
            Some(Err(_)) | None => {
                guard.expired = true;
                Err(self.lock().queue.late_reason())
            }
        }
    }

    /// Sets how many calls may wait for each slot.
    pub fn set_queue_per_slot(&self, queue_per_slot: u32) {
        self.lock().queue.set_queue_per_slot(queue_per_slot);
    }

    /// Applies the number of slots that an instance of the back end reports. Calls that wait may
    /// run at once.
    pub fn set_slots(&self, slots: u32, initial_slots: u32) {
        let mut state = self.lock();
        state.queue.set_slots(slots, initial_slots);
        self.grant_slots(&mut state);
    }

    /// Returns how long calls of this kind usually take from their slot to their answer; `None`
    /// before the first answer.
    #[must_use]
    pub fn median_service_time(&self, kind: CallKind) -> Option<Microseconds> {
        self.lock().queue.median_service_time(kind)
    }

    /// Refuses all waiting calls, as the back end takes no more.
    pub fn close(&self) {
        let mut state = self.lock();
        for ticket in state.queue.close() {
            state.refuse_waiting(ticket, Reason::Draining);
        }
    }

    /// Returns the report for other daemons.
    #[must_use]
    pub fn report(&self) -> ServerReport {
        let state = self.lock();
        ServerReport {
            load: (state.queue.running() + state.queue.waiting()) as u32,
            limit: state.queue.reported_limit(),
            floor: state.queue.floor(),
        }
    }

    /// Returns the pace of the back end as it is reported to other daemons: how long work takes
    /// there. `None` if the back end gives no figure.
    #[must_use]
    pub fn pace(&self) -> Option<ServerPace> {
        self.lock().queue.pace(clock::now())
    }

    /// Returns the time after which a refused caller should return, in microseconds before jitter.
    #[must_use]
    pub fn retry_after(&self) -> Microseconds {
        self.lock().queue.retry_after(clock::now())
    }

    /// Returns the number of calls that run or wait, including those whose answer seems to be lost.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let state = self.lock();
        state.queue.running() + state.queue.lost() + state.queue.waiting()
    }

    /// Refuses the calls whose turn would come too late, and adjusts the admission floor; to be
    /// called every 100 ms.
    pub fn tick(&self) {
        let mut state = self.lock();
        let (now, late_reason) = (clock::now(), state.queue.late_reason());
        for ticket in state.queue.shed_late_calls(now) {
            state.refuse_waiting(ticket, late_reason);
        }
        state.queue.ramp_up_rate(now);
        state.queue.tick();
        state.log_slots();
        self.grant_slots(&mut state);
        self.metrics.running.set(state.queue.running() as i64);
        self.metrics.waiting.set(state.queue.waiting() as i64);
        self.metrics.lost.set(state.queue.lost() as i64);
        self.metrics.silent.set(i64::from(state.queue.is_silent()));
        self.metrics.overdue.set(state.log_overdue(now) as i64);
        self.metrics.limit.set(i64::from(state.queue.limit()));
        self.metrics.floor.set(i64::from(state.queue.floor().level));
        let pace = state.queue.pace(now);
        self.metrics.pace_percent.set(pace.map_or(NO_PACE, |pace| pace.time_percent.into()));
        self.metrics.work_milliseconds.set(pace.map_or(NO_PACE, |pace| pace.work_ms.into()));
    }

    fn permit(self: &Arc<Self>, ticket: Ticket) -> Permit {
        Permit { gate: self.clone(), ticket, end: PermitEnd::Ran }
    }

    fn offer(
        &self,
        offered: AdmissionRequest,
        now: Instant,
    ) -> Result<Option<oneshot::Receiver<Result<(), Reason>>>, Reason> {
        let mut state = self.lock();
        match state.queue.offer(offered, now) {
            Admission::Run => Ok(None),
            Admission::Refuse(reason) => Err(reason),
            Admission::Wait { evicted } => {
                if let Some(evicted) = evicted {
                    state.refuse_waiting(evicted, Reason::Evicted);
                }
                let (sender, receiver) = oneshot::channel();
                state.waiters.insert(offered.ticket, sender);
                self.wake_at_next_turn(&mut state, now);
                Ok(Some(receiver))
            }
        }
    }

    fn finish(&self, ticket: Ticket, end: PermitEnd) {
        let mut state = self.lock();
        let now = clock::now();
        match end {
            PermitEnd::Unsent => state.queue.withdraw(ticket, now),
            PermitEnd::Ran | PermitEnd::Succeeded => {
                state.queue.finish(ticket, now, end == PermitEnd::Succeeded);
            }
        }
        self.grant_slots(&mut state);
    }

    fn grant_slots(&self, state: &mut State) {
        let now = clock::now();
        while let Some(dequeued) = state.queue.next(now) {
            let (ticket, decision) = match dequeued {
                Dequeued::Run(ticket) => (ticket, Ok(())),
                Dequeued::Expired(ticket) => (ticket, Err(state.queue.late_reason())),
            };
            let delivered = state.waiters.remove(&ticket).is_some_and(|waiter| waiter.send(decision).is_ok());
            if !delivered && decision.is_ok() {
                state.queue.withdraw(ticket, now);
            }
        }
        self.wake_at_next_turn(state, now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}
