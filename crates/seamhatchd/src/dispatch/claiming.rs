//! Claims the key of a call that is not repeatable, before any check that may refuse the call.

use super::digests::call_fingerprint;
use super::{CallResult, Dispatcher};
use crate::base::clock;
use crate::claims::{ClaimRefused, Claimed};
use crate::filters::Rejection;
use seamhatch_core::claims::ClaimKey;
use seamhatch_core::identity::Fingerprint;
use seamhatch_core::outcome::Reason;
use seamhatch_core::retry::ChildEnd;

/// Detail for a caller whose key belongs to another request.
const MISMATCH_DETAIL: &str = "this idempotency key was used with another request; use a new key";

impl Dispatcher<'_> {
    /// Claims the key of the call, if it has one.
    ///
    /// # Errors
    /// Returns the result of the call if the key belongs to another request, an earlier attempt
    /// holds it, or no majority of witnesses answered.
    pub(super) async fn claim(&mut self, body: Fingerprint) -> Result<Option<Claimed>, CallResult> {
        let Some(text) = &self.request.claim_text else { return Ok(None) };
        let key = ClaimKey::of(&self.request.service, &text.complete(body));
        let content = call_fingerprint(self.request, body);
        let claiming = self.shared.claimant.claim(key, content);
        let claimed = clock::timeout_at(self.parent.expiry, claiming).await;
        let result = claimed.unwrap_or(Err(ClaimRefused::Undecided(Reason::DeadlineExceeded)));
        match result {
            Ok(claimed) => Ok(Some(claimed)),
            Err(refused) => Err(self.refuse_claim(refused)),
        }
    }

    fn refuse_claim(&mut self, refused: ClaimRefused) -> CallResult {
        match refused {
            ClaimRefused::KeyMismatch => {
                self.ledger_entry.finish(ChildEnd::NotRun);
                CallResult::Rejected(Rejection::not_run(Reason::KeyMismatch, MISMATCH_DETAIL))
            }
            // This attempt was not run, but an earlier one with the same key may have been.
            ClaimRefused::Undecided(reason) => {
                self.ledger_entry.finish(ChildEnd::NotRun);
                CallResult::Rejected(Rejection::unknown(reason, undecided_detail(reason)))
            }
            ClaimRefused::Duplicate(Some(answer)) => {
                let failed = answer.status >= 500;
                self.ledger_entry.finish(if failed { ChildEnd::Failed } else { ChildEnd::Succeeded });
                CallResult::Recorded(answer)
            }
            ClaimRefused::Duplicate(None) => CallResult::Rejected(Rejection::duplicate()),
        }
    }
}

/// Detail for a caller if it is unknown whether an earlier attempt ran.
fn undecided_detail(reason: Reason) -> &'static str {
    match reason {
        Reason::DeadlineExceeded => "the deadline passed before the key could be claimed",
        _ => "no majority of the key's witnesses answered; repeat it with the same key after Retry-After",
    }
}
