//! At-most-once: attempts on one key, witnesses that restart, and a change of
//! the roster, under loss, duplication, delay and reordering of every message.
//!
//! Four processes may be witnesses. Epoch 1 is witnessed by processes 0, 1 and
//! 2, epoch 2 by 1, 2 and 3. An attempt asks in an epoch that its sender knows,
//! which may be the old one. Waiting in any phase stands for a frozen sender or
//! a late reply; an attempt may give up waiting at any time, as when replies are
//! lost. A reply counts from the moment that its witness gives it.

use crate::search::{Model, SearchResult, Step, action, search};
use seamhatch_core::Instant;
use seamhatch_core::claims::{
    Claim, ClaimHolder, ClaimKey, ClaimReply, ClaimRound, ClaimVerdict, Epoch, Witness,
};
use seamhatch_core::identity::{Address, Fingerprint, Incarnation};
use seamhatch_core::roster::{Assignment, SealProgress, WitnessId, seal_progress, union_of_claims};
use std::net::{IpAddr, Ipv4Addr};

const KEY: ClaimKey = ClaimKey(7);
const PROCESSES: usize = 4;
const WITNESSES: usize = 3;

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

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Phase {
    Idle,
    Asking,
    Won,
    Dispatched,
    /// Won, then refused: its caller was told `not-run`.
    GivenUp,
    /// Did not win: its caller was told `unknown` or `duplicate`.
    Lost,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Attempt {
    phase: Phase,
    epoch: u64,
    /// Replies so far, by place in the epoch's assignment.
    replies: [Option<ClaimReply>; WITNESSES],
}

/// A state of the claims protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimsState {
    witnesses: [Witness; PROCESSES],
    incarnations: [u8; PROCESSES],
    attempts: Vec<Attempt>,
    changing: bool,
    sealed: [Option<Vec<Claim>>; WITNESSES],
    restarts_left: u8,
    late_messages_left: u8,
    told_not_run_wrongly: bool,
}

fn holder(attempt: usize) -> ClaimHolder {
    ClaimHolder { daemon: address(100), incarnation: Incarnation(1), attempt: attempt as u64 + 1 }
}

fn address(number: u8) -> Address {
    Address { ip: IpAddr::V4(Ipv4Addr::new(127, 0, 0, number)), port: 1 }
}

fn claim(attempt: usize) -> Claim {
    Claim { key: KEY, request: Fingerprint(1), holder: holder(attempt) }
}

fn process(epoch: u64, place: usize) -> usize {
    place + (epoch as usize - 1)
}

fn assignment(epoch: u64) -> Assignment {
    let witnesses = (0..WITNESSES)
        .map(|place| WitnessId { daemon: address(process(epoch, place) as u8), incarnation: Incarnation(0) })
        .collect();
    Assignment { epoch: Epoch(epoch), witnesses }
}

const NOW: Instant = Instant(0);

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

type Steps = Vec<Step<ClaimsState>>;

impl ClaimsModel {
    /// Searches all reachable states, at most `limit`.
    ///
    /// Not generic, so that it is compiled with this crate's optimisation also for tests.
    #[must_use]
    pub fn search(&self, limit: usize) -> SearchResult {
        search(self, limit)
    }

    fn attempt_steps(&self, state: &ClaimsState, index: usize, steps: &mut Steps) {
        let attempt = &state.attempts[index];
        match attempt.phase {
            Phase::Idle => {
                // Attempts are alike: they start in order.
                if index > 0 && state.attempts[index - 1].phase == Phase::Idle {
                    return;
                }
                for epoch in 1..=1 + u64::from(state.changing) {
                    Step::add(steps, state, action("attempt asks in epoch", index, epoch as usize), |next| {
                        next.attempts[index].phase = Phase::Asking;
                        next.attempts[index].epoch = epoch;
                    });
                }
            }
            Phase::Asking => {
                self.deliver_claims(state, index, steps);
                self.decide(state, index, steps);
                Step::add(steps, state, action("attempt gives up waiting", index, 0), |next| {
                    next.settle(index, Phase::Lost)
                });
            }
            Phase::Won => {
                Step::add(steps, state, action("attempt is dispatched", index, 0), |next| {
                    next.attempts[index].phase = Phase::Dispatched;
                });
                Step::add(steps, state, action("attempt is refused: not-run", index, 0), |next| {
                    next.told_not_run_wrongly |=
                        next.attempts.iter().any(|other| other.phase == Phase::Dispatched);
                    next.attempts[index].phase = Phase::GivenUp;
                });
            }
            Phase::Dispatched => {
                if self.fault == ClaimsFault::ReleaseAfterDispatch {
                    self.deliver_releases(state, index, steps);
                }
            }
            Phase::GivenUp | Phase::Lost => {
                // Claims and releases of it may still arrive. Releases also stand for those of
                // others, who were told by the holder that it gave up.
                if state.late_messages_left > 0 {
                    self.deliver_claims(state, index, steps);
                    self.deliver_releases(state, index, steps);
                }
            }
        }
    }

