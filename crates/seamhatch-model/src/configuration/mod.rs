//! Configuration: racing submitters, lost answers, a store that is out or
//! restored from an older copy, and daemons that restart beside stale peers.
//!
//! A document is named by the submissions that made it, so that a daemon whose
//! document lacks an accepted submission shows as a reversal. All daemons are
//! configuration witnesses until they restart.

mod daemons;
mod state;
mod submitters;

pub use state::ConfigurationState;

use crate::search::{Model, SearchResult, Step, search};
use state::{DAEMONS, Daemon, FIRST, Submitter, Told};

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
    /// A restarted daemon is ready with what one witness returns.
    ReadyFromOneWitness,
    /// What is read from the store is in force before a majority of witnesses holds it.
    NoRegistration,
    /// A submitter is answered as soon as the store has answered.
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
            pending: None,
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
}
