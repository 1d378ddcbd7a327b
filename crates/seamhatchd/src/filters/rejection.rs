//! An answer that the daemon gives itself.

use http::StatusCode;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::outcome::{Outcome, Reason};

/// Advice where the reason has nothing to do with load.
const DEFAULT_RETRY_AFTER: Microseconds = 500 * MILLISECOND;

/// Why a request has no answer of a back end, as told to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// What is known of the request.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// When to come back, before jitter; none where coming back does not help.
    pub retry_after: Option<Microseconds>,
    /// What to do about it.
    pub detail: String,
}

impl Rejection {
    /// The request was not run.
    #[must_use]
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self { outcome: Outcome::NotRun, reason, retry_after: advice(reason), detail: detail.into() }
    }

    /// The request may have run.
    #[must_use]
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Self { outcome: Outcome::Unknown, reason, retry_after: advice(reason), detail: detail.into() }
    }

    /// Another attempt of the same request holds its key.
    #[must_use]
    pub fn duplicate() -> Self {
        Self {
            outcome: Outcome::Duplicate,
            reason: Reason::KeyHeld,
            retry_after: Some(DEFAULT_RETRY_AFTER),
            detail: "another attempt with this idempotency key was made first; ask again for its answer"
                .into(),
        }
    }

    /// With this advice when to come back.
    #[must_use]
    pub fn retry_after(mut self, span: Microseconds) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// The HTTP status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match (self.reason, self.outcome) {
            (Reason::BadRequest, _) => StatusCode::BAD_REQUEST,
            (Reason::BadContext, _) => StatusCode::FORBIDDEN,
            (Reason::NoRoute, _) => StatusCode::NOT_FOUND,
            (Reason::HeadTooLarge, _) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            (Reason::BodyTooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
            (Reason::KeyHeld | Reason::KeyMismatch, _) => StatusCode::CONFLICT,
            (Reason::DeadlineExceeded, Outcome::Unknown) => StatusCode::GATEWAY_TIMEOUT,
            (Reason::Draining | Reason::NotReady | Reason::NoClaimMajority, _) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            (_, Outcome::Unknown) => StatusCode::BAD_GATEWAY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

fn advice(reason: Reason) -> Option<Microseconds> {
    match reason {
        Reason::BadRequest
        | Reason::BadContext
        | Reason::NoRoute
        | Reason::KeyMismatch
        | Reason::HeadTooLarge
        | Reason::BodyTooLarge => None,
        _ => Some(DEFAULT_RETRY_AFTER),
    }
}
