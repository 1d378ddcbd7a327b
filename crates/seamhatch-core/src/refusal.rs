//! Refusals: what each [`Reason`] means, one row a reason.
//!
//! Decides, from the reason and who says it, what the caller gets (status, return time) and whether the sender may
//! try another server. It protects two promises: what is called not run was not run anywhere, and only what the entry
//! itself finds wrong with a request is held against its caller, since a peer knows only the sender's view of the
//! request, which may be out of date. There are no constants here but statuses of HTTP (RFC 9110, RFC 6585).
//!
//! Used by the listeners (statuses, return times), by the daemon beside a server (return times) and by
//! [`crate::retry`] (another server).

use crate::clock::Microseconds;
use crate::outcome::{Outcome, Reason};
use crate::return_time::{DEFAULT_RETURN, PROOF_RETURN, SHARD_RETURN};

/// Who may say a reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Speaker {
    /// The daemon that takes a request or call from its caller and sends it on.
    Sender,
    /// The daemon beside the server.
    Server,
    /// The back end, which its daemon passes on.
    BackEnd,
}

/// What a reason proves about the attempt that was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// Nothing was written to a back end, now or later.
    NotRun,
    /// It may have run.
    Unknown,
    /// One or the other: it depends on the moment, and the outcome beside the reason says which.
    AsStated,
}

/// Whether the sender may try another server after this reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Elsewhere {
    /// Another server would say the same.
    No,
    /// Another server may do better.
    Yes,
    /// This server is under pressure; a few others may have room.
    FewTimes,
}

/// Which return time the caller gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnTime {
    /// None: coming back does not help.
    Never,
    /// A fixed span.
    After(Microseconds),
    /// [`crate::return_time::after_queue`], where a server's gate refuses.
    AfterQueue,
    /// [`crate::return_time::after_overload`].
    AfterOverload,
    /// [`crate::return_time::at_limit`].
    AtLimit,
    /// Until one copy of the request is tried again ([`crate::crashes`]).
    UntilTrial,
}

/// HTTP statuses of a reason by outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statuses {
    /// Proven not run.
    pub not_run: u16,
    /// It may have run.
    pub unknown: u16,
}

/// Whose verdict the caller gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerdictSource {
    /// The daemon that took the request from its caller.
    Entry,
    /// Another daemon, or the back end beside it.
    Peer,
}

/// One row of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusalRule {
    /// Who may say it.
    pub said_by: &'static [Speaker],
    /// What it proves about the attempt.
    pub proves: Proof,
    /// Whether another server may be tried.
    pub elsewhere: Elsewhere,
    /// The call may have been shown to the back end, which counts it as an attempt: a repeat is then charged.
    pub reached_back_end: bool,
    /// Outlier ejection counts it as a lost call of its server.
    pub counts_as_lost: bool,
    /// Statuses where the entry says it.
    pub entry: Statuses,
    /// Statuses where a peer says it.
    pub peer: Statuses,
    /// When to come back.
    pub return_time: ReturnTime,
    /// The verdict is true only while the configuration that decided is the one in force.
    pub depends_on_configuration: bool,
}

/// The usual failure: 503 promises that nothing ran, 502 promises nothing.
const FAILURE: Statuses = Statuses { not_run: 503, unknown: 502 };

const SENDER: &[Speaker] = &[Speaker::Sender];
const SERVER: &[Speaker] = &[Speaker::Server];
const BACK_END: &[Speaker] = &[Speaker::BackEnd];
const SENDER_OR_SERVER: &[Speaker] = &[Speaker::Sender, Speaker::Server];

const fn failure(said_by: &'static [Speaker], proves: Proof) -> RefusalRule {
    RefusalRule {
        said_by,
        proves,
        elsewhere: Elsewhere::No,
        reached_back_end: false,
        counts_as_lost: false,
        entry: FAILURE,
        peer: FAILURE,
        return_time: ReturnTime::After(DEFAULT_RETURN),
        depends_on_configuration: false,
    }
}

/// The entry's word that holds whatever became of earlier attempts.
const fn unavailable(said_by: &'static [Speaker], proves: Proof) -> RefusalRule {
    RefusalRule { entry: Statuses { not_run: 503, unknown: 503 }, ..failure(said_by, proves) }
}

/// The caller's fault, where the entry finds it.
const fn callers_fault(status: u16) -> RefusalRule {
    RefusalRule {
        entry: Statuses { not_run: status, unknown: status },
        return_time: ReturnTime::Never,
        ..failure(SENDER, Proof::NotRun)
    }
}

/// The caller's fault by the configuration that decided.
const fn callers_fault_for_now(status: u16) -> RefusalRule {
    RefusalRule { depends_on_configuration: true, ..callers_fault(status) }
}

/// A server that can't take the call while others may.
const fn other_server(said_by: &'static [Speaker], proves: Proof) -> RefusalRule {
    RefusalRule { elsewhere: Elsewhere::Yes, ..failure(said_by, proves) }
}

/// A server's gate under pressure.
const fn pressure(said_by: &'static [Speaker], proves: Proof) -> RefusalRule {
    RefusalRule {
        elsewhere: Elsewhere::FewTimes,
        return_time: ReturnTime::AfterQueue,
        ..failure(said_by, proves)
    }
}

