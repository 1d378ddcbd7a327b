//! Departures of instances: where they are recorded, and what a starting daemon must learn of them before it accepts a
//! heartbeat.
//!
//! A daemon may restart and then receive a late heartbeat of an instance that has departed. A departure is therefore
//! acknowledged only after the store has recorded it, which a kill of all daemons does not undo. Other daemons hold it as well,
//! and a starting daemon asks both. [`seamhatch_core::departure`] decides when enough answers have arrived; [`Departures`]
//! holds the known departures.

use super::ControlThread;
use crate::base::clock;
use crate::base::metrics::seconds;
use crate::control::{HolderAnswers, InstanceAnswer, InstanceEvent};
use crate::controllers::follow::{
    OwnRecord, ask_departures, ask_to_hold, record_departure, try_to_record_departure,
};
use log::{info, warn};
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::departure::{
    DepartureInquiry, DepartureSource, EarlyHeartbeats, InquiryVerdict, InquiryWait,
};
use seamhatch_core::identity::Address;
use seamhatch_core::instance::{Heartbeat, InstanceId, REMEMBERED_DEPARTURES};
use seamhatch_core::membership::MemberRecord;
use seamhatch_core::rendezvous;
use seamhatch_wire::ControlReply;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Maximum wait of a back end for the store to record its departure. The users' platform treats an acknowledgement after 1 s
/// as missing; the remaining 0.2 s are for its delivery.
const RECORD_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between two queries to other daemons about departures.
const DEPARTURE_POLL_INTERVAL: Microseconds = 250 * MILLISECOND;
/// Number of daemons asked to hold a departure. One is enough; the others cover daemons that restart or are unreachable.
const DEPARTURE_HOLDERS: usize = 3;
/// Number of daemons queried for departures. It exceeds [`DEPARTURE_HOLDERS`] because the membership may have changed.
const DEPARTURE_QUERY_FANOUT: usize = 5;
/// Rendezvous hashing seed for the choice of these daemons. Must differ from the other seeds.
const DEPARTURE_SEED: u64 = 3;

/// How far the record of a departure has come.
#[derive(Debug, Clone)]
pub(super) enum DepartureRecording {
    /// The store has it, or no store is followed.
    Done,
    /// Turns true once the store has it, and closes if the attempts have failed.
    UnderWay(watch::Receiver<bool>),
}

impl DepartureRecording {
    /// Returns true once the store has the departure, and false if the attempts have failed.
    async fn wait(self) -> bool {
        match self {
            Self::Done => true,
            Self::UnderWay(mut recorded) => recorded.wait_for(|recorded| *recorded).await.is_ok(),
        }
    }
}

/// Departed instances of this daemon's back end, and those held on behalf of other daemons.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// Whether heartbeats may be trusted: the departures before the start of this process are known as far as possible.
    pub(super) verdict: InquiryVerdict,
    inquiry: DepartureInquiry,
    /// When the store's records had named the other daemons.
    members_known: Option<Instant>,
    /// Whether a query to the daemons that may hold departures is in progress.
    asking: bool,
    next_poll: Instant,
    /// Daemons that have answered such a query.
    asked: HashSet<Address>,
    /// Heartbeats that arrived before they could be trusted.
    early: EarlyHeartbeats,
    /// Departures held on behalf of other daemons, by their gossip address.
    held: HashMap<Address, Vec<InstanceId>>,
    /// This daemon's record in the store, if one is followed.
    pub(super) own_record: Option<Arc<OwnRecord>>,
    /// Instances whose departure the store has recorded.
    recorded: HashSet<InstanceId>,
    /// Departures that are being written to the store. Each channel turns true once the store has recorded it.
    writes: HashMap<InstanceId, watch::Sender<bool>>,
}

impl ControlThread {
    /// Applies departures from before the start of this process that other daemons hold.
    pub(super) fn departures_held(&mut self, source: DepartureSource, answers: HolderAnswers) {
        self.departures.asking = false;
        self.departures.asked.extend(answers.peers);
        self.departures_learned(source, &answers.instances);
    }

