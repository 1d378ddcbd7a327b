//! A slot that a call holds, and the place of one that waits: each is given back when it is dropped.

use super::AdmissionGate;
use crate::base::clock;
use seamhatch_core::admission::{BackEndLoad, Ticket};
use std::sync::Arc;

/// A slot; dropping it frees the slot.
#[derive(Debug)]
pub struct Permit {
    pub(super) gate: Arc<AdmissionGate>,
    pub(super) ticket: Ticket,
    pub(super) end: PermitEnd,
}

/// What becomes of a call with a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PermitEnd {
    /// It ran, and its service time says nothing.
    Ran,
    /// Its service time is a fair sample.
    Succeeded,
    /// It was never sent to the back end.
    Unsent,
}

impl Permit {
    /// The call's service time is a fair sample.
    pub fn mark_succeeded(&mut self) {
        self.end = PermitEnd::Succeeded;
    }

    /// Nothing of the call was sent to the back end, so that its turn goes to another one.
    pub fn mark_unsent(&mut self) {
        self.end = PermitEnd::Unsent;
    }

    /// Records the load that the back end reports beside the call's answer.
    pub fn note_load(&self, load: BackEndLoad) {
        let mut state = self.gate.lock();
        state.queue.note_back_end_load(load, clock::now());
        self.gate.pump(&mut state);
    }

    /// The call has made calls of its own, so that its service time depends on other back ends too.
    pub fn mark_calls_made(&mut self) {
        self.gate.lock().queue.note_calls_made(self.ticket);
    }

    /// The back end answers the call with a failure.
    pub fn mark_failed(&mut self) {
        self.gate.lock().queue.note_failure(self.ticket);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.finish(self.ticket, self.end);
    }
}

/// Removes a waiting call from the queue when its future is dropped. A slot that was granted at that very moment is given
/// back.
pub(super) struct WaitGuard<'a> {
    pub(super) gate: &'a AdmissionGate,
    pub(super) ticket: Ticket,
    pub(super) armed: bool,
    /// It has waited as long as it could.
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
            self.gate.pump(&mut state);
        }
    }
}
