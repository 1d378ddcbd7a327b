//! The interface between peer connections and the daemon that owns them.
//!
//! The components that consume peers' reports (admission floors, freshness, the control thread) are in higher
//! layers, so the daemon's shared state implements [`LinkHost`].

use crate::base::metrics::BadInput;
use crate::peer::link::UnwrittenMessages;
use seamhatch_core::balance::{ServerPace, TurnReport};
use seamhatch_core::crashes::SuspectReport;
use seamhatch_core::freshness::FreshnessProof;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::Address;
use seamhatch_core::instance::InstanceId;
use seamhatch_core::notice::BackEndNotice;
use seamhatch_wire::{CallIntake, Hello, Pulse, ServerReport};
use std::fmt;
use std::net::IpAddr;
use tokio::sync::futures::Notified;

/// The state that this daemon's heartbeats report.
#[derive(Debug, Clone)]
pub struct LocalState {
    /// Generation of the configuration in force.
    pub generation: Generation,
    /// Which calls the back end accepts.
    pub intake: CallIntake,
    /// Load of the back end.
    pub server: ServerReport,
    /// Proof that the configuration is the newest, in the local boot clock.
    pub proof: Option<FreshnessProof>,
    /// When the back end next accepts a call of the peer; `None` if the back end is not rate-limited (no named rate, and
    /// no ramp after one).
    pub turn: Option<TurnReport>,
    /// The rate limit and departure that the back end has announced.
    pub notice: Option<BackEndNotice>,
    /// The instance of the back end that takes calls, if instances register.
    pub instance: Option<InstanceId>,
    /// How long work takes at the back end; none if the back end does not report it.
    pub pace: Option<ServerPace>,
    /// The daemon is about to stop and accepts no more calls.
    pub is_stopping: bool,
}

/// The daemon that owns the connections. The methods are called for each message and must not block.
pub trait LinkHost: fmt::Debug + Send + Sync {
    /// The first message on a connection. On a connection to `callee`, it also tells the callee what this daemon knows
    /// of the callee's back end, in case the callee has restarted and lost that.
    fn hello(&self, callee: Option<Address>) -> Hello;

    /// The counter of unwritten messages of all connections.
    fn unwritten(&self) -> &UnwrittenMessages;

    /// The local address of outgoing connections, which identifies this machine to peers.
    fn own_ip(&self) -> IpAddr;

    /// The state that a heartbeat to `peer` reports now.
    fn local_state(&self, peer: Address) -> LocalState;

    /// Resolves when the back end starts or stops accepting calls.
    fn intake_changed(&self) -> Notified<'_>;

    /// Called for a heartbeat of the daemon at `peer`, beside a server of `service`, on an outgoing connection.
    fn heartbeat_received(&self, service: &str, peer: Address, heartbeat: &Pulse);

    /// Called when a peer reports the load of its server with an answer.
    fn server_report(&self, service: &str, peer: Address, report: ServerReport);

    /// Called when a peer reports what its back end has announced.
    fn back_end_notice(&self, peer: Address, notice: Option<&BackEndNotice>);

    /// Called when an outgoing connection has closed.
    fn connection_ended(&self, service: &str, peer: Address);

    /// Called when a peer reports requests that are suspected of crashing servers.
    fn suspects_reported(&self, reports: &[SuspectReport]);

    /// Counts dropped input.
    fn bad_input(&self, kind: BadInput);
}
