//! Calls that a back end goes on with while the daemon beside it restarts: none of their own calls is denied, their senders make them
//! known again, and nothing else is taken for them.
//!
//! Bounds: two senders, one call each, few restarts of the daemon, one change of the instance. Instants count steps of time; a call
//! lasts as long as the longest time-out.

use crate::search::{Model, SearchResult, Step, action, search};
use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::hand_back::{EarlierCalls, RestoredCalls, SentCall, SentCalls};
use seamhatch_core::identity::{CallId, Incarnation};
use seamhatch_core::instance::InstanceId;

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunningCallsFault {
    /// None.
    None,
    /// A restarted daemon takes what it doesn't know for what doesn't run.
    DeniedAtOnce,
    /// Senders hand nothing back.
    NothingHandedBack,
    /// A sender forgets its calls when their connection closes.
    ForgottenWithConnection,
    /// A sender hands a call back once, whether or not it arrives.
    HandedBackOnce,
    /// Calls of another instance are kept.
    AnyInstance,
}

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct RunningCallsModel {
    /// Restarts of the daemon.
    pub restarts: u8,
    /// Connections that close while both daemons go on.
    pub losses: u8,
    /// Steps of time.
    pub time: u64,
    /// The seeded fault.
    pub fault: RunningCallsFault,
}

const SENDERS: usize = 2;
/// How long a call lasts at most, and the longest time-out of the configuration.
const LONGEST: Microseconds = 3;
/// Name of a request that nobody sent.
const FORGED: &str = "forged";

/// What a sender remembers of a call: its name, and the instance that it was sent to.
type Item = (usize, u8);

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct SenderState {
    calls: SentCalls<Item>,
    /// The life of the daemon that it is connected to.
    connected: Option<Incarnation>,
    /// What it hands back, on its way on that connection.
    on_its_way: Vec<SentCall<Item>>,
}

/// The call of one sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct CallState {
    instance: u8,
    incarnation: Incarnation,
    expiry: Instant,
    /// The back end works on it.
    runs: bool,
}

/// A state of the back end, the daemon beside it and the senders.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RunningCallsState {
    now: u64,
    restarts: u8,
    losses: u8,
    incarnation: Incarnation,
    /// The instance of the back end that lives.
    alive: u8,
    /// The instance that the daemon has heard in this life.
    heard: Option<u8>,
    earlier: EarlierCalls,
    restored: RestoredCalls<usize>,
    calls: [Option<CallState>; SENDERS],
    senders: [SenderState; SENDERS],
}

/// What a call without a key is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// It belongs to this sender's call.
    Taken,
    /// To come back later.
    Later,
    /// That it needs a key.
    Denied,
}

fn name(sender: usize) -> String {
    sender.to_string()
}

fn instance(number: u8) -> InstanceId {
    InstanceId::named(number.to_string())
}

impl RunningCallsState {
    fn verdict(&self, name_of_parent: &str) -> Verdict {
        let now = Instant(self.now);
        let is_registered = self.calls.iter().enumerate().any(|(sender, call)| {
            let here = |call: &CallState| call.runs && call.incarnation == self.incarnation;
            name(sender) == name_of_parent && call.as_ref().is_some_and(here)
        });
        if is_registered || self.restored.find(name_of_parent, now).is_some() {
            Verdict::Taken
        } else if self.earlier.may_run(now) {
            Verdict::Later
        } else {
            Verdict::Denied
        }
    }

    fn is_connected(&self, sender: usize) -> bool {
        self.senders[sender].connected == Some(self.incarnation)
    }

    fn disconnect(&mut self, sender: usize, fault: RunningCallsFault) {
        let own = &mut self.senders[sender];
        own.connected = None;
        own.on_its_way.clear();
        if fault == RunningCallsFault::ForgottenWithConnection {
            own.calls = SentCalls::default();
        }
    }

    fn hear_instance(&mut self, fault: RunningCallsFault) {
        self.heard = Some(self.alive);
        if fault != RunningCallsFault::AnyInstance {
            self.restored.note_open(&instance(self.alive));
        }
    }
}

impl Model for RunningCallsModel {
    type State = RunningCallsState;

    fn initial(&self) -> RunningCallsState {
        let mut restored = RestoredCalls::default();
        restored.note_open(&instance(0));
        RunningCallsState {
            now: 1,
            restarts: 0,
            losses: 0,
            incarnation: Incarnation(1),
            alive: 0,
            heard: Some(0),
            earlier: EarlierCalls::none(),
            restored,
            calls: [None; SENDERS],
            senders: [SenderState::default(), SenderState::default()],
        }
    }

    fn steps(&self, state: &RunningCallsState) -> Vec<Step<RunningCallsState>> {
        let mut steps = Vec::new();
        self.back_end_steps(state, &mut steps);
        self.daemon_steps(state, &mut steps);
        (0..SENDERS).for_each(|sender| self.sender_steps(state, sender, &mut steps));
        if state.now < self.time {
            Step::add(&mut steps, state, action("time passes", 0, 0), |next| {
                next.now += 1;
                for call in next.calls.iter_mut().flatten() {
                    call.runs &= call.expiry > Instant(next.now);
                }
            });
        }
        steps
    }

