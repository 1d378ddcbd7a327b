//! What a call pays for its attempts, and whether it may be sent to another server.

use super::Dispatcher;
use crate::base::clock;
use crate::filters::{Rejection, check_entry_floor};
use seamhatch_core::outcome::Reason;
use seamhatch_core::retry::Dispatch;

/// Servers that may refuse a call for pressure before it is refused as a whole.
const MOST_PRESSED: u32 = 2;

impl Dispatcher<'_> {
    /// Whether the call may be sent to another server. It pays for that if its last attempt `reached` a back end; what a
    /// daemon refused by itself cost no back end anything.
    pub(super) fn may_send_again(&mut self, reason: Reason, reached: bool) -> bool {
        let room_elsewhere = reason.is_pressure() && self.pressed <= MOST_PRESSED;
        let repeat = self.may_have_run && self.request.repeatable;
        let worth = reason.worth_another_server() || room_elsewhere || repeat;
        let safe = !self.may_have_run || self.request.repeatable;
        let possible = self.body.can_replay() && clock::now() < self.parent.expiry;
        if !(worth && safe && possible) {
            return false;
        }
        if !reached {
            return true;
        }
        if self.parent.ledger().spend().is_err() || self.take_from_ratio().is_err() {
            return false;
        }
        self.repeat |= self.may_have_run;
        true
    }

    /// Checks what may refuse a call before its first attempt, and charges the attempt.
    pub(super) fn check_limits(&self, first: Dispatch) -> Result<(), Rejection> {
        let budget = &self.shared.limits.retry_budget;
        self.check_suspect()?;
        if self.claimed.is_some() {
            check_entry_floor(self.shared, self.request)?;
        }
        if first.charged {
            return self.take_from_ratio();
        }
        if self.parent.repeats {
            budget.count_repeat(&self.request.service, &self.settings);
        } else {
            budget.first_try(&self.request.service, &self.settings);
        }
        Ok(())
    }

    fn take_from_ratio(&self) -> Result<(), Rejection> {
        if self.shared.limits.retry_budget.try_retry(&self.request.service, &self.settings) {
            self.shared.metrics.retries.inc();
            return Ok(());
        }
        let detail = "retries to this service are at their share of first tries; come back later";
        Err(Rejection::not_run(Reason::RetryRatio, detail))
    }
}
