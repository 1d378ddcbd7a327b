//! Calls whose answer was lost without a word: the back end has finished them, the gate doesn't know.
//!
//! Decides how many of the calls that hold a slot are surely not at the back end any more. Two signs together show it: the
//! back end reports, beside its answers, that it works on fewer calls than hold a slot, and a call is far older than usual.
//! Neither is trusted alone: age is also that of a chain whose services below are slow, and reports lag or mislead. It
//! protects the slots of a server whose answers get lost: on a recorded day of such losses it was worth 0.049.
//! Alternatives: docs/DESIGN.md#calls-that-are-lost.

use std::collections::VecDeque;

/// What a back end reports beside an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BackEndLoad {
    /// Calls there; none where the field is missing or malformed.
    pub calls: Option<BackEndCalls>,
    /// How long work takes there at this moment, in percent of the usual; none where the figure is missing or not valid.
    pub time_percent: Option<u16>,
}

/// Calls at a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackEndCalls {
    /// Calls that run there.
    pub running: u32,
    /// Calls that wait there.
    pub waiting: u32,
}

/// Typical service times after which a call may be one whose answer was lost. Chosen, not measured.
pub(super) const OVERDUE_SERVICE_TIMES: u64 = 4;

/// Reports in a row that must agree, as calls and answers are on their way while one is made. Chosen, not measured.
const AGREEING_REPORTS: usize = 8;

/// By how many calls a gate holds more than its back end works on.
#[derive(Debug, Default)]
pub(super) struct LostAnswerDetector {
    excess: VecDeque<u32>,
}

impl LostAnswerDetector {
    /// Records a report while `with_slot` calls are taken to be at the back end, the answered one included. Returns how many of
    /// them are surely not there, by this report and those before it.
    pub(super) fn report(&mut self, calls: BackEndCalls, with_slot: u32) -> u32 {
        let there = calls.running.saturating_add(calls.waiting);
        self.excess.push_back(with_slot.saturating_sub(there.saturating_add(1)));
        if self.excess.len() < AGREEING_REPORTS {
            return 0;
        }
        let sure = self.excess.iter().min().copied().unwrap_or_default();
        self.excess.pop_front();
        sure
    }

    /// Forgets all reports, as the number of held calls has changed for another reason than calls that begin and end.
    pub(super) fn reset(&mut self) {
        self.excess.clear();
    }
}
