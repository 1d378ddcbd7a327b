//! What comes back for a call: an answer in pieces, or a refusal.

use super::{HeaderField, ServerReport};
use seamhatch_core::balance::{ServerPace, TurnReport};
use seamhatch_core::chain_cost::ServiceUsage;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::identity::CallId;
use seamhatch_core::notice::BackEndNotice;
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::priority::AdmissionFloor;
use speedy::{Readable, Writable};

/// A call that the back end did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct Refusal {
    /// `NotRun` or `Unknown`.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// When the caller may return, in microseconds from now.
    pub retry_after: Microseconds,
    /// Tokens that come back.
    pub unspent_tokens: u32,
    /// Crashes that count against the request, as far as the refusing daemon knows.
    pub crashes: u32,
    /// State of the server.
    pub server: ServerReport,
    /// When the server has a turn for the sender of the call, where it names a rate.
    #[speedy(default_on_eof)]
    pub turn: Option<TurnReport>,
    /// How long work takes at the server, where it tells that.
    #[speedy(default_on_eof)]
    pub pace: Option<ServerPace>,
}

/// An admission floor below [`AdmissionFloor::OPEN`], and the service whose server reported it.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct ChainFloor {
    /// What the service admits.
    pub floor: AdmissionFloor,
    /// The service.
    pub service: String,
}

impl ChainFloor {
    /// The floor of a server of `service`; none where it admits everything.
    #[must_use]
    pub fn unless_open(service: &str, floor: AdmissionFloor) -> Option<Self> {
        (!floor.is_open()).then(|| Self { floor, service: service.to_owned() })
    }
}

/// The beginning of a back end's answer. The body follows in pieces.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct AnswerHead {
    /// Which call.
    pub call: CallId,
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<HeaderField>,
    /// State of the server.
    pub server: ServerReport,
    /// Lowest floor of the services that its calls went to; none where all were open. The caller knows the floor of the
    /// answering service itself from the reports of all its servers.
    pub chain_floor: Option<ChainFloor>,
    /// When the server has a turn for the sender of the call, where it names a rate.
    #[speedy(default_on_eof)]
    pub turn: Option<TurnReport>,
    /// What the server says of itself, for the sender of the call to hand back.
    #[speedy(default_on_eof)]
    pub notice: Option<BackEndNotice>,
    /// How long work takes at the server, where it tells that.
    #[speedy(default_on_eof)]
    pub pace: Option<ServerPace>,
    /// What the call and the calls below it have used, by service, the greatest first; empty where the deployment doesn't
    /// order by cost, or the server reports no pace.
    #[speedy(default_on_eof)]
    pub usage: Vec<ServiceUsage>,
}

/// The end of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct AnswerTail {
    /// Which call.
    pub call: CallId,
    /// Whether it is the whole answer; false when the back end broke off.
    pub complete: bool,
    /// Tokens that come back.
    pub unspent_tokens: u32,
}
