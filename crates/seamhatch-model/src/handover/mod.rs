//! Handover of a shard by witnesses that stop in order, with coordinators that each know only what they have seen.
//!
//! The shard begins with one claim that a majority has granted. Daemons are asked to stop, and end as soon as the rule of the daemon lets
//! them; others are killed at any time. Coordinators read the roster, look at the witnesses, plan, seal and install in any order; one that does
//! nothing more has ended. The store is out wherever no step writes the roster.
//!
//! A daemon that stops may also retire, and others hold what it remembers: that is not lost here.
//!
//! Bounds: one shard, no restart (a restarted daemon is another witness, as is one that was not asked yet), no wait after a loss.

mod coordinators;
mod daemons;
mod state;

pub use state::HandoverState;

use crate::search::{Model, SearchResult, Step, search};
use seamhatch_core::claims::{Epoch, Witness};
use seamhatch_core::roster::{Assignment, SealProgress, ShardRoster, WITNESSES};
use state::{Coordinator, Daemon, DaemonPhase, NOW, the_claim, witness_id};
use std::collections::BTreeMap;

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverFault {
    /// None.
    None,
    /// A stopping daemon ends without regard to what it witnesses.
    EndsAtOnce,
    /// It ends once it was sealed.
    EndsWhenSealed,
    /// It ends once the present assignment doesn't list it.
    IgnoresPrevious,
    /// It goes by a roster of before it was asked to stop.
    BelievesOldRoster,
    /// It has others hold what it remembers, and goes on as a witness.
    HeldButNotRetired,
}

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct HandoverModel {
    /// Daemons, the first three of which witness the shard at the beginning.
    pub daemons: usize,
    /// Daemons that are asked to stop.
    pub stops: u8,
    /// Daemons that are killed.
    pub kills: u8,
    /// Changes of the roster.
    pub changes: usize,
    /// Coordinators, each of which knows only what it has seen.
    pub coordinators: usize,
    /// Whether daemons that stop may retire, with others that hold what they remember.
    pub retires: bool,
    /// The seeded fault.
    pub fault: HandoverFault,
}

type Steps = Vec<Step<HandoverState>>;

impl Model for HandoverModel {
    type State = HandoverState;

    fn initial(&self) -> HandoverState {
        let mut daemons =
            vec![
                Daemon { phase: DaemonPhase::Up, stop_version: 0, witness: Witness::default(), held: None };
                self.daemons
            ];
        for (index, daemon) in daemons.iter_mut().take(WITNESSES).enumerate() {
            // A bare majority has granted the claim.
            let claims = if index <= WITNESSES / 2 { vec![the_claim()] } else { Vec::new() };
            // Never refused: nothing was installed before.
            let _ = daemon.witness.install(Epoch(1), claims, NOW);
        }
        let witnesses = (0..WITNESSES).map(witness_id).collect();
        let first = ShardRoster { current: Assignment { epoch: Epoch(1), witnesses }, previous: Vec::new() };
        let coordinator = Coordinator { version: 0, confirmed: false, sealed: BTreeMap::new() };
        HandoverState {
            daemons,
            rosters: vec![first],
            coordinators: vec![coordinator; self.coordinators],
            stops_left: self.stops,
            kills_left: self.kills,
        }
    }

    fn steps(&self, state: &HandoverState) -> Steps {
        let mut steps = Vec::new();
        for daemon in 0..self.daemons {
            self.daemon_steps(state, daemon, &mut steps);
        }
        for coordinator in 0..self.coordinators {
            self.roster_steps(state, coordinator, &mut steps);
            Self::witness_steps(state, coordinator, &mut steps);
        }
        steps
    }

    fn violation(&self, state: &HandoverState) -> Option<&'static str> {
        let assignments = state.rosters.iter().map(|roster| &roster.current);
        if assignments.clone().any(|assignment| state.grants_again(assignment)) {
            return Some("a majority grants without the claim that was granted");
        }
        if state.daemons.iter().any(Daemon::remembers_more_than_held) {
            return Some("a witness remembers more than others hold of it");
        }
        let latest = state.latest();
        let owed = latest.previous.iter().chain([&latest.current]);
        let must_wait =
            owed.clone().any(|assignment| state.seal_progress(assignment) != SealProgress::Complete);
        must_wait.then_some("a majority of witnesses has ended with what it remembers")
    }
}

impl HandoverModel {
    /// Searches all reachable states, at most `limit`.
    #[must_use]
    pub fn search(&self, limit: usize) -> SearchResult {
        search(self, limit)
    }
}
