//! How a back end misbehaves. Tests and the soak change it while the back end runs.

use std::sync::atomic::{AtomicBool, AtomicU32};

/// How one back end behaves.
#[derive(Debug)]
pub struct Behaviour {
    /// Service time in percent of the usual.
    pub slowdown_percent: AtomicU32,
    /// Answers 500 instead of working.
    pub failing: AtomicBool,
    /// Closes the connection in the middle of an answer.
    pub cuts_answers: AtomicBool,
    /// Claims in its answers that the request was not run.
    pub forges_outcome: AtomicBool,
    /// Times that it repeats a failed call by itself.
    pub own_retries: AtomicU32,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slowdown_percent: AtomicU32::new(100),
            failing: AtomicBool::new(false),
            cuts_answers: AtomicBool::new(false),
            forges_outcome: AtomicBool::new(false),
            own_retries: AtomicU32::new(0),
        }
    }
}
