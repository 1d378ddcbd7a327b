//! Configuration: racing submitters, lost answers, a store that is out or
//! restored from an older copy, and daemons that restart beside stale peers.
//!
//! A document is named by the submissions that made it, so that a daemon whose
//! document lacks an accepted submission shows as a reversal. All daemons are
//! configuration witnesses until they restart.

use crate::search::{Model, SearchResult, Step, action, search};
use seamhatch_core::generation::{
    Generation, Offer, SubmissionId, SubmissionStep, SubmissionView, Version, judge_offer, submission_step,
};
use seamhatch_core::identity::Fingerprint;

/// A step that is left out or done wrongly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationFault {
    /// None.
    None,
    /// Daemons adopt whatever is offered.
    AdoptAnything,
    /// A lost answer is taken for a failure, and the submitter is told so.
    LostMeansFailed,
    /// A lost answer is taken for success.
    LostMeansAccepted,
    /// A restarted daemon is ready with what one witness tells.
    ReadyFromOneWitness,
    /// What is read from the store is in force before a majority of witnesses holds it.
    NoRegistration,
    /// A submitter is told as soon as the store has answered.
    ToldBeforeRegistration,
}

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct ConfigurationModel {
    /// Submissions; submission `n` is made at daemon `n`.
    pub submissions: usize,
    /// Answers that are lost, with their write or after it.
    pub lost_answers: u8,
    /// Daemon restarts.
    pub restarts: u8,
    /// Times that the store goes back to an older copy.
    pub restores: u8,
    /// Whether the store goes out and comes back, any number of times.
    pub outages: bool,
    /// The seeded fault.
    pub fault: ConfigurationFault,
}

const DAEMONS: usize = 3;
const MAJORITY: usize = 2;

/// The daemon that watches the store.
const WATCHER: usize = 2;

/// A document: its submissions in order, the newest last. Its generation is their number.
type History = Vec<u8>;

/// Stands for the document in force at the beginning.
const FIRST: u8 = 100;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Told {
    Nothing,
    Accepted(Generation),
    Refused,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Submitter {
    based_on: Option<u64>,
    /// The newest document that a majority of witnesses told.
    known: History,
    read: Option<(History, u8)>,
    /// A write that was sent, with its condition.
    in_flight: Option<(History, u8)>,
    /// The generation that its write made, as far as it knows.
    landed: Option<Generation>,
    told: Told,
}

/// A document on its way to being in force at a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Candidate {
    document: History,
    holders: [bool; DAEMONS],
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Daemon {
    in_force: History,
    held: History,
    witness: bool,
    ready: bool,
    candidate: Option<Candidate>,
    /// Witnesses that answered at the start.
    asked: [bool; DAEMONS],
    /// The highest generation that was in force here, over all lives.
    highest: usize,
    reverted: bool,
}

/// A state of the configuration protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConfigurationState {
    store: History,
    revision: u8,
    older_copy: Option<History>,
    reachable: bool,
    submitters: Vec<Submitter>,
    daemons: [Daemon; DAEMONS],
    lost_answers_left: u8,
    restarts_left: u8,
    restores_left: u8,
}

fn version(history: &History) -> Option<Version> {
    let generation = Generation(history.len() as u64);
    (!history.is_empty()).then(|| Version { generation, content: Fingerprint::of(&[history]) })
}

fn is_newer(known: &History, offered: &History) -> bool {
    version(offered).is_some_and(|offered| judge_offer(version(known), offered) == Offer::Adopt)
}

type Steps = Vec<Step<ConfigurationState>>;

impl Model for ConfigurationModel {
    type State = ConfigurationState;

