//! The rate that a back end names, through answers that overtake each other, restarts of the daemon beside it and what the senders hand
//! back: a sender that has passed on the rate in force is never let through at a looser one, and no rate is kept that isn't named.
//!
//! Bounds: two senders, two requests on their way, few changes of the rate and few requests. Instants count events.

use crate::search::{Model, SearchResult, Step, action, search};
use seamhatch_core::Instant;
use seamhatch_core::instance::InstanceId;
use seamhatch_core::notice::{AnswerNotice, NamedRate, RateTracker};
use seamhatch_core::rate::RequestRate;

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticesFault {
    /// None.
    None,
    /// The answer that came last counts, whenever its request was sent.
    LastAnswerCounts,
    /// Senders hand nothing back.
    NothingHandedBack,
    /// A restarted daemon tells what it knows before it has taken back what the senders know.
    ToldBeforeHandedBack,
}

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct NoticesModel {
    /// Changes of the rate that the back end names.
    pub changes: u8,
    /// Requests in all.
    pub requests: u8,
    /// Restarts of the daemon beside the back end.
    pub restarts: u8,
    /// The seeded fault.
    pub fault: NoticesFault,
}

const SENDERS: usize = 2;
/// Requests on their way at a time.
const MOST_REQUESTS: usize = 2;
/// Rates that the back end names, in requests a second.
const RATES: [f64; 2] = [5.0, 10.0];

/// A rate that the back end names, and how often it had changed before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Word {
    rate: Option<RequestRate>,
    version: u8,
}

/// A request on its way, or its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Exchange {
    sender: usize,
    sent: Instant,
    /// No other request was on its way when it was sent.
    alone: bool,
    /// What the back end's answer says, once it is made.
    answer: Option<Word>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct SenderState {
    /// What it would hand back.
    told: Option<RequestRate>,
    /// How often the rate had changed before the last answer that it passed on.
    passed_on: Option<u8>,
    is_connected: bool,
}

/// A state of the back end, the daemon beside it and the senders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct NoticesState {
    now: u64,
    word: Word,
    sent: u8,
    /// When the last request was sent.
    last_sent: Instant,
    restarts: u8,
    rates: RateTracker,
    is_open: bool,
    senders: [SenderState; SENDERS],
    exchanges: Vec<Exchange>,
    violation: Option<&'static str>,
}

type Steps = Vec<Step<NoticesState>>;

fn instance() -> InstanceId {
    InstanceId::named("i")
}

impl Model for NoticesModel {
    type State = NoticesState;

    fn initial(&self) -> NoticesState {
        let mut state = NoticesState { is_open: true, ..NoticesState::default() };
        state.rates.open(Some(&instance()));
        state
    }

    fn steps(&self, state: &NoticesState) -> Steps {
        let mut steps = Vec::new();
        self.back_end_steps(state, &mut steps);
        self.sender_steps(state, &mut steps);
        self.answer_steps(state, &mut steps);
        self.start_steps(state, &mut steps);
        steps
    }

    fn violation(&self, state: &NoticesState) -> Option<&'static str> {
        state.violation
    }
}

impl NoticesModel {
    /// Searches all reachable states, at most `limit`.
    #[must_use]
    pub fn search(&self, limit: usize) -> SearchResult {
        search(self, limit)
    }

    fn back_end_steps(&self, state: &NoticesState, steps: &mut Steps) {
        if state.word.version < self.changes {
            let rates = RATES.map(RequestRate::per_second);
            for (number, rate) in rates.into_iter().chain([None]).enumerate() {
                if rate != state.word.rate {
                    Step::add(steps, state, action("the back end names another rate", number, 0), |next| {
                        next.word = Word { rate, version: next.word.version + 1 };
                    });
                }
            }
        }
        for (index, exchange) in state.exchanges.iter().enumerate() {
            if exchange.answer.is_none() {
                Step::add(steps, state, action("the back end answers", index, 0), |next| {
                    next.exchanges[index].answer = Some(next.word);
                });
            }
        }
    }

    fn sender_steps(&self, state: &NoticesState, steps: &mut Steps) {
        for (number, sender) in state.senders.iter().enumerate() {
            if !sender.is_connected {
                Step::add(steps, state, action("a sender connects", number, 0), |next| {
                    self.connect(next, number);
                });
                continue;
            }
            Step::add(steps, state, action("a sender is told", number, 0), |next| next.tell(number));
            let may_send = state.sent < self.requests && state.exchanges.len() < MOST_REQUESTS;
            if may_send && state.is_open {
                Step::add(steps, state, action("a sender sends", number, 0), |next| next.send(number));
            }
        }
    }

    fn connect(&self, state: &mut NoticesState, sender: usize) {
        let own = &mut state.senders[sender];
        own.is_connected = true;
        let told = own.told;
        if self.fault == NoticesFault::ToldBeforeHandedBack {
            state.tell(sender);
        }
        let handed_back = match self.fault {
            NoticesFault::NothingHandedBack => None,
            NoticesFault::ToldBeforeHandedBack => state.senders[sender].told,
            NoticesFault::None | NoticesFault::LastAnswerCounts => told,
        };
        if let Some(rate) = handed_back {
            state.rates.hand_back(Some(&instance()), rate);
        }
    }

    fn answer_steps(&self, state: &NoticesState, steps: &mut Steps) {
        for (index, exchange) in state.exchanges.iter().enumerate() {
            let Some(word) = exchange.answer else { continue };
            Step::add(steps, state, action("an answer arrives", index, 0), |next| {
                let exchange = next.exchanges.remove(index);
                next.now += 1;
                let now = Instant(next.now);
                let sent =
                    if self.fault == NoticesFault::LastAnswerCounts { now.plus(1) } else { exchange.sent };
                let rate = word.rate.map_or(NamedRate::NotNamed, NamedRate::Named);
                let notice = AnswerNotice { rate, proven: true, ..AnswerNotice::default() };
                next.rates.observe(Some(&instance()), notice, sent, now);
                let is_only = exchange.alone && exchange.sent == next.last_sent;
                if is_only && next.rates.rate() != word.rate {
                    next.violation = Some("a rate is kept that is not named");
                }
                next.senders[exchange.sender].passed_on = Some(word.version);
                next.tell(exchange.sender);
            });
        }
    }

    fn start_steps(&self, state: &NoticesState, steps: &mut Steps) {
        if state.restarts < self.restarts {
            Step::add(steps, state, action("the daemon restarts", 0, 0), |next| {
                next.restarts += 1;
                next.rates = RateTracker::default();
                next.is_open = false;
                next.exchanges.clear();
                next.senders.iter_mut().for_each(|sender| sender.is_connected = false);
            });
        }
        if !state.is_open {
            Step::add(steps, state, action("the instance is heard", 0, 0), |next| {
                next.is_open = true;
                next.rates.open(Some(&instance()));
            });
        }
    }
}

impl NoticesState {
    fn tell(&mut self, sender: usize) {
        self.senders[sender].told = self.rates.rate_for_peers().map(|(_, rate)| rate);
    }

    fn send(&mut self, sender: usize) {
        self.now += 1;
        self.sent += 1;
        let has_passed_it_on = self.senders[sender].passed_on == Some(self.word.version);
        let is_looser = |named: RequestRate| self.rates.rate().is_none_or(|rate| rate > named);
        if has_passed_it_on && self.word.rate.is_some_and(is_looser) {
            self.violation = Some("a sender that was told is let through at a looser rate");
        }
        self.last_sent = Instant(self.now);
        let alone = self.exchanges.is_empty();
        self.exchanges.push(Exchange { sender, sent: Instant(self.now), alone, answer: None });
    }
}