    fn deliver_claims(&self, state: &ClaimsState, index: usize, steps: &mut Steps) {
        let epoch = state.attempts[index].epoch;
        for place in 0..WITNESSES {
            let process = process(epoch, place);
            if !self.is_addressed(state, process) {
                continue;
            }
            Step::add(steps, state, action("claim reaches process", index, process), |next| {
                let reply = next.witnesses[process].claim(Epoch(epoch), claim(index), NOW);
                if next.attempts[index].phase == Phase::Asking {
                    next.attempts[index].replies[place].get_or_insert(reply);
                } else {
                    next.count_late_message(state);
                }
            });
        }
    }

    /// A restarted process is another witness: messages for its earlier life don't reach it.
    fn is_addressed(&self, state: &ClaimsState, process: usize) -> bool {
        state.incarnations[process] == 0 || self.fault == ClaimsFault::RestartedWitnessServes
    }

    fn decide(&self, state: &ClaimsState, index: usize, steps: &mut Steps) {
        let mut round = ClaimRound::new(WITNESSES);
        let replies = state.attempts[index].replies;
        replies.into_iter().flatten().for_each(|reply| round.reply(Some(reply)));
        let any_grant = replies.contains(&Some(ClaimReply::Granted));
        let minority = self.fault == ClaimsFault::MinorityWins && any_grant;
        if round.verdict() == Some(ClaimVerdict::Won) || minority {
            Step::add(steps, state, action("attempt wins", index, 0), |next| next.settle(index, Phase::Won));
        }
    }

    fn deliver_releases(&self, state: &ClaimsState, index: usize, steps: &mut Steps) {
        for epoch in 1..=2 {
            for place in 0..WITNESSES {
                let process = process(epoch, place);
                Step::add(
                    steps,
                    state,
                    action("release of attempt reaches process", index, process),
                    |next| {
                        next.witnesses[process].release(Epoch(epoch), KEY, holder(index));
                        next.count_late_message(state);
                    },
                );
            }
        }
    }

    fn restart_steps(&self, state: &ClaimsState, steps: &mut Steps) {
        if state.restarts_left == 0 {
            return;
        }
        for process in 0..PROCESSES {
            if state.incarnations[process] > 0 {
                continue;
            }
            Step::add(steps, state, action("process restarts", process, 0), |next| {
                next.restarts_left -= 1;
                next.incarnations[process] += 1;
                let epoch = next.witnesses[process].epoch();
                next.witnesses[process] = Witness::default();
                if let (ClaimsFault::RestartedWitnessServes, Some(epoch)) = (self.fault, epoch) {
                    // Never refused: the witness is empty.
                    let _ = next.witnesses[process].install(epoch, Vec::new(), NOW);
                }
            });
        }
    }

    fn change_steps(&self, state: &ClaimsState, steps: &mut Steps) {
        if !state.changing {
            Step::add(steps, state, action("epoch 2 is written to the roster", 0, 0), |next| {
                next.changing = true
            });
            return;
        }
        for place in 0..WITNESSES {
            let process = process(1, place);
            if state.incarnations[process] > 0 {
                continue;
            }
            Step::add(steps, state, action("process is sealed", process, 0), |next| {
                let claims = next.witnesses[process].seal(Epoch(1));
                // A coordinator that comes later seals again and may see more.
                next.sealed[place] = Some(claims);
            });
        }
        if self.seal_is_complete(state) {
            self.install_steps(state, steps);
        }
    }

    fn seal_is_complete(&self, state: &ClaimsState) -> bool {
        let assignment = assignment(1);
        let sealed = |id: &WitnessId| {
            let place = assignment.witnesses.iter().position(|witness| witness == id);
            place.is_some_and(|place| state.sealed[place].is_some())
        };
        match self.fault {
            ClaimsFault::NoSeal => true,
            ClaimsFault::SealMinority => assignment.witnesses.iter().any(sealed),
            // A loss would have to wait out the longest request; not modelled.
            _ => seal_progress(&assignment, sealed, |_| false) == SealProgress::Complete,
        }
    }

    fn install_steps(&self, state: &ClaimsState, steps: &mut Steps) {
        let told = state.sealed.iter().flatten().flatten().copied();
        let claims = union_of_claims(told);
        for place in 0..WITNESSES {
            let process = process(2, place);
            if state.incarnations[process] > 0 {
                continue;
            }
            Step::add(steps, state, action("epoch 2 is installed at process", process, 0), |next| {
                // Refused where it was done before; that changes nothing.
                let _ = next.witnesses[process].install(Epoch(2), claims.clone(), NOW);
            });
        }
    }
}

impl ClaimsState {
    /// A late message that changes nothing costs nothing of the bound.
    fn count_late_message(&mut self, before: &Self) {
        if self.witnesses != before.witnesses {
            self.late_messages_left = self.late_messages_left.saturating_sub(1);
        }
    }

    /// Ends the asking; what an attempt that has decided heard no longer matters.
    fn settle(&mut self, attempt: usize, phase: Phase) {
        self.attempts[attempt].phase = phase;
        self.attempts[attempt].replies = [None; WITNESSES];
    }
}