    /// Applies departures from before the start of this process, reported by the store or by the daemons that hold them.
    pub(super) fn departures_learned(&mut self, source: DepartureSource, instances: &[InstanceId]) {
        self.departures.inquiry.note_answer(source);
        info!(source:? = source, instances = instances.len(); "received departures from before this start");
        if source == DepartureSource::Store {
            instances.iter().for_each(|instance| self.departures.note_recorded(instance.clone()));
        }
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
        if self.departures.verdict == InquiryVerdict::Settled {
            return;
        }
        let wait = InquiryWait {
            started: now.since(self.started),
            members_known: self.departures.members_known.map(|known| now.since(known)),
            asking: self.departures.asking,
        };
        match self.departures.inquiry.verdict(wait) {
            InquiryVerdict::Settled => return self.settle_departures(),
            InquiryVerdict::Unconfirmed => self.trust_confirmed(),
            InquiryVerdict::Wait => {}
        }
        self.ask_holders(now);
    }

    /// Ends the inquiry; heartbeats of the back end are applied from now on.
    fn settle_departures(&mut self) {
        self.departures.verdict = InquiryVerdict::Settled;
        info!("departures from before this start are known");
        let early = std::mem::take(&mut self.departures.early);
        if let Some(heartbeat) = early.latest() {
            self.apply_heartbeat(heartbeat.clone());
        }
    }

    /// Trusts instances whose heartbeats show that they run, until the store answers.
    fn trust_confirmed(&mut self) {
        if std::mem::replace(&mut self.departures.verdict, InquiryVerdict::Unconfirmed)
            == InquiryVerdict::Unconfirmed
        {
            return;
        }
        warn!(
            "the store has not reported the departures before this start; an instance is opened by its second heartbeat"
        );
        if let Some(heartbeat) = self.departures.early.latest_confirmed() {
            self.apply_heartbeat(heartbeat.clone());
        }
    }

    /// Keeps a heartbeat that can't be trusted yet: its instance may have departed before this start.
    pub(super) fn keep_early_heartbeat(&mut self, heartbeat: Heartbeat) {
        let is_confirmed = self.departures.early.note(heartbeat.clone(), clock::now());
        if is_confirmed && self.departures.verdict == InquiryVerdict::Unconfirmed {
            self.apply_heartbeat(heartbeat);
        }
    }

    /// The store's records have named all daemons: the holders of departures are among them.
    pub(super) fn holders_named(&mut self) {
        let now = clock::now();
        self.departures.members_known.get_or_insert(now);
        self.departures.next_poll = now;
    }

