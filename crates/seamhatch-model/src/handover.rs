//! Handover of a shard by witnesses that stop in order, with coordinators that each know only what they have seen.
//!
//! The shard begins with one claim that a majority has granted. Daemons are asked to stop, and end as soon as the rule of the daemon lets
//! them; others are killed at any time. Coordinators read the roster, look at the witnesses, plan, seal and install in any order; one that does
//! nothing more has ended. The store is out wherever no step writes the roster.
//!
//! Bounds: one shard, no restart (a restarted daemon is another witness, as is one that was not asked yet), no wait after a loss.

use crate::search::{Model, SearchResult, Step, action, search};
use seamhatch_core::Instant;
use seamhatch_core::claims::{Claim, ClaimHolder, ClaimKey, Epoch, Witness};
use seamhatch_core::identity::{Address, Fingerprint, Incarnation};
use seamhatch_core::roster::{
    Assignment, SealProgress, ShardRoster, WITNESSES, WitnessCandidate, WitnessHealth, WitnessId,
    plan_change, seal_progress, union_of_claims,
};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

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
    /// The seeded fault.
    pub fault: HandoverFault,
}

const NOW: Instant = Instant(0);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum DaemonPhase {
    Up,
    Stopping,
    Ended,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Daemon {
    phase: DaemonPhase,
    /// The roster in the store when it was asked to stop, which it has read since.
    stop_version: usize,
    witness: Witness,
}

/// What a coordinator has seen since it read the roster.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Coordinator {
    /// Version of the roster that it knows.
    version: usize,
    /// The present epoch is installed at a majority.
    confirmed: bool,
    /// Claims of sealed witnesses, by epoch and daemon.
    sealed: BTreeMap<(Epoch, usize), Vec<Claim>>,
}

/// A state of the daemons, the roster and its coordinators.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HandoverState {
    daemons: Vec<Daemon>,
    /// All versions of the roster; the last one lies in the store.
    rosters: Vec<ShardRoster>,
    coordinators: Vec<Coordinator>,
    stops_left: u8,
    kills_left: u8,
}

fn witness_id(daemon: usize) -> WitnessId {
    let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, daemon as u8 + 1));
    WitnessId { daemon: Address { ip, port: 1 }, incarnation: Incarnation(1) }
}

fn daemon_of(witness: &WitnessId) -> usize {
    match witness.daemon.ip {
        IpAddr::V4(ip) => usize::from(ip.octets()[3]) - 1,
        IpAddr::V6(_) => unreachable!("only IPv4 addresses are made here"),
    }
}

fn the_claim() -> Claim {
    let holder = ClaimHolder { daemon: witness_id(200).daemon, incarnation: Incarnation(1), attempt: 1 };
    Claim { key: ClaimKey(7), request: Fingerprint(1), holder }
}

type Steps = Vec<Step<HandoverState>>;

impl Model for HandoverModel {
    type State = HandoverState;

