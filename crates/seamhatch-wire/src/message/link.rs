//! What daemons say of themselves on a connection: who they are, and at each heartbeat the state of their server.

use seamhatch_core::clock::Instant;
use seamhatch_core::drain::CallIntake;
use seamhatch_core::freshness::FreshnessProof;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::{Address, Incarnation};
use seamhatch_core::priority::AdmissionFloor;
use speedy::{Readable, Writable};

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
