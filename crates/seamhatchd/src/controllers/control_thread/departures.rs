//! Departures of instances: who remembers them, and what a starting daemon has to learn of them before it trusts a heartbeat.
//!
//! A daemon may restart and then receive a late heartbeat of an instance that has gone. So a departure is acknowledged only once the
//! store or another daemon remembers it, and a starting daemon asks both. [`seamhatch_core::departure`] decides when it knows enough;
//! [`Departures`] owns what is known.

use super::ControlThread;
use crate::base::clock;
use crate::control::{InstanceAnswer, InstanceEvent};
use crate::controllers::follow::{ask_departures, remember_departure};
use log::{info, warn};
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::departure::{DepartureInquiry, DepartureSource, InquiryVerdict};
use seamhatch_core::identity::Address;
use seamhatch_core::instance::{Heartbeat, InstanceId, REMEMBERED_DEPARTURES};
use seamhatch_core::membership::MemberRecord;
use seamhatch_core::rendezvous;
use seamhatch_wire::ControlReply;
use std::collections::{HashMap, HashSet};
use tokio::sync::oneshot;

/// Time between two questions to other daemons about departures. Chosen, not measured.
const DEPARTURE_POLL_INTERVAL: Microseconds = 250 * MILLISECOND;
/// Daemons that are asked to remember a departure: one is enough, the others are for those that restart or can't be reached. Chosen, not measured.
const DEPARTURE_HOLDERS: usize = 3;
/// Daemons that are asked for departures: more than hold them, as the membership may have changed. Chosen, not measured.
const DEPARTURE_QUERY_FANOUT: usize = 5;
/// Seed of the choice of these daemons. Any number will do that differs from the other seeds of rendezvous hashing.
const DEPARTURE_SEED: u64 = 3;

/// What is known of departed instances, here and on behalf of other daemons.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// Departures before the start of this process are known as far as they can be.
    pub(super) settled: bool,
    inquiry: DepartureInquiry,
    /// The daemons that may hold departures are being asked.
    asking: bool,
    next_poll: Instant,
    /// The last heartbeat that arrived before departures were settled.
    pub(super) early_heartbeat: Option<Heartbeat>,
    /// Departures that other daemons have asked to remember, by their gossip address.
    held: HashMap<Address, Vec<InstanceId>>,
    /// Instances whose departure the store or another daemon remembers: nothing more has to be done for them.
    remembered: HashSet<InstanceId>,
}

impl ControlThread {
    /// Uses departures before the start of this process, as the store or the daemons that hold them reported.
    pub(super) fn departures_learned(&mut self, source: DepartureSource, instances: &[InstanceId]) {
        if source == DepartureSource::Holders {
            self.departures.asking = false;
        }
        self.departures.inquiry.note_answer(source);
        info!(source:? = source, instances = instances.len(); "departures of an earlier life told");
        if self.shared.server.instances.depart(instances) {
            warn!("the registered instance had departed before this daemon started");
            self.availability_changed();
        }
        self.learn_departures(clock::now());
    }

    pub(super) fn departures_not_learned(&mut self) {
        self.departures.asking = false;
    }

    /// Asks the daemons that hold departures; the store is read by a task of its own. Either may have recorded one that the other has
    /// not. Each is waited for only so long.
    pub(super) fn learn_departures(&mut self, now: Instant) {
        if self.departures.settled {
            return;
        }
        let waited = now.since(self.started);
        match self.departures.inquiry.verdict(waited, self.departures.asking) {
            InquiryVerdict::Settled => self.settle_departures(),
            InquiryVerdict::GivenUp => {
                warn!(
                    "neither the store nor a peer tells what departed before this start; the back end's word is taken"
                );
                self.settle_departures();
            }
            InquiryVerdict::Wait => self.ask_holders(now),
        }
    }

    /// From now on the back end's heartbeats count.
    fn settle_departures(&mut self) {
        if std::mem::replace(&mut self.departures.settled, true) {
            return;
        }
        info!("departures of an earlier life are known");
        if let Some(heartbeat) = self.departures.early_heartbeat.take() {
            self.apply_heartbeat(heartbeat);
        }
    }

    fn ask_holders(&mut self, now: Instant) {
        let departures = &self.departures;
        if departures.inquiry.holders_answered() || departures.asking || now < departures.next_poll {
            return;
        }
        let peers = self.departure_peers(DEPARTURE_QUERY_FANOUT);
        if peers.is_empty() {
            return;
        }
        self.departures.next_poll = now.plus(DEPARTURE_POLL_INTERVAL);
        self.departures.asking = true;
        let (pool, control) = (self.shared.pool.clone(), self.shared.control.clone());
        let gossip = self.shared.settings.advertise.gossip;
        tokio::spawn(async move {
            control.send(match ask_departures(pool, gossip, peers).await {
                Some(instances) => InstanceEvent::DeparturesLearned(DepartureSource::Holders, instances),
                None => InstanceEvent::DeparturesNotLearned,
            });
        });
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

    /// Remembers a departure for another daemon.
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

    /// The departures remembered for another daemon.
    pub(super) fn held_departures(&self, member: Address) -> ControlReply {
        ControlReply::Departures(self.departures.held.get(&member).cloned().unwrap_or_default())
    }

    /// Answers the back end once the store or another daemon remembers that an instance takes no work any more.
    pub(super) fn remember(&self, instance: InstanceId, reply: oneshot::Sender<InstanceAnswer>) {
        let is_known = self.departures.remembered.contains(&instance);
        let Some(followed) = self.followed().filter(|_| !is_known).cloned() else {
            // The back end may have gone away.
            let _ = reply.send(InstanceAnswer::Acknowledged);
            return;
        };
        let peers = self.departure_peers(DEPARTURE_HOLDERS);
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let (pool, metrics) = (shared.pool.clone(), shared.metrics.clone());
            let gossip = shared.settings.advertise.gossip;
            let remembered =
                remember_departure(pool, metrics, followed, gossip, instance.clone(), peers).await;
            info!(instance = instance.name.as_str(), remembered = remembered; "departure of an instance");
            let answer = if remembered {
                shared.control.send(InstanceEvent::DepartureRemembered(instance));
                InstanceAnswer::Acknowledged
            } else {
                InstanceAnswer::NotRemembered
            };
            // The back end may have gone away.
            let _ = reply.send(answer);
        });
    }

    pub(super) fn departure_remembered(&mut self, instance: InstanceId) {
        if self.departures.remembered.len() >= REMEMBERED_DEPARTURES {
            // Forgotten ones are remembered again when they are asked for.
            self.departures.remembered.clear();
        }
        self.departures.remembered.insert(instance);
    }
}
