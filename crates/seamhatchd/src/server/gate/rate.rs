//! The rate that the back end names: setting it, and waking the queue when a call that waits has its turn.

use super::{AdmissionGate, State};
use crate::base::clock;
use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::rate::RequestRate;
use tokio::runtime::Handle;

impl AdmissionGate {
    /// Holds calls to a rate that the back end names.
    pub fn set_rate_limit(&self, rate: RequestRate) {
        let mut state = self.lock();
        state.queue.set_rate_limit(rate, clock::now());
        self.pump(&mut state);
    }

    /// The back end names no rate any more.
    pub fn end_rate_limit(&self) {
        let mut state = self.lock();
        state.queue.end_rate_limit(clock::now());
        self.pump(&mut state);
    }

    /// The rate that calls are held to, and the time until the turn of one that comes now; none where there is no rate.
    #[must_use]
    pub fn turn_in(&self) -> Option<(RequestRate, Microseconds)> {
        let state = self.lock();
        state.queue.rate().zip(state.queue.turn_in(clock::now()))
    }

    /// Calls that may run at once at present, whatever the rate.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.lock().queue.limit()
    }

    /// Has a task look for the next call when the rate gives it its turn. Without a runtime the next tick does.
    pub(super) fn wake_at_next_turn(&self, state: &mut State, now: Instant) {
        let Some(turn) = state.queue.next_turn(now) else { return };
        if state.wake_at.is_some_and(|wake_at| wake_at <= turn) {
            return;
        }
        let Ok(runtime) = Handle::try_current() else { return };
        state.wake_at = Some(turn);
        let gate = self.this.clone();
        runtime.spawn(async move {
            clock::sleep_until(turn).await;
            if let Some(gate) = gate.upgrade() {
                gate.wake(turn);
            }
        });
    }

    fn wake(&self, turn: Instant) {
        let mut state = self.lock();
        state.wake_at = state.wake_at.filter(|wake_at| *wake_at != turn);
        self.pump(&mut state);
    }
}
