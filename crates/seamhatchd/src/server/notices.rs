//! State that the back end reports about itself in its answers: the rate that it names, and that it
//! leaves.
//!
//! Owns the [`RateTracker`], which decides which of the named rates is in force, and the round robin of
//! the daemons that send calls. Sets the rate limit of the gate, so that the sum over all daemons is
//! enforced in one place. Other daemons receive [`BackEndNotices::notice_for_peers`] and hand it back
//! if this process restarts.

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

/// Minimum time between two log messages about a changing rate, in microseconds.
const LOG_INTERVAL: Microseconds = SECOND;

#[derive(Debug, Default)]
struct State {
    rates: RateTracker,
    /// The last instance that announced that it leaves, until another one opens.
    leaving: Option<InstanceId>,
    senders: SenderRoundRobin,
    /// When a change of the rate was last logged.
    last_logged: Instant,
    /// Whether an unreadable field has been logged; later ones are only counted.
    unreadable_logged: bool,
}

/// State that the local back end reports about itself.
#[derive(Debug)]
pub struct BackEndNotices {
    gate: Arc<AdmissionGate>,
    metrics: Arc<Metrics>,
    state: Mutex<State>,
    /// Whether the gate is rate-limited. Saves taking the lock if it is not.
    is_rate_limited: AtomicBool,
}

impl BackEndNotices {
    /// Creates the state of a back end that has reported nothing.
    #[must_use]
    pub fn new(gate: Arc<AdmissionGate>, metrics: Arc<Metrics>) -> Self {
        Self { gate, metrics, state: Mutex::default(), is_rate_limited: AtomicBool::new(false) }
    }

    /// Records the notice in an answer of `instance` to a request that was sent at `sent`.
    pub fn note_answer(&self, instance: Option<&InstanceId>, notice: AnswerNotice, sent: Instant) {
        let mut state = lock(&self.state);
        if notice.rate == NamedRate::Unreadable {
            self.note_unreadable(&mut state);
        }
        let change = state.rates.observe(instance, notice, sent, clock::now());
        self.apply(&mut state, change, "answer");
    }

    /// Records that an instance takes calls from now on; `None` if instances don't register.
    pub fn note_open(&self, instance: Option<&InstanceId>) {
        let mut state = lock(&self.state);
        state.leaving = state.leaving.take().filter(|leaving| Some(leaving) == instance);
        let change = state.rates.open(instance);
        self.apply(&mut state, change, "handed-back");
    }

    /// Records that an instance has announced that it leaves.
    pub fn note_leaving(&self, instance: &InstanceId) {
        lock(&self.state).leaving = Some(instance.clone());
    }

    /// Records a rate limit that another daemon hands back, since this process may have restarted
    /// after it was reported.
    pub fn hand_back_rate(&self, instance: Option<&InstanceId>, rate: RequestRate) {
        let mut state = lock(&self.state);
        let change = state.rates.hand_back(instance, rate);
        self.apply(&mut state, change, "handed-back");
    }

    /// Returns the notice that other daemons hand back if this process restarts.
    #[must_use]
    pub fn notice_for_peers(&self) -> Option<BackEndNotice> {
        let state = lock(&self.state);
        if let Some((instance, rate)) = state.rates.rate_for_peers() {
            return Some(BackEndNotice { instance: instance.cloned(), rate: Some(rate), leaving: false });
        }
        let leaving = state.leaving.clone()?;
        Some(BackEndNotice { instance: Some(leaving), rate: None, leaving: true })
    }

    /// Returns the rate limit that the back end names, if any.
    #[must_use]
    pub fn named_rate(&self) -> Option<RequestRate> {
        lock(&self.state).rates.rate()
    }

    /// Records that a daemon has sent a call for the back end.
    pub fn note_sender(&self, sender: Address) {
        if self.is_rate_limited.load(Ordering::Relaxed) {
            lock(&self.state).senders.record_call(sender, clock::now());
        }
    }

    /// Returns the next turn of a daemon that sends calls, if the back end is rate-limited.
    #[must_use]
    pub fn turn_of(&self, sender: Address) -> Option<TurnReport> {
        if !self.is_rate_limited.load(Ordering::Relaxed) {
            return None;
        }
        let state = lock(&self.state);
        let Some((rate, turn_in)) = self.gate.turn_in() else {
            // The rate has risen again to what the slots can do.
            self.is_rate_limited.store(false, Ordering::Relaxed);
            return None;
        };
        Some(state.senders.report(sender, rate, turn_in, clock::now()))
    }

    fn apply(&self, state: &mut State, change: RateChange, source: &'static str) {
        match change {
            RateChange::Unchanged => return,
            RateChange::Limit(rate) => {
                self.gate.set_rate_limit(rate);
                self.is_rate_limited.store(true, Ordering::Relaxed);
                self.metrics.named_rate.set(rate.as_thousandths() as i64);
            }
            RateChange::Unlimited => {
                self.gate.end_rate_limit();
                self.metrics.named_rate.set(NO_NAMED_RATE);
            }
        }
        let now = clock::now();
        if now.since(state.last_logged) < LOG_INTERVAL && change != RateChange::Unlimited {
            return;
        }
        state.last_logged = now;
        let instance = state.rates.instance().map_or("", |instance| instance.name.as_str());
        match change {
            RateChange::Limit(rate) => {
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
                "the rate can't be read in an answer of the back end: expected one decimal number from 0 on"
            );
        }
    }
}
