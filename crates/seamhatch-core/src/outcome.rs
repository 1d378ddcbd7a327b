//! Outcome of a call as reported to its sender, and the reason for it.
//!
//! The names of outcomes and reasons are sent between daemons and appear in answers, logs and metrics.
//! [`crate::refusal`] defines what each reason means for the caller and for the sender.

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use std::fmt;

/// What the sender of a call may conclude from its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Readable, Writable, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The answer of the back end itself.
    Answered,
    /// Proven never to have been written to a back end, now or later.
    NotRun,
    /// The call may have run, may be running, or may not have run.
    Unknown,
    /// Another dispatch holds this idempotency key.
    Duplicate,
}

impl Outcome {
    /// Value of the `Seamhatch-Outcome` header.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Duplicate => "duplicate",
        }
    }
}

/// Why a call was refused or failed.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request line, a header or the body was malformed or too large.
    BadRequest,
    /// No route or service has this path.
    NoRoute,
    /// The context header was not issued by this daemon.
    BadContext,
    /// The daemon has no configuration yet.
    NotReady,
    /// The daemon or its back end is leaving.
    Draining,
    /// Refused at the entry because a service below refuses this priority.
    AdmissionFloor,
    /// The queue is full of more important calls.
    QueueFull,
    /// A more important request took the call's place in the queue.
    Evicted,
    /// The deadline has passed, or would pass before the call could run.
    DeadlineExceeded,
    /// The caller disconnected while the call was waiting.
    Cancelled,
    /// No server of the service can be reached.
    NoServer,
    /// The request has no retry token left for this repeat.
    RetriesExhausted,
    /// The daemon's retry budget for this service is used up.
    RetryRatio,
    /// The idempotency key could not be claimed at a majority of its witnesses.
    NoClaimMajority,
    /// The idempotency key is held by another dispatch of the same request.
    KeyHeld,
    /// The idempotency key was used with another request.
    KeyMismatch,
    /// The connection to the daemon beside the server was lost after the call was sent.
    PeerLost,
    /// The connection to the back end failed.
    BackendUnreachable,
    /// The back end closed the connection before a complete answer.
    BackendFailed,
    /// The back end crashed while the call ran on it.
    BackendCrashed,
    /// The back end itself reported that it did not run the call.
    BackendRefused,
    /// No instance of the back end is registered and ready beside the daemon.
    NoInstance,
    /// Another instance than the registered one listens at the back end's address.
    OtherInstance,
    /// The request's head is larger than the configuration allows.
    HeadTooLarge,
    /// The request's body is larger than the configuration allows.
    BodyTooLarge,
    /// The request has crashed several servers, so it is not sent to any for now.
    CrashesServers,
    /// The daemon is beside a server of another service; the sender's membership is out of date.
    OtherService,
    /// The request requires a tenant's key and has none.
    NoKey,
    /// No tenant has the request's key.
    UnknownKey,
    /// The daemon cannot prove that its configuration is new enough to check a tenant's key.
    NoProof,
    /// The request's tenant is at its limit.
    OverQuota,
    /// No shard of the tenant's limit can be asked.
    NoQuotaShard,
    /// The back end has named a rate, and the call's turn would come too late.
    BackendRate,
    /// The daemon does not know the call that makes this one, which may run all the same.
    ParentUnknown,
}

impl Reason {
    /// Value of the `Seamhatch-Reason` header and of the metric label.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::NoRoute => "no-route",
            Self::BadContext => "bad-context",
            Self::NotReady => "not-ready",
            Self::Draining => "draining",
            Self::AdmissionFloor => "admission-floor",
            Self::QueueFull => "queue-full",
            Self::Evicted => "evicted",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::Cancelled => "cancelled",
            Self::NoServer => "no-server",
            Self::RetriesExhausted => "retries-exhausted",
            Self::RetryRatio => "retry-ratio",
            Self::NoClaimMajority => "no-claim-majority",
            Self::KeyHeld => "key-held",
            Self::KeyMismatch => "key-mismatch",
            Self::PeerLost => "peer-lost",
            Self::BackendUnreachable => "backend-unreachable",
            Self::BackendFailed => "backend-failed",
            Self::BackendCrashed => "backend-crashed",
            Self::BackendRefused => "backend-refused",
            Self::NoInstance => "no-instance",
            Self::OtherInstance => "other-instance",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::CrashesServers => "crashes-servers",
            Self::OtherService => "other-service",
            Self::NoKey => "no-key",
            Self::UnknownKey => "unknown-key",
            Self::NoProof => "no-proof",
            Self::OverQuota => "over-quota",
            Self::NoQuotaShard => "no-quota-shard",
            Self::BackendRate => "backend-rate",
            Self::ParentUnknown => "parent-unknown",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
