//! Events for the control thread, grouped by subject. One file of `controllers::control_thread` handles each group.

use super::{Discovery, StatusReport, SubmitError, SubmitRequest, TransitionResult};
use crate::store::{ListedMachine, StoreError, Stored};
use seamhatch_core::departure::DepartureSource;
use seamhatch_core::freshness::FreshnessProof;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::{Address, RequestDigest};
use seamhatch_core::instance::{Heartbeat, InstanceId};
use seamhatch_core::outcome::Reason;
use seamhatch_core::roster::{Roster, WitnessDuty};
use seamhatch_policy::StoredConfiguration;
use seamhatch_wire::{ControlReply, ControlRequest, SealedMemory};
use tokio::sync::oneshot;

/// An event for the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A request of another daemon's controller.
    Request(ControlRequest, oneshot::Sender<ControlReply>),
    /// A query or command of an operator.
    Operator(OperatorEvent),
    /// Concerns the back-end instance beside this daemon.
    Instance(InstanceEvent),
    /// Concerns requests that were running when servers crashed.
    Suspects(SuspectEvent),
    /// Concerns the configuration.
    Configuration(ConfigurationEvent),
    /// Concerns the witnesses of claims.
    Roster(RosterEvent),
    /// Concerns other daemons.
    Member(MemberEvent),
    /// The set of shards of the tenants' limits that this daemon holds has changed.
    QuotaShardsChanged,
    /// The process is about to end; the control thread announces it to the other members.
    Leave(oneshot::Sender<()>),
}

/// Queries and commands of operators.
#[derive(Debug)]
pub enum OperatorEvent {
    /// Accept this configuration.
    Submit(SubmitRequest, oneshot::Sender<Result<Generation, SubmitError>>),
    /// Report the state of the deployment.
    Status(oneshot::Sender<StatusReport>),
    /// Return the newest configuration.
    GetConfiguration(oneshot::Sender<Option<StoredConfiguration>>),
    /// Drain a daemon; the reply is false when the daemon is unknown.
    Drain(DrainTarget, oneshot::Sender<bool>),
}

/// The daemon to drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainTarget {
    /// This one.
    Own,
    /// The member with this gossip address.
    Member(Address),
}

/// Concerns the back-end instance beside this daemon, and the departures of earlier instances.
#[derive(Debug)]
pub enum InstanceEvent {
    /// The instance sent a heartbeat.
    Heartbeat(Heartbeat, oneshot::Sender<InstanceAnswer>),
    /// The instance deregistered itself.
    Departs(InstanceId, oneshot::Sender<InstanceAnswer>),
    /// The instance announced in an answer that it leaves; `None` for an unnamed instance.
    SaysLeaving(Option<InstanceId>),
    /// Asks whether the store has recorded that the instance, which announced in an answer that it leaves, has departed.
    /// Replied once the store has, or could not be reached for long.
    AwaitRecord(InstanceId, oneshot::Sender<bool>),
    /// An unnamed instance that had announced that it leaves has ended, or still listens after 60 s.
    LeftUnnamed,
    /// The instance could not be reached, or another instance answered in its place.
    Lost(InstanceId, Reason),
    /// The attempts to record a departure in the store have ended.
    DepartureWritten {
        /// The departed instance.
        instance: InstanceId,
        /// Whether the store has recorded it.
        recorded: bool,
    },
    /// Instances that departed before this daemon started, as the store has recorded them.
    DeparturesRead(Vec<InstanceId>),
    /// The same, as other daemons hold them.
    DeparturesHeld(DepartureSource, HolderAnswers),
    /// None of the daemons that may hold departures answered.
    DeparturesNotLearned,
}

/// What daemons that may hold departures have answered.
#[derive(Debug, Default)]
pub struct HolderAnswers {
    /// Peer addresses of the daemons that answered.
    pub peers: Vec<Address>,
    /// The departed instances that they hold.
    pub instances: Vec<InstanceId>,
}

/// Reply to a message of a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceAnswer {
    /// The message took effect and, where necessary, was recorded in the store.
    Acknowledged,
    /// The departure took effect here, but the store has not recorded it yet.
    NotRecorded,
}

