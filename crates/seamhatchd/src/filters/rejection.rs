//! An answer that the daemon gives itself.

use http::StatusCode;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_wire::Refusal;

/// Advice where the reason has nothing to do with load.
const DEFAULT_RETRY_AFTER: Microseconds = 500 * MILLISECOND;

/// Who reached a verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerdictSource {
    /// The daemon that took the request from its caller.
    Entry,
    /// Another daemon, or the back end beside it. It knows the sender's view of the request, which may be
    /// out of date, and nothing of the caller's.
    Peer,
}

/// Why a request has no answer of a back end, as told to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// What is known of the request.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// Who says so.
    pub source: VerdictSource,
    /// When to come back, before jitter; none where coming back does not help.
    pub retry_after: Option<Microseconds>,
    /// What to do about it.
    pub detail: String,
}

impl Rejection {
    /// The request was not run.
    #[must_use]
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self::of_entry(Outcome::NotRun, reason, detail.into())
    }

    /// The request may have run.
    #[must_use]
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Self::of_entry(Outcome::Unknown, reason, detail.into())
    }

    /// What the caller is told of a peer's refusal.
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
        Self { outcome, reason, source: VerdictSource::Entry, retry_after: advice(reason), detail }
    }

    /// Another attempt of the same request holds its key.
    #[must_use]
    pub fn duplicate() -> Self {
        Self {
            outcome: Outcome::Duplicate,
            reason: Reason::KeyHeld,
            source: VerdictSource::Entry,
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

    /// Whether the verdict is true only where the configuration that decided is the one in force.
    #[must_use]
    pub fn rests_on_configuration(&self) -> bool {
        matches!(
            self.reason,
            Reason::NoRoute
                | Reason::HeadTooLarge
                | Reason::BodyTooLarge
                | Reason::NoKey
                | Reason::UnknownKey
        )
    }

    /// The HTTP status. Only what the entry itself finds wrong with a request may blame its caller, who
    /// won't come back after that.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        let blame = match self.source {
            VerdictSource::Entry => callers_fault(self.reason),
            VerdictSource::Peer => None,
        };
        blame.unwrap_or_else(|| self.failure_status())
    }

    fn failure_status(&self) -> StatusCode {
        match (self.reason, self.outcome) {
            (Reason::OverQuota, Outcome::NotRun) => StatusCode::TOO_MANY_REQUESTS,
            (Reason::DeadlineExceeded, Outcome::Unknown) => StatusCode::GATEWAY_TIMEOUT,
            // An earlier attempt may have run, whatever the last peer says of itself.
            (_, Outcome::Unknown) if self.source == VerdictSource::Peer => StatusCode::BAD_GATEWAY,
            (Reason::Draining | Reason::NotReady | Reason::NoClaimMajority, _) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            (_, Outcome::Unknown) => StatusCode::BAD_GATEWAY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The status that blames the caller, where the reason does.
fn callers_fault(reason: Reason) -> Option<StatusCode> {
    match reason {
        Reason::BadRequest => Some(StatusCode::BAD_REQUEST),
        Reason::NoKey | Reason::UnknownKey => Some(StatusCode::UNAUTHORIZED),
        Reason::BadContext => Some(StatusCode::FORBIDDEN),
        Reason::NoRoute => Some(StatusCode::NOT_FOUND),
        Reason::KeyHeld | Reason::KeyMismatch => Some(StatusCode::CONFLICT),
        Reason::BodyTooLarge => Some(StatusCode::PAYLOAD_TOO_LARGE),
        Reason::HeadTooLarge => Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
        _ => None,
    }
}

/// Coming back helps after all but a fault of the caller's; a key that is held will be free or answered.
fn advice(reason: Reason) -> Option<Microseconds> {
    let helps = reason == Reason::KeyHeld || callers_fault(reason).is_none();
    helps.then_some(DEFAULT_RETRY_AFTER)
}
