//! The end of a daemon that stops, with requests that arrive at any moment on open connections, calls of a request that runs beside it, slow
//! callers, and a time that may be up at any moment: whatever is read is answered, whole, or named as cut off because the time was up.
//!
//! One connection may have several requests, sent without waiting for answers, in the order of [`Pipeline`]; the last of them may run only once.
//!
//! Bounds: each other request has a connection of its own; one request runs beside the daemon and makes all calls; how long anything takes is left open.

use crate::search::{Model, SearchResult, Step, action, search};
use seamhatch_core::intake::{IntakeGate, IntakePhase};
use seamhatch_core::pipeline::{NextInput, Pipeline, RequestBody};

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
    /// An answer closes its connection though requests that were started lie behind it.
    ClosesBeforeAll,
    /// A request that is started ahead is not counted.
    StartsUncounted,
    /// A request that may run only once is started ahead.
    StartsWhatRunsOnce,
}

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct StopsModel {
    /// Requests of callers.
    pub callers: usize,
    /// Calls of the request that runs beside the daemon.
    pub calls: usize,
    /// Requests of callers on the connection that has several.
    pub pipelined: usize,
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
    /// The connection closed after it was started.
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Request {
    is_call: bool,
    /// Its place on the connection that has several.
    place: Option<usize>,
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

/// The connection that has several requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Connection {
    pipeline: Pipeline,
    /// Place of the request that the library works on, or reads next.
    reached: usize,
    /// Requests that were read, by the library or ahead of it.
    read: usize,
    in_progress: bool,
    /// The head of the answer in progress is out.
    answering: bool,
    /// The answer in progress is the last one.
    last: bool,
    closed: bool,
}

/// A state of the daemon and of those that use it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StopsState {
    process: Process,
    gate: IntakeGate,
    requests: Vec<Request>,
    connection: Connection,
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
        let request = |is_call, place| Request { is_call, place, stage: Stage::NotSent, counted: false };
        let callers = (0..self.callers).map(|_| request(false, None));
        let calls = (0..self.calls).map(|_| request(true, None));
        let pipelined = (0..self.pipelined).map(|place| request(false, Some(place)));
        let requests = callers.chain(calls).chain(pipelined).collect();
        let connection = Connection {
            pipeline: Pipeline::default(),
            reached: 0,
            read: 0,
            in_progress: false,
            answering: false,
            last: false,
            closed: false,
        };
        StopsState { process: Process::Serving, gate, requests, connection, parent_runs: true }
    }

    fn steps(&self, state: &StopsState) -> Steps {
        let mut steps = Vec::new();
        for number in 0..state.requests.len() {
            match state.requests[number].place {
                Some(place) => self.pipelined_step(state, number, place, &mut steps),
                None => self.request_step(state, number, &mut steps),
            }
        }
        self.stop_steps(state, &mut steps);
        steps
    }

    fn violation(&self, state: &StopsState) -> Option<&'static str> {
        if state.requests.iter().any(|request| request.stage == Stage::Lost) {
            return Some("a request was started and its connection closed");
        }
        let runs = |request: &&Request| request.place.is_some() && request.stage == Stage::PassedOn;
        let running: Vec<&Request> = state.requests.iter().filter(runs).collect();
        if running.len() > 1 && running.iter().any(|request| !self.is_repeatable(request)) {
            return Some("a request that may run only once runs beside another");
        }
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

    fn is_repeatable(&self, request: &Request) -> bool {
        request.place.is_none_or(|place| place + 1 < self.pipelined)
    }

    /// Steps of a request on the connection that has several.
    fn pipelined_step(&self, state: &StopsState, number: usize, place: usize, steps: &mut Steps) {
        if state.process == Process::Ended || state.connection.closed {
            return;
        }
        let request = state.requests[number];
        let connection = &state.connection;
        let is_next = place == connection.reached;
        let is_in_progress = is_next && connection.in_progress;
        let is_repeatable = self.is_repeatable(&request);
        if is_next && !connection.in_progress && connection.pipeline.next_input() == NextInput::NextHead {
            let reaches = action("is read by the library", number, 0);
            match request.stage {
                Stage::NotSent => {}
                Stage::Sent => Step::add(steps, state, reaches, |next| {
                    next.read(number);
                    next.connection.read += 1;
                    next.connection.reach();
                    let is_refused = next.requests[number].stage == Stage::Refused;
                    next.connection.pipeline.note_repeatable(is_repeatable || is_refused);
                }),
                _ => Step::add(steps, state, reaches, |next| next.connection.reach()),
            }
        }
        match request.stage {
            Stage::NotSent => {
                Step::add(steps, state, action("is sent", number, 0), |next| next.reach(number, Stage::Sent));
            }
            // While the daemon drains nothing is started.
            Stage::Sent
                if place == connection.read
                    && state.process == Process::Serving
                    && connection.pipeline.may_start() =>
            {
                Step::add(steps, state, action("is read ahead", number, 0), |next| {
                    next.requests[number].counted =
                        self.fault != StopsFault::StartsUncounted && next.gate.take().is_ok();
                    next.reach(number, Stage::Taken);
                    next.connection.read += 1;
                    next.connection.pipeline.start(is_repeatable);
                });
            }
            Stage::Taken
                if is_repeatable || is_in_progress || self.fault == StopsFault::StartsWhatRunsOnce =>
            {
                let passes = action("is passed on", number, 0);
                Step::add(steps, state, passes, |next| next.reach(number, Stage::PassedOn));
            }
            Stage::PassedOn => {
                let answers = action("is answered by its server", number, 0);
                Step::add(steps, state, answers, |next| next.reach(number, Stage::Handed));
            }
            Stage::Handed | Stage::Refused | Stage::Cut if is_in_progress && !connection.answering => {
                Step::add(steps, state, action("has its answer begun", number, 0), |next| {
                    let is_draining = next.process != Process::Serving;
                    let connection = &mut next.connection;
                    connection.answering = true;
                    connection.last |= is_draining
                        && (connection.pipeline.try_close_after_this()
                            || self.fault == StopsFault::ClosesBeforeAll);
                });
            }
            Stage::Handed | Stage::Refused | Stage::Cut if is_in_progress => {
                Step::add(steps, state, action("has its answer written", number, 0), |next| {
                    if request.stage != Stage::Cut {
                        next.reach(number, Stage::Answered);
                        next.uncount(number);
                    }
                    next.end_answer();
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
                if !state.connection.closed
                    && (!state.connection.last && state.connection.pipeline.ahead() == 0)
                {
                    Step::add(steps, state, action("the connection may end", 0, 0), |next| {
                        // An answer whose head is out says nothing of it, but is the last all the same.
                        next.connection.last = true;
                        if !next.connection.in_progress {
                            next.close_connection();
                        }
                    });
                }
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

impl Connection {
    fn reach(&mut self) {
        self.pipeline.give_head(0);
        // What was done for the request is in its stage.
        let _ = self.pipeline.begin_request(RequestBody::None, true);
        self.in_progress = true;
    }
}

impl StopsState {
    /// The answer in progress on the connection that has several is written.
    fn end_answer(&mut self) {
        let connection = &mut self.connection;
        connection.pipeline.end_answer();
        let _ = connection.pipeline.flush();
        (connection.in_progress, connection.answering) = (false, false);
        connection.reached += 1;
        if connection.last {
            self.close_connection();
        }
    }

    fn close_connection(&mut self) {
        self.connection.closed = true;
        for number in 0..self.requests.len() {
            if self.requests[number].place.is_none() {
                continue;
            }
            match self.requests[number].stage {
                Stage::NotSent | Stage::Sent => self.reach(number, Stage::Unread),
                Stage::Taken | Stage::PassedOn | Stage::Handed | Stage::Refused => {
                    self.reach(number, Stage::Lost);
                    self.uncount(number);
                }
                Stage::Answered | Stage::Cut | Stage::Unread | Stage::Lost => {}
            }
        }
    }

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
