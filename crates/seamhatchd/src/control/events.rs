//! Events for the control thread, grouped by what they are about. Each group is handled in one file of `controllers::control_thread`.

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
    /// Another daemon's controller asks.
    Request(ControlRequest, oneshot::Sender<ControlReply>),
    /// An operator asks or gives an order.
    Operator(OperatorEvent),
    /// About the back end's instance beside this daemon.
    Instance(InstanceEvent),
    /// About requests that were at work when servers crashed.
    Suspects(SuspectEvent),
    /// About the configuration.
    Configuration(ConfigurationEvent),
    /// About the witnesses of claims.
    Roster(RosterEvent),
    /// About other daemons.
    Member(MemberEvent),
    /// This daemon holds other shards of the tenants' limits than before.
    QuotaShardsChanged,
    /// The process is about to end: the other members are to learn it.
    Leave(oneshot::Sender<()>),
}

/// What operators ask for.
#[derive(Debug)]
pub enum OperatorEvent {
    /// Accept this configuration.
    Submit(SubmitRequest, oneshot::Sender<Result<Generation, SubmitError>>),
    /// Report the state of the deployment.
    Status(oneshot::Sender<StatusReport>),
    /// Return the newest configuration.
    GetConfiguration(oneshot::Sender<Option<StoredConfiguration>>),
    /// Drain a daemon; false when it isn't known.
    Drain(DrainTarget, oneshot::Sender<bool>),
}

/// Which daemon is to drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainTarget {
    /// This one.
    Own,
    /// The member with this gossip address.
    Member(Address),
}

/// About the back end's instance beside this daemon, and the departures of earlier ones.
#[derive(Debug)]
pub enum InstanceEvent {
    /// It sent a heartbeat.
    Heartbeat(Heartbeat, oneshot::Sender<InstanceAnswer>),
    /// It said goodbye.
    Departs(InstanceId, oneshot::Sender<InstanceAnswer>),
    /// It has said in an answer that it leaves; none for one without a name.
    SaysLeaving(Option<InstanceId>),
    /// It has no name, has said that it leaves, and has ended.
    LeftUnnamed,
    /// It could not be reached, or another one answered in its place.
    Lost(InstanceId, Reason),
    /// The store or another daemon remembers that it departed.
    DepartureRemembered(InstanceId),
    /// Instances that departed before this daemon started, and who reported them.
    DeparturesLearned(DepartureSource, Vec<InstanceId>),
    /// None of the daemons that may hold departures answered.
    DeparturesNotLearned,
}

/// What a back end is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceAnswer {
    /// Its message counts, and is remembered where that matters.
    Acknowledged,
    /// That it leaves counts here, but nobody else remembers it yet.
    NotRemembered,
}

/// About requests that were at work when servers crashed.
#[derive(Debug)]
pub enum SuspectEvent {
    /// The evidence about these changed here: the other daemons are to learn it.
    Changed(Vec<RequestDigest>),
    /// These ran in a crash of this daemon's back end, or are condemned and have a trial run there: the store is to remember
    /// what speaks against them.
    CrashedHere(Vec<RequestDigest>),
}

/// From where this daemon learnt a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationSource {
    /// The watch of the followed store.
    Watch,
    /// A read of the store: at the start, after a failure, or to prove that the one in force is the newest.
    Store,
    /// Another daemon.
    Peer,
    /// A submission to this daemon.
    Submission,
    /// The witnesses, asked at the start.
    Witnesses,
}

impl ConfigurationSource {
    /// Its name in logs.
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

/// About the configuration.
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
    /// Several that were accepted one after the other, in their order: the last one that can be used counts.
    OfferedSeries(Vec<StoredConfiguration>, ConfigurationSource),
    /// No newer configuration had been accepted at an instant.
    Proved(FreshnessProof),
    /// The store was read, in a deployment where daemons accept configurations.
    StoreRead(Result<Stored<Option<StoredConfiguration>>, StoreError>),
    /// The followed store has returned its configuration, or that there is none.
    FollowedStoreRead,
    /// A starting daemon has learned the newest accepted configuration.
    Verified,
    /// A starting daemon could not learn it from a majority of the witnesses.
    NotVerified,
    /// The registration of a configuration ended without a majority.
    NotRegistered,
}

/// About the witnesses of claims.
#[derive(Debug)]
pub enum RosterEvent {
    /// A claim or a configuration found no majority: the roster may have changed, as this daemon's peer has seen.
    Check(Option<Address>),
    /// The store's roster was read.
    Read(Result<Stored<Option<Roster>>, StoreError>),
    /// A roster came from another daemon, or was written.
    Offered(Roster),
    /// A change of witnesses made progress.
    Transition(TransitionResult),
    /// An attempt to write a changed roster has ended.
    WriteEnded,
    /// This daemon stops: what does it still owe the others as a witness?
    Duty(oneshot::Sender<WitnessDuty>),
    /// This daemon stops and others have not taken over its shards: it retires as a witness if they can't, as the store is out.
    Retire(oneshot::Sender<Option<Retirement>>),
}

/// A daemon that stops has retired as a witness.
#[derive(Debug)]
pub struct Retirement {
    /// What it remembers of its shards.
    pub memories: Vec<SealedMemory>,
    /// Peer addresses of the daemons that can hold it.
    pub holders: Vec<Address>,
}

/// About other daemons.
#[derive(Debug)]
pub enum MemberEvent {
    /// The daemon with this gossip address has connected.
    Connected(Address),
    /// The records of all daemons were read from the store.
    Discovered(Discovery),
    /// The platform's list of machines was read.
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
