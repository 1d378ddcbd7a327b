//! Deployments in which operators write into a durable store that all daemons follow.
//!
//! Starts the tasks that follow the store and runs their periodic work. Configurations normally arrive through the watch of
//! the store. A generation that only peers report is requested from a peer after a short delay, so that a daemon that is cut
//! off from the store doesn't fall behind.

use super::{ControlThread, HOUSEKEEPING_INTERVAL};
use crate::base::clock;
use crate::control::{ConfigurationEvent, ConfigurationSource};
use crate::controllers::ask::ask_generation;
use crate::controllers::follow::{
    OwnRecord, ProofKeeper, ShardKeeper, ShardOwner, discover, follow_configuration, keep_proof_fresh,
    keep_quota_shards,
};
use crate::limits::freshness::ProofRelayPosition;
use crate::ports::{Backing, FollowedStore};
use log::info;
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::departure::{InquiryVerdict, STORE_ANSWER_TIMEOUT};
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::Address;
use seamhatch_core::rendezvous;
use seamhatch_wire::ControlReply;
use std::cmp::Reverse;
use std::sync::Arc;

/// Delay before a generation reported by peers is requested from a peer, to let the watch of the store deliver it first.
const PULL_DELAY: Microseconds = 300 * MILLISECOND;
/// Interval between two requests for a generation reported by peers.
const PULL_INTERVAL: Microseconds = 400 * MILLISECOND;
/// Number of members to which each member relays its freshness proofs. With 570 members, each is at most two heartbeats
/// from the first.
const PROOF_FANOUT: usize = 32;
/// Rendezvous hashing seed for the order in which daemons ask the store whether the configuration is the newest. Must differ
/// from the other seeds, so that no single daemon is first in every order.
const RELAY_SEED: u64 = 4;

/// A generation that peers have and this daemon lacks.
#[derive(Debug, Clone, Copy)]
struct MissingGeneration {
    /// Peer that reported the generation; none if unknown or already asked.
    peer: Option<Address>,
    generation: Generation,
    /// When a missing generation was first reported.
    since: Instant,
    next_pull: Instant,
}

/// What this daemon knows of the configuration in the followed store.
#[derive(Debug, Default)]
pub(super) struct FollowState {
    /// Whether the store has returned its configuration to this process, or reported that there is none.
    configuration_read: bool,
    missing: Option<MissingGeneration>,
}

impl ControlThread {
    pub(super) fn followed(&self) -> Option<&FollowedStore> {
        match &self.backing {
            Backing::Followed(followed) => Some(followed),
            Backing::Witnessed(_) => None,
        }
    }

    /// Starts the tasks that follow the store, if the deployment has a followed store.
    pub(super) fn start_following(&mut self) {
        let Some(followed) = self.followed().cloned() else { return };
        if self.shared.settings.first_start {
            // On the first start of a deployment, no daemon can have recorded a departure.
            self.departures.verdict = InquiryVerdict::Settled;
        }
        let documents = self.configuration.documents().clone();
        let (control, metrics) = (self.shared.control.clone(), self.shared.metrics.clone());
        let gossip = self.shared.settings.advertise.gossip;
        tokio::spawn(follow_configuration(
            followed.clone(),
            documents.clone(),
            control.clone(),
            metrics.clone(),
        ));
        tokio::spawn(keep_proof_fresh(ProofKeeper {
            followed: followed.clone(),
            documents,
            limits: self.shared.limits.clone(),
            control: control.clone(),
            metrics: metrics.clone(),
            pool: self.shared.pool.clone(),
        }));
        let keeper = ShardKeeper::new(
            self.shard_owner(),
            followed.clone(),
            self.shared.limits.clone(),
            control.clone(),
            metrics.clone(),
        );
        tokio::spawn(keep_quota_shards(keeper));
        let own_record = Arc::new(OwnRecord::new(followed.clone(), gossip, metrics.clone()));
        self.departures.own_record = Some(own_record.clone());
        self.start_keeping_evidence(own_record.clone());
        tokio::spawn(discover(own_record, followed, gossip, control, metrics));
    }