    fn initial(&self) -> HandoverState {
        let mut daemons = vec![
            Daemon { phase: DaemonPhase::Up, stop_version: 0, witness: Witness::default() };
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

    fn daemon_steps(&self, state: &HandoverState, daemon: usize, steps: &mut Steps) {
        let phase = state.daemons[daemon].phase;
        if phase == DaemonPhase::Up && state.stops_left > 0 {
            Step::add(steps, state, action("daemon is asked to stop", daemon, 0), |next| {
                next.stops_left -= 1;
                let stop_version = next.rosters.len() - 1;
                next.daemons[daemon].phase = DaemonPhase::Stopping;
                next.daemons[daemon].stop_version = stop_version;
            });
        }
        if phase != DaemonPhase::Ended && state.kills_left > 0 {
            Step::add(steps, state, action("daemon is killed", daemon, 0), |next| {
                next.kills_left -= 1;
                next.daemons[daemon].phase = DaemonPhase::Ended;
            });
        }
        // It may know any version since.
        let since = match self.fault {
            HandoverFault::BelievesOldRoster => 0,
            _ => state.daemons[daemon].stop_version,
        };
        let may_end = phase == DaemonPhase::Stopping
            && state.rosters[since..]
                .iter()
                .any(|roster| self.may_end(&state.daemons[daemon], daemon, roster));
        if may_end {
            Step::add(steps, state, action("daemon ends", daemon, 0), |next| {
                next.daemons[daemon].phase = DaemonPhase::Ended;
            });
        }
    }

    fn may_end(&self, daemon: &Daemon, index: usize, roster: &ShardRoster) -> bool {
        let (id, installed) = (witness_id(index), daemon.witness.epoch());
        match self.fault {
            HandoverFault::None => roster.has_released(&id, installed),
            HandoverFault::EndsAtOnce => true,
            HandoverFault::EndsWhenSealed => {
                installed.is_none_or(|epoch| !daemon.witness.serves(epoch))
                    || roster.has_released(&id, installed)
            }
            HandoverFault::IgnoresPrevious => {
                let present = ShardRoster { current: roster.current.clone(), previous: Vec::new() };
                present.has_released(&id, installed)
            }
            HandoverFault::BelievesOldRoster => roster.has_released(&id, None),
        }
    }

    fn roster_steps(&self, state: &HandoverState, index: usize, steps: &mut Steps) {
        let coordinator = &state.coordinators[index];
        let is_latest = coordinator.version + 1 == state.rosters.len();
        if !is_latest {
            Step::add(steps, state, action("coordinator reads the roster", index, 0), |next| {
                let version = next.rosters.len() - 1;
                next.coordinators[index] = Coordinator { version, confirmed: false, sealed: BTreeMap::new() };
            });
        }
        if !is_latest || state.rosters.len() > self.changes {
            return;
        }
        let roster = &state.rosters[coordinator.version];
        let health = |id: &WitnessId| state.health(daemon_of(id));
        let change = plan_change(0, roster, coordinator.confirmed, health, &state.candidates());
        let is_over = coordinator.confirmed && !roster.previous.is_empty();
        let next_roster =
            change.or_else(|| is_over.then(|| ShardRoster { previous: Vec::new(), ..roster.clone() }));
        if let Some(next_roster) = next_roster {
            Step::add(steps, state, action("coordinator writes the roster", index, 0), |next| {
                let same_epoch = next_roster.current.epoch == roster.current.epoch;
                next.rosters.push(next_roster.clone());
                let own = &mut next.coordinators[index];
                own.version += 1;
                own.confirmed &= same_epoch;
                own.sealed.clear();
            });
        }
    }

    fn witness_steps(state: &HandoverState, index: usize, steps: &mut Steps) {
        let coordinator = &state.coordinators[index];
        let roster = &state.rosters[coordinator.version];
        if !coordinator.confirmed && state.is_installed(&roster.current) {
            Step::add(steps, state, action("coordinator sees a majority serve", index, 0), |next| {
                next.coordinators[index].confirmed = true;
            });
        }
        if coordinator.confirmed {
            // A late witness starts without the claims of earlier epochs: a majority has them.
            return Self::install_steps(state, index, &[], steps);
        }
        for assignment in &roster.previous {
            for daemon in assignment.witnesses.iter().map(daemon_of) {
                let is_known = coordinator.sealed.contains_key(&(assignment.epoch, daemon));
                if is_known || state.daemons[daemon].phase == DaemonPhase::Ended {
                    continue;
                }
                Step::add(steps, state, action("coordinator seals daemon", index, daemon), |next| {
                    let claims = next.daemons[daemon].witness.seal(assignment.epoch);
                    next.coordinators[index].sealed.insert((assignment.epoch, daemon), claims);
                });
            }
        }
        let is_sealed = roster.previous.iter().all(|assignment| {
            let sealed = |id: &WitnessId| coordinator.sealed.contains_key(&(assignment.epoch, daemon_of(id)));
            seal_progress(assignment, sealed, |_| false) == SealProgress::Complete
        });
        if is_sealed {
            let claims = union_of_claims(coordinator.sealed.values().flatten().copied());
            Self::install_steps(state, index, &claims, steps);
        }
    }

    fn install_steps(state: &HandoverState, index: usize, claims: &[Claim], steps: &mut Steps) {
        let current = &state.rosters[state.coordinators[index].version].current;
        for daemon in current.witnesses.iter().map(daemon_of) {
            let Daemon { phase, witness, .. } = &state.daemons[daemon];
            if *phase == DaemonPhase::Ended || witness.serves(current.epoch) {
                continue;
            }
            Step::add(steps, state, action("coordinator installs at daemon", index, daemon), |next| {
                // Refused where a later epoch or a seal came first; that changes nothing.
                let _ = next.daemons[daemon].witness.install(current.epoch, claims.to_vec(), NOW);
            });
        }
    }
}

impl HandoverState {
    fn latest(&self) -> &ShardRoster {
        self.rosters.last().expect("there is a first one")
    }

    fn health(&self, daemon: usize) -> WitnessHealth {
        match self.daemons[daemon].phase {
            DaemonPhase::Up => WitnessHealth::Live,
            DaemonPhase::Stopping => WitnessHealth::Leaving,
            DaemonPhase::Ended => WitnessHealth::Unsure,
        }
    }

    fn candidates(&self) -> Vec<WitnessCandidate> {
        let up = (0..self.daemons.len()).filter(|daemon| self.daemons[*daemon].phase == DaemonPhase::Up);
        up.map(|daemon| WitnessCandidate { id: witness_id(daemon), zone: String::new(), ready: true })
            .collect()
    }

    fn is_installed(&self, assignment: &Assignment) -> bool {
        let serves = |id: &&WitnessId| {
            let daemon = &self.daemons[daemon_of(id)];
            daemon.phase != DaemonPhase::Ended && daemon.witness.serves(assignment.epoch)
        };
        assignment.witnesses.iter().filter(serves).count() > assignment.witnesses.len() / 2
    }

    /// Whether a majority would grant another claim of the same key.
    fn grants_again(&self, assignment: &Assignment) -> bool {
        let another = Claim { holder: ClaimHolder { attempt: 2, ..the_claim().holder }, ..the_claim() };
        let grants = |id: &&WitnessId| {
            let Daemon { phase, witness, .. } = &self.daemons[daemon_of(id)];
            let reply = witness.clone().claim(assignment.epoch, another, NOW);
            *phase != DaemonPhase::Ended && reply == seamhatch_core::claims::ClaimReply::Granted
        };
        assignment.witnesses.iter().filter(grants).count() > assignment.witnesses.len() / 2
    }

    /// How far a coordinator could still seal the assignment.
    fn seal_progress(&self, assignment: &Assignment) -> SealProgress {
        let has_ended = |id: &WitnessId| self.daemons[daemon_of(id)].phase == DaemonPhase::Ended;
        seal_progress(assignment, |id| !has_ended(id), has_ended)
    }
}
