//! The instance of the back end beside this daemon: its heartbeats, its goodbye, and who remembers it.

use super::ControlThread;
use crate::base::clock;
use crate::control::{InstanceAnswer, InstanceEvent};
use crate::controllers::follow::{ask_departures, remember_departure};
use crate::server::crashes;
use crate::server::instances::OpenInstance;
use log::{info, warn};
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::departure::{DepartureInquiry, DepartureSource, InquiryVerdict};
use seamhatch_core::identity::Address;
use seamhatch_core::instance::{
    HEARTBEAT_SILENCE, Heartbeat, HeartbeatVerdict, InstanceId, InstanceState, REMEMBERED_DEPARTURES,
    Refutation,
};
use seamhatch_core::membership::MemberRecord;
use seamhatch_core::outcome::Reason;
use seamhatch_core::rendezvous;
use seamhatch_wire::ControlReply;
use std::collections::{HashMap, HashSet};
use tokio::sync::oneshot;

/// Time between two questions to peers about departures.
const DEPARTURE_POLL: Microseconds = 250 * MILLISECOND;
/// Daemons that are told of a departure.
const DEPARTURE_HOLDERS: usize = 3;
/// Daemons that are asked for departures: more, as the membership may have changed.
const DEPARTURE_ASKED: usize = 5;
/// Seed of the choice of these daemons.
const DEPARTURE_SEED: u64 = 3;
/// Share of its slots that a cold back end is given.
const COLD_SHARE: u32 = 2;

/// What is known of departed instances, here and on behalf of other daemons.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// Those of an earlier life are known as far as they can be.
    pub(super) settled: bool,
    inquiry: DepartureInquiry,
    asking: bool,
    next_poll: Instant,
    /// A heartbeat that arrived before they were.
    early: Option<Heartbeat>,
    /// Departures that other daemons have asked to remember.
    held: HashMap<Address, Vec<InstanceId>>,
    /// Instances whose departure is remembered elsewhere; dealt with once and for all.
    remembered: HashSet<InstanceId>,
}

impl ControlThread {
    pub(super) fn handle_instance(&mut self, event: InstanceEvent) {
        match event {
            InstanceEvent::Heartbeat(heartbeat, reply) => self.heartbeat(heartbeat, reply),
            InstanceEvent::Departs(instance, reply) => self.instance_departs(instance, reply),
            InstanceEvent::Lost(instance, Reason::OtherInstance) => self.refute_instance(&instance),
            InstanceEvent::Lost(instance, reason) => self.lost_instance(&instance, reason.name()),
            InstanceEvent::DepartureRemembered(instance) => self.departure_remembered(instance),
            InstanceEvent::DeparturesLearned(source, instances) => self.departures_learnt(source, &instances),
            InstanceEvent::DeparturesNotLearned => self.departures_not_learnt(),
        }
    }

    /// Departures of an earlier life, from the store or from the daemons that hold them.
    pub(super) fn departures_learnt(&mut self, source: DepartureSource, instances: &[InstanceId]) {
        if source == DepartureSource::Holders {
            self.departures.asking = false;
        }
        self.departures.inquiry.told(source);
        info!(source:? = source, instances = instances.len(); "departures of an earlier life told");
        if self.shared.server.instances.depart(instances) {
            warn!("the registered instance had departed before this daemon started");
            self.work_changed();
        }
        self.learn_departures(clock::now());
    }

    /// From now on the back end's heartbeats count.
    fn settle_departures(&mut self) {
        if std::mem::replace(&mut self.departures.settled, true) {
            return;
        }
        info!("departures of an earlier life are known");
        if let Some(heartbeat) = self.departures.early.take() {
            self.take_heartbeat(heartbeat);
        }
    }

    /// Both the store and the daemons that hold departures are asked: either may have noted one that
    /// the other has not. Each is waited for only so long.
    pub(super) fn learn_departures(&mut self, now: Instant) {
        if self.departures.settled {
            return;
        }
        let waited = now.since(self.started);
        match self.departures.inquiry.verdict(waited, self.departures.asking) {
            InquiryVerdict::Settled => return self.settle_departures(),
            InquiryVerdict::GivenUp => {
                warn!(
                    "neither the store nor a peer tells what departed before this start; the back end's word is taken"
                );
                return self.settle_departures();
            }
            InquiryVerdict::Wait => {}
        }
        self.ask_holders(now);
    }

    fn ask_holders(&mut self, now: Instant) {
        let departures = &self.departures;
        if departures.inquiry.holders_told() || departures.asking || now < departures.next_poll {
            return;
        }
        let peers = self.departure_peers(DEPARTURE_ASKED);
        if peers.is_empty() {
            return;
        }
        self.departures.next_poll = now.plus(DEPARTURE_POLL);
        self.departures.asking = true;
        let (shared, control) = (self.shared.clone(), self.control.clone());
        tokio::spawn(async move {
            control.send(match ask_departures(shared, peers).await {
                Some(instances) => InstanceEvent::DeparturesLearned(DepartureSource::Holders, instances),
                None => InstanceEvent::DeparturesNotLearned,
            });
        });
    }

    pub(super) fn departures_not_learnt(&mut self) {
        self.departures.asking = false;
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
        let held = self.departures.held.entry(member).or_default();
        if !held.contains(&instance) {
            if held.len() == REMEMBERED_DEPARTURES {
                held.remove(0);
            }
            held.push(instance);
        }
        ControlReply::Done
    }

    pub(super) fn held_departures(&self, member: Address) -> ControlReply {
        ControlReply::Departures(self.departures.held.get(&member).cloned().unwrap_or_default())
    }

