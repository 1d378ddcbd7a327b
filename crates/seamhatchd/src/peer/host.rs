//! What the connections between daemons need of the daemon that they belong to.
//!
//! The parts that keep what peers report (admission floors, freshness, the control thread) stand above this layer, so
//! the daemon's shared state implements [`LinkHost`].

use crate::base::metrics::BadInput;
use crate::peer::link::UnwrittenMessages;
use seamhatch_core::balance::{ServerPace, TurnReport};
use seamhatch_core::crashes::SuspectReport;
use seamhatch_core::freshness::FreshnessProof;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::Address;
use seamhatch_core::notice::BackEndNotice;
use seamhatch_wire::{CallIntake, Hello, Pulse, ServerReport};
use std::fmt;
use std::net::IpAddr;
use tokio::sync::futures::Notified;

/// What the heartbeats of this daemon report.
#[derive(Debug, Clone)]
pub struct LocalState {
    /// Configuration in force.
    pub generation: Generation,
    /// Which calls the back end gets.
    pub intake: CallIntake,
    /// State of the back end.
    pub server: ServerReport,
    /// Proof that the configuration is the newest, in the local boot clock.
    pub proof: Option<FreshnessProof>,
    /// When the back end has a turn for the peer, where it names a rate.
    pub turn: Option<TurnReport>,
    /// What the back end says of itself.
    pub notice: Option<BackEndNotice>,
    /// How long work takes at the back end, where it tells that.
    pub pace: Option<ServerPace>,
    /// The daemon is about to end and takes no more calls.
    pub is_stopping: bool,
}

/// The daemon at this end of its connections. Its methods are called for each message and must not block.
pub trait LinkHost: fmt::Debug + Send + Sync {
    /// The first message on each connection. One that is opened to `callee` hands back what is known of its back end.
    fn hello(&self, callee: Option<Address>) -> Hello;

    /// Counts the messages of all connections that are not written yet.
    fn unwritten(&self) -> &UnwrittenMessages;

    /// The address from which connections are opened, so that peers see which machine it is.
    fn own_ip(&self) -> IpAddr;

    /// What heartbeats to this peer report now.
    fn local_state(&self, peer: Address) -> LocalState;

    /// Resolves when the back end starts or stops taking calls.
    fn intake_changed(&self) -> Notified<'_>;

    /// A heartbeat came from the daemon at `peer`, beside a server of `service`, on a connection opened here.
    fn heartbeat_received(&self, service: &str, peer: Address, pulse: &Pulse);

    /// A peer reported the state of its server beside an answer.
    fn server_report(&self, service: &str, peer: Address, report: ServerReport);

    /// A peer tells what its back end says of itself.
    fn back_end_notice(&self, peer: Address, notice: Option<&BackEndNotice>);

    /// A connection opened here has ended.
    fn connection_ended(&self, service: &str, peer: Address);

    /// A peer reported suspects.
    fn suspects_reported(&self, reports: &[SuspectReport]);

    /// Counts input that was dropped.
    fn bad_input(&self, kind: BadInput);
}
