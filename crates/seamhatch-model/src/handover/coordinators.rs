//! Coordinators: reading and writing the roster, looking at witnesses, sealing and installing.

use super::state::{Coordinator, Daemon, DaemonPhase, HandoverState, NOW, daemon_of};
use super::{HandoverModel, Steps};
use crate::search::{Step, action};
use seamhatch_core::claims::Claim;
use seamhatch_core::roster::{
    SealProgress, ShardRoster, WitnessId, plan_change, seal_progress, union_of_claims,
};
use std::collections::BTreeMap;

impl HandoverModel {
    pub(super) fn roster_steps(&self, state: &HandoverState, index: usize, steps: &mut Steps) {
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

    pub(super) fn witness_steps(state: &HandoverState, index: usize, steps: &mut Steps) {
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
                if is_known {
                    continue;
                }
                if state.daemons[daemon].phase == DaemonPhase::Ended {
                    if let Some(held) = state.daemons[daemon].held.clone() {
                        let found = action("coordinator finds what others hold of daemon", index, daemon);
                        Step::add(steps, state, found, |next| {
                            next.coordinators[index].sealed.insert((assignment.epoch, daemon), held);
                        });
                    }
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
