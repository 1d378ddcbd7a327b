//! Rate limit of the gate, as named by the back end: setting it, and waking the queue at the turn
//! of a waiting call.

use super::{AdmissionGate, State};
use crate::base::clock;
use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::rate::RequestRate;
use tokio::runtime::Handle;

impl AdmissionGate {
    /// Limits calls to the rate that the back end names.
    pub fn set_rate_limit(&self, rate: RequestRate) {
        let mut state = self.lock();
        state.queue.set_rate_limit(rate, clock::now());
        self.grant_slots(&mut state);
    }

    /// Ends the rate limit, as the back end names no rate any more.
    pub fn end_rate_limit(&self) {
        let mut state = self.lock();
        state.queue.end_rate_limit(clock::now());
        self.grant_slots(&mut state);
    }

    /// Returns the rate limit and the time until the turn of a call that arrives now; `None`
    /// without a limit.
    #[must_use]
    pub fn turn_in(&self) -> Option<(RequestRate, Microseconds)> {
        let state = self.lock();
        state.queue.rate().zip(state.queue.turn_in(clock::now()))
    }

    /// Returns how many calls may run at once at present, whatever the rate.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.lock().queue.limit()
    }

    /// Schedules a task that checks for the next call when the rate allows its turn. Without a
    /// runtime, the next tick does this.
    pub(super) fn wake_at_next_turn(&self, state: &mut State, now: Instant) {
        let Some(turn) = state.queue.next_turn(now) else { return };
        if state.wake_at.is_some_and(|wake_at| wake_at <= turn) {
            return;
        }
        let Ok(runtime) = Handle::try_current() else { return };
        state.wake_at = Some(turn);
        let gate = self.weak_self.clone();
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
        self.grant_slots(&mut state);
    }
}
