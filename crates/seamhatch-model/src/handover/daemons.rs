//! Daemons that are asked to stop, end as the rule lets them, or are killed.

use super::state::{Daemon, DaemonPhase, HandoverState, witness_id};
use super::{HandoverFault, HandoverModel, Steps};
use crate::search::{Step, action};
use seamhatch_core::roster::ShardRoster;

impl HandoverModel {
    pub(super) fn daemon_steps(&self, state: &HandoverState, daemon: usize, steps: &mut Steps) {
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
        if self.retires && phase == DaemonPhase::Stopping && state.daemons[daemon].held.is_none() {
            Step::add(
                steps,
                state,
                action("daemon retires, and others hold what it remembers", daemon, 0),
                |next| {
                    let own = &mut next.daemons[daemon];
                    let mut witness = own.witness.clone();
                    own.held = Some(witness.retire());
                    if self.fault != HandoverFault::HeldButNotRetired {
                        own.witness = witness;
                    }
                },
            );
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
        if daemon.held.is_some() {
            return true;
        }
        match self.fault {
            HandoverFault::None | HandoverFault::HeldButNotRetired => roster.has_released(&id, installed),
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
}
