//! Questions between the controllers of daemons, and their answers. Each has the number of its exchange, so that many
//! can be open on one connection.

use super::HeaderField;
use seamhatch_core::claims::{Claim, ClaimHolder, ClaimKey, Epoch};
use seamhatch_core::clock::Microseconds;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::Address;
use seamhatch_core::instance::InstanceId;
use seamhatch_core::quota::ShardNumber;
use seamhatch_core::roster::{Roster, WitnessId};
use seamhatch_policy::StoredConfiguration;
use speedy::{Readable, Writable};

/// What controllers ask each other.
#[derive(Debug, Clone, PartialEq, Readable, Writable)]
pub enum ControlRequest {
    /// Asks for the configuration, or for the generation alone where the receiver has none newer.
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
        /// The configuration.
        stored: StoredConfiguration,
    },
    /// Asks a configuration witness for the newest configuration that it holds.
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
    /// Asks to remember that an instance of the back end beside `member` has departed and takes no more calls.
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
    /// Asks the holder of a claim what became of its call.
    GetRecorded {
        /// The claim's key.
        key: ClaimKey,
        /// Its holder.
        holder: ClaimHolder,
    },
    /// Asks to hold what a witness remembers that has retired.
    HoldSealed(SealedMemory),
    /// Asks for what a retired witness remembered in a shard.
    GetSealed {
        /// Shard.
        shard: u32,
        /// The witness.
        witness: WitnessId,
    },
    /// Asks to hold the answer of a claimed call, as its holder ends.
    HoldRecorded {
        /// The claim's key.
        key: ClaimKey,
        /// Its holder.
        holder: ClaimHolder,
        /// The answer.
        answer: RecordedAnswer,
    },
}

/// What a witness that has retired remembers of one shard.
#[derive(Debug, Clone, PartialEq, Readable, Writable)]
pub struct SealedMemory {
    /// Shard.
    pub shard: u32,
    /// The witness.
    pub witness: WitnessId,
    /// Its claims.
    pub claims: Vec<Claim>,
    /// The configuration it holds, in the configuration shard.
    pub held: Option<StoredConfiguration>,
}

/// What controllers answer.
#[derive(Debug, Clone, PartialEq, Readable, Writable)]
pub enum ControlReply {
    /// Done, or known already.
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
        /// When to ask again, in microseconds from now; zero where there were some.
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
    /// It is running, or it is unknown whether it ran.
    Undecided,
    /// It was given up before any dispatch.
    GivenUp,
    /// The holder has no record of the claim.
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
