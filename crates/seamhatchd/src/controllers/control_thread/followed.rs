//! The controllers of a deployment whose store keeps what it acknowledged.

use super::ControlThread;
use crate::clock;
use crate::controllers::ask::ask_generation;
use crate::controllers::events::{ControlEvent, InstanceAnswer};
use crate::controllers::follow::{
    RememberedDepartures, ask_departures, discover, follow_configuration, remember_departures,
};
use crate::instances::OpenInstance;
use crate::ports::{Backing, FollowedStore};
use log::{info, warn};
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::Address;
use seamhatch_core::instance::{
    Heartbeat, HeartbeatVerdict, InstanceId, InstanceState, REMEMBERED_DEPARTURES,
};
use seamhatch_core::membership::{Lifecycle, MemberRecord};
use seamhatch_core::rendezvous;
use seamhatch_wire::ControlReply;
use std::collections::{HashMap, HashSet};
use tokio::sync::oneshot;

/// The store's own word is awaited for this long before a generation told by peers is asked for.
const PULL_PATIENCE: Microseconds = 300 * MILLISECOND;
/// Time between two attempts to get a generation that peers have told.
const PULL_INTERVAL: Microseconds = 400 * MILLISECOND;
/// A starting daemon that can't read the store relies on its peers after this time.
const STORE_PATIENCE: Microseconds = 800 * MILLISECOND;
/// A starting daemon that reaches neither the store nor a peer takes its back end's word after this time.
const DEPARTURE_PATIENCE: Microseconds = 4 * SECOND;
/// Time between two questions to peers about departures.
const DEPARTURE_POLL: Microseconds = 500 * MILLISECOND;
/// Daemons that are told of a departure.
const DEPARTURE_HOLDERS: usize = 3;
/// Daemons that are asked for departures: more, as the membership may have changed.
const DEPARTURE_ASKED: usize = 5;
/// Seed of the choice of these daemons.
const DEPARTURE_SEED: u64 = 3;
/// A back end that was silent for this long is taken to be gone until it is heard again.
const HEARTBEAT_SILENCE: Microseconds = 6 * SECOND;
/// Daemons that are greeted at once by one that starts.
const GREETED: usize = 6;
/// Share of its slots that a cold back end is given.
const COLD_SHARE: u32 = 2;

/// A generation that peers have and this daemon has not.
#[derive(Debug, Clone, Copy)]
struct Ahead {
    peer: Option<Address>,
    generation: Generation,
    since: Instant,
    next_pull: Instant,
}

