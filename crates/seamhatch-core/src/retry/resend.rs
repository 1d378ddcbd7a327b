//! Whether a call is sent to another server after a failed attempt.
//!
//! Decides, from the state of the call after the failure, whether it is sent again and whether that costs a
//! retry token and a place in the retry budget. The rule keeps the promise that a request which is not
//! repeatable runs at most once, and keeps retries that no budget covers away from the back ends. A refusal
//! by a daemon itself has cost no back end anything, so trying another server after it is free. Alternatives:
//! docs/DESIGN.md#retries.

use super::tokens::Dispatch;
use crate::outcome::Reason;

/// Number of overload refusals up to which a call is still sent to another server. Under high load, trying no
/// other server makes no measurable difference to what is served.
const MAX_OVERLOAD_REFUSALS: u32 = 2;

/// An attempt of a call that ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Why the attempt failed.
    pub reason: Reason,
    /// The attempt reached a back end, or may have.
    pub reached_back_end: bool,
    /// This attempt or an earlier one may have run.
    pub may_have_run: bool,
    /// The request may run more than once.
    pub repeatable: bool,
    /// Servers that refused the call because of overload, this one included.
    pub overload_refusals: u32,
    /// The whole body is still available.
    pub can_replay: bool,
    /// The time left until the deadline is enough for another attempt.
    pub in_time: bool,
}

/// Whether a call is sent again, and at what cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resend {
    /// The call is not sent again.
    No,
    /// The call is sent again without a charge.
    Free,
    /// The call is sent again if a retry token and a place in the retry budget are available.
    Charged,
}

impl FailedAttempt {
    /// Decides whether the call is sent to another server.
    #[must_use]
    pub fn resend(&self) -> Resend {
        let others_may_have_room =
            self.reason.is_server_overload() && self.overload_refusals <= MAX_OVERLOAD_REFUSALS;
        let repeat = self.may_have_run && self.repeatable;
        let is_useful = self.reason.worth_another_server() || others_may_have_room || repeat;
        let is_safe = !self.may_have_run || self.repeatable;
        let is_possible = self.can_replay && self.in_time;
        match is_useful && is_safe && is_possible {
            false => Resend::No,
            true if self.reached_back_end => Resend::Charged,
            true => Resend::Free,
        }
    }
}

/// How the first dispatch of a call counts in the retry budget of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetEntry {
    /// A retry by the caller; refused when the budget is used up.
    Retry,
    /// A call made by a run that repeats an earlier run; charged but never refused.
    CallOfRepeat,
    /// A first try, which earns a fraction of a retry.
    FirstTry,
}

impl Dispatch {
    /// How this dispatch counts; `parent_repeats` tells whether the calling run repeats an earlier one.
    #[must_use]
    pub fn budget_entry(self, parent_repeats: bool) -> BudgetEntry {
        match (self.charged, parent_repeats) {
            (true, _) => BudgetEntry::Retry,
            (false, true) => BudgetEntry::CallOfRepeat,
            (false, false) => BudgetEntry::FirstTry,
        }
    }
}
