//! Refusals: the meaning of each [`Reason`], as a table with one row per reason.
//!
//! Decides, from the reason and its issuer, what the caller gets (status and return time) and whether the
//! sender may try another server. The table keeps two promises. A call that is reported as not run was not
//! run anywhere. And a client error is reported only for what the entry itself finds wrong with a request,
//! since a peer knows only the sender's view of the request, which may be out of date. The only constants are
//! HTTP statuses (RFC 9110, RFC 6585).
//!
//! Used by the listeners (statuses, return times), by the daemon beside a server (return times) and by
//! [`crate::retry`] (another server).

use crate::clock::Microseconds;
use crate::outcome::{Outcome, Reason};
use crate::return_time::{DEFAULT_RETURN, PROOF_RETURN, SHARD_RETURN};

/// Component that may issue a reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Issuer {
    /// The daemon that takes a request or call from its caller and sends it on.
    Sender,
    /// The daemon beside the server.
    Server,
    /// The back end; its daemon passes the reason on.
    BackEnd,
}

/// What a reason proves about the refused attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// Nothing was written to a back end, now or later.
    NotRun,
    /// The attempt may have run.
    Unknown,
    /// Either of these, depending on the situation; the outcome sent with the reason tells which.
    AsStated,
}

/// Whether the sender may try another server after this reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failover {
    /// No; another server would refuse as well.
    No,
    /// Yes; another server may succeed.
    Yes,
    /// A limited number of times; this server is overloaded and others may have room.
    Limited,
}

/// Rule for the return time that the caller gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnTime {
    /// None; returning does not help.
    Never,
    /// A fixed span.
    After(Microseconds),
    /// [`crate::return_time::after_queue`], if the gate of a server refuses.
    AfterQueue,
    /// [`crate::return_time::after_overload`].
    AfterOverload,
    /// [`crate::return_time::at_limit`].
    AtLimit,
    /// Until the next trial run of the request ([`crate::crashes`]).
    UntilTrial,
}

/// HTTP statuses of a reason by outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statuses {
    /// Status if the call is proven not to have run.
    pub not_run: u16,
    /// Status if the call may have run.
    pub unknown: u16,
}

/// Where the decision that the caller gets was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerdictSource {
    /// The daemon that took the request from its caller.
    Entry,
    /// Another daemon, or the back end beside it.
    Peer,
}

/// Properties of one reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusalRule {
    /// Components that may issue the reason.
    pub issued_by: &'static [Issuer],
    /// What the reason proves about the attempt.
    pub proves: Proof,
    /// Whether another server may be tried.
    pub failover: Failover,
    /// The back end may have seen the call and counts it as an attempt; a repeat is then charged.
    pub reached_back_end: bool,
    /// Outlier ejection counts the refusal as a lost call of its server.
    pub counts_as_lost: bool,
    /// Statuses if the entry issues the reason.
    pub entry: Statuses,
    /// Statuses if a peer issues the reason.
    pub peer: Statuses,
    /// When the caller should return.
    pub return_time: ReturnTime,
    /// The reason holds only while the configuration that led to it is in force.
    pub depends_on_configuration: bool,
}

/// Default statuses: 503 promises that nothing ran, 502 makes no promise.
const FAILURE: Statuses = Statuses { not_run: 503, unknown: 502 };

const SENDER: &[Issuer] = &[Issuer::Sender];
const SERVER: &[Issuer] = &[Issuer::Server];
const BACK_END: &[Issuer] = &[Issuer::BackEnd];
const SENDER_OR_SERVER: &[Issuer] = &[Issuer::Sender, Issuer::Server];

const fn failure(issued_by: &'static [Issuer], proves: Proof) -> RefusalRule {
    RefusalRule {
        issued_by,
        proves,
        failover: Failover::No,
        reached_back_end: false,
        counts_as_lost: false,
        entry: FAILURE,
        peer: FAILURE,
        return_time: ReturnTime::After(DEFAULT_RETURN),
        depends_on_configuration: false,
    }
}

/// Refusal by the entry that has status 503 whatever became of earlier attempts.
const fn unavailable(issued_by: &'static [Issuer], proves: Proof) -> RefusalRule {
    RefusalRule { entry: Statuses { not_run: 503, unknown: 503 }, ..failure(issued_by, proves) }
}

/// Client error found by the entry.
const fn client_error(status: u16) -> RefusalRule {
    RefusalRule {
        entry: Statuses { not_run: status, unknown: status },
        return_time: ReturnTime::Never,
        ..failure(SENDER, Proof::NotRun)
    }
}

/// Client error under the configuration in force.
const fn client_error_by_configuration(status: u16) -> RefusalRule {
    RefusalRule { depends_on_configuration: true, ..client_error(status) }
}

/// A server cannot take the call, but others may.
const fn other_server(issued_by: &'static [Issuer], proves: Proof) -> RefusalRule {
    RefusalRule { failover: Failover::Yes, ..failure(issued_by, proves) }
}

/// The gate of a server is overloaded.
const fn server_overload(issued_by: &'static [Issuer], proves: Proof) -> RefusalRule {
    RefusalRule {
        failover: Failover::Limited,
        return_time: ReturnTime::AfterQueue,
        ..failure(issued_by, proves)
    }
}

/// The back end has seen the call.
const fn reached(rule: RefusalRule) -> RefusalRule {
    RefusalRule { reached_back_end: true, ..rule }
}

