//! The end of a daemon that stops, with requests that arrive at any moment on open connections, calls of a request that runs beside it, slow
//! callers, and a time that may be up at any moment: whatever is read is answered, whole, or named as cut off because the time was up.
//!
//! Bounds: each request has a connection of its own; one request runs beside the daemon and makes all calls; how long anything takes is left open.

use crate::search::{Model, SearchResult, Step, action, search};
use seamhatch_core::intake::{IntakeGate, IntakePhase};

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopsFault {
    /// None.
    None,
    /// The daemon looks whether anything is in progress, and ends later without another look.
    EndsAfterALook,
    /// A request counts as ended once its answer has been handed to the connection.
    CountedUntilHanded,
    /// What is in progress when the time is up is neither given up nor named.
    EndsUnnamed,
    /// Connections end with the process, whether or not they have written.
    LeavesUnwritten,
    /// The daemon says goodbye, and ends, before the calls of the request that runs beside it have come to an end.
    ForgetsTheParent,
}

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct StopsModel {
    /// Requests of callers.
    pub callers: usize,
    /// Calls of the request that runs beside the daemon.
    pub calls: usize,
    /// Whether the time may be up before all is done.
    pub time_runs_out: bool,
    /// The seeded fault.
    pub fault: StopsFault,
}

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    NotSent,
    /// Its bytes lie in the daemon's socket.
    Sent,
    Taken,
    PassedOn,
    /// The server's answer is with the connection.
    Handed,
    /// A refusal, which is short, is with the connection.
    Refused,
    Answered,
    /// It was given up and its caller told.
    Cut,
    /// The connection closed before it was read.
    Unread,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Request {
    is_call: bool,
    stage: Stage,
    /// It is among those that the gate counts.
    counted: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Process {
    Serving,
    /// Callers are refused.
    Stopping,
    /// Found idle, where that alone ends it.
    FoundIdle,
    /// The intake is closed; connections end.
    Ending,
    Ended,
}

/// A state of the daemon and of those that use it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StopsState {
    process: Process,
    gate: IntakeGate,
    requests: Vec<Request>,
    /// The request beside the daemon runs, and counts.
    parent_runs: bool,
}

type Steps = Vec<Step<StopsState>>;

impl Model for StopsModel {
    type State = StopsState;

    fn initial(&self) -> StopsState {
        let mut gate = IntakeGate::default();
        // The request that runs beside the daemon.
        let _ = gate.take();
        let request = |is_call| Request { is_call, stage: Stage::NotSent, counted: false };
        let callers = (0..self.callers).map(|_| request(false));
        let requests = callers.chain((0..self.calls).map(|_| request(true))).collect();
        StopsState { process: Process::Serving, gate, requests, parent_runs: true }
    }

    fn steps(&self, state: &StopsState) -> Steps {
        let mut steps = Vec::new();
        for number in 0..state.requests.len() {
            self.request_step(state, number, &mut steps);
        }
        self.stop_steps(state, &mut steps);
        steps
    }

    fn violation(&self, state: &StopsState) -> Option<&'static str> {
        if state.process != Process::Ended {
            return None;
        }
        let is_at = |stages: &[Stage]| state.requests.iter().any(|request| stages.contains(&request.stage));
        if is_at(&[Stage::Taken, Stage::PassedOn]) {
            return Some("a request was taken and has no answer");
        }
        if is_at(&[Stage::Handed, Stage::Refused]) {
            return Some("an answer is not written");
        }
        state.parent_runs.then_some("a request runs beside a daemon that has ended")
    }
}

impl StopsModel {
    /// Searches all reachable states, at most `limit`.
    #[must_use]
    pub fn search(&self, limit: usize) -> SearchResult {
        search(self, limit)
    }