    fn violation(&self, state: &RunningCallsState) -> Option<&'static str> {
        if state.verdict(FORGED) == Verdict::Taken {
            return Some("a call of nobody is taken for one of a running request");
        }
        for (sender, call) in state.calls.iter().enumerate() {
            let Some(call) = call else { continue };
            let verdict = state.verdict(&name(sender));
            let is_handed_back = state.is_connected(sender) && state.senders[sender].on_its_way.is_empty();
            if call.runs && verdict == Verdict::Denied {
                return Some("a call of a running request is denied");
            }
            if call.runs && is_handed_back && verdict != Verdict::Taken {
                return Some("a running request is not known, though its sender is connected");
            }
            let is_others = state.heard.is_some_and(|heard| heard != call.instance);
            if is_others && verdict == Verdict::Taken {
                return Some("a request of another instance is taken for a running one");
            }
        }
        None
    }
}

impl RunningCallsModel {
    /// Searches all reachable states, at most `limit`.
    #[must_use]
    pub fn search(&self, limit: usize) -> SearchResult {
        search(self, limit)
    }

    fn back_end_steps(&self, state: &RunningCallsState, steps: &mut Vec<Step<RunningCallsState>>) {
        if state.alive == 0 {
            Step::add(steps, state, action("another instance replaces the back end", 0, 0), |next| {
                next.alive = 1;
                next.calls.iter_mut().flatten().for_each(|call| call.runs = false);
            });
        }
        for (sender, call) in state.calls.iter().enumerate() {
            if !call.is_some_and(|call| call.runs) {
                continue;
            }
            Step::add(steps, state, action("the back end answers", sender, 0), |next| {
                let Some(call) = &mut next.calls[sender] else { return };
                call.runs = false;
                let (incarnation, expiry) = (call.incarnation, call.expiry);
                // The answer finds its sender on the connection that the call came on.
                if incarnation == next.incarnation && next.is_connected(sender) {
                    next.senders[sender].calls.settle(CallId(sender as u64), expiry);
                }
            });
        }
    }

    fn daemon_steps(&self, state: &RunningCallsState, steps: &mut Vec<Step<RunningCallsState>>) {
        let fault = self.fault;
        if state.restarts < self.restarts {
            Step::add(steps, state, action("the daemon restarts", 0, 0), |next| {
                next.restarts += 1;
                next.incarnation = Incarnation(next.incarnation.0 + 1);
                next.heard = None;
                next.restored = RestoredCalls::default();
                next.earlier = EarlierCalls::before(Instant(next.now));
                if fault == RunningCallsFault::DeniedAtOnce {
                    next.earlier = EarlierCalls::none();
                }
                next.earlier.note_longest_timeout(LONGEST);
                (0..SENDERS).for_each(|sender| next.disconnect(sender, fault));
            });
        }
        Step::add(steps, state, action("the instance is heard", 0, 0), |next| next.hear_instance(fault));
    }

    fn sender_steps(
        &self,
        state: &RunningCallsState,
        sender: usize,
        steps: &mut Vec<Step<RunningCallsState>>,
    ) {
        let fault = self.fault;
        if !state.is_connected(sender) {
            Step::add(steps, state, action("a sender connects", sender, 0), |next| {
                let (incarnation, now) = (next.incarnation, Instant(next.now));
                let own = &mut next.senders[sender];
                own.connected = Some(incarnation);
                if fault != RunningCallsFault::NothingHandedBack {
                    own.on_its_way = own.calls.hand_back(incarnation, now);
                }
                if fault == RunningCallsFault::HandedBackOnce {
                    own.calls = SentCalls::default();
                }
            });
            return;
        }
        if !state.senders[sender].on_its_way.is_empty() {
            Step::add(steps, state, action("calls are handed back", sender, 0), |next| {
                let now = Instant(next.now);
                for sent in std::mem::take(&mut next.senders[sender].on_its_way) {
                    let (of, number) = sent.call;
                    next.restored.add(name(of), Some(instance(number)), sent.expiry, of, now);
                }
            });
        }
        if state.losses < self.losses {
            Step::add(steps, state, action("a connection closes", sender, 0), |next| {
                next.losses += 1;
                next.disconnect(sender, fault);
            });
        }
        let heard = state.heard.filter(|heard| *heard == state.alive);
        if let (None, Some(heard)) = (state.calls[sender], heard) {
            Step::add(steps, state, action("a sender sends", sender, 0), |next| {
                let (now, incarnation) = (Instant(next.now), next.incarnation);
                let expiry = now.plus(LONGEST);
                next.calls[sender] = Some(CallState { instance: heard, incarnation, expiry, runs: true });
                let sent = SentCall { incarnation, sent: now, expiry, call: (sender, heard) };
                next.senders[sender].calls.note(CallId(sender as u64), sent);
            });
        }
    }
}
