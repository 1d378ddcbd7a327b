//! What a daemon reports of itself on a connection: who it is, and with each heartbeat the state of the server beside it.

use seamhatch_core::balance::{ServerPace, TurnReport};
use seamhatch_core::clock::Instant;
use seamhatch_core::drain::CallIntake;
use seamhatch_core::freshness::FreshnessProof;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::{Address, Incarnation};
use seamhatch_core::instance::InstanceId;
use seamhatch_core::notice::BackEndNotice;
use seamhatch_core::priority::AdmissionFloor;
use speedy::{Readable, Writable};

/// The sender, in the first message of each direction.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct Hello {
    /// Name of the deployment; daemons of different ones refuse each other.
    pub cluster: String,
    /// The sender's peer address.
    pub peer: Address,
    /// The sender's gossip address, so that the receiver learns of a restarted member.
    pub gossip: Address,
    /// This run of the sender's process.
    pub incarnation: Incarnation,
    /// Service of the server beside the sender, so that a receiver with an older record of this address sends it no calls
    /// for another service.
    pub service: String,
    /// The sender's boot clock.
    pub clock: Instant,
    /// Additions to the messages that the sender reads; see [`crate::ADDITIONS`].
    #[speedy(default_on_eof)]
    pub additions: u16,
    /// What the sender knows of the back end beside the receiver, which may have forgotten it in a restart.
    #[speedy(default_on_eof)]
    pub handed_back: Option<BackEndNotice>,
}

/// A heartbeat on an open connection.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct Pulse {
    /// The sender's boot clock.
    pub clock: Instant,
    /// Generation of its configuration in force.
    pub generation: Generation,
    /// Which calls its server gets.
    pub intake: CallIntake,
    /// The state of the server beside it.
    pub server: ServerReport,
    /// Its proof that its configuration is the newest, translated into the receiver's boot clock so that it
    /// errs early.
    pub proof: Option<FreshnessProof>,
    /// When its server has a turn for the receiver, where that names a rate.
    #[speedy(default_on_eof)]
    pub turn: Option<TurnReport>,
    /// What its server says of itself, for the receiver to hand back.
    #[speedy(default_on_eof)]
    pub notice: Option<BackEndNotice>,
    /// Where the sender or the receiver is about to end.
    #[speedy(default_on_eof)]
    pub farewell: Option<Farewell>,
    /// How long work takes at its server, where that tells it.
    #[speedy(default_on_eof)]
    pub pace: Option<ServerPace>,
    /// The instance of its server that takes calls, in the first heartbeat on the connection and after a change.
    #[speedy(default_on_eof)]
    pub instance: Option<InstanceId>,
}

/// The last word on calls between two daemons of which one is about to end. Messages keep their order, so that no call follows the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub enum Farewell {
    /// The sender is about to end and takes no more calls; it waits for the answer.
    Said,
    /// The sender has heard it and sends no more calls.
    Heard,
}

/// The state of a server, as the daemon beside it reports with every answer and heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct ServerReport {
    /// Calls running and waiting.
    pub load: u32,
    /// Calls that may run at once at present.
    pub limit: u32,
    /// What the server admits.
    pub floor: AdmissionFloor,
}
