//! Runs the steps of a plan, each at its time: a step that has to wait, as for a daemon that stops, is queued again and holds up no
//! other.
//!
//! `runner` calls it beside the load. It records the real beginning and end of each fault, which the checks go by.

use super::fault::SoakFault;
use super::fleet::DaemonIndex;
use super::history::{HistoryEvent, SoakMillis};
use super::injection::{self, BegunFault, DaemonRestarts, FaultEnd};
use super::load::{self, DeadlyRequest};
use super::plan::PlannedFault;
use super::recorder::Recorder;
use crate::deployment::Deployment;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::task::JoinHandle;

/// A step that comes later than this, in milliseconds, is printed: this machine is too busy for the plan. Chosen, not measured.
const MOST_LATE_MS: SoakMillis = 1_000;
/// Pause between two checks whether a daemon has ended, in milliseconds. Chosen, not measured.
const STOP_POLL_MS: SoakMillis = 20;
/// Longest wait for a daemon that was asked to stop, in milliseconds from the planned end of the stop. Chosen, not measured.
const STOP_TIMEOUT_MS: SoakMillis = 60_000;

enum Step {
    Begin(PlannedFault),
    /// The second request of a hasty stop, to a daemon that had been started again so often when the first one came.
    Again {
        daemon: DaemonIndex,
        restarts: u32,
    },
    End {
        begun: BegunFault,
        planned_ms: SoakMillis,
    },
}

/// The steps to come, by their time and then in the order in which they were added.
#[derive(Default)]
struct StepQueue {
    steps: BTreeMap<(SoakMillis, usize), Step>,
    added: usize,
}

impl StepQueue {
    fn add(&mut self, at_ms: SoakMillis, step: Step) {
        self.steps.insert((at_ms, self.added), step);
        self.added += 1;
    }

    fn next(&mut self) -> Option<(SoakMillis, Step)> {
        self.steps.pop_first().map(|((at_ms, _), step)| (at_ms, step))
    }
}

/// Begins and ends all faults of a plan, and waits for the configurations that were submitted.
///
/// # Errors
/// A daemon can't be started again, or its settings can't be written.
pub async fn run_steps(
    deployment: &mut Deployment,
    restarts: &DaemonRestarts,
    planned: &[PlannedFault],
    recorder: &Recorder,
) -> std::io::Result<()> {
    let mut runner =
        StepRunner { deployment, restarts, recorder, queue: StepQueue::default(), submissions: Vec::new() };
    planned.iter().for_each(|fault| runner.queue.add(fault.at_ms, Step::Begin(fault.clone())));
    while let Some((at_ms, step)) = runner.queue.next() {
        tokio::time::sleep_until((recorder.start() + Duration::from_millis(at_ms)).into()).await;
        print_if_late(at_ms, recorder);
        runner.run(step)?;
    }
    for submission in runner.submissions {
        submission.await.map_err(std::io::Error::other)?;
    }
    Ok(())
}

/// What the steps of a plan act on.
struct StepRunner<'a> {
    deployment: &'a mut Deployment,
    restarts: &'a DaemonRestarts,
    recorder: &'a Recorder,
    queue: StepQueue,
    /// Configurations that are being submitted.
    submissions: Vec<JoinHandle<()>>,
}

impl StepRunner<'_> {
    fn run(&mut self, step: Step) -> std::io::Result<()> {
        match step {
            Step::Begin(planned) => self.begin(planned),
            Step::Again { daemon, restarts } => {
                // Another fault may have ended and started it since: a request would stop a daemon that nobody starts again.
                if self.restarts.of(daemon) == restarts {
                    injection::ask_to_stop(self.deployment, daemon);
                }
                Ok(())
            }
            Step::End { begun, planned_ms } => self.end(begun, planned_ms),
        }
    }

    /// Begins a fault and queues its further steps.
    fn begin(&mut self, planned: PlannedFault) -> std::io::Result<()> {
        let planned_ms = planned.end_ms();
        let PlannedFault { at_ms, for_ms, fault } = planned;
        let begins = HistoryEvent::FaultBegins { at_ms: self.recorder.at_ms(), fault: fault.clone() };
        self.recorder.note(begins);
        match fault {
            SoakFault::HastyStop { daemon, again_ms } => {
                let restarts = self.restarts.of(daemon);
                self.queue.add(at_ms + again_ms, Step::Again { daemon, restarts });
            }
            SoakFault::Configuration { daemon } => {
                self.submissions.push(submit(self.deployment, daemon, self.recorder));
            }
            SoakFault::DeadlyRequest { number, deep } => {
                let (topology, ingresses) = (&self.deployment.topology, self.deployment.ingresses());
                let span = Duration::from_millis(for_ms);
                load::repeat_deadly(
                    DeadlyRequest { number, deep },
                    span,
                    topology,
                    &ingresses,
                    self.recorder,
                );
            }
            _ => {}
        }
        let begun = injection::begin(self.deployment, self.restarts, fault)?;
        self.queue.add(planned_ms, Step::End { begun, planned_ms });
        Ok(())
    }

    /// Ends a fault, or looks again later while its daemon still stops; one that takes too long is killed.
    fn end(&mut self, begun: BegunFault, planned_ms: SoakMillis) -> std::io::Result<()> {
        if injection::end(self.deployment, self.restarts, &begun)? == FaultEnd::StillStopping {
            if self.recorder.at_ms() <= planned_ms + STOP_TIMEOUT_MS {
                self.queue.add(self.recorder.at_ms() + STOP_POLL_MS, Step::End { begun, planned_ms });
                return Ok(());
            }
            println!("killed after {STOP_TIMEOUT_MS} ms, not stopped yet: {:?}", begun.fault);
            injection::end_by_force(self.deployment, self.restarts, &begun)?;
        }
        self.recorder.note(HistoryEvent::FaultEnds { at_ms: self.recorder.at_ms(), fault: begun.fault });
        Ok(())
    }
}

fn print_if_late(at_ms: SoakMillis, recorder: &Recorder) {
    let late_ms = recorder.at_ms().saturating_sub(at_ms);
    if late_ms > MOST_LATE_MS {
        println!("this machine is too busy for the plan: the step of {at_ms} ms came {late_ms} ms late");
    }
}

/// Submits the last configuration once more, as a new generation, without waiting for it. Recorded only when the client says
/// that it was accepted: otherwise nothing is promised.
pub fn submit(deployment: &Deployment, daemon: DaemonIndex, recorder: &Recorder) -> JoinHandle<()> {
    let mut submission = deployment.submission(daemon, &["--json"]);
    let recorder = recorder.clone();
    tokio::task::spawn_blocking(move || {
        let output = submission.output().ok().filter(|output| output.status.success());
        let text = output.map(|output| String::from_utf8_lossy(&output.stdout).into_owned());
        if let Some(generation) = text.and_then(|text| generation_of(&text)) {
            recorder.note(HistoryEvent::Accepted { at_ms: recorder.at_ms(), generation });
        }
    })
}

fn generation_of(output: &str) -> Option<u64> {
    let answer: serde_json::Value = serde_json::from_str(output.trim()).ok()?;
    answer.get("generation")?.as_u64()
}
