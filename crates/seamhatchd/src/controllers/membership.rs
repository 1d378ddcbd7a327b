//! Membership on the network: sends and receives datagrams, and selects members for shared tasks.
//!
//! [`MembershipController`] owns the protocol state ([`Membership`]) and the gossip socket for the control thread.

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

/// Number of watchers of the store and of the list of machines per zone. With two, the zone tolerates the unnoticed loss of
/// one.
const WATCHERS_PER_ZONE: usize = 2;
/// Rendezvous hashing seed for the choice of watchers. Must differ from the other seeds, so that no single daemon is chosen
/// for every task.
const WATCHER_SEED: u64 = 1;
/// Rendezvous hashing seed for the choice of the coordinator. Must differ from the other seeds for the same reason.
const COORDINATOR_SEED: u64 = 2;

/// The membership protocol and its socket.
pub struct MembershipController {
    /// State of the protocol.
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

    /// Advances the protocol to the current time, and sends the resulting messages.
    pub fn tick(&mut self) {
        let outgoing = self.state.tick(clock::now(), |below| rand::random_range(0..below));
        self.send_all(outgoing);
    }

    /// Processes a datagram. Returns its message, or none if it can't be decoded.
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

    /// Sends messages. The protocol tolerates losses, so failed sends are not retried.
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

    /// Whether this daemon watches the store and the list of machines for its zone.
    pub fn is_watcher(&self) -> bool {
        let zone = &self.state.me().info.zone;
        let same_zone = |record: &&MemberRecord| record.info.zone == *zone;
        let live = self.candidates().filter(same_zone);
        self.is_chosen(WATCHER_SEED, live, WATCHERS_PER_ZONE)
    }

    /// Whether this daemon coordinates the roster of witnesses. Ready members are preferred, since a starting daemon can't
    /// maintain the roster yet.
    pub fn is_coordinator(&self) -> bool {
        let is_ready = |record: &&MemberRecord| record.lifecycle == Lifecycle::Ready;
        if self.candidates().any(|record| is_ready(&record)) {
            return self.is_chosen(COORDINATOR_SEED, self.candidates().filter(is_ready), 1);
        }
        self.is_chosen(COORDINATOR_SEED, self.candidates(), 1)
    }

    /// Live members that may be chosen for shared tasks, including this one.
    fn candidates(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(self.state.me())
            .chain(self.state.others())
            .filter(|record| record.is_live() && record.lifecycle != Lifecycle::Draining)
    }

    /// Peer addresses of up to `count` live members, sampled at random.
    pub fn random_peers(&self, count: usize) -> Vec<Address> {
        let mut peers: Vec<Address> =
            self.state.others().filter(|record| record.is_live()).map(|record| record.info.peer).collect();
        let mut sampled = Vec::new();
        while sampled.len() < count && !peers.is_empty() {
            sampled.push(peers.swap_remove(rand::random_range(0..peers.len())));
        }
        sampled
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
