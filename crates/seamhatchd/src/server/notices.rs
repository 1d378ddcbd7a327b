//! What the back end says of itself in its answers: the rate at which it takes calls, and that it leaves.
//!
//! Owns the book of its rates, which decides what counts, and the round in which daemons that send calls have their turns. Sets the gate's
//! rate, so that the sum over all daemons is kept in one place. [`BackEndNotices::notice_for_peers`] goes to the other daemons, which hand it back
//! should this process restart.

use crate::base::clock;
use crate::base::lock::lock;
use crate::base::metrics::{BadInput, Metrics, NO_NAMED_RATE};
use crate::server::gate::AdmissionGate;
use log::{info, warn};
use seamhatch_core::Instant;
use seamhatch_core::balance::{SenderRoundRobin, TurnReport};
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::identity::Address;
use seamhatch_core::instance::InstanceId;
use seamhatch_core::notice::{AnswerNotice, BackEndNotice, NamedRate, RateChange, RateTracker};
use seamhatch_core::rate::RequestRate;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Shortest time between two log lines on a rate that changes.
const LOG_PAUSE: Microseconds = SECOND;

#[derive(Debug, Default)]
struct State {
    book: RateTracker,
    /// The instance that said last that it leaves, until another one opens.
    leaving: Option<InstanceId>,
    senders: SenderRoundRobin,
    /// When a change of the rate was last logged.
    logged: Instant,
    /// A field that can't be read has been logged; later ones are counted only.
    unreadable_logged: bool,
}

/// What the back end beside this daemon says of itself.
#[derive(Debug)]
pub struct BackEndNotices {
    gate: Arc<AdmissionGate>,
    metrics: Arc<Metrics>,
    state: Mutex<State>,
    /// The gate is held to a rate: saves the lock where it is not.
    is_held: AtomicBool,
}

impl BackEndNotices {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(gate: Arc<AdmissionGate>, metrics: Arc<Metrics>) -> Self {
        Self { gate, metrics, state: Mutex::default(), is_held: AtomicBool::new(false) }
    }

    /// Records what an answer of `instance` says, to a request that was sent at `sent`.
    pub fn note_answer(&self, instance: Option<&InstanceId>, notice: AnswerNotice, sent: Instant) {
        let mut state = lock(&self.state);
        if notice.rate == NamedRate::Unreadable {
            self.note_unreadable(&mut state);
        }
        let change = state.book.observe(instance, notice, sent, clock::now());
        self.apply(&mut state, change, "answer");
    }

    /// An instance takes calls from now on; none where instances don't register.
    pub fn note_open(&self, instance: Option<&InstanceId>) {
        let mut state = lock(&self.state);
        state.leaving = state.leaving.take().filter(|leaving| Some(leaving) == instance);
        let change = state.book.open(instance);
        self.apply(&mut state, change, "handed-back");
    }

    /// An instance has said that it leaves.
    pub fn note_leaving(&self, instance: &InstanceId) {
        lock(&self.state).leaving = Some(instance.clone());
    }

    /// Another daemon hands back a rate that this process may have forgotten.
    pub fn hand_back_rate(&self, instance: Option<&InstanceId>, rate: RequestRate) {
        let mut state = lock(&self.state);
        let change = state.book.hand_back(instance, rate);
        self.apply(&mut state, change, "handed-back");
    }

    /// What other daemons are to hand back, should this process restart.
    #[must_use]
    pub fn notice_for_peers(&self) -> Option<BackEndNotice> {
        let state = lock(&self.state);
        if let Some((instance, rate)) = state.book.rate_for_peers() {
            return Some(BackEndNotice { instance: instance.cloned(), rate: Some(rate), leaving: false });
        }
        let leaving = state.leaving.clone()?;
        Some(BackEndNotice { instance: Some(leaving), rate: None, leaving: true })
    }

    /// The rate that the back end names; none where it names none.
    #[must_use]
    pub fn named_rate(&self) -> Option<RequestRate> {
        lock(&self.state).book.rate()
    }

    /// A daemon has sent a call for the back end.
    pub fn note_sender(&self, sender: Address) {
        if self.is_held.load(Ordering::Relaxed) {
            lock(&self.state).senders.record_call(sender, clock::now());
        }
    }

    /// When a daemon that sends calls has its next turn, where the back end is held to a rate.
    #[must_use]
    pub fn turn_of(&self, sender: Address) -> Option<TurnReport> {
        if !self.is_held.load(Ordering::Relaxed) {
            return None;
        }
        let state = lock(&self.state);
        let Some((rate, turn_in)) = self.gate.turn_in() else {
            // It has risen back to what the slots can do.
            self.is_held.store(false, Ordering::Relaxed);
            return None;
        };
        Some(state.senders.report(sender, rate, turn_in, clock::now()))
    }

    fn apply(&self, state: &mut State, change: RateChange, source: &'static str) {
        match change {
            RateChange::Unchanged => return,
            RateChange::HoldTo(rate) => {
                self.gate.set_rate_limit(rate);
                self.is_held.store(true, Ordering::Relaxed);
                self.metrics.named_rate.set(rate.as_thousandths() as i64);
            }
            RateChange::Lifted => {
                self.gate.end_rate_limit();
                self.metrics.named_rate.set(NO_NAMED_RATE);
            }
        }
        let now = clock::now();
        if now.since(state.logged) < LOG_PAUSE && change != RateChange::Lifted {
            return;
        }
        state.logged = now;
        let instance = state.book.instance().map_or("", |instance| instance.name.as_str());
        match change {
            RateChange::HoldTo(rate) => {
                let per_second = rate.as_per_second();
                info!(instance = instance, per_second = per_second, source = source; "the back end names a rate");
            }
            _ => info!(instance = instance; "the back end names no rate any more"),
        }
    }

    fn note_unreadable(&self, state: &mut State) {
        self.metrics.bad_input(BadInput::Answer);
        if !std::mem::replace(&mut state.unreadable_logged, true) {
            warn!(
                "the rate can't be read in an answer of the back end: it is to be one decimal number from 0 on"
            );
        }
    }
}