/// Concerns requests that were running when servers crashed.
#[derive(Debug)]
pub enum SuspectEvent {
    /// The evidence about these requests changed here; it is sent to the other daemons.
    Changed(Vec<RequestDigest>),
    /// These requests were running when this daemon's back end crashed, or are condemned and have a trial run there; the evidence
    /// against them is written to the store.
    CrashedHere(Vec<RequestDigest>),
}

/// Source from which this daemon received a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationSource {
    /// The watch of the followed store.
    Watch,
    /// A read of the store: at the start, after a failure, or to prove that the configuration in force is the newest.
    Store,
    /// Another daemon.
    Peer,
    /// A submission to this daemon.
    Submission,
    /// The witnesses, asked at the start.
    Witnesses,
}

impl ConfigurationSource {
    /// Name of the source in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Submission => "submission",
            Self::Witnesses => "witnesses",
        }
    }
}

/// Concerns the configuration.
#[derive(Debug)]
pub enum ConfigurationEvent {
    /// A daemon reported a newer generation than the one in force here.
    PeerGeneration {
        /// Its peer address; none when not known.
        peer: Option<Address>,
        /// The generation.
        generation: Generation,
    },
    /// A configuration that may be in force: a majority of the witnesses holds it, or a followed store has it.
    Offered(StoredConfiguration, ConfigurationSource),
    /// Several configurations in the order of their acceptance; the last usable one takes effect.
    OfferedSeries(Vec<StoredConfiguration>, ConfigurationSource),
    /// Proof that no newer configuration had been accepted at an instant.
    Proved(FreshnessProof),
    /// Result of reading the store in a deployment where daemons accept configurations.
    StoreRead(Result<Stored<Option<StoredConfiguration>>, StoreError>),
    /// The followed store was read; it returned its configuration or reported that there is none.
    FollowedStoreRead,
    /// A starting daemon has verified that it knows the newest accepted configuration.
    Verified,
    /// A starting daemon could not verify it with a majority of the witnesses.
    NotVerified,
    /// The registration of a configuration ended without a majority.
    NotRegistered,
}

/// Concerns the witnesses of claims.
#[derive(Debug)]
pub enum RosterEvent {
    /// A claim or a configuration found no majority, so the roster may have changed. Contains the peer that knows a later epoch, if any.
    Check(Option<Address>),
    /// Result of reading the roster from the store.
    Read(Result<Stored<Option<Roster>>, StoreError>),
    /// A roster was received from another daemon, or was written to the store.
    Offered(Roster),
    /// A change of a shard's witnesses made progress.
    Transition(TransitionResult),
    /// An attempt to write a changed roster has ended.
    WriteEnded,
    /// This daemon stops and asks which duties it still has as a witness.
    Duty(oneshot::Sender<WitnessDuty>),
    /// This daemon stops before others have taken over its shards. It retires as a witness if they can't take over because the store is
    /// unavailable, or if no duty remains.
    Retire(oneshot::Sender<Option<Retirement>>),
}

/// Result of the retirement of a stopping daemon as a witness.
#[derive(Debug)]
pub struct Retirement {
    /// Its sealed state, by shard.
    pub memories: Vec<SealedMemory>,
    /// Peer addresses of the daemons that can hold this state.
    pub holders: Vec<Address>,
}

/// Concerns other daemons.
#[derive(Debug)]
pub enum MemberEvent {
    /// The daemon with this gossip address connected.
    Connected(Address),
    /// The records of all daemons were read from the store.
    Discovered(Discovery),
    /// Result of reading the platform's machine list.
    MachinesRead(Result<Vec<ListedMachine>, StoreError>),
}

impl From<OperatorEvent> for ControlEvent {
    fn from(event: OperatorEvent) -> Self {
        Self::Operator(event)
    }
}

impl From<InstanceEvent> for ControlEvent {
    fn from(event: InstanceEvent) -> Self {
        Self::Instance(event)
    }
}

impl From<SuspectEvent> for ControlEvent {
    fn from(event: SuspectEvent) -> Self {
        Self::Suspects(event)
    }
}

impl From<ConfigurationEvent> for ControlEvent {
    fn from(event: ConfigurationEvent) -> Self {
        Self::Configuration(event)
    }
}

impl From<RosterEvent> for ControlEvent {
    fn from(event: RosterEvent) -> Self {
        Self::Roster(event)
    }
}

impl From<MemberEvent> for ControlEvent {
    fn from(event: MemberEvent) -> Self {
        Self::Member(event)
    }
}
