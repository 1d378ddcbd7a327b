//! The controllers of a deployment whose store keeps what it acknowledged.

use super::ControlThread;
use crate::base::clock;
use crate::control::{ConfigurationEvent, Discovery};
use crate::controllers::ask::ask_generation;
use crate::controllers::follow::{discover, follow_configuration, keep_fresh, keep_quota_shards};
use crate::ports::{Backing, FollowedStore};
use log::info;
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::departure::STORE_PATIENCE;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::Address;
use seamhatch_core::membership::{Lifecycle, MemberRecord};
use seamhatch_core::rendezvous;
use seamhatch_wire::ControlReply;

/// The store's own word is awaited for this long before a generation told by peers is asked for.
const PULL_PATIENCE: Microseconds = 300 * MILLISECOND;
/// Time between two attempts to get a generation that peers have told.
const PULL_INTERVAL: Microseconds = 400 * MILLISECOND;
/// Seed of the order in which daemons ask the store whether the configuration is the newest.
const ASKING_SEED: u64 = 4;
/// Daemons that are greeted at once by one that starts.
const GREETED: usize = 6;
/// A generation that peers have and this daemon has not.
#[derive(Debug, Clone, Copy)]
struct Ahead {
    peer: Option<Address>,
    generation: Generation,
    since: Instant,
    next_pull: Instant,
}

/// What is kept of the configuration in a followed deployment.
#[derive(Debug, Default)]
pub(super) struct Following {
    /// The store has told the configuration in this life.
    configuration_read: bool,
    ahead: Option<Ahead>,
}

impl ControlThread {
    pub(super) fn followed(&self) -> Option<&FollowedStore> {
        match &self.backing {
            Backing::Followed(followed) => Some(followed),
            Backing::Witnessed(_) => None,
        }
    }

    /// Begins to follow the store, where there is one to follow.
    pub(super) fn start_following(&mut self) {
        let Some(followed) = self.followed().cloned() else { return };
        if self.shared.settings.first_start {
            self.departures.settled = true;
        }
        let metrics = self.shared.metrics.clone();
        tokio::spawn(follow_configuration(
            followed.clone(),
            self.documents.clone(),
            self.control.clone(),
            metrics.clone(),
        ));
        tokio::spawn(keep_fresh(self.shared.clone(), followed.clone(), self.documents.clone()));
        tokio::spawn(keep_quota_shards(self.shared.clone(), followed.clone()));
        let gossip = self.shared.settings.advertise.gossip;
        tokio::spawn(discover(followed, gossip, self.control.clone(), metrics));
    }

    pub(super) fn tick_followed(&mut self, now: Instant) {
        self.pull_what_is_ahead(now);
        self.verify_followed(now);
        self.learn_departures(now);
        self.watch_heartbeats(now);
        if now >= self.schedule.roster {
            self.schedule.roster = now.plus(SECOND);
            self.update_metrics();
            self.update_asking_order();
            self.update_vacant_shards(now);
            self.shared.limits.quota.forget_old();
        }
    }

    /// Counts the live members that ask the store before this daemon whether the configuration is the newest.
    fn update_asking_order(&self) {
        let weight = |member: Address| rendezvous::weight(ASKING_SEED, member.to_string().as_bytes());
        let own = weight(self.shared.settings.advertise.gossip);
        let live = self.membership.state.others().filter(|record| record.is_live());
        self.shared.limits.freshness.set_rank(live.filter(|record| weight(record.info.gossip) > own).count());
    }

    pub(super) fn discovered(&mut self, Discovery { members, condemned, shards }: Discovery) {
        self.shared.suspects.merge(&condemned);
        self.learn_quota_shards(&shards);
        info!(members = members.len(); "read the daemons' records");
        let mut greeted: Vec<Address> = Vec::new();
        let own = self.shared.settings.advertise.gossip;
        let mut others: Vec<Address> = members.iter().copied().filter(|member| *member != own).collect();
        while greeted.len() < GREETED && !others.is_empty() {
            greeted.push(others.swap_remove(rand::random_range(0..others.len())));
        }
        self.membership.state.add_seeds(members);
        let outgoing = self.membership.state.greet(&greeted);
        self.membership.send_all(outgoing);
    }

