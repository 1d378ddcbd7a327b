//! At-most-once: attempts on one key, witnesses that restart, and a change of
//! the roster, under loss, duplication, delay and reordering of every message.
//!
//! Four processes may be witnesses. Epoch 1 is witnessed by processes 0, 1 and
//! 2, epoch 2 by 1, 2 and 3. An attempt asks in an epoch that its sender knows,
//! which may be the old one. Waiting in any phase stands for a frozen sender or
//! a late reply; an attempt may give up waiting at any time, as when replies are
//! lost. A reply counts from the moment that its witness gives it.

mod attempts;
mod state;
mod witnesses;

pub use state::ClaimsState;

use crate::search::{Model, SearchResult, Step, search};
use seamhatch_core::claims::{Epoch, Witness};
use state::{Attempt, NOW, PROCESSES, Phase, WITNESSES, process};

/// A step that is left out or done wrongly, to show that the search finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimsFault {
    /// None: the protocol as the daemon runs it.
    None,
    /// A restarted process goes on as a witness, without its memory.
    RestartedWitnessServes,
    /// The new epoch is installed without sealing the old one.
    NoSeal,
    /// One sealed witness is taken for enough.
    SealMinority,
    /// One grant is taken for enough.
    MinorityWins,
    /// An attempt that was dispatched gives its claim up.
    ReleaseAfterDispatch,
}

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct ClaimsModel {
    /// Attempts on the key, 2 or 3.
    pub attempts: usize,
    /// Witness restarts.
    pub restarts: u8,
    /// Whether the roster changes.
    pub roster_change: bool,
    /// Claims and releases that arrive after their attempt has decided.
    pub late_messages: u8,
    /// The seeded fault.
    pub fault: ClaimsFault,
}

type Steps = Vec<Step<ClaimsState>>;

impl Model for ClaimsModel {
    type State = ClaimsState;

    fn initial(&self) -> ClaimsState {
        let mut witnesses: [Witness; PROCESSES] = Default::default();
        for place in 0..WITNESSES {
            // Never refused: nothing was installed before.
            let _ = witnesses[process(1, place)].install(Epoch(1), Vec::new(), NOW);
        }
        let attempt = Attempt { phase: Phase::Idle, epoch: 1, replies: [None; WITNESSES] };
        ClaimsState {
            witnesses,
            incarnations: [0; PROCESSES],
            attempts: vec![attempt; self.attempts],
            changing: false,
            sealed: [None, None, None],
            restarts_left: self.restarts,
            late_messages_left: self.late_messages,
            told_not_run_wrongly: false,
        }
    }

    fn steps(&self, state: &ClaimsState) -> Vec<Step<ClaimsState>> {
        let mut steps = Vec::new();
        for attempt in 0..state.attempts.len() {
            self.attempt_steps(state, attempt, &mut steps);
        }
        self.restart_steps(state, &mut steps);
        if self.roster_change {
            self.change_steps(state, &mut steps);
        }
        steps
    }

    fn violation(&self, state: &ClaimsState) -> Option<&'static str> {
        let dispatched = state.attempts.iter().filter(|attempt| attempt.phase == Phase::Dispatched).count();
        if dispatched > 1 {
            return Some("a key was dispatched twice");
        }
        state.told_not_run_wrongly.then_some("`not-run` was said of a key that had been dispatched")
    }
}

impl ClaimsModel {
    /// Searches all reachable states, at most `limit`.
    ///
    /// Not generic, so that it is compiled with this crate's optimisation also for tests.
    #[must_use]
    pub fn search(&self, limit: usize) -> SearchResult {
        search(self, limit)
    }
}
