//! The calls that hold a slot of the back end, and running calls that no longer do.
//!
//! The table holds the running calls and the slot time that each class has used. A call whose answer seems to be lost
//! frees its slot but keeps its entry, so that its end is not counted twice.

use super::lost_answers::{BackEndCalls, LostAnswerDetector, OVERDUE_SERVICE_TIMES};
use super::{AdmissionRequest, CallKind, ClassShares, ProbeMark, Ticket};
use crate::clock::{Instant, Microseconds};
use crate::priority::PriorityClass;
use std::collections::HashMap;

/// A running call.
#[derive(Debug, Clone, Copy)]
struct RunningSlot {
    class: PriorityClass,
    kind: CallKind,
    started: Instant,
    /// Deadline of the call.
    expiry: Instant,
    /// Set while the call is part of a limit probe.
    mark: Option<ProbeMark>,
    /// The call has taken a turn of the rate limiter, during a limit or the ramp after it.
    has_turn: bool,
    /// The call makes calls of its own.
    makes_calls: bool,
    /// The back end answers the call with a failure.
    failed: bool,
    /// The answer seems to be lost; the call no longer holds a slot.
    lost: bool,
}

/// Samples that a finished call contributes.
#[derive(Debug, Clone, Copy)]
pub(super) struct FinishedCall {
    pub(super) kind: CallKind,
    pub(super) service_time: Microseconds,
    pub(super) mark: Option<ProbeMark>,
    pub(super) makes_calls: bool,
    pub(super) failed: bool,
}

/// Running calls and the slots they use.
#[derive(Debug, Default)]
pub(super) struct SlotTable {
    running: HashMap<Ticket, RunningSlot>,
    /// Number of running calls whose answer seems to be lost.
    lost: usize,
    detector: LostAnswerDetector,
    shares: ClassShares,
}

impl SlotTable {
    /// Number of calls that hold a slot.
    pub(super) fn in_use(&self) -> usize {
        self.running.len() - self.lost
    }

    /// Number of running calls that hold no slot.
    pub(super) fn lost(&self) -> usize {
        self.lost
    }

    /// Number of calls that hold a slot after their deadline.
    pub(super) fn overdue(&self, now: Instant) -> usize {
        self.running.values().filter(|slot| !slot.lost && slot.expiry <= now).count()
    }

    pub(super) fn shares(&self) -> &ClassShares {
        &self.shares
    }

    /// Records that a call gets a slot.
    pub(super) fn start(
        &mut self,
        request: &AdmissionRequest,
        mark: Option<ProbeMark>,
        has_turn: bool,
        now: Instant,
    ) {
        let class = request.priority.class;
        let slot = RunningSlot {
            class,
            kind: request.kind,
            started: now,
            expiry: request.expiry,
            mark,
            has_turn,
            makes_calls: false,
            failed: false,
            lost: false,
        };
        self.running.insert(request.ticket, slot);
        self.shares.start(class, now);
    }

    /// Whether a running call has taken a turn of the rate limiter, during a limit or the ramp after it.
    pub(super) fn has_turn(&self, ticket: Ticket) -> bool {
        self.running.get(&ticket).is_some_and(|slot| slot.has_turn)
    }

    /// Removes a call that has ended; `None` if it held no slot.
    pub(super) fn finish(&mut self, ticket: Ticket, now: Instant) -> Option<FinishedCall> {
        let slot = self.running.remove(&ticket)?;
        if slot.lost {
            self.lost -= 1;
            return None;
        }
        self.shares.finish(slot.class, now);
        Some(FinishedCall {
            kind: slot.kind,
            service_time: now.since(slot.started),
            mark: slot.mark,
            makes_calls: slot.makes_calls,
            failed: slot.failed,
        })
    }

    /// Records that a running call makes calls of its own, so that its service time also depends on other back ends.
    pub(super) fn note_calls_made(&mut self, ticket: Ticket) {
        if let Some(slot) = self.running.get_mut(&ticket) {
            slot.mark = None;
            slot.makes_calls = true;
        }
    }

    /// Records that the back end answers a running call with a failure.
    pub(super) fn note_failure(&mut self, ticket: Ticket) {
        if let Some(slot) = self.running.get_mut(&ticket) {
            slot.failed = true;
        }
    }

    /// Records the load that the back end reports with an answer. Overdue calls lose their slot, the oldest first, as
    /// many as are confirmed to have left the back end. `average` is the average service time.
    pub(super) fn note_load(&mut self, calls: BackEndCalls, average: Microseconds, now: Instant) {
        let confirmed = self.detector.report(calls, self.in_use() as u32);
        if confirmed == 0 {
            return;
        }
        let overdue = average * OVERDUE_SERVICE_TIMES;
        let is_overdue = |slot: &RunningSlot| !slot.lost && now.since(slot.started) > overdue;
        let mut overdue_calls: Vec<(Instant, Ticket)> = self
            .running
            .iter()
            .filter(|(_, slot)| is_overdue(slot))
            .map(|(ticket, slot)| (slot.started, *ticket))
            .collect();
        overdue_calls.sort_unstable();
        for (_, ticket) in overdue_calls.into_iter().take(confirmed as usize) {
            self.release_slot(ticket, now);
        }
    }

    fn release_slot(&mut self, ticket: Ticket, now: Instant) {
        let Some(slot) = self.running.get_mut(&ticket) else { return };
        slot.lost = true;
        slot.mark = None;
        self.lost += 1;
        self.shares.finish(slot.class, now);
        self.detector.reset();
    }
}
