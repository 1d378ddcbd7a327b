//! Submitters: reading, deciding, writing, and losing answers.

use super::state::{ConfigurationState, History, Told};
use super::{ConfigurationFault, ConfigurationModel, Steps};
use crate::search::{Step, action};
use seamhatch_core::generation::{Generation, SubmissionId, SubmissionStep, SubmissionView, submission_step};

impl ConfigurationModel {
    pub(super) fn submitter_steps(&self, state: &ConfigurationState, index: usize, steps: &mut Steps) {
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
}
