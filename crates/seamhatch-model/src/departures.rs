//! Departures of back end instances through restarts of the daemon beside them, losses of all
//! daemons, late heartbeats and late writes: an instance whose departure was acknowledged never takes
//! work again, and neither does one whose departure another daemon holds.
//!
//! Bounds: two instances, one after the other; one daemon that holds departures, and answers a
//! starting daemon within its patience, as the store does unless it may be silent. With a store that
//! may be silent to a starting daemon, one heartbeat of an instance may be late: the daemon takes two
//! that are far enough apart for a sign of life.

use crate::search::{Model, SearchResult, Step, action, search};
use seamhatch_core::Instant;
use seamhatch_core::departure::{
    DepartureInquiry, DepartureRecord, DepartureSource, EarlyHeartbeats, INQUIRY_TIMEOUT, InquiryVerdict,
    InquiryWait,
};
use seamhatch_core::instance::{Heartbeat, InstanceId, InstanceRegistry, InstanceState};
use std::collections::BTreeSet;

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeparturesFault {
    /// None.
    None,
    /// A departure is acknowledged before anybody else has noted it.
    AcknowledgedAtOnce,
    /// A departure is acknowledged once another daemon holds it.
    AcknowledgedByHolder,
    /// The store's word alone settles what departed before a start.
    StoreAlone,
    /// A write replaces the record, whatever lies there.
    ReplacedRecord,
    /// Heartbeats count before it is known what departed.
    TrustedAtOnce,
    /// A daemon that has waited in vain for the store trusts any heartbeat.
    TrustedWithoutStore,
}

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct DeparturesModel {
    /// Restarts of the daemon, alone or together with the holder.
    pub restarts: u8,
    /// Heartbeats in which each instance says that it is ready.
    pub heartbeats: u64,
    /// Whether the store may leave a starting daemon without an answer for longer than that waits.
    pub store_may_be_silent: bool,
    /// The seeded fault.
    pub fault: DeparturesFault,
}

const INSTANCES: usize = 2;
const NOW: Instant = Instant(1);
/// The wait of a daemon whose sources answer at once.
const NO_WAIT: InquiryWait = InquiryWait { started: 0, members_known: Some(0), asking: false };

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    NotStarted,
    Ready,
    Left,
}

/// A write on its way to the store; it may land at any time, or never.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct StoreWrite {
    expected: Option<u64>,
    record: DepartureRecord,
    instance: usize,
    incarnation: u8,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct DaemonState {
    incarnation: u8,
    registry: InstanceRegistry,
    inquiry: DepartureInquiry,
    verdict: InquiryVerdict,
    early: EarlyHeartbeats,
    /// The store has answered the inquiry.
    store_answered: bool,
    /// Departures that this incarnation has to have noted.
    pending: BTreeSet<usize>,
}

/// A state of the instances, the daemon beside them, the store and the holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DeparturesState {
    phases: [Phase; INSTANCES],
    sent: [u64; INSTANCES],
    acknowledged: [bool; INSTANCES],
    messages: BTreeSet<Heartbeat>,
    daemon: DaemonState,
    revision: u64,
    record: DepartureRecord,
    writes: Vec<StoreWrite>,
    held: BTreeSet<usize>,
}

fn instance_id(instance: usize) -> InstanceId {
    InstanceId::named(instance.to_string())
}

fn instance_number(id: &InstanceId) -> usize {
    id.name.parse().unwrap_or_default()
}

type Steps = Vec<Step<DeparturesState>>;

impl Model for DeparturesModel {
    type State = DeparturesState;

    fn initial(&self) -> DeparturesState {
        DeparturesState {
            phases: [Phase::Ready, Phase::NotStarted],
            sent: [0; INSTANCES],
            acknowledged: [false; INSTANCES],
            messages: BTreeSet::new(),
            daemon: DaemonState { verdict: InquiryVerdict::Settled, ..DaemonState::default() },
            revision: 0,
            record: DepartureRecord::default(),
            writes: Vec::new(),
            held: BTreeSet::new(),
        }
    }