    fn initial(&self) -> ConfigurationState {
        let first = vec![FIRST];
        let daemon = Daemon {
            in_force: first.clone(),
            held: first.clone(),
            witness: true,
            ready: true,
            candidate: None,
            asked: [false; DAEMONS],
            highest: 1,
            reverted: false,
        };
        let submitter = Submitter {
            based_on: None,
            known: Vec::new(),
            read: None,
            in_flight: None,
            landed: None,
            told: Told::Nothing,
        };
        ConfigurationState {
            store: first,
            revision: 1,
            older_copy: None,
            reachable: true,
            submitters: vec![submitter; self.submissions],
            daemons: [daemon.clone(), daemon.clone(), daemon],
            lost_answers_left: self.lost_answers,
            restarts_left: self.restarts,
            restores_left: self.restores,
        }
    }

    fn steps(&self, state: &ConfigurationState) -> Vec<Step<ConfigurationState>> {
        let mut steps = Vec::new();
        for submitter in 0..state.submitters.len() {
            self.submitter_steps(state, submitter, &mut steps);
        }
        for daemon in 0..DAEMONS {
            self.adoption_steps(state, daemon, &mut steps);
            self.start_steps(state, daemon, &mut steps);
        }
        self.store_steps(state, &mut steps);
        steps
    }

    fn violation(&self, state: &ConfigurationState) -> Option<&'static str> {
        if state.daemons.iter().any(|daemon| daemon.reverted) {
            return Some("a daemon went back to an older configuration");
        }
        for (id, submitter) in state.submitters.iter().enumerate() {
            let id = id as u8;
            let broken = state.daemons.iter().any(|daemon| match submitter.told {
                Told::Nothing => false,
                Told::Refused => daemon.in_force.contains(&id),
                Told::Accepted(generation) => {
                    let place = generation.0 as usize - 1;
                    daemon.in_force.get(place).is_some_and(|held| *held != id)
                }
            });
            if broken {
                return Some("a daemon's configuration contradicts what a submitter was told");
            }
        }
        None
    }
}

impl ConfigurationModel {
    /// Searches all reachable states, at most `limit`.
    ///
    /// Not generic, so that it is compiled with this crate's optimisation also for tests.
    #[must_use]
    pub fn search(&self, limit: usize) -> SearchResult {
        search(self, limit)
    }

    fn submitter_steps(&self, state: &ConfigurationState, index: usize, steps: &mut Steps) {
        let submitter = &state.submitters[index];
        if submitter.told != Told::Nothing {
            return;
        }
        if let Some(generation) = submitter.landed {
            let registered =
                state.daemons[index].in_force.get(generation.0 as usize - 1) == Some(&(index as u8));
            if registered || self.fault == ConfigurationFault::ToldBeforeRegistration {
                Step::add(steps, state, action("submitter is told: accepted", index, 0), |next| {
                    next.submitters[index].told = Told::Accepted(generation);
                });
            }
            return;
        }
        if let Some((write, condition)) = submitter.in_flight.clone() {
            return self.write_steps(state, index, &write, condition, steps);
        }
        if submitter.read.is_some() {
            for known in state.majority_views() {
                Step::add(steps, state, action("submitter decides", index, known.len()), |next| {
                    next.submitters[index].known = known;
                    Self::decide(next, index);
                });
            }
        } else if state.reachable {
            Step::add(steps, state, action("submitter reads the store", index, 0), |next| {
                next.submitters[index].read = Some((next.store.clone(), next.revision));
            });
        }
    }

    fn decide(state: &mut ConfigurationState, index: usize) {
        let submitter = &mut state.submitters[index];
        let Some((stored, revision)) = submitter.read.take() else { return };
        let known = std::mem::take(&mut submitter.known);
        let first_seen = stored.len().max(known.len()) as u64;
        let recent: Vec<(SubmissionId, Generation)> = stored
            .iter()
            .enumerate()
            .map(|(place, id)| (SubmissionId(u64::from(*id)), Generation(place as u64 + 1)))
            .collect();
        let view = SubmissionView {
            id: SubmissionId(index as u64),
            based_on: Generation(*submitter.based_on.get_or_insert(first_seen)),
            known: Generation(known.len() as u64),
            stored: Generation(stored.len() as u64),
            recent: &recent,
        };
        match submission_step(&view) {
            SubmissionStep::Restore if state.revision == revision => {
                state.store = known;
                state.revision += 1;
            }
            SubmissionStep::Restore => {}
            SubmissionStep::Accepted(generation) => state.landed(index, generation, stored),
            SubmissionStep::Conflict(_) => submitter.told = Told::Refused,
            SubmissionStep::Write => {
                let mut next = stored;
                next.push(index as u8);
                submitter.in_flight = Some((next, revision));
            }
        }
    }

