//! Requests to the admission queue and its answers.

use super::CallKind;
use crate::clock::Instant;
use crate::outcome::Reason;
use crate::priority::Priority;

/// Identifies a waiting or running call within the queue of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Default number of calls that may wait for each slot.
const QUEUE_PER_SLOT: u32 = 4;

/// A cold server starts with its slots divided by this number. Starting with all slots made no difference beyond noise
/// under high load.
const COLD_START_DIVISOR: u32 = 4;

/// How a server admits calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionPolicy {
    /// Calls that the back end runs at once, as reported by the back end.
    pub slots: u32,
    /// Waiting calls allowed per slot.
    pub queue_per_slot: u32,
    /// Concurrency limit of a cold server.
    pub initial_slots: u32,
}

impl AdmissionPolicy {
    /// The default policy for a server that reports `slots`.
    #[must_use]
    pub fn for_slots(slots: u32) -> Self {
        Self {
            slots,
            queue_per_slot: QUEUE_PER_SLOT,
            initial_slots: slots.div_ceil(COLD_START_DIVISOR).max(1),
        }
    }
}

/// A call that asks for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Identifies the call in this queue.
    pub ticket: Ticket,
    /// Determines the order in which calls are shed.
    pub priority: Priority,
    /// When the root request was admitted, on the local clock.
    pub root_admitted: Instant,
    /// When the answer becomes useless, on the local clock.
    pub expiry: Instant,
    /// End of the latency objective, on the local clock: the call waits only while its answer can still meet it.
    /// [`Instant::NEVER`] for a call without an objective.
    pub objective_end: Instant,
    /// Groups calls whose service times are comparable.
    pub kind: CallKind,
    /// The call belongs to a chain that has already run calls at another server, and goes before first calls of its
    /// class: refusing it wastes the work that the chain has done. Set only where the deployment orders calls by cost.
    pub continues_chain: bool,
}

impl AdmissionRequest {
    /// Eviction order: class, then calls that continue a chain, then bucket. Smaller is more important.
    pub(super) fn rank(&self) -> (usize, bool, u8) {
        (self.priority.class.rank(), !self.continues_chain, self.priority.bucket)
    }
}

/// The queue's decision on a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The call has a slot; the caller must call [`super::AdmissionQueue::finish`] at its end.
    Run,
    /// The call waits.
    Wait {
        /// The less important call that lost its place to this one, if the queue was full.
        evicted: Option<Ticket>,
    },
    /// The call is refused for this reason.
    Refuse(Reason),
}

/// A call that leaves the waiting queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Dequeued {
    /// The call has a slot now.
    Run(Ticket),
    /// The call can no longer meet its deadline or its objective.
    Expired(Ticket),
}
