//! What a call asks of the queue, and what the queue answers.

use super::CallKind;
use crate::clock::Instant;
use crate::outcome::Reason;
use crate::priority::Priority;

/// Names a call that waits or runs; unique within one server's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Calls that may wait for each slot, unless the policy says otherwise. Chosen, not measured.
const QUEUE_PER_SLOT: u32 = 4;

/// A cold server starts with one slot in this many. Chosen; on two days of high load a start with all slots earned 0.012
/// more of the worth, which is not beyond noise.
const COLD_PART: u32 = 4;

/// How a server admits calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionPolicy {
    /// Calls that the back end runs at once, as it reports.
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
        Self { slots, queue_per_slot: QUEUE_PER_SLOT, initial_slots: slots.div_ceil(COLD_PART).max(1) }
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
    /// Until when its answer is early, in the local clock: it waits only while that can still come true.
    /// [`Instant::NEVER`] for a call without an objective.
    pub objective_end: Instant,
    /// Which calls' service times may be compared with its own.
    pub kind: CallKind,
    /// It belongs to a chain that has begun at another server, and goes before first calls of its class: refusing it
    /// wastes what the chain has used. Set only where the deployment orders by cost.
    pub continues_chain: bool,
}

impl AdmissionRequest {
    /// Position in the order of eviction: class, then calls of begun chains, then bucket. Smaller is more important.
    pub(super) fn rank(&self) -> (usize, bool, u8) {
        (self.priority.class.rank(), !self.continues_chain, self.priority.bucket)
    }
}

/// The answer to a call that asks to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It has a slot; [`super::AdmissionQueue::finish`] must follow.
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
