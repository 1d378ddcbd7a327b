//! Messages on the TCP connections between daemons.
//!
//! A connection is opened by the daemon that sends calls. Many calls share it;
//! each body flows within a window that its receiver refills with
//! [`PeerMessage::Credit`], so that a slow reader holds up only its own call.

use seamhatch_core::claims::{Claim, ClaimHolder, ClaimKey, ClaimReply, Epoch};
use seamhatch_core::clock::{Instant, Microseconds};
use seamhatch_core::crashes::SuspectReport;
use seamhatch_core::drain::CallIntake;
use seamhatch_core::freshness::FreshnessProof;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::{Address, CallId, Incarnation, RequestDigest, RootId};
use seamhatch_core::instance::InstanceId;
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::priority::{AdmissionFloor, Priority};
use seamhatch_core::quota::ShardNumber;
use seamhatch_core::roster::Roster;
use seamhatch_policy::StoredConfiguration;
use speedy::{Readable, Writable};

/// Everything that is sent between daemons over TCP.
#[derive(Debug, Clone, PartialEq, Readable, Writable)]
pub enum PeerMessage {
    /// First message in each direction.
    Hello(Hello),
    /// Sent by both sides at a steady pace.
    Pulse(Pulse),
    /// A call; its body follows unless the head says that it has none.
    Call(Box<CallHead>),
    /// A piece of a request body.
    RequestChunk {
        /// Whose body.
        call: CallId,
        /// Content.
        bytes: Vec<u8>,
    },
    /// The request body is complete.
    RequestEnd {
        /// Whose body.
        call: CallId,
    },
    /// The caller has given up; a call that waits is taken out of the queue.
    Cancel {
        /// Which call.
        call: CallId,
    },
    /// Evidence against requests, on the way ahead of a call or a refusal that it concerns: news by datagram may come later.
    Suspects(Vec<SuspectReport>),
    /// The call has no back end answer.
    Refused {
        /// Which call.
        call: CallId,
        /// Why, and what is known.
        refusal: Refusal,
    },
    /// The back end's answer begins.
    AnswerHead(Box<AnswerHead>),
    /// A piece of an answer body.
    AnswerChunk {
        /// Whose body.
        call: CallId,
        /// Content.
        bytes: Vec<u8>,
    },
    /// The answer is complete, or will never be.
    AnswerTail(AnswerTail),
    /// The receiver of a body can take this many bytes more.
    Credit {
        /// Whose body.
        call: CallId,
        /// Bytes.
        bytes: u32,
    },
    /// Asks a witness for a claim.
    Claim {
        /// Number of this exchange.
        exchange: u64,
        /// Shard of the key.
        shard: u32,
        /// Roster epoch that the asker knows.
        epoch: Epoch,
        /// What is claimed, and by whom.
        claim: Claim,
    },
    /// A witness's answer.
    ClaimReply {
        /// Number of the exchange.
        exchange: u64,
        /// The decision.
        reply: ClaimReply,
    },
    /// Gives up a claim before any dispatch; not answered.
    ReleaseClaim {
        /// Shard of the key.
        shard: u32,
        /// Epoch it was granted in.
        epoch: Epoch,
        /// The key.
        key: ClaimKey,
        /// Its holder.
        holder: ClaimHolder,
    },
    /// A request of one daemon's controllers to another's.
    ControlRequest {
        /// Number of this exchange.
        exchange: u64,
        /// What is asked.
        request: ControlRequest,
    },
    /// Its answer.
    ControlReply {
        /// Number of the exchange.
        exchange: u64,
        /// What is answered.
        reply: ControlReply,
    },
}

/// Who speaks.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct Hello {
    /// Name of the deployment; daemons of different ones refuse each other.
    pub cluster: String,
    /// The speaker's peer address.
    pub peer: Address,
    /// The speaker's gossip address, so that who is called learns of a restarted member.
    pub gossip: Address,
    /// The speaker's life.
    pub incarnation: Incarnation,
    /// Service of the server beside the speaker, so that who still holds an older record of this
    /// address sends it no calls for another one.
    pub service: String,
    /// The speaker's boot clock.
    pub clock: Instant,
}

/// A heartbeat on an open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct Pulse {
    /// The speaker's boot clock.
    pub clock: Instant,
    /// Its configuration.
    pub generation: Generation,
    /// Which calls its server gets.
    pub intake: CallIntake,
    /// The state of the server beside it.
    pub server: ServerReport,
    /// Its proof that its configuration is the newest, translated into the receiver's boot clock so that it
    /// errs early.
    pub proof: Option<FreshnessProof>,
}

/// The state of a server, told by the daemon beside it on every answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct ServerReport {
    /// Calls running and waiting.
    pub load: u32,
    /// Calls that may run at once at present.
    pub limit: u32,
    /// What it admits.
    pub floor: AdmissionFloor,
}

/// What a call inherits from its request.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct CallContext {
    /// The request from outside that caused it.
    pub root: RootId,
    /// Order of shedding.
    pub priority: Priority,
    /// Time since the root request was admitted.
    pub root_age: Microseconds,
    /// Retry tokens that go with it.
    pub tokens: u32,
    /// It may have run before; see `RetryLedger`.
    pub repeat: bool,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Expiry in the receiver's boot clock.
    pub expiry: Instant,
    /// How long its answer is still early; it waits for a slot only while that can come true.
    pub objective_left: Microseconds,
    /// Services on the way from the entry to here, for the admission floors.
    pub depth: u32,
}

/// One header field.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct HeaderField {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: Vec<u8>,
}