    /// A daemon has connected: it may be one that has restarted.
    pub(super) fn met(&mut self, gossip: Address) {
        if self.followed().is_none() || gossip == self.shared.settings.advertise.gossip {
            return;
        }
        let known = self.membership.state.member(gossip).is_some_and(MemberRecord::is_live);
        if !known {
            self.membership.state.add_seeds([gossip]);
            let outgoing = self.membership.state.greet(&[gossip]);
            self.membership.send_all(outgoing);
        }
    }

    /// Notes a generation that a peer told. The store is expected to tell it too.
    pub(super) fn note_ahead(&mut self, peer: Option<Address>, generation: Generation) {
        if generation <= self.configuration.generation() {
            return;
        }
        let now = clock::now();
        match &mut self.following.ahead {
            Some(ahead) if generation > ahead.generation => {
                ahead.generation = generation;
                ahead.peer = peer.or(ahead.peer);
            }
            Some(_) => {}
            None => {
                let next_pull = now.plus(if self.is_ready() { PULL_PATIENCE } else { 0 });
                self.following.ahead = Some(Ahead { peer, generation, since: now, next_pull });
            }
        }
    }

    fn pull_what_is_ahead(&mut self, now: Instant) {
        let Some(mut ahead) = self.following.ahead else { return };
        if ahead.generation <= self.configuration.generation() {
            self.following.ahead = None;
            return;
        }
        if now < ahead.next_pull {
            return;
        }
        ahead.next_pull = now.plus(PULL_INTERVAL);
        let random = self.membership.random_peers(1).first().copied();
        let Some(peer) = ahead.peer.take().or(random) else { return };
        self.following.ahead = Some(ahead);
        let have = self.configuration.generation();
        let (shared, control) = (self.shared.clone(), self.control.clone());
        tokio::spawn(async move {
            if let Some(ControlReply::Configuration(newer)) = ask_generation(&shared, peer, have).await {
                info!(generation = newer.generation.0, waited_ms = clock::now().since(ahead.since) / 1000; "configuration learnt from a peer");
                control.send(ConfigurationEvent::Offered(newer));
            }
        });
    }

    pub(super) fn configuration_was_read(&mut self) {
        self.following.configuration_read = true;
        self.verify_followed(clock::now());
    }

    /// A starting daemon knows the newest configuration when it has read the store, or, while that is
    /// out, has caught up with the peers it has heard.
    fn verify_followed(&mut self, now: Instant) {
        if self.verified {
            return;
        }
        let patient = now.since(self.started) < STORE_PATIENCE;
        let caught_up = self.following.ahead.is_none() && self.configuration.in_force().is_some();
        self.verified = self.following.configuration_read || (!patient && caught_up);
        self.become_ready_if_verified();
    }

    /// The back end began or ceased to take work: everyone is told.
    pub(super) fn work_changed(&mut self) {
        if !self.shared.server.instances.is_open() {
            self.shared.server.gate.close();
        }
        self.shared.lifecycle.notify_peers();
        self.update_lifecycle();
    }

    /// Tells the members where this daemon is in its life, if that has changed.
    pub(super) fn update_lifecycle(&mut self) {
        let lifecycle = if self.shared.takes_work() {
            Lifecycle::Ready
        } else if self.shared.is_draining() {
            Lifecycle::Draining
        } else {
            Lifecycle::Joining
        };
        if self.membership.state.me().lifecycle != lifecycle {
            self.membership.state.set_lifecycle(lifecycle);
            self.announce();
            self.publish();
        }
    }
}
