//! Limits on the attempts of a call, and the decision to send it to another server.
//!
//! The rules are in [`seamhatch_core::retry`].

use super::Dispatcher;
use super::attempt::MIN_ATTEMPT_TIME;
use crate::base::clock;
use crate::filters::{Rejection, check_entry_floor};
use seamhatch_core::outcome::Reason;
use seamhatch_core::retry::{BudgetEntry, Dispatch, FailedAttempt, Resend};

impl Dispatcher<'_> {
    /// Whether the call may be sent to another server. A resend is charged if the last attempt
    /// `reached` a back end; a call that a daemon refused by itself has cost no back end anything.
    pub(super) fn may_send_again(&mut self, reason: Reason, reached: bool) -> bool {
        let attempt = FailedAttempt {
            reason,
            reached_back_end: reached,
            may_have_run: self.may_have_run,
            repeatable: self.request.repeatable,
            overload_refusals: self.overload_refusals,
            can_replay: self.body.can_replay(),
            in_time: clock::now().plus(MIN_ATTEMPT_TIME) < self.parent.expiry,
        };
        match attempt.resend() {
            Resend::No => return false,
            Resend::Free => return true,
            Resend::Charged => {}
        }
        if self.parent.ledger().spend().is_err() || self.charge_retry_budget().is_err() {
            return false;
        }
        self.repeat |= self.may_have_run;
        true
    }

    /// Applies the limits that may refuse a call before its first attempt, and charges the attempt.
    pub(super) fn check_limits(&self, first: Dispatch) -> Result<(), Rejection> {
        let budget = &self.shared.limits.retry_budget;
        self.check_suspect()?;
        if self.claimed.is_some() {
            check_entry_floor(self.shared, self.request)?;
        }
        match first.budget_entry(self.parent.repeats) {
            BudgetEntry::Retry => return self.charge_retry_budget(),
            BudgetEntry::CallOfRepeat => budget.charge_call_of_repeat(&self.request.service, &self.settings),
            BudgetEntry::FirstTry => budget.first_try(&self.request.service, &self.settings),
        }
        Ok(())
    }

    fn charge_retry_budget(&self) -> Result<(), Rejection> {
        if self.shared.limits.retry_budget.try_retry(&self.request.service, &self.settings) {
            self.shared.metrics.retries.inc();
            return Ok(());
        }
        let detail = "retries to this service are at their share of first tries; come back later";
        Err(Rejection::not_run(Reason::RetryRatio, detail))
    }
}