    /// This daemon's identity as a holder of shards.
    fn shard_owner(&self) -> ShardOwner {
        let settings = &self.shared.settings;
        ShardOwner {
            gossip: settings.advertise.gossip,
            peer: settings.advertise.peer,
            zone: settings.zone.clone(),
            incarnation: self.shared.incarnation,
        }
    }

    pub(super) fn tick_followed(&mut self, now: Instant) {
        self.pull_missing(now);
        self.verify_followed(now);
        self.learn_departures(now);
        self.watch_heartbeats(now);
        if now >= self.schedule.housekeeping {
            self.schedule.housekeeping = now.plus(HOUSEKEEPING_INTERVAL);
            self.update_metrics();
            self.update_relay_position();
            self.update_vacant_shards(now);
            self.shared.limits.quota.forget_old();
        }
    }

    /// Updates this daemon's rank, and its upstream member, in the order in which live members ask the store whether the
    /// configuration is the newest.
    fn update_relay_position(&self) {
        let weight = |member: Address| rendezvous::weight(RELAY_SEED, member.to_string().as_bytes());
        let own = weight(self.shared.settings.advertise.gossip);
        let live = self.membership.state.others().filter(|record| record.is_live());
        let mut before: Vec<(u64, Address)> = live
            .map(|record| (weight(record.info.gossip), record.info.peer))
            .filter(|(weight, _)| *weight > own)
            .collect();
        before.sort_unstable_by_key(|(weight, _)| Reverse(*weight));
        let rank = before.len();
        let upstream = rank.checked_sub(1).map(|above| before[above / PROOF_FANOUT].1);
        self.shared.limits.freshness.set_relay_position(ProofRelayPosition { rank, upstream });
    }

    /// Records a generation reported by a peer. The store is expected to deliver it as well.
    pub(super) fn record_newer_generation(&mut self, peer: Option<Address>, generation: Generation) {
        if generation <= self.configuration.generation() {
            return;
        }
        let now = clock::now();
        match &mut self.follow_state.missing {
            Some(missing) if generation > missing.generation => {
                missing.generation = generation;
                missing.peer = peer.or(missing.peer);
            }
            Some(_) => {}
            None => {
                let next_pull = now.plus(if self.is_ready() { PULL_DELAY } else { 0 });
                self.follow_state.missing =
                    Some(MissingGeneration { peer, generation, since: now, next_pull });
            }
        }
    }

    /// Requests a missing generation from the peer that reported it, later from random peers.
    fn pull_missing(&mut self, now: Instant) {
        let Some(mut missing) = self.follow_state.missing else { return };
        if missing.generation <= self.configuration.generation() {
            self.follow_state.missing = None;
            return;
        }
        if now < missing.next_pull {
            return;
        }
        missing.next_pull = now.plus(PULL_INTERVAL);
        let random = self.membership.random_peers(1).first().copied();
        let Some(peer) = missing.peer.take().or(random) else { return };
        self.follow_state.missing = Some(missing);
        let have = self.configuration.generation();
        let shared = self.shared.clone();
        tokio::spawn(async move {
            if let Some(ControlReply::Configuration(newer)) = ask_generation(&shared.pool, peer, have).await {
                info!(generation = newer.generation.0, waited_ms = clock::now().since(missing.since) / MILLISECOND; "configuration received from a peer");
                shared.control.send(ConfigurationEvent::Offered(newer, ConfigurationSource::Peer));
            }
        });
    }

    pub(super) fn followed_store_read(&mut self) {
        self.follow_state.configuration_read = true;
        self.verify_followed(clock::now());
    }

    /// Marks the configuration of a starting daemon as verified once it has read the store or, while the store is
    /// unavailable, has caught up with the peers that have sent it messages.
    fn verify_followed(&mut self, now: Instant) {
        if self.is_verified() {
            return;
        }
        let waited_for_store = now.since(self.started) >= STORE_ANSWER_TIMEOUT;
        let caught_up = self.follow_state.missing.is_none() && self.configuration.in_force().is_some();
        if self.follow_state.configuration_read || (waited_for_store && caught_up) {
            self.verified();
        }
    }
}