    fn write_steps(
        &self,
        state: &ConfigurationState,
        index: usize,
        write: &History,
        condition: u8,
        steps: &mut Steps,
    ) {
        let generation = Generation(write.len() as u64);
        Step::add(steps, state, action("write is answered", index, 0), |next| {
            if next.land(index, write, condition) {
                next.landed(index, generation, write.clone());
            }
        });
        if state.lost_answers_left == 0 {
            return;
        }
        Step::add(steps, state, action("write loses its answer", index, 0), |next| {
            next.lost_answers_left -= 1;
            next.land(index, write, condition);
            self.take_loss(next, index, generation);
        });
        Step::add(steps, state, action("write is lost on its way", index, 0), |next| {
            next.lost_answers_left -= 1;
            next.submitters[index].in_flight = None;
            self.take_loss(next, index, generation);
        });
    }

    fn take_loss(&self, state: &mut ConfigurationState, index: usize, generation: Generation) {
        match self.fault {
            ConfigurationFault::LostMeansFailed => state.submitters[index].told = Told::Refused,
            ConfigurationFault::LostMeansAccepted => {
                state.submitters[index].told = Told::Accepted(generation);
            }
            _ => {}
        }
    }

    /// How documents come into force: from the store by registration at a
    /// majority of witnesses, and from daemons where they are in force.
    fn adoption_steps(&self, state: &ConfigurationState, index: usize, steps: &mut Steps) {
        let daemon = &state.daemons[index];
        if index == WATCHER && state.reachable && is_newer(&daemon.in_force, &state.store) {
            Step::add(steps, state, action("daemon reads the store", index, 0), |next| {
                next.propose(index, next.store.clone());
            });
        }
        if is_newer(&daemon.in_force, &daemon.held) {
            Step::add(steps, state, action("daemon takes up what it holds", index, 0), |next| {
                next.propose(index, next.daemons[index].held.clone());
            });
        }
        self.registration_steps(state, index, steps);
        for other in (0..DAEMONS).filter(|other| *other != index) {
            let offered = state.daemons[other].in_force.clone();
            Step::add(steps, state, action("daemon passes its configuration to", other, index), |next| {
                if self.fault == ConfigurationFault::AdoptAnything
                    || is_newer(&next.daemons[index].in_force, &offered)
                {
                    next.daemons[index].adopt(offered);
                }
            });
        }
    }

    fn registration_steps(&self, state: &ConfigurationState, index: usize, steps: &mut Steps) {
        let Some(candidate) = &state.daemons[index].candidate else { return };
        for witness in 0..DAEMONS {
            if candidate.holders[witness] || !state.daemons[witness].witness {
                continue;
            }
            Step::add(steps, state, action("candidate is held at", index, witness), |next| {
                let document = candidate.document.clone();
                if is_newer(&next.daemons[witness].held, &document) {
                    next.daemons[witness].held = document;
                }
                // One that holds a contradicting document does not count.
                let agrees = next.daemons[witness].held.starts_with(&candidate.document);
                if let Some(candidate) = &mut next.daemons[index].candidate {
                    candidate.holders[witness] = agrees;
                }
            });
        }
        let holders = candidate.holders.iter().filter(|holds| **holds).count();
        if holders >= MAJORITY || self.fault == ConfigurationFault::NoRegistration {
            Step::add(steps, state, action("candidate is in force", index, 0), |next| {
                let Some(candidate) = next.daemons[index].candidate.take() else { return };
                if is_newer(&next.daemons[index].in_force, &candidate.document) {
                    next.daemons[index].adopt(candidate.document);
                }
            });
        }
    }

