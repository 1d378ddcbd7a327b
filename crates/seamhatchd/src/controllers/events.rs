//! What the control thread is told and asked.

use crate::controllers::follow::Discovery;
use crate::controllers::machines::Machine;
use crate::controllers::roster_change::TransitionResult;
use crate::controllers::status::StatusReport;
use crate::controllers::submission::SubmitError;
use crate::store::{StoreError, Stored};
use seamhatch_core::departure::DepartureSource;
use seamhatch_core::freshness::FreshnessProof;
use seamhatch_core::generation::{Generation, SubmissionId};
use seamhatch_core::identity::{Address, RequestDigest};
use seamhatch_core::instance::{Heartbeat, InstanceId};
use seamhatch_core::outcome::Reason;
use seamhatch_core::roster::Roster;
use seamhatch_policy::StoredConfiguration;
use seamhatch_wire::{ControlReply, ControlRequest};
use tokio::sync::oneshot;

/// A new configuration from an operator.
#[derive(Debug, Clone)]
pub struct SubmitRequest {
    /// Chosen by the submitter; a repeat with the same id is the same submission.
    pub id: SubmissionId,
    /// Who submits it, as they say.
    pub author: String,
    /// The TOML text.
    pub document: String,
    /// Refuse unless this is the generation in force.
    pub expect_generation: Option<Generation>,
}

/// Which daemon is to drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainTarget {
    /// This one.
    Own,
    /// The member with this gossip address.
    Member(Address),
}

/// What a back end is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceAnswer {
    /// What it said counts, and is remembered where that matters.
    Acknowledged,
    /// That it leaves counts here, but nobody else remembers it yet.
    NotRemembered,
}

/// An event for the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// Another daemon's controller asks.
    Request(ControlRequest, oneshot::Sender<ControlReply>),
    /// A daemon told a newer generation.
    PeerGeneration {
        /// Its peer address; none when not known.
        peer: Option<Address>,
        /// What it told.
        generation: Generation,
    },
    /// An operator submits.
    Submit(SubmitRequest, oneshot::Sender<Result<Generation, SubmitError>>),
    /// An operator asks for the state.
    Status(oneshot::Sender<StatusReport>),
    /// An operator asks for the configuration.
    GetStored(oneshot::Sender<Option<StoredConfiguration>>),
    /// A daemon is to drain.
    Drain(DrainTarget, oneshot::Sender<bool>),
    /// This daemon is about to stop.
    Leave(oneshot::Sender<()>),
    /// A claim found no majority: the roster may have changed.
    CheckRoster,
    /// The store was read.
    StoreRead(Result<Stored<Option<StoredConfiguration>>, StoreError>),
    /// A configuration that may be in force: a majority of the witnesses holds it.
    Offered(StoredConfiguration),
    /// A starting daemon has learnt the newest accepted configuration.
    Verified,
    /// A starting daemon could not learn it from a majority of the witnesses.
    NotVerified,
    /// The registration of a configuration ended without a majority.
    NotRegistered,
    /// The store's roster was read.
    RosterRead(Result<Stored<Option<Roster>>, StoreError>),
    /// A roster came from a peer or was written.
    RosterOffered(Roster),
    /// A roster change made progress.
    Transition(TransitionResult),
    /// A heartbeat of the back end.
    Heartbeat(Heartbeat, oneshot::Sender<InstanceAnswer>),
    /// An instance of the back end says goodbye.
    InstanceDeparts(InstanceId, oneshot::Sender<InstanceAnswer>),
    /// An instance could not be reached, or another one answered in its place.
    InstanceLost(InstanceId, Reason),
    /// What is known of these suspects has changed here: the other daemons are to know it.
    SuspectsChanged(Vec<RequestDigest>),
    /// The departure of an instance is remembered elsewhere.
    DepartureRemembered(InstanceId),
    /// Instances that departed in an earlier life of this daemon, and who tells.
    DeparturesLearnt(DepartureSource, Vec<InstanceId>),
    /// No daemon answered the question for them.
    DeparturesNotLearnt,
    /// The followed store has told the configuration as it is, or that there is none.
    StoreConfigurationRead,
    /// This daemon holds other shards of the tenants' limits than before.
    QuotaShardsChanged,
    /// At an instant, no newer configuration had been accepted.
    Proved(FreshnessProof),
    /// What the store knows of all daemons.
    Discovered(Discovery),
    /// Requests that a crash of this daemon's back end has condemned.
    Condemned(Vec<RequestDigest>),
    /// A daemon with this gossip address has connected.
    Met(Address),
    /// The machine list was read.
    MachinesRead(Result<Vec<Machine>, StoreError>),
}
