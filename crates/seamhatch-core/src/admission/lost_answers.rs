//! Detection of calls whose answer was lost without an error: the back end has finished them, but the gate has not seen
//! it.
//!
//! Decides how many of the calls that hold a slot have certainly left the back end. Two conditions must hold together:
//! the back end reports, with its answers, fewer calls than hold a slot, and a call is far older than usual. Neither is
//! enough alone: calls also grow old in a chain whose downstream services are slow, and reports lag or are wrong. The
//! detection keeps lost answers from occupying the slots of a server. Alternatives: docs/DESIGN.md#calls-that-are-lost.

use std::collections::VecDeque;

/// What a back end reports about its load with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BackEndLoad {
    /// Calls at the back end; `None` where the field is missing or malformed.
    pub calls: Option<BackEndCalls>,
    /// Present service time at the back end, in percent of the usual; `None` where the figure is missing or invalid.
    pub time_percent: Option<u16>,
}

/// Number of calls at a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackEndCalls {
    /// Calls that run there.
    pub running: u32,
    /// Calls that wait there.
    pub waiting: u32,
}

/// Age, in average service times, from which on a call may be one whose answer was lost.
pub(super) const OVERDUE_SERVICE_TIMES: u64 = 4;

/// Consecutive reports that must agree, since calls and answers are in transit while a report is made.
const REPORTS_TO_CONFIRM: usize = 8;

/// Tracks by how many calls the slots in use exceed the calls that the back end reports.
#[derive(Debug, Default)]
pub(super) struct LostAnswerDetector {
    excess: VecDeque<u32>,
}

impl LostAnswerDetector {
    /// Records a report made while `with_slot` calls hold a slot, including the one that was just answered. Returns how
    /// many of them have certainly left the back end, judged by this report and the preceding ones.
    pub(super) fn report(&mut self, calls: BackEndCalls, with_slot: u32) -> u32 {
        let at_back_end = calls.running.saturating_add(calls.waiting);
        self.excess.push_back(with_slot.saturating_sub(at_back_end.saturating_add(1)));
        if self.excess.len() < REPORTS_TO_CONFIRM {
            return 0;
        }
        let confirmed = self.excess.iter().min().copied().unwrap_or_default();
        self.excess.pop_front();
        confirmed
    }

    /// Discards all reports, because the number of slots in use has changed for another reason than calls that start or
    /// end.
    pub(super) fn reset(&mut self) {
        self.excess.clear();
    }
}