/// What the controllers of a followed deployment keep.
#[derive(Debug, Default)]
pub(super) struct Following {
    /// The store has told the configuration in this life.
    configuration_read: bool,
    /// The departures of an earlier life are known.
    departures_known: bool,
    asking_departures: bool,
    next_departure_poll: Instant,
    /// A heartbeat that arrived before the departures were known.
    early: Option<Heartbeat>,
    ahead: Option<Ahead>,
    /// Departures that other daemons have asked to remember.
    held: HashMap<Address, Vec<InstanceId>>,
    /// Instances whose departure is remembered elsewhere; dealt with once and for all.
    remembered: HashSet<InstanceId>,
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
        self.following.departures_known = self.shared.settings.first_start;
        let metrics = self.shared.metrics.clone();
        tokio::spawn(follow_configuration(
            followed.clone(),
            self.documents.clone(),
            self.control.clone(),
            metrics.clone(),
        ));
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
        }
    }

    pub(super) fn discovered(&mut self, members: Vec<Address>) {
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
                control.send(ControlEvent::Offered(newer));
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

    /// Departures of an earlier life, from the store or from the daemons that hold them.
    pub(super) fn departures_learnt(&mut self, instances: &[InstanceId]) {
        self.following.asking_departures = false;
        if self.shared.instances.depart(instances) {
            warn!("the registered instance had departed before this daemon started");
            self.work_changed();
        }
        if std::mem::replace(&mut self.following.departures_known, true) {
            return;
        }
        info!(instances = instances.len(); "departures of an earlier life are known");
        if let Some(heartbeat) = self.following.early.take() {
            self.take_heartbeat(heartbeat);
        }
    }

    fn learn_departures(&mut self, now: Instant) {
        let following = &mut self.following;
        if following.departures_known || following.asking_departures || now < following.next_departure_poll {
            return;
        }
        following.next_departure_poll = now.plus(DEPARTURE_POLL);
        if now.since(self.started) > DEPARTURE_PATIENCE {
            warn!(
                "neither the store nor a peer tells what departed before this start; the back end's word is taken"
            );
            return self.departures_learnt(&[]);
        }
        let peers = self.departure_peers(DEPARTURE_ASKED);
        if peers.is_empty() || now.since(self.started) < STORE_PATIENCE {
            return;
        }
        self.following.asking_departures = true;
        let (shared, control) = (self.shared.clone(), self.control.clone());
        tokio::spawn(async move {
            control.send(match ask_departures(shared, peers).await {
                Some(instances) => ControlEvent::DeparturesLearnt(instances),
                None => ControlEvent::DeparturesNotLearnt,
            });
        });
    }

    pub(super) fn departures_not_learnt(&mut self) {
        self.following.asking_departures = false;
    }

    /// Peer addresses of the daemons that hold this daemon's departures.
    fn departure_peers(&self, count: usize) -> Vec<Address> {
        let own = self.shared.settings.advertise.gossip;
        let others = self.membership.state.others().filter(|record| record.is_live());
        let key = |record: &MemberRecord| format!("{own} {}", record.info.gossip).into_bytes();
        rendezvous::choose(DEPARTURE_SEED, others, key, count)
            .into_iter()
            .map(|record| record.info.peer)
            .collect()
    }

    pub(super) fn hold_departure(&mut self, member: Address, instance: InstanceId) -> ControlReply {
        let held = self.following.held.entry(member).or_default();
        if !held.contains(&instance) {
            if held.len() == REMEMBERED_DEPARTURES {
                held.remove(0);
            }
            held.push(instance);
        }
        ControlReply::Done
    }

    pub(super) fn held_departures(&self, member: Address) -> ControlReply {
        ControlReply::Departures(self.following.held.get(&member).cloned().unwrap_or_default())
    }

    /// Takes in a heartbeat of the back end and answers it, once what it says is remembered.
    pub(super) fn heartbeat(&mut self, heartbeat: Heartbeat, reply: oneshot::Sender<InstanceAnswer>) {
        let instance = heartbeat.instance.clone();
        if heartbeat.state == InstanceState::Draining {
            self.take_heartbeat(heartbeat);
            return self.remember(instance, reply);
        }
        if self.following.departures_known || self.followed().is_none() {
            self.take_heartbeat(heartbeat);
        } else {
            // The back end may be one that has departed: its word counts when that is known.
            self.following.early = Some(heartbeat);
        }
        // The back end may have gone away.
        let _ = reply.send(InstanceAnswer::Acknowledged);
    }

    fn take_heartbeat(&mut self, heartbeat: Heartbeat) {
        let (instance, sequence, now) = (heartbeat.instance.0.clone(), heartbeat.sequence, clock::now());
        match self.shared.instances.heartbeat(heartbeat, now) {
            HeartbeatVerdict::Opened => {
                info!(instance = instance.as_str(), sequence = sequence; "instance opened");
                self.shared.backend.forget_connections();
                self.open_instance();
            }
            HeartbeatVerdict::Closed => {
                info!(instance = instance.as_str(), sequence = sequence; "instance closed: it drains");
                self.work_changed();
            }
            HeartbeatVerdict::Stale => {
                info!(instance = instance.as_str(), sequence = sequence; "stale heartbeat passed over");
            }
            HeartbeatVerdict::Known => self.warm_up(now),
        }
    }

    fn open_instance(&mut self) {
        if let Some((slots, warm_at)) = self.shared.instances.capacity() {
            let cold = warm_at > clock::now();
            let initial = if cold { slots.div_ceil(COLD_SHARE) } else { slots };
            self.shared.gate.set_slots(slots, initial);
            self.membership.state.set_slots(slots);
        }
        self.work_changed();
    }

    /// Gives a back end that is no longer cold all its slots.
    fn warm_up(&mut self, now: Instant) {
        if let Some((slots, warm_at)) = self.shared.instances.capacity()
            && warm_at <= now
            && self.shared.gate.report().limit < slots
        {
            self.shared.gate.set_slots(slots, slots);
        }
    }

    /// The back end says goodbye.
    pub(super) fn instance_departs(&mut self, instance: InstanceId, reply: oneshot::Sender<InstanceAnswer>) {
        if self.shared.instances.depart([&instance]) {
            info!(instance = instance.0.as_str(); "instance closed: it said goodbye");
            self.work_changed();
        }
        self.remember(instance, reply);
    }

    /// Answers once the store or another daemon remembers that an instance takes no work any more.
    fn remember(&self, instance: InstanceId, reply: oneshot::Sender<InstanceAnswer>) {
        let known = self.following.remembered.contains(&instance);
        let Some(followed) = self.followed().filter(|_| !known).cloned() else {
            let _ = reply.send(InstanceAnswer::Acknowledged);
            return;
        };
        let mut departures = RememberedDepartures { instances: self.shared.instances.departed() };
        departures.instances.retain(|departed| *departed != instance);
        departures.instances.push(instance.clone());
        let peers = self.departure_peers(DEPARTURE_HOLDERS);
        let (shared, control) = (self.shared.clone(), self.control.clone());
        tokio::spawn(async move {
            let remembered = remember_departures(shared, followed, departures, peers).await;
            info!(instance = instance.0.as_str(), remembered = remembered; "departure of an instance");
            let _ = reply.send(if remembered {
                control.send(ControlEvent::DepartureRemembered(instance));
                InstanceAnswer::Acknowledged
            } else {
                InstanceAnswer::NotRemembered
            });
        });
    }

    pub(super) fn departure_remembered(&mut self, instance: InstanceId) {
        if self.following.remembered.len() >= REMEMBERED_DEPARTURES {
            self.following.remembered.clear();
        }
        self.following.remembered.insert(instance);
    }

    /// The back end could not be reached, or another instance answered there: it gets no new work until
    /// it is heard again.
    pub(super) fn lost_instance(&mut self, instance: &InstanceId, why: &str) {
        if self.shared.instances.suspend(instance) {
            warn!(instance = instance.0.as_str(), why = why; "instance lost");
            self.shared.backend.forget_connections();
            self.work_changed();
        }
    }

    fn watch_heartbeats(&mut self, now: Instant) {
        let silent = self.shared.instances.heard().is_some_and(|heard| now.since(heard) > HEARTBEAT_SILENCE);
        if let Some(OpenInstance { id: Some(instance) }) = self.shared.instances.open().filter(|_| silent) {
            self.lost_instance(&instance, "no heartbeat");
        }
    }

    /// The back end began or ceased to take work: everyone is told.
    pub(super) fn work_changed(&mut self) {
        if !self.shared.instances.is_open() {
            self.shared.gate.close();
        }
        self.shared.tell_peers();
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