    /// Takes in a heartbeat of the back end and answers it, once what it says is remembered.
    pub(super) fn heartbeat(&mut self, heartbeat: Heartbeat, reply: oneshot::Sender<InstanceAnswer>) {
        let instance = heartbeat.instance.clone();
        let instance = self.shared.server.instances.resolve(instance);
        if heartbeat.state == InstanceState::Draining {
            self.take_heartbeat(heartbeat);
            return self.remember(instance, reply);
        }
        if self.departures.settled || self.followed().is_none() {
            self.take_heartbeat(heartbeat);
        } else {
            // The back end may be one that has departed: its word counts when that is known.
            self.departures.early = Some(heartbeat);
        }
        // The back end may have gone away.
        let _ = reply.send(InstanceAnswer::Acknowledged);
    }

    fn take_heartbeat(&mut self, heartbeat: Heartbeat) {
        let (instance, sequence, now) = (heartbeat.instance.name.clone(), heartbeat.sequence, clock::now());
        let before = self.shared.server.instances.current();
        match self.shared.server.instances.heartbeat(heartbeat, now) {
            HeartbeatVerdict::Opened => {
                info!(instance = instance.as_str(), sequence = sequence; "instance opened");
                self.shared.server.backend.forget_connections();
                self.open_instance();
                self.note_replaced(before);
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

    /// Another instance than `before` may have been opened. One that leaves has ended as planned.
    fn note_replaced(&self, before: Option<InstanceId>) {
        let open = self.shared.server.instances.open().and_then(|open| open.id);
        let replaced = before.filter(|before| Some(before) != open.as_ref());
        let crashed = replaced.filter(|before| !self.shared.server.instances.is_leaving(before));
        if let Some(instance) = crashed {
            crashes::instance_replaced(&self.shared, &instance);
        }
    }

    fn open_instance(&mut self) {
        if let Some((slots, warm_at)) = self.shared.server.instances.capacity() {
            let cold = warm_at > clock::now();
            let initial = if cold { slots.div_ceil(COLD_SHARE) } else { slots };
            self.shared.server.gate.set_slots(slots, initial);
            self.membership.state.set_slots(slots);
        }
        self.work_changed();
    }

    /// Gives a back end that is no longer cold all its slots.
    fn warm_up(&mut self, now: Instant) {
        if let Some((slots, warm_at)) = self.shared.server.instances.capacity()
            && warm_at <= now
            && self.shared.server.gate.report().limit < slots
        {
            self.shared.server.gate.set_slots(slots, slots);
        }
    }

    /// The back end says goodbye.
    pub(super) fn instance_departs(&mut self, instance: InstanceId, reply: oneshot::Sender<InstanceAnswer>) {
        let instance = self.departing_life(instance);
        if self.shared.server.instances.depart([&instance]) {
            info!(instance = instance.name.as_str(); "instance closed: it said goodbye");
            self.work_changed();
        }
        self.remember(instance, reply);
    }

    /// The life that says goodbye. Where neither it nor what is registered tells, it is each that has started by now:
    /// a heartbeat of it may still come, and a later life may have its name.
    fn departing_life(&self, instance: InstanceId) -> InstanceId {
        let instance = self.shared.server.instances.resolve(instance);
        let is_registered = self.shared.server.instances.current().as_ref() == Some(&instance);
        let born = instance.born.or_else(|| (!is_registered).then(clock::unix_milliseconds));
        InstanceId { born, ..instance }
    }

    /// Answers once the store or another daemon remembers that an instance takes no work any more.
    fn remember(&self, instance: InstanceId, reply: oneshot::Sender<InstanceAnswer>) {
        let known = self.departures.remembered.contains(&instance);
        let Some(followed) = self.followed().filter(|_| !known).cloned() else {
            let _ = reply.send(InstanceAnswer::Acknowledged);
            return;
        };
        let peers = self.departure_peers(DEPARTURE_HOLDERS);
        let (shared, control) = (self.shared.clone(), self.control.clone());
        tokio::spawn(async move {
            let remembered = remember_departure(shared, followed, instance.clone(), peers).await;
            info!(instance = instance.name.as_str(), remembered = remembered; "departure of an instance");
            let _ = reply.send(if remembered {
                control.send(InstanceEvent::DepartureRemembered(instance));
                InstanceAnswer::Acknowledged
            } else {
                InstanceAnswer::NotRemembered
            });
        });
    }

    pub(super) fn departure_remembered(&mut self, instance: InstanceId) {
        if self.departures.remembered.len() >= REMEMBERED_DEPARTURES {
            self.departures.remembered.clear();
        }
        self.departures.remembered.insert(instance);
    }

    /// The back end answered as another instance than the registered one.
    pub(super) fn refute_instance(&mut self, instance: &InstanceId) {
        let refutation = self.shared.server.instances.refute(instance, clock::now());
        if refutation == Refutation::Known {
            return;
        }
        warn!(instance = instance.name.as_str(), refutation:? = refutation; "another instance answered");
        self.shared.server.backend.forget_connections();
        if refutation == Refutation::Replaced {
            self.open_instance();
        } else {
            self.work_changed();
        }
    }

    /// The back end could not be reached: it gets no new work until it is heard again.
    pub(super) fn lost_instance(&mut self, instance: &InstanceId, why: &str) {
        if self.shared.server.instances.suspend(instance) {
            warn!(instance = instance.name.as_str(), why = why; "instance lost");
            self.shared.server.backend.forget_connections();
            self.work_changed();
        }
    }

    pub(super) fn watch_heartbeats(&mut self, now: Instant) {
        let silent =
            self.shared.server.instances.heard().is_some_and(|heard| now.since(heard) > HEARTBEAT_SILENCE);
        if let Some(OpenInstance { id: Some(instance) }) =
            self.shared.server.instances.open().filter(|_| silent)
        {
            self.lost_instance(&instance, "no heartbeat");
        }
    }
}
