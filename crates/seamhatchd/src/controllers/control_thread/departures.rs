//! Departures of instances: where they are recorded, and what a starting daemon must learn of them before it accepts a
//! heartbeat.
//!
//! A daemon may restart and then receive a late heartbeat of an instance that has departed. A departure is therefore
//! acknowledged only after the store or another daemon has recorded it, and a starting daemon asks both.
//! [`seamhatch_core::departure`] decides when enough answers have arrived; [`Departures`] holds the known departures.

use super::ControlThread;
use crate::base::clock;
use crate::control::{InstanceAnswer, InstanceEvent};
use crate::controllers::follow::{DepartureRecorder, ask_departures, remember_departure};
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

/// Interval between two queries to other daemons about departures.
const DEPARTURE_POLL_INTERVAL: Microseconds = 250 * MILLISECOND;
/// Number of daemons asked to hold a departure. One is enough; the others cover daemons that restart or are unreachable.
const DEPARTURE_HOLDERS: usize = 3;
/// Number of daemons queried for departures. It exceeds [`DEPARTURE_HOLDERS`] because the membership may have changed.
const DEPARTURE_QUERY_FANOUT: usize = 5;
/// Rendezvous hashing seed for the choice of these daemons. Must differ from the other seeds.
const DEPARTURE_SEED: u64 = 3;

/// Departed instances of this daemon's back end, and those held on behalf of other daemons.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// Whether the departures before the start of this process are known as far as possible.
    pub(super) settled: bool,
    inquiry: DepartureInquiry,
    /// Whether a query to the daemons that may hold departures is in progress.
    asking: bool,
    next_poll: Instant,
    /// The last heartbeat that arrived before `settled` was set.
    pub(super) early_heartbeat: Option<Heartbeat>,
    /// Departures held on behalf of other daemons, by their gossip address.
    held: HashMap<Address, Vec<InstanceId>>,
    /// Instances whose departure the store or another daemon has recorded.
    remembered: HashSet<InstanceId>,
}

impl ControlThread {
    /// Applies departures from before the start of this process, reported by the store or by the daemons that hold them.
    pub(super) fn departures_learned(&mut self, source: DepartureSource, instances: &[InstanceId]) {
        if source == DepartureSource::Holders {
            self.departures.asking = false;
        }
        self.departures.inquiry.note_answer(source);
        info!(source:? = source, instances = instances.len(); "received departures from before this start");
        if self.shared.server.instances.depart(instances) {
            warn!("the registered instance had departed before this daemon started");
            self.availability_changed();
        }
        self.learn_departures(clock::now());
    }

    pub(super) fn departures_not_learned(&mut self) {
        self.departures.asking = false;
    }

    /// Queries the daemons that hold departures; a separate task reads the store. Either may have recorded a departure that
    /// the other lacks. The wait for each is bounded.
    pub(super) fn learn_departures(&mut self, now: Instant) {
        if self.departures.settled {
            return;
        }
        let waited = now.since(self.started);
        match self.departures.inquiry.verdict(waited, self.departures.asking) {
            InquiryVerdict::Settled => self.settle_departures(),
            InquiryVerdict::GivenUp => {
                warn!(
                    "neither the store nor a peer reported the departures before this start; accepting the back end's heartbeats"
                );
                self.settle_departures();
            }
            InquiryVerdict::Wait => self.ask_holders(now),
        }
    }

    /// Ends the inquiry; heartbeats of the back end are applied from now on.
    fn settle_departures(&mut self) {
        if std::mem::replace(&mut self.departures.settled, true) {
            return;
        }
        info!("departures from before this start are known");
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

    /// Peer addresses of up to `count` daemons chosen to hold this daemon's departures.
    fn departure_peers(&self, count: usize) -> Vec<Address> {
        let own = self.shared.settings.advertise.gossip;
        let others = self.membership.state.others().filter(|record| record.is_live());
        let key = |record: &MemberRecord| format!("{own} {}", record.info.gossip).into_bytes();
        rendezvous::choose(DEPARTURE_SEED, others, key, count)
            .into_iter()
            .map(|record| record.info.peer)
            .collect()
    }

    /// Holds a departure for another daemon.
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

    /// Returns the departures held for another daemon.
    pub(super) fn held_departures(&self, member: Address) -> ControlReply {
        ControlReply::Departures(self.departures.held.get(&member).cloned().unwrap_or_default())
    }

    /// Answers the back end after the store or another daemon has recorded that an instance takes no more work.
    pub(super) fn remember(&self, instance: InstanceId, reply: oneshot::Sender<InstanceAnswer>) {
        let is_known = self.departures.remembered.contains(&instance);
        let Some(followed) = self.followed().filter(|_| !is_known).cloned() else {
            // Fails if the back end has disconnected.
            let _ = reply.send(InstanceAnswer::Acknowledged);
            return;
        };
        let peers = self.departure_peers(DEPARTURE_HOLDERS);
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let (pool, metrics) = (shared.pool.clone(), shared.metrics.clone());
            let gossip = shared.settings.advertise.gossip;
            let begun = clock::now();
            let recorder = remember_departure(pool, metrics, followed, gossip, instance.clone(), peers).await;
            let waited_ms = clock::now().since(begun) / MILLISECOND;
            info!(
                instance = instance.name.as_str(), recorded_by = recorder.name(), waited_ms = waited_ms;
                "departure of an instance"
            );
            let answer = match recorder {
                DepartureRecorder::Nobody => InstanceAnswer::NotRemembered,
                DepartureRecorder::Store | DepartureRecorder::Daemon => {
                    shared.control.send(InstanceEvent::DepartureRemembered(instance));
                    InstanceAnswer::Acknowledged
                }
            };
            // Fails if the back end has disconnected.
            let _ = reply.send(answer);
        });
    }

    pub(super) fn departure_remembered(&mut self, instance: InstanceId) {
        if self.departures.remembered.len() >= REMEMBERED_DEPARTURES {
            // The set only avoids repeated writes: a departure removed here is recorded again on the next request.
            self.departures.remembered.clear();
        }
        self.departures.remembered.insert(instance);
    }
}
