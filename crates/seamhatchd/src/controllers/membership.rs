//! The membership part on the wire: datagrams in and out, and who watches the platform.

use crate::base::clock;
use crate::base::metrics::{BadInput, Metrics};
use log::{debug, warn};
use seamhatch_core::identity::Address;
use seamhatch_core::membership::{GossipMessage, Lifecycle, MemberRecord, Membership, Outgoing};
use seamhatch_core::rendezvous;
use seamhatch_wire::{decode_datagram, encode_datagram};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;

/// Watchers of the platform in each zone.
const WATCHERS_PER_ZONE: usize = 2;
/// Seed of the choice of watchers.
const WATCHER_SEED: u64 = 1;
/// Seed of the choice of the one that looks after the roster.
const COORDINATOR_SEED: u64 = 2;

/// Membership with its socket.
pub struct MembershipController {
    /// The protocol.
    pub state: Membership,
    socket: Arc<UdpSocket>,
    metrics: Arc<Metrics>,
}

impl MembershipController {
    /// Runs `state` on `socket`.
    pub fn new(state: Membership, socket: Arc<UdpSocket>, metrics: Arc<Metrics>) -> Self {
        Self { state, socket, metrics }
    }

    /// The gossip socket.
    pub fn socket(&self) -> Arc<UdpSocket> {
        self.socket.clone()
    }

    /// Moves time on.
    pub fn tick(&mut self) {
        let outgoing = self.state.tick(clock::now(), |below| rand::random_range(0..below));
        self.send_all(outgoing);
    }

    /// Takes in a datagram. Returns what the control thread needs of it.
    pub fn datagram(&mut self, bytes: &[u8], from: SocketAddr) -> Option<GossipMessage> {
        self.metrics.gossip_received_bytes.inc_by(bytes.len() as u64);
        let message = match decode_datagram(bytes) {
            Ok(message) => message,
            Err(error) => {
                self.metrics.bad_input(BadInput::Datagram);
                debug!(from = from.to_string().as_str(), error = error.to_string().as_str(); "datagram refused");
                return None;
            }
        };
        let outgoing = self.state.receive(message.clone(), clock::now());
        self.send_all(outgoing);
        Some(message)
    }

    /// Sends messages; one that can't be sent is as good as lost on the way.
    pub fn send_all(&self, outgoing: Vec<Outgoing>) {
        for (target, message) in outgoing {
            match encode_datagram(&message) {
                Ok(bytes) => {
                    self.metrics.gossip_sent_bytes.inc_by(bytes.len() as u64);
                    if let Err(error) = self.socket.try_send_to(&bytes, target.into()) {
                        debug!(target = target.to_string().as_str(), error = error.to_string().as_str(); "datagram not sent");
                    }
                }
                Err(error) => warn!(error = error.to_string().as_str(); "gossip message can't be encoded"),
            }
        }
    }

    /// Whether this daemon is among those that watch the platform for its zone.
    pub fn is_watcher(&self) -> bool {
        let zone = &self.state.me().info.zone;
        let same_zone = |record: &&MemberRecord| record.info.zone == *zone;
        let live = self.takers().filter(same_zone);
        self.is_chosen(WATCHER_SEED, live, WATCHERS_PER_ZONE)
    }

    /// Whether this daemon looks after the roster.
    pub fn is_coordinator(&self) -> bool {
        self.is_chosen(COORDINATOR_SEED, self.takers(), 1)
    }

    /// Live members that take part in common work, this one included.
    pub fn takers(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(self.state.me())
            .chain(self.state.others())
            .filter(|record| record.is_live() && record.lifecycle != Lifecycle::Draining)
    }

    /// Peer addresses of up to `count` live members, drawn at random.
    pub fn random_peers(&self, count: usize) -> Vec<Address> {
        let mut peers: Vec<Address> =
            self.state.others().filter(|record| record.is_live()).map(|record| record.info.peer).collect();
        let mut drawn = Vec::new();
        while drawn.len() < count && !peers.is_empty() {
            drawn.push(peers.swap_remove(rand::random_range(0..peers.len())));
        }
        drawn
    }

    fn is_chosen<'a>(
        &self,
        seed: u64,
        members: impl Iterator<Item = &'a MemberRecord>,
        count: usize,
    ) -> bool {
        let key = |record: &MemberRecord| record.info.gossip.to_string().into_bytes();
        let chosen = rendezvous::choose(seed, members, key, count);
        chosen.iter().any(|record| record.info.gossip == self.state.me().info.gossip)
    }
}
