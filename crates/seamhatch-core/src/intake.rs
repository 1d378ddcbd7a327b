//! Request intake of a daemon: whether a request that has been read is accepted, and when no accepted request is
//! left.
//!
//! [`IntakeGate`] decides both in one step: a request is either counted before the intake closes, or refused after
//! it. The intake closes for good with nothing in progress ([`IntakeGate::close_if_idle`]), or by force when the time
//! is up ([`IntakeGate::close`]); requests that are in progress then are cut off, and their number is known. So no
//! request is passed on and then lost unnoticed with the process. [`crate::drain`] decides what is accepted for how long.
//! The daemon locks the gate in `seamhatchd::intake`; a model check covers it.

use thiserror::Error;

/// Which requests a daemon still accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum IntakePhase {
    /// All that [`crate::drain`] allows.
    #[default]
    Open,
    /// Only calls of requests that are in progress here.
    CallsOnly,
    /// None.
    Closed,
}

/// No requests are accepted any more: the process is about to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the daemon is shutting down and accepts no more requests; send the request to another daemon")]
pub struct IntakeClosed;

/// Phase of an intake, and number of accepted requests that are in progress.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct IntakeGate {
    phase: IntakePhase,
    in_progress: usize,
}

impl IntakeGate {
    /// Which requests are accepted.
    #[must_use]
    pub fn phase(&self) -> IntakePhase {
        self.phase
    }

    /// Number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_progress
    }

    /// Counts a request that was read. Whether it may go on is decided afterwards, by its kind.
    ///
    /// # Errors
    /// [`IntakeClosed`]: the request is not counted, and has to be refused as not run.
    pub fn take(&mut self) -> Result<(), IntakeClosed> {
        if self.phase == IntakePhase::Closed {
            return Err(IntakeClosed);
        }
        self.in_progress += 1;
        Ok(())
    }

    /// Ends an accepted request: its answer is written, or nobody waits for one.
    pub fn end(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Accepts only calls of requests in progress from now on.
    pub fn close_to_callers(&mut self) {
        self.phase = self.phase.max(IntakePhase::CallsOnly);
    }

    /// Closes the intake if nothing is in progress. Returns whether it did.
    pub fn close_if_idle(&mut self) -> bool {
        if self.in_progress > 0 {
            return false;
        }
        self.close();
        true
    }

    /// Closes the intake, even if requests are in progress.
    pub fn close(&mut self) {
        self.phase = IntakePhase::Closed;
    }
}
