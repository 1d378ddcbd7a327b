//! Answers that the daemon gives by itself.
//!
//! Status and return time follow from the reason, by the table in [`seamhatch_core::refusal`].

use crate::limits::quota::QuotaRefusal;
use http::StatusCode;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::refusal::VerdictSource;
use seamhatch_wire::Refusal;

/// Why a request has no answer of a back end, as reported to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// What is known of the request's execution.
    pub outcome: Outcome,
    /// Reason of the rejection.
    pub reason: Reason,
    /// Source of the verdict.
    pub source: VerdictSource,
    /// Time after which the caller should return, in microseconds before jitter; `None` if
    /// returning does not help.
    pub retry_after: Option<Microseconds>,
    /// Advice for the caller.
    pub detail: String,
}

impl Rejection {
    /// Creates the rejection of a request that was not run.
    #[must_use]
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self::of_entry(Outcome::NotRun, reason, detail.into())
    }

    /// Creates the rejection of a request that may have run.
    #[must_use]
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Self::of_entry(Outcome::Unknown, reason, detail.into())
    }

    /// Creates the rejection of a request whose key is held by another attempt.
    #[must_use]
    pub fn duplicate() -> Self {
        let detail = "another attempt with this idempotency key was made first; ask again for its answer";
        Self::of_entry(Outcome::Duplicate, Reason::KeyHeld, detail.into())
    }

    /// Converts a peer's refusal into the rejection for the caller.
    #[must_use]
    pub fn of_peer(refusal: &Refusal) -> Self {
        let detail = match refusal.outcome {
            Outcome::NotRun => "the server refused the call; come back after Retry-After",
            _ => "the back end broke off; its result is not known",
        };
        Self {
            outcome: refusal.outcome,
            reason: refusal.reason,
            source: VerdictSource::Peer,
            retry_after: Some(refusal.retry_after),
            detail: detail.to_owned(),
        }
    }

    fn of_entry(outcome: Outcome, reason: Reason, detail: String) -> Self {
        let retry_after = reason.rule().default_return();
        Self { outcome, reason, source: VerdictSource::Entry, retry_after, detail }
    }

    /// Sets the return time, in microseconds before jitter.
    #[must_use]
    pub fn retry_after(mut self, span: Microseconds) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Whether the verdict is valid only while the configuration that decided it is in force.
    #[must_use]
    pub fn depends_on_configuration(&self) -> bool {
        self.reason.rule().depends_on_configuration
    }

    /// Returns the HTTP status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        let status = self.reason.rule().status(self.source, self.outcome);
        StatusCode::from_u16(status).expect("the table of refusals holds valid statuses")
    }
}

impl From<QuotaRefusal> for Rejection {
    fn from(refusal: QuotaRefusal) -> Self {
        match refusal {
            QuotaRefusal::AtLimit { return_after } => {
                let detail =
                    "the tenant is at its limit; come back after Retry-After, or ask for a higher one";
                Self::not_run(Reason::OverQuota, detail).retry_after(return_after)
            }
            QuotaRefusal::NoShard => {
                let detail = "nobody can tell at present what is left of the tenant's limit; come back after Retry-After";
                Self::not_run(Reason::NoQuotaShard, detail)
            }
        }
    }
}
