//! Witnesses: restarts, and the change of the roster from epoch 1 to epoch 2.

use super::state::{ClaimsState, NOW, PROCESSES, WITNESSES, assignment, process};
use super::{ClaimsFault, ClaimsModel, Steps};
use crate::search::{Step, action};
use seamhatch_core::claims::{Epoch, Witness};
use seamhatch_core::roster::{SealProgress, WitnessId, seal_progress, union_of_claims};

impl ClaimsModel {
    pub(super) fn restart_steps(&self, state: &ClaimsState, steps: &mut Steps) {
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

    pub(super) fn change_steps(&self, state: &ClaimsState, steps: &mut Steps) {
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
        let sealed = state.sealed.iter().flatten().flatten().copied();
        let claims = union_of_claims(sealed);
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