    fn steps(&self, state: &DeparturesState) -> Steps {
        let mut steps = Vec::new();
        self.instance_steps(state, &mut steps);
        self.delivery_steps(state, &mut steps);
        self.remember_steps(state, &mut steps);
        self.store_steps(state, &mut steps);
        self.start_steps(state, &mut steps);
        steps
    }

    fn violation(&self, state: &DeparturesState) -> Option<&'static str> {
        let open = instance_number(&state.daemon.registry.open()?.id);
        if state.acknowledged[open] {
            return Some("an instance whose departure was acknowledged takes work");
        }
        state.held.contains(&open).then_some("an instance whose departure another daemon holds takes work")
    }
}

impl DeparturesModel {
    /// Searches all reachable states, at most `limit`.
    #[must_use]
    pub fn search(&self, limit: usize) -> SearchResult {
        search(self, limit)
    }

    fn instance_steps(&self, state: &DeparturesState, steps: &mut Steps) {
        for instance in 0..INSTANCES {
            match state.phases[instance] {
                Phase::NotStarted if state.phases[instance - 1] == Phase::Left => {
                    Step::add(steps, state, action("instance starts", instance, 0), |next| {
                        next.phases[instance] = Phase::Ready;
                    });
                }
                Phase::Ready => {
                    if state.sent[instance] < self.heartbeats {
                        Step::add(steps, state, action("instance is ready", instance, 0), |next| {
                            next.send(instance, InstanceState::Ready);
                        });
                    }
                    Step::add(steps, state, action("instance leaves", instance, 0), |next| {
                        next.phases[instance] = Phase::Left;
                        next.send(instance, InstanceState::Draining);
                    });
                }
                Phase::NotStarted | Phase::Left => {}
            }
        }
    }

    fn delivery_steps(&self, state: &DeparturesState, steps: &mut Steps) {
        for message in &state.messages {
            let instance = instance_number(&message.instance);
            Step::add(
                steps,
                state,
                action("heartbeat arrives", instance, message.sequence as usize),
                |next| {
                    next.messages.remove(message);
                    self.deliver(next, message.clone());
                },
            );
        }
    }

    fn deliver(&self, state: &mut DeparturesState, message: Heartbeat) {
        let instance = instance_number(&message.instance);
        let daemon = &mut state.daemon;
        if message.state == InstanceState::Draining {
            daemon.registry.heartbeat(message, NOW);
            daemon.pending.insert(instance);
            state.acknowledged[instance] |= self.fault == DeparturesFault::AcknowledgedAtOnce;
            return;
        }
        let is_confirmed = daemon.early.note(message.clone(), NOW);
        let is_trusted = match daemon.verdict {
            InquiryVerdict::Wait => self.fault == DeparturesFault::TrustedAtOnce,
            InquiryVerdict::Unconfirmed => is_confirmed || self.fault == DeparturesFault::TrustedWithoutStore,
            InquiryVerdict::Settled => true,
        };
        if is_trusted {
            daemon.registry.heartbeat(message, NOW);
        }
    }

    fn remember_steps(&self, state: &DeparturesState, steps: &mut Steps) {
        for &instance in &state.daemon.pending {
            Step::add(steps, state, action("the holder notes instance", instance, 0), |next| {
                next.held.insert(instance);
                next.acknowledged[instance] |= self.fault == DeparturesFault::AcknowledgedByHolder;
            });
            let in_flight = |write: &StoreWrite| {
                write.instance == instance && write.incarnation == state.daemon.incarnation
            };
            let noted = state.record.instances.contains(&instance_id(instance));
            if noted || state.writes.iter().any(in_flight) {
                continue;
            }
            Step::add(steps, state, action("the daemon writes instance", instance, 0), |next| {
                let write = self.write(next, instance);
                next.writes.push(write);
            });
        }
    }

    fn write(&self, state: &DeparturesState, instance: usize) -> StoreWrite {
        let incarnation = state.daemon.incarnation;
        let replaced = self.fault == DeparturesFault::ReplacedRecord;
        let known = DepartureRecord { instances: state.daemon.registry.departed().cloned().collect() };
        let mut record = if replaced { known } else { state.record.clone() };
        record.add(&instance_id(instance));
        StoreWrite { expected: (!replaced).then_some(state.revision), record, instance, incarnation }
    }

