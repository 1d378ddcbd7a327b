//! A slot that a call holds, and the place of a waiting call in the queue. Both are released when
//! they are dropped.

use super::AdmissionGate;
use crate::base::clock;
use seamhatch_core::admission::{BackEndLoad, Ticket};
use std::sync::Arc;

/// A slot. Dropping it releases the slot.
#[derive(Debug)]
pub struct Permit {
    pub(super) gate: Arc<AdmissionGate>,
    pub(super) ticket: Ticket,
    pub(super) end: PermitEnd,
}

/// How a call with a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PermitEnd {
    /// The call ran, but its service time is not a valid sample.
    Ran,
    /// The call ran, and its service time is a valid sample.
    Succeeded,
    /// The call was never sent to the back end.
    Unsent,
}

impl Permit {
    /// Marks the call's service time as a valid sample.
    pub fn mark_succeeded(&mut self) {
        self.end = PermitEnd::Succeeded;
    }

    /// Records that nothing of the call was sent to the back end, so that another call gets its
    /// turn.
    pub fn mark_unsent(&mut self) {
        self.end = PermitEnd::Unsent;
    }

    /// Records that the back end has answered the call, in whatever way.
    pub fn note_answer(&self) {
        let mut state = self.gate.lock();
        let was_silent = state.queue.is_silent();
        state.queue.note_answer();
        if was_silent {
            state.log_silence();
            self.gate.grant_slots(&mut state);
        }
    }

    /// Records that the back end has not answered the call by its deadline and never will.
    pub fn note_unanswered(&self) {
        let mut state = self.gate.lock();
        state.queue.note_unanswered();
        state.log_silence();
    }

    /// Records the load that the back end reports with the call's answer.
    pub fn note_load(&self, load: BackEndLoad) {
        let mut state = self.gate.lock();
        state.queue.note_back_end_load(load, clock::now());
        self.gate.grant_slots(&mut state);
    }

    /// Records that the call has made calls of its own, so that its service time depends on other
    /// back ends too.
    pub fn mark_calls_made(&mut self) {
        self.gate.lock().queue.note_calls_made(self.ticket);
    }

    /// Records that the back end answered the call with a failure.
    pub fn mark_failed(&mut self) {
        self.gate.lock().queue.note_failure(self.ticket);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.finish(self.ticket, self.end);
    }
}

/// Removes a waiting call from the queue when its future is dropped. A slot that was granted at the
/// same moment is released.
pub(super) struct WaitGuard<'a> {
    pub(super) gate: &'a AdmissionGate,
    pub(super) ticket: Ticket,
    pub(super) armed: bool,
    /// Whether the call has waited as long as it could.
    pub(super) expired: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let mut state = self.gate.lock();
        state.waiters.remove(&self.ticket);
        let waited =
            if self.expired { state.queue.expire(self.ticket) } else { state.queue.cancel(self.ticket) };
        if !waited {
            state.queue.withdraw(self.ticket, clock::now());
            self.gate.grant_slots(&mut state);
        }
    }
}
