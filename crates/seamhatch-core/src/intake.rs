//! The intake of a daemon: whether a request that has been read is taken, and when nothing that was taken is left.
//!
//! Decides both together, in one step each: a request is counted before the intake closes, or refused after it. The last border of a stop is
//! crossed with nothing in progress ([`IntakeGate::close_if_idle`]), or by force when the time is up ([`IntakeGate::close`]); what is in progress
//! then is cut off and known. It protects requests from being passed on and ended with the process. What may be taken for how
//! long is decided by [`crate::drain`]; the daemon locks the gate in `seamhatchd::intake`, and a model check searches it.

use thiserror::Error;

/// Which requests a daemon still takes.
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

/// Nothing is taken any more: the process is about to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("this daemon ends and takes nothing more; use another one")]
pub struct IntakeClosed;

/// The phase of an intake, and how many of the requests that it took are in progress.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct IntakeGate {
    phase: IntakePhase,
    in_progress: usize,
}

impl IntakeGate {
    /// Which requests are taken.
    #[must_use]
    pub fn phase(&self) -> IntakePhase {
        self.phase
    }

    /// Requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_progress
    }

    /// Counts a request that was read. Whether it may go on is decided afterwards, by what it is.
    ///
    /// # Errors
    /// [`IntakeClosed`]: it is not counted, and has to be refused as not run.
    pub fn take(&mut self) -> Result<(), IntakeClosed> {
        if self.phase == IntakePhase::Closed {
            return Err(IntakeClosed);
        }
        self.in_progress += 1;
        Ok(())
    }

    /// A request that was taken has ended: its answer is written, or nobody waits for one.
    pub fn end(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Takes only calls of requests in progress from now on.
    pub fn close_to_callers(&mut self) {
        self.phase = self.phase.max(IntakePhase::CallsOnly);
    }

    /// Closes the intake if nothing is in progress; false if something is.
    pub fn close_if_idle(&mut self) -> bool {
        if self.in_progress > 0 {
            return false;
        }
        self.close();
        true
    }

    /// Closes the intake, whatever is in progress.
    pub fn close(&mut self) {
        self.phase = IntakePhase::Closed;
    }
}