/// The server failed the call; outlier ejection counts it.
const fn lost(rule: RefusalRule) -> RefusalRule {
    RefusalRule { counts_as_lost: true, ..rule }
}

const fn with_return_time(return_time: ReturnTime, rule: RefusalRule) -> RefusalRule {
    RefusalRule { return_time, ..rule }
}

impl Reason {
    /// Properties of this reason.
    #[must_use]
    pub const fn rule(self) -> RefusalRule {
        use Proof::{AsStated, NotRun, Unknown};
        match self {
            // Found by the entry before anything is sent.
            Self::BadRequest => RefusalRule { issued_by: SENDER_OR_SERVER, ..client_error(400) },
            Self::HeadTooLarge => client_error_by_configuration(431),
            Self::BodyTooLarge => client_error_by_configuration(413),
            Self::NoRoute => client_error_by_configuration(404),
            Self::NoKey | Self::UnknownKey => client_error_by_configuration(401),
            Self::BadContext => client_error(403),
            Self::KeyMismatch => client_error(409),
            // Another attempt with the key runs or has run; its answer can be requested.
            Self::KeyHeld => with_return_time(ReturnTime::After(DEFAULT_RETURN), client_error(409)),
            Self::ParentUnknown => failure(SENDER, NotRun),
            Self::NoProof => with_return_time(ReturnTime::After(PROOF_RETURN), failure(SENDER, NotRun)),
            Self::OverQuota => RefusalRule {
                entry: Statuses { not_run: 429, unknown: 502 },
                peer: Statuses { not_run: 429, unknown: 502 },
                ..with_return_time(ReturnTime::AtLimit, failure(SENDER, NotRun))
            },
            Self::NoQuotaShard => with_return_time(ReturnTime::After(SHARD_RETURN), failure(SENDER, NotRun)),
            Self::AdmissionFloor => with_return_time(ReturnTime::AfterOverload, failure(SENDER, NotRun)),
            Self::CrashesServers => {
                with_return_time(ReturnTime::UntilTrial, failure(SENDER_OR_SERVER, NotRun))
            }
            Self::NoClaimMajority => unavailable(SENDER, Unknown),
            // Limits on retries.
            Self::RetriesExhausted | Self::RetryRatio => failure(SENDER, NotRun),
            // The daemon does not serve. With an idempotency key, an earlier attempt may have run.
            Self::NotReady => RefusalRule { failover: Failover::Yes, ..unavailable(SENDER, AsStated) },
            Self::Draining => {
                RefusalRule { failover: Failover::Yes, ..unavailable(SENDER_OR_SERVER, AsStated) }
            }
            Self::NoServer => other_server(SENDER, NotRun),
            Self::PeerLost => other_server(SENDER, AsStated),
            Self::OtherService | Self::NoInstance => other_server(SERVER, NotRun),
            Self::BackendUnreachable => lost(other_server(SERVER, NotRun)),
            // Refusals at the gate of a server, and deadlines that pass while the call is in flight.
            Self::QueueFull | Self::Evicted | Self::BackendRate => server_overload(SERVER, NotRun),
            Self::DeadlineExceeded => RefusalRule {
                entry: Statuses { not_run: 503, unknown: 504 },
                peer: Statuses { not_run: 503, unknown: 504 },
                ..server_overload(SENDER_OR_SERVER, AsStated)
            },
            Self::Cancelled => failure(SERVER, AsStated),
            // Failures and refusals of the back end.
            Self::OtherInstance | Self::BackendRefused => reached(other_server(BACK_END, NotRun)),
            Self::BackendFailed => lost(reached(failure(SENDER_OR_SERVER, Unknown))),
            Self::BackendCrashed => lost(reached(failure(SERVER, Unknown))),
        }
    }

    /// Whether another server may succeed, so that a call that was not run is worth sending again.
    #[must_use]
    pub fn worth_another_server(self) -> bool {
        self.rule().failover == Failover::Yes
    }

    /// Whether the refusing daemon may have passed the call to its back end, which then counts it as an
    /// attempt. A refusal by the daemon itself costs no attempt and no retry.
    #[must_use]
    pub fn reached_back_end(self) -> bool {
        self.rule().reached_back_end
    }

    /// Whether outlier ejection counts the refusal as a lost call of its server.
    #[must_use]
    pub fn counts_as_lost(self) -> bool {
        self.rule().counts_as_lost
    }

    /// Whether the reason is overload of a single server, so that another one may have room.
    #[must_use]
    pub fn is_server_overload(self) -> bool {
        self.rule().failover == Failover::Limited
    }
}

impl RefusalRule {
    /// Status that the caller gets. Any outcome but [`Outcome::Unknown`] counts as not run.
    #[must_use]
    pub fn status(&self, source: VerdictSource, outcome: Outcome) -> u16 {
        let statuses = match source {
            VerdictSource::Entry => self.entry,
            VerdictSource::Peer => self.peer,
        };
        if outcome == Outcome::Unknown { statuses.unknown } else { statuses.not_run }
    }

    /// Return time that the entry sends unless it has a better estimate; `None` if returning does not help.
    #[must_use]
    pub fn default_return(&self) -> Option<Microseconds> {
        match self.return_time {
            ReturnTime::Never => None,
            ReturnTime::After(span) => Some(span),
            ReturnTime::AfterQueue
            | ReturnTime::AfterOverload
            | ReturnTime::AtLimit
            | ReturnTime::UntilTrial => Some(DEFAULT_RETURN),
        }
    }
}
