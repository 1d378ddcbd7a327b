//! Attempts on the key: asking witnesses, deciding, dispatching, giving up, and messages that come late.

use super::state::{ClaimsState, KEY, NOW, Phase, WITNESSES, claim, holder, process};
use super::{ClaimsFault, ClaimsModel, Steps};
use crate::search::{Step, action};
use seamhatch_core::claims::{ClaimReply, ClaimRound, ClaimVerdict, Epoch};

impl ClaimsModel {
    pub(super) fn attempt_steps(&self, state: &ClaimsState, index: usize, steps: &mut Steps) {
        match state.attempts[index].phase {
            Phase::Idle => Self::start_steps(state, index, steps),
            Phase::Asking => {
                self.deliver_claims(state, index, steps);
                self.decide(state, index, steps);
                Step::add(steps, state, action("attempt gives up waiting", index, 0), |next| {
                    next.settle(index, Phase::Lost)
                });
            }
            Phase::Won => Self::dispatch_steps(state, index, steps),
            Phase::Dispatched => {
                if self.fault == ClaimsFault::ReleaseAfterDispatch {
                    self.deliver_releases(state, index, steps);
                }
            }
            Phase::GivenUp | Phase::Lost => {
                // Claims and releases of it may still arrive. Releases also stand for those of
                // other attempts, which learnt from the holder that it gave up.
                if state.late_messages_left > 0 {
                    self.deliver_claims(state, index, steps);
                    self.deliver_releases(state, index, steps);
                }
            }
        }
    }

    fn start_steps(state: &ClaimsState, index: usize, steps: &mut Steps) {
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

    fn dispatch_steps(state: &ClaimsState, index: usize, steps: &mut Steps) {
        Step::add(steps, state, action("attempt is dispatched", index, 0), |next| {
            next.attempts[index].phase = Phase::Dispatched;
        });
        Step::add(steps, state, action("attempt is refused: not-run", index, 0), |next| {
            next.told_not_run_wrongly |= next.attempts.iter().any(|other| other.phase == Phase::Dispatched);
            next.attempts[index].phase = Phase::GivenUp;
        });
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

    /// A restarted process is another witness: messages for its earlier incarnation don't reach it.
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
}