    fn store_steps(&self, state: &DeparturesState, steps: &mut Steps) {
        for index in 0..state.writes.len() {
            let instance = state.writes[index].instance;
            Step::add(steps, state, action("a write lands for instance", instance, index), |next| {
                next.land(index);
            });
            Step::add(steps, state, action("a write is lost for instance", instance, index), |next| {
                next.writes.remove(index);
            });
        }
    }

    fn start_steps(&self, state: &DeparturesState, steps: &mut Steps) {
        if state.daemon.incarnation < self.restarts {
            Step::add(steps, state, action("the daemon restarts", 0, 0), DeparturesState::restart);
            Step::add(steps, state, action("all daemons restart", 0, 0), |next| {
                next.restart();
                next.held.clear();
            });
        }
        if state.daemon.verdict == InquiryVerdict::Settled {
            return;
        }
        if self.store_may_be_silent && !state.daemon.store_answered {
            Step::add(steps, state, action("the daemon has waited for the store in vain", 0, 0), |next| {
                self.judge(next, InquiryWait { started: INQUIRY_TIMEOUT + 1, ..NO_WAIT });
            });
        }
        Step::add(steps, state, action("the store answers the inquiry", 0, 0), |next| {
            let instances = next.record.instances.clone();
            self.tell(next, DepartureSource::Store, &instances);
        });
        Step::add(steps, state, action("the holder answers the inquiry", 0, 0), |next| {
            let instances: Vec<InstanceId> = next.held.iter().map(|held| instance_id(*held)).collect();
            self.tell(next, DepartureSource::Holders, &instances);
        });
    }

    fn tell(&self, state: &mut DeparturesState, source: DepartureSource, instances: &[InstanceId]) {
        let daemon = &mut state.daemon;
        for instance in instances {
            daemon.registry.depart(instance);
        }
        daemon.inquiry.note_answer(source);
        daemon.store_answered |= source == DepartureSource::Store;
        if self.fault == DeparturesFault::StoreAlone && source == DepartureSource::Store {
            daemon.inquiry.note_answer(DepartureSource::Holders);
        }
        self.judge(state, NO_WAIT);
    }

    /// Applies the verdict of the inquiry, as the daemon's control thread does.
    fn judge(&self, state: &mut DeparturesState, wait: InquiryWait) {
        let daemon = &mut state.daemon;
        let trusted = match daemon.inquiry.verdict(wait) {
            InquiryVerdict::Wait => return,
            InquiryVerdict::Settled => {
                daemon.verdict = InquiryVerdict::Settled;
                std::mem::take(&mut daemon.early).latest().cloned()
            }
            InquiryVerdict::Unconfirmed => {
                daemon.verdict = InquiryVerdict::Unconfirmed;
                match self.fault {
                    DeparturesFault::TrustedWithoutStore => daemon.early.latest().cloned(),
                    _ => daemon.early.latest_confirmed().cloned(),
                }
            }
        };
        if let Some(heartbeat) = trusted {
            daemon.registry.heartbeat(heartbeat, NOW);
        }
    }
}

impl DeparturesState {
    fn send(&mut self, instance: usize, state: InstanceState) {
        self.sent[instance] += 1;
        let sequence = self.sent[instance];
        let instance = instance_id(instance);
        self.messages.insert(Heartbeat { instance, sequence, state, slots: 1, cold_for: 0 });
    }

    /// Replaces the daemon by its next incarnation, which knows nothing.
    fn restart(&mut self) {
        self.daemon = DaemonState { incarnation: self.daemon.incarnation + 1, ..DaemonState::default() };
    }

    fn land(&mut self, index: usize) {
        let write = self.writes.remove(index);
        if write.expected.is_some_and(|expected| expected != self.revision) {
            return;
        }
        self.record = write.record;
        self.revision += 1;
        let waited_for =
            write.incarnation == self.daemon.incarnation && self.daemon.pending.contains(&write.instance);
        self.acknowledged[write.instance] |= waited_for;
    }
}
