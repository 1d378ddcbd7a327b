//! The calls that hold a slot of the back end, and those that have lost it.
//!
//! Owns the table of running calls and what each class has used. A call whose answer seems to be lost keeps its entry, so
//! that its end is not counted twice, but frees its slot. Used by [`super::AdmissionQueue`] alone.

use super::lost_answers::{BackEndCalls, LostAnswerDetector, OVERDUE_SERVICE_TIMES};
use super::{AdmissionRequest, CallKind, ClassShares, ProbeMark, Ticket};
use crate::clock::{Instant, Microseconds};
use crate::priority::PriorityClass;
use std::collections::HashMap;

/// A call with a slot.
#[derive(Debug, Clone, Copy)]
struct RunningSlot {
    class: PriorityClass,
    kind: CallKind,
    started: Instant,
    /// Set while it is part of a limit probe.
    mark: Option<ProbeMark>,
    /// It has taken a turn of a rate that the back end names.
    has_turn: bool,
    /// It makes calls of its own.
    makes_calls: bool,
    /// The back end answers it with a failure.
    failed: bool,
    /// Its answer seems to be lost; it holds no slot any more.
    lost: bool,
}

/// What a finished call shows about the back end.
#[derive(Debug, Clone, Copy)]
pub(super) struct FinishedCall {
    pub(super) kind: CallKind,
    pub(super) service_time: Microseconds,
    pub(super) mark: Option<ProbeMark>,
    pub(super) makes_calls: bool,
    pub(super) failed: bool,
}

/// Slots in use.
#[derive(Debug, Default)]
pub(super) struct SlotTable {
    running: HashMap<Ticket, RunningSlot>,
    /// Running calls whose answer seems to be lost.
    lost: usize,
    lost_calls: LostAnswerDetector,
    shares: ClassShares,
}

impl SlotTable {
    /// Calls with a slot.
    pub(super) fn taken(&self) -> usize {
        self.running.len() - self.lost
    }

    /// Running calls that hold no slot.
    pub(super) fn lost(&self) -> usize {
        self.lost
    }

    /// What each class has used.
    pub(super) fn shares(&self) -> &ClassShares {
        &self.shares
    }

    /// A call gets a slot.
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
            mark,
            has_turn,
            makes_calls: false,
            failed: false,
            lost: false,
        };
        self.running.insert(request.ticket, slot);
        self.shares.start(class, now);
    }

    /// Whether a running call has taken a turn.
    pub(super) fn has_turn(&self, ticket: Ticket) -> bool {
        self.running.get(&ticket).is_some_and(|slot| slot.has_turn)
    }

    /// A call has ended; none where it held no slot.
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

    /// A running call makes calls of its own: its service time depends on other back ends too.
    pub(super) fn note_calls_made(&mut self, ticket: Ticket) {
        if let Some(slot) = self.running.get_mut(&ticket) {
            slot.mark = None;
            slot.makes_calls = true;
        }
    }

    /// The back end answers a running call with a failure.
    pub(super) fn note_failure(&mut self, ticket: Ticket) {
        if let Some(slot) = self.running.get_mut(&ticket) {
            slot.failed = true;
        }
    }

    /// Records the load that the back end reports beside an answer. The oldest calls that are overdue, as many as are
    /// surely not at the back end, lose their slot. `typical` is the typical service time.
    pub(super) fn note_load(&mut self, calls: BackEndCalls, typical: Microseconds, now: Instant) {
        let sure = self.lost_calls.report(calls, self.taken() as u32);
        if sure == 0 {
            return;
        }
        let overdue = typical * OVERDUE_SERVICE_TIMES;
        let is_overdue = |slot: &RunningSlot| !slot.lost && now.since(slot.started) > overdue;
        let mut late: Vec<(Instant, Ticket)> = self
            .running
            .iter()
            .filter(|(_, slot)| is_overdue(slot))
            .map(|(ticket, slot)| (slot.started, *ticket))
            .collect();
        late.sort_unstable();
        for (_, ticket) in late.into_iter().take(sure as usize) {
            self.give_up_slot(ticket, now);
        }
    }

    fn give_up_slot(&mut self, ticket: Ticket, now: Instant) {
        let Some(slot) = self.running.get_mut(&ticket) else { return };
        slot.lost = true;
        slot.mark = None;
        self.lost += 1;
        self.shares.finish(slot.class, now);
        self.lost_calls.reset();
    }
}