/// A call without its body.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct CallHead {
    /// Chosen by the sender, unique in its incarnation.
    pub call: CallId,
    /// The sender's configuration.
    pub generation: Generation,
    /// Service that is called; must be the receiver's.
    pub service: String,
    /// What it inherits.
    pub context: CallContext,
    /// Names what is asked, the same for each copy.
    pub request: RequestDigest,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Header fields, those of connections left out.
    pub headers: Vec<HeaderField>,
    /// Whether a body follows.
    pub has_body: bool,
}

/// A call that the back end did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct Refusal {
    /// `NotRun` or `Unknown`.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// When the caller may come back.
    pub retry_after: Microseconds,
    /// Tokens that come back.
    pub unspent_tokens: u32,
    /// Crashes that speak against the request, as far as the refusing daemon knows.
    pub crashes: u32,
    /// State of the server.
    pub server: ServerReport,
}

/// An admission floor below [`AdmissionFloor::OPEN`], and the service whose server told it.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct ChainFloor {
    /// What is admitted there.
    pub floor: AdmissionFloor,
    /// The service.
    pub service: String,
}

impl ChainFloor {
    /// What a server of `service` tells; none where it admits everything.
    #[must_use]
    pub fn unless_open(service: &str, floor: AdmissionFloor) -> Option<Self> {
        (!floor.is_open()).then(|| Self { floor, service: service.to_owned() })
    }
}

/// The beginning of a back end's answer.
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
    /// Lowest floor of a service met by the calls below it; none where all were open. The floor of its own
    /// service is known to the caller from the reports of all servers.
    pub chain_floor: Option<ChainFloor>,
}

/// The end of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct AnswerTail {
    /// Which call.
    pub call: CallId,
    /// False when the back end broke off.
    pub complete: bool,
    /// Tokens that come back.
    pub unspent_tokens: u32,
}

/// What controllers ask each other.
#[derive(Debug, Clone, PartialEq, Readable, Writable)]
pub enum ControlRequest {
    /// Sends the configuration, or the generation only when the receiver has as much.
    GetConfiguration {
        /// The asker's generation.
        have: Generation,
    },
    /// Offers a configuration that is in force at the sender.
    PutConfiguration(StoredConfiguration),
    /// Asks a configuration witness to hold a configuration that the store has accepted.
    HoldConfiguration {
        /// Epoch of the configuration shard.
        epoch: Epoch,
        /// What to hold.
        stored: StoredConfiguration,
    },
    /// Asks a configuration witness for the newest that it holds.
    GetHeld {
        /// Epoch of the configuration shard.
        epoch: Epoch,
        /// The asker's generation.
        have: Generation,
    },
    /// Offers a roster.
    PutRoster(Roster),
    /// Asks for the roster.
    GetRoster,
    /// Asks whether this daemon serves a shard's epoch.
    WitnessStatus {
        /// Shard.
        shard: u32,
    },
    /// Seals an epoch.
    Seal {
        /// Shard.
        shard: u32,
        /// Epoch to end.
        epoch: Epoch,
    },
    /// Installs an epoch.
    Install {
        /// Shard.
        shard: u32,
        /// Epoch to begin.
        epoch: Epoch,
        /// Claims of earlier epochs.
        claims: Vec<Claim>,
        /// The newest accepted configuration, in the configuration shard.
        held: Option<StoredConfiguration>,
    },
    /// Asks to remember that an instance of the back end beside `member` takes no work any more.
    RememberDeparture {
        /// Gossip address of the daemon beside it.
        member: Address,
        /// The instance.
        instance: InstanceId,
    },
    /// Asks which instances beside `member` are remembered as departed.
    GetDepartures {
        /// Gossip address of the daemon beside them.
        member: Address,
    },
    /// Asks the holder of a shard of the tenants' limits for tokens.
    GetTokens {
        /// Number of the shard.
        shard: ShardNumber,
        /// Name of the tenant.
        tenant: String,
        /// Tokens that are wanted.
        wanted: u32,
    },
    /// Asks the holder of a claim what became of it.
    GetRecorded {
        /// The claim's key.
        key: ClaimKey,
        /// Its holder.
        holder: ClaimHolder,
    },
}

/// What controllers answer.
#[derive(Debug, Clone, PartialEq, Readable, Writable)]
pub enum ControlReply {
    /// Done, or taken notice of.
    Done,
    /// Refused: the receiver is in another state than the request supposes.
    Declined,
    /// The receiver's generation is not above the asker's.
    Generation(Generation),
    /// A newer configuration.
    Configuration(StoredConfiguration),
    /// The receiver's roster.
    Roster(Roster),
    /// Epoch served in a shard; zero for none.
    Serving(Epoch),
    /// What a sealed witness remembers.
    Sealed {
        /// Its claims.
        claims: Vec<Claim>,
        /// The configuration it holds, in the configuration shard.
        held: Option<StoredConfiguration>,
    },
    /// What became of a claim.
    Recorded(RecordedState),
    /// Tokens of a tenant's limit.
    Tokens {
        /// How many.
        tokens: u32,
        /// When to ask again; zero where there were some.
        pause: Microseconds,
    },
    /// Departed instances, the latest last.
    Departures(Vec<InstanceId>),
}

/// What became of a claimed call, as its holder knows.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub enum RecordedState {
    /// Its answer.
    Answered(RecordedAnswer),
    /// It runs, or it is not known whether it ran.
    Undecided,
    /// It was given up before any dispatch.
    GivenUp,
    /// The holder does not know the claim.
    Forgotten,
}

/// An answer kept for repeats of the same request.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<HeaderField>,
    /// Whole body.
    pub body: Vec<u8>,
}
