//! Daemons: how documents come into force, restarts, and the store's outages.

use super::state::{ConfigurationState, DAEMONS, MAJORITY, WATCHER, is_newer};
use super::{ConfigurationFault, ConfigurationModel, Steps};
use crate::search::{Step, action};

impl ConfigurationModel {
    /// How documents come into force: from the store by registration at a
    /// majority of witnesses, and from daemons where they are in force.
    pub(super) fn adoption_steps(&self, state: &ConfigurationState, index: usize, steps: &mut Steps) {
        let daemon = &state.daemons[index];
        if index == WATCHER && state.reachable && is_newer(&daemon.in_force, &state.store) {
            Step::add(steps, state, action("daemon reads the store", index, 0), |next| {
                next.propose(index, next.store.clone());
            });
        }
        if is_newer(&daemon.in_force, &daemon.held) {
            Step::add(steps, state, action("daemon adopts what it holds", index, 0), |next| {
                next.propose(index, next.daemons[index].held.clone());
            });
        }
        self.registration_steps(state, index, steps);
        for other in (0..DAEMONS).filter(|other| *other != index) {
            let offered = state.daemons[other].in_force.clone();
            Step::add(steps, state, action("daemon sends its configuration to", other, index), |next| {
                if self.fault == ConfigurationFault::AdoptAnything
                    || is_newer(&next.daemons[index].in_force, &offered)
                {
                    next.daemons[index].adopt(offered);
                }
            });
        }
    }

    fn registration_steps(&self, state: &ConfigurationState, index: usize, steps: &mut Steps) {
        let Some(pending) = &state.daemons[index].pending else { return };
        for witness in 0..DAEMONS {
            if pending.holders[witness] || !state.daemons[witness].witness {
                continue;
            }
            Step::add(steps, state, action("pending document is held at", index, witness), |next| {
                let document = pending.document.clone();
                if is_newer(&next.daemons[witness].held, &document) {
                    next.daemons[witness].held = document;
                }
                // One that holds a contradicting document does not count.
                let agrees = next.daemons[witness].held.starts_with(&pending.document);
                if let Some(pending) = &mut next.daemons[index].pending {
                    pending.holders[witness] = agrees;
                }
            });
        }
        let holders = pending.holders.iter().filter(|holds| **holds).count();
        if holders >= MAJORITY || self.fault == ConfigurationFault::NoRegistration {
            Step::add(steps, state, action("pending document is in force", index, 0), |next| {
                let Some(pending) = next.daemons[index].pending.take() else { return };
                if is_newer(&next.daemons[index].in_force, &pending.document) {
                    next.daemons[index].adopt(pending.document);
                }
            });
        }
    }

    pub(super) fn start_steps(&self, state: &ConfigurationState, index: usize, steps: &mut Steps) {
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
        if enough && daemon.pending.is_none() && !daemon.in_force.is_empty() {
            Step::add(steps, state, action("daemon is ready", index, 0), |next| {
                next.daemons[index].ready = true;
                next.daemons[index].note();
            });
        }
    }

    pub(super) fn store_steps(&self, state: &ConfigurationState, steps: &mut Steps) {
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