    fn start_steps(&self, state: &ConfigurationState, index: usize, steps: &mut Steps) {
        if state.restarts_left > 0 {
            Step::add(steps, state, action("daemon restarts", index, 0), |next| {
                next.restarts_left -= 1;
                next.daemons[index].restart();
            });
        }
        if state.daemons[index].ready {
            return;
        }
        for witness in (0..DAEMONS).filter(|witness| state.daemons[*witness].witness) {
            Step::add(steps, state, action("starting daemon asks witness", index, witness), |next| {
                let told = next.daemons[witness].held.clone();
                next.daemons[index].asked[witness] = true;
                next.propose(index, told);
            });
        }
        let daemon = &state.daemons[index];
        let answers = daemon.asked.iter().filter(|asked| **asked).count();
        let enough =
            answers >= MAJORITY || (answers > 0 && self.fault == ConfigurationFault::ReadyFromOneWitness);
        if enough && daemon.candidate.is_none() && !daemon.in_force.is_empty() {
            Step::add(steps, state, action("daemon is ready", index, 0), |next| {
                next.daemons[index].ready = true;
                next.daemons[index].note();
            });
        }
    }

    fn store_steps(&self, state: &ConfigurationState, steps: &mut Steps) {
        if self.outages {
            let what = if state.reachable { "the store goes out" } else { "the store comes back" };
            Step::add(steps, state, action(what, 0, 0), |next| next.reachable = !next.reachable);
        }
        let Some(copy) = state.older_copy.clone().filter(|_| state.restores_left > 0) else { return };
        Step::add(steps, state, action("the store goes back to an older copy", 0, 0), |next| {
            next.restores_left -= 1;
            next.store = copy;
            next.revision += 1;
        });
    }
}

impl ConfigurationState {
    /// What a submitter may hear from a majority of the witnesses.
    fn majority_views(&self) -> Vec<History> {
        let mut views = Vec::new();
        for left_out in 0..=DAEMONS {
            let asked: Vec<&Daemon> = (0..DAEMONS)
                .filter(|witness| *witness != left_out && self.daemons[*witness].witness)
                .map(|witness| &self.daemons[witness])
                .collect();
            if asked.len() < MAJORITY {
                continue;
            }
            let newest = asked.iter().map(|daemon| daemon.held.clone()).max_by_key(Vec::len);
            views.extend(newest.filter(|newest| !views.contains(newest)));
        }
        views
    }

    /// Carries a write out if its condition holds.
    fn land(&mut self, submitter: usize, write: &History, condition: u8) -> bool {
        self.submitters[submitter].in_flight = None;
        if self.revision != condition {
            return false;
        }
        self.older_copy.get_or_insert_with(|| self.store.clone());
        self.store.clone_from(write);
        self.revision += 1;
        true
    }

    /// The submitter's daemon brings what landed into force before it tells.
    fn landed(&mut self, submitter: usize, generation: Generation, document: History) {
        self.submitters[submitter].landed = Some(generation);
        self.propose(submitter, document);
    }

    /// A daemon starts to bring a document into force, or goes on with a newer one.
    fn propose(&mut self, daemon: usize, document: History) {
        let daemon = &mut self.daemons[daemon];
        let candidate = daemon.candidate.as_ref().map(|candidate| candidate.document.clone());
        let known = candidate.unwrap_or_else(|| daemon.in_force.clone());
        if is_newer(&known, &document) {
            daemon.candidate = Some(Candidate { document, holders: [false; DAEMONS] });
        }
    }
}

impl Daemon {
    fn adopt(&mut self, document: History) {
        self.in_force = document;
        self.note();
    }

    fn restart(&mut self) {
        self.in_force = Vec::new();
        self.held = Vec::new();
        self.witness = false;
        self.ready = false;
        self.candidate = None;
        self.asked = [false; DAEMONS];
    }

    /// What is in force counts only while the daemon is ready.
    fn note(&mut self) {
        if self.ready {
            self.reverted |= self.in_force.len() < self.highest;
            self.highest = self.highest.max(self.in_force.len());
        }
    }
}