/// The back end has seen the call.
const fn reached(rule: RefusalRule) -> RefusalRule {
    RefusalRule { reached_back_end: true, ..rule }
}

/// The server failed the call: outlier ejection counts it.
const fn lost(rule: RefusalRule) -> RefusalRule {
    RefusalRule { counts_as_lost: true, ..rule }
}

const fn returning(return_time: ReturnTime, rule: RefusalRule) -> RefusalRule {
    RefusalRule { return_time, ..rule }
}

impl Reason {
    /// Its row.
    #[must_use]
    pub const fn rule(self) -> RefusalRule {
        use Proof::{AsStated, NotRun, Unknown};
        match self {
            // Found by the entry before anything is sent.
            Self::BadRequest => RefusalRule { said_by: SENDER_OR_SERVER, ..callers_fault(400) },
            Self::HeadTooLarge => callers_fault_for_now(431),
            Self::BodyTooLarge => callers_fault_for_now(413),
            Self::NoRoute => callers_fault_for_now(404),
            Self::NoKey | Self::UnknownKey => callers_fault_for_now(401),
            Self::BadContext => callers_fault(403),
            Self::KeyMismatch => callers_fault(409),
            // Another attempt with the key runs or has run; its answer can be asked for.
            Self::KeyHeld => returning(ReturnTime::After(DEFAULT_RETURN), callers_fault(409)),
            Self::NoProof => returning(ReturnTime::After(PROOF_RETURN), failure(SENDER, NotRun)),
            Self::OverQuota => RefusalRule {
                entry: Statuses { not_run: 429, unknown: 502 },
                peer: Statuses { not_run: 429, unknown: 502 },
                ..returning(ReturnTime::AtLimit, failure(SENDER, NotRun))
            },
            Self::NoQuotaShard => returning(ReturnTime::After(SHARD_RETURN), failure(SENDER, NotRun)),
            Self::AdmissionFloor => returning(ReturnTime::AfterOverload, failure(SENDER, NotRun)),
            Self::CrashesServers => returning(ReturnTime::UntilTrial, failure(SENDER_OR_SERVER, NotRun)),
            Self::NoClaimMajority => unavailable(SENDER, Unknown),
            // Limits on repeats.
            Self::RetriesExhausted | Self::RetryRatio => failure(SENDER, NotRun),
            // The daemon is not there to serve. With an idempotency key, an earlier attempt may have run.
            Self::NotReady => RefusalRule { elsewhere: Elsewhere::Yes, ..unavailable(SENDER, AsStated) },
            Self::Draining => {
                RefusalRule { elsewhere: Elsewhere::Yes, ..unavailable(SENDER_OR_SERVER, AsStated) }
            }
            Self::NoServer => other_server(SENDER, NotRun),
            Self::PeerLost => other_server(SENDER, AsStated),
            Self::OtherService | Self::NoInstance => other_server(SERVER, NotRun),
            Self::BackendUnreachable => lost(other_server(SERVER, NotRun)),
            // The gate of a server, or a deadline that passed with the call under way.
            Self::QueueFull | Self::Evicted | Self::BackendRate => pressure(SERVER, NotRun),
            Self::DeadlineExceeded => RefusalRule {
                entry: Statuses { not_run: 503, unknown: 504 },
                peer: Statuses { not_run: 503, unknown: 504 },
                ..pressure(SENDER_OR_SERVER, AsStated)
            },
            Self::Cancelled => failure(SERVER, AsStated),
            // The back end.
            Self::OtherInstance | Self::BackendRefused => reached(other_server(BACK_END, NotRun)),
            Self::BackendFailed => lost(reached(failure(SENDER_OR_SERVER, Unknown))),
            Self::BackendCrashed => lost(reached(failure(SERVER, Unknown))),
        }
    }

    /// Whether another server may do better, so that a call that was not run is worth sending again.
    #[must_use]
    pub fn worth_another_server(self) -> bool {
        self.rule().elsewhere == Elsewhere::Yes
    }

    /// Whether the refusing daemon may have shown the call to its back end, which then counts it as
    /// an attempt. A call that a daemon turned away by itself costs no attempt and no retry.
    #[must_use]
    pub fn reached_back_end(self) -> bool {
        self.rule().reached_back_end
    }

    /// Whether outlier ejection counts the refusal as a lost call of its server.
    #[must_use]
    pub fn counts_as_lost(self) -> bool {
        self.rule().counts_as_lost
    }

    /// Whether the refusal comes from pressure at one server only, so that another may have room.
    #[must_use]
    pub fn is_server_overload(self) -> bool {
        self.rule().elsewhere == Elsewhere::FewTimes
    }
}

impl RefusalRule {
    /// The status that the caller gets. Any outcome but unknown counts as not run here.
    #[must_use]
    pub fn status(&self, source: VerdictSource, outcome: Outcome) -> u16 {
        let statuses = match source {
            VerdictSource::Entry => self.entry,
            VerdictSource::Peer => self.peer,
        };
        if outcome == Outcome::Unknown { statuses.unknown } else { statuses.not_run }
    }

    /// The return time that the entry sends unless it knows better; none where coming back does not help.
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