    fn request_step(&self, state: &StopsState, number: usize, steps: &mut Steps) {
        let request = state.requests[number];
        let ended = state.process == Process::Ended;
        match request.stage {
            Stage::NotSent if !ended && (state.parent_runs || !request.is_call) => {
                Step::add(steps, state, action("is sent", number, 0), |next| next.reach(number, Stage::Sent));
            }
            Stage::Sent if !ended => {
                Step::add(steps, state, action("is read", number, 0), |next| next.read(number));
                if state.process == Process::Ending {
                    let closes = action("meets a closed connection", number, 0);
                    Step::add(steps, state, closes, |next| next.reach(number, Stage::Unread));
                }
            }
            Stage::Taken if !ended => {
                let passes = action("is passed on", number, 0);
                Step::add(steps, state, passes, |next| next.reach(number, Stage::PassedOn));
            }
            Stage::PassedOn if !ended => {
                Step::add(steps, state, action("is answered by its server", number, 0), |next| {
                    next.reach(number, Stage::Handed);
                    if self.fault == StopsFault::CountedUntilHanded {
                        next.uncount(number);
                    }
                });
            }
            Stage::Handed | Stage::Refused if !ended => {
                Step::add(steps, state, action("has its answer written", number, 0), |next| {
                    next.reach(number, Stage::Answered);
                    next.uncount(number);
                });
            }
            _ => {}
        }
    }

    fn stop_steps(&self, state: &StopsState, steps: &mut Steps) {
        if state.parent_runs && state.process != Process::Ended {
            let open = |request: &Request| {
                request.is_call
                    && !matches!(request.stage, Stage::NotSent | Stage::Answered | Stage::Cut | Stage::Unread)
            };
            if !state.requests.iter().any(open) {
                Step::add(steps, state, action("the request beside the daemon ends", 0, 0), |next| {
                    next.parent_runs = false;
                    next.gate.end();
                });
            }
        }
        match state.process {
            Process::Serving => Step::add(steps, state, action("the stop begins", 0, 0), |next| {
                next.process = Process::Stopping;
                next.gate.close_to_callers();
            }),
            Process::Stopping => self.closing_steps(state, steps),
            Process::FoundIdle => {
                let end = action("the process ends", 0, 0);
                Step::add(steps, state, end, |next| next.process = Process::Ended);
            }
            Process::Ending => {
                // A slow reader doesn't hold up the end, once the intake is closed.
                let unwritten = state.requests.iter().any(|request| request.stage == Stage::Refused);
                if !unwritten || self.fault == StopsFault::LeavesUnwritten {
                    Step::add(steps, state, action("the process ends", 0, 0), |next| next.end());
                }
            }
            Process::Ended => {}
        }
    }

    fn closing_steps(&self, state: &StopsState, steps: &mut Steps) {
        let parent = usize::from(state.parent_runs);
        match self.fault {
            StopsFault::EndsAfterALook if state.gate.in_progress() == 0 => {
                let look = action("the daemon finds itself idle", 0, 0);
                Step::add(steps, state, look, |next| next.process = Process::FoundIdle);
            }
            StopsFault::ForgetsTheParent if state.gate.in_progress() == parent => {
                Step::add(steps, state, action("the intake closes", 0, 0), |next| {
                    next.gate.close();
                    next.process = Process::Ending;
                });
            }
            _ => Step::add(steps, state, action("the intake closes", 0, 0), |next| {
                if next.gate.close_if_idle() {
                    next.process = Process::Ending;
                }
            }),
        }
        if self.time_runs_out {
            Step::add(steps, state, action("the time is up", 0, 0), |next| {
                next.gate.close();
                next.process = Process::Ending;
                if self.fault != StopsFault::EndsUnnamed {
                    next.cut();
                }
            });
        }
    }
}

impl StopsState {
    fn reach(&mut self, number: usize, stage: Stage) {
        self.requests[number].stage = stage;
    }

    fn read(&mut self, number: usize) {
        let is_call = self.requests[number].is_call;
        self.requests[number].counted = self.gate.take().is_ok();
        let is_refused = !self.requests[number].counted || !is_call && self.gate.phase() != IntakePhase::Open;
        self.reach(number, if is_refused { Stage::Refused } else { Stage::Taken });
    }

    fn uncount(&mut self, number: usize) {
        if std::mem::take(&mut self.requests[number].counted) {
            self.gate.end();
        }
    }

    /// Gives up what is in progress; its callers are told.
    fn cut(&mut self) {
        for number in 0..self.requests.len() {
            if self.requests[number].counted {
                self.reach(number, Stage::Cut);
                self.uncount(number);
            }
        }
        if std::mem::take(&mut self.parent_runs) {
            self.gate.end();
        }
    }

    fn end(&mut self) {
        self.process = Process::Ended;
        for request in &mut self.requests {
            if request.stage == Stage::Sent {
                request.stage = Stage::Unread;
            }
        }
    }
}