    fn ask_holders(&mut self, now: Instant) {
        let departures = &self.departures;
        if departures.asking || now < departures.next_poll {
            return;
        }
        let members_known = departures.members_known.is_some();
        let mut peers = self.departure_peers(DEPARTURE_QUERY_FANOUT);
        if !members_known {
            peers.retain(|peer| !departures.asked.contains(peer));
        }
        let is_needed = departures.inquiry.needs_holders(members_known, !peers.is_empty());
        if !is_needed || peers.is_empty() {
            return;
        }
        self.departures.next_poll = now.plus(DEPARTURE_POLL_INTERVAL);
        self.departures.asking = true;
        let (pool, control) = (self.shared.pool.clone(), self.shared.control.clone());
        let gossip = self.shared.settings.advertise.gossip;
        let source = if members_known { DepartureSource::Holders } else { DepartureSource::FirstHolders };
        tokio::spawn(async move {
            control.send(match ask_departures(pool, gossip, peers).await {
                Some(answers) => InstanceEvent::DeparturesHeld(source, answers),
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

    /// Answers the back end after the store has recorded that an instance takes no more work, or with
    /// [`InstanceAnswer::NotRecorded`] after [`RECORD_TIMEOUT`]. The attempts to record it go on beyond that.
    pub(super) fn acknowledge_departure(
        &mut self,
        instance: InstanceId,
        reply: oneshot::Sender<InstanceAnswer>,
    ) {
        let metrics = self.shared.metrics.clone();
        let recorded = tokio::time::timeout(RECORD_TIMEOUT, self.record_departure(instance).wait());
        tokio::spawn(async move {
            let is_recorded = recorded.await.unwrap_or(false);
            metrics.departure_answered(is_recorded);
            let answer = if is_recorded { InstanceAnswer::Acknowledged } else { InstanceAnswer::NotRecorded };
            // Fails if the back end has disconnected.
            let _ = reply.send(answer);
        });
    }

    /// Replies once the store has recorded a departure, or the attempts have failed.
    pub(super) fn await_record(&mut self, instance: InstanceId, reply: oneshot::Sender<bool>) {
        let recorded = self.record_departure(instance).wait();
        tokio::spawn(async move {
            // Fails if nobody waits any more.
            let _ = reply.send(recorded.await);
        });
    }

    /// Starts to record a departure in the followed store, if there is one, unless that is done or under way.
    pub(super) fn record_departure(&mut self, instance: InstanceId) -> DepartureRecording {
        let Some(own_record) = self.departures.own_record.clone() else { return DepartureRecording::Done };
        if self.departures.recorded.contains(&instance) {
            return DepartureRecording::Done;
        }
        if let Some(write) = self.departures.writes.get(&instance) {
            let recorded = write.subscribe();
            self.retry_record(own_record, instance);
            return DepartureRecording::UnderWay(recorded);
        }
        let (sender, receiver) = watch::channel(false);
        if self.departures.writes.len() >= REMEMBERED_DEPARTURES {
            // Counts as failed, as the sender is dropped; it is recorded when the back end repeats it.
            return DepartureRecording::UnderWay(receiver);
        }
        self.departures.writes.insert(instance.clone(), sender);
        self.ask_to_hold(instance.clone());
        let (metrics, control) = (self.shared.metrics.clone(), self.shared.control.clone());
        tokio::spawn(async move {
            let begun = clock::now();
            let recorded = record_departure(&own_record, &instance).await;
            let took = clock::now().since(begun);
            metrics.departure_seconds.observe(seconds(took));
            info!(
                instance = instance.name.as_str(), recorded = recorded, took_ms = took / MILLISECOND;
                "departure of an instance"
            );
            control.send(InstanceEvent::DepartureWritten { instance, recorded });
        });
        DepartureRecording::UnderWay(receiver)
    }

    /// Tries again to record a departure that the back end has repeated.
    fn retry_record(&self, own_record: Arc<OwnRecord>, instance: InstanceId) {
        let control = self.shared.control.clone();
        tokio::spawn(async move {
            if try_to_record_departure(&own_record, &instance).await {
                control.send(InstanceEvent::DepartureWritten { instance, recorded: true });
            }
        });
    }

    /// Asks other daemons to hold a departure, for a restart of this one while the store is out.
    fn ask_to_hold(&self, instance: InstanceId) {
        let gossip = self.shared.settings.advertise.gossip;
        let peers = self.departure_peers(DEPARTURE_HOLDERS);
        tokio::spawn(ask_to_hold(self.shared.pool.clone(), gossip, instance, peers));
    }

    pub(super) fn departure_written(&mut self, instance: InstanceId, is_recorded: bool) {
        let write = self.departures.writes.remove(&instance);
        if is_recorded {
            if let Some(write) = write {
                write.send_replace(true);
            }
            self.departures.note_recorded(instance);
        }
    }
}

impl Departures {
    fn note_recorded(&mut self, instance: InstanceId) {
        if self.recorded.len() >= REMEMBERED_DEPARTURES {
            // The set only avoids repeated writes: a departure removed here is recorded again on the next request.
            self.recorded.clear();
        }
        self.recorded.insert(instance);
    }
}
