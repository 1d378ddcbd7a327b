//! Proof of freshness through messages that are lost, late and crossed, restarts, and a store that answers some: no
//! daemon goes by a configuration for longer than the bound after a newer one was accepted.
//!
//! Bounds: two daemons, few instants, one change of the configuration. Instants are those of one clock: a
//! translation into another's errs early, which makes a proof older and never younger.

use crate::search::{Model, SearchResult, Step, action, search};
use seamhatch_core::Instant;
use seamhatch_core::freshness::{FreshnessProof, FreshnessTracker};
use seamhatch_core::generation::Generation;
use std::collections::BTreeSet;

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreshnessFault {
    /// None.
    None,
    /// An answer proves the instant at which it arrived.
    CountedFromAnswer,
    /// A watch that hangs proves that nothing has changed.
    HangingWatch,
    /// Another daemon's proof counts from when it arrived.
    ProofWithoutAge,
    /// A proof counts before its generation is in force here.
    NotInForce,
}

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct FreshnessModel {
    /// Last instant.
    pub instants: u64,
    /// Restarts of each daemon.
    pub restarts: u8,
    /// The seeded fault.
    pub fault: FreshnessFault,
}

const DAEMONS: usize = 2;
/// For how long a proof counts.
const BOUND: u64 = 2;
/// Generations that are accepted, the first one at the start.
const GENERATIONS: usize = 2;
/// Messages on their way at a time.
const MOST_MESSAGES: usize = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    /// A question to the store.
    Ask { daemon: usize, incarnation: u8, sent: u64 },
    /// Its answer.
    Answer { daemon: usize, incarnation: u8, sent: u64, generation: u64 },
    /// Another daemon's proof.
    Proof { to: usize, generation: u64, at: u64 },
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct DaemonState {
    incarnation: u8,
    in_force: u64,
    tracker: FreshnessTracker,
}

/// A state of the store, the daemons and the messages between them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FreshnessState {
    now: u64,
    /// When each generation was accepted.
    accepted: Vec<u64>,
    daemons: [DaemonState; DAEMONS],
    messages: BTreeSet<Message>,
}

type Steps = Vec<Step<FreshnessState>>;

impl Model for FreshnessModel {
    type State = FreshnessState;

    fn initial(&self) -> FreshnessState {
        FreshnessState {
            now: 1,
            accepted: vec![0],
            daemons: [DaemonState::default(); DAEMONS],
            messages: BTreeSet::new(),
        }
    }

    fn steps(&self, state: &FreshnessState) -> Steps {
        let mut steps = Vec::new();
        if state.now < self.instants {
            Step::add(&mut steps, state, action("time passes", 0, 0), |next| next.now += 1);
        }
        if state.accepted.len() < GENERATIONS {
            Step::add(&mut steps, state, action("a configuration is accepted", 0, 0), |next| {
                next.accepted.push(next.now);
            });
        }
        for daemon in 0..DAEMONS {
            self.daemon_steps(state, daemon, &mut steps);
        }
        for message in &state.messages {
            Step::add(&mut steps, state, action("a message arrives", 0, 0), |next| {
                next.messages.remove(message);
                self.deliver(next, *message);
            });
            Step::add(&mut steps, state, action("a message is lost", 0, 0), |next| {
                next.messages.remove(message);
            });
        }
        steps
    }

    fn violation(&self, state: &FreshnessState) -> Option<&'static str> {
        let binding = state.accepted.iter().rposition(|at| at + BOUND < state.now)? as u64;
        let goes_by_older = |daemon: &DaemonState| {
            let proved = daemon.tracker.age(Instant(state.now)).is_some_and(|age| age <= BOUND);
            proved && daemon.in_force < binding
        };
        state.daemons.iter().any(goes_by_older).then_some("a daemon goes by a configuration past the bound")
    }
}

impl FreshnessModel {
    /// Searches all reachable states, at most `limit`.
    #[must_use]
    pub fn search(&self, limit: usize) -> SearchResult {
        search(self, limit)
    }

    fn daemon_steps(&self, state: &FreshnessState, daemon: usize, steps: &mut Steps) {
        let DaemonState { incarnation, in_force, tracker } = state.daemons[daemon];
        let other = 1 - daemon;
        if state.messages.len() < MOST_MESSAGES {
            Step::add(steps, state, action("asks the store", daemon, 0), |next| {
                next.messages.insert(Message::Ask { daemon, incarnation, sent: next.now });
            });
            if let Some(FreshnessProof { generation, at }) = tracker.proof() {
                let (generation, at) = (generation.0, at.0);
                Step::add(steps, state, action("sends its proof to", daemon, other), |next| {
                    next.messages.insert(Message::Proof { to: other, generation, at });
                });
            }
        }
        Step::add(steps, state, action("adopts the configuration of", daemon, other), |next| {
            let generation = next.daemons[other].in_force;
            next.daemons[daemon].adopt(generation);
        });
        if self.fault == FreshnessFault::HangingWatch {
            Step::add(steps, state, action("its watch hangs", daemon, 0), |next| {
                next.daemons[daemon].prove(in_force, next.now);
            });
        }
        if incarnation < self.restarts {
            Step::add(steps, state, action("restarts", daemon, 0), |next| {
                next.daemons[daemon] = DaemonState { incarnation: incarnation + 1, ..DaemonState::default() };
            });
        }
    }

    fn deliver(&self, state: &mut FreshnessState, message: Message) {
        let now = state.now;
        match message {
            Message::Ask { daemon, incarnation, sent } => {
                let generation = state.accepted.len() as u64 - 1;
                state.messages.insert(Message::Answer { daemon, incarnation, sent, generation });
            }
            Message::Answer { daemon, incarnation, sent, generation } => {
                let daemon = &mut state.daemons[daemon];
                if daemon.incarnation != incarnation {
                    return;
                }
                let late = self.fault == FreshnessFault::CountedFromAnswer;
                daemon.adopt(generation);
                daemon.prove(generation, if late { now } else { sent });
            }
            Message::Proof { to, generation, at } => {
                let without_age = self.fault == FreshnessFault::ProofWithoutAge;
                let daemon = &mut state.daemons[to];
                let not_in_force = self.fault == FreshnessFault::NotInForce;
                let generation = if not_in_force { generation.min(daemon.in_force) } else { generation };
                daemon.prove(generation, if without_age { now } else { at });
            }
        }
    }
}

impl DaemonState {
    fn adopt(&mut self, generation: u64) {
        self.in_force = self.in_force.max(generation);
        self.tracker.set_in_force(Generation(generation));
    }

    fn prove(&mut self, generation: u64, at: u64) {
        self.tracker.record(FreshnessProof { generation: Generation(generation), at: Instant(at) });
    }
}
