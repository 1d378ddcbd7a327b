//! Calls that may have been running on the back end since before this daemon started.
//!
//! The back end may outlive the daemon beside it and go on with its calls. This daemon does not know them, so until the
//! last of them has certainly ended it can't say that a call has no parent. A call ends at its deadline, at the latest
//! after the longest time-out in force.

use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use std::sync::atomic::{AtomicU64, Ordering};

/// Until when calls from before this daemon's start may run.
#[derive(Debug)]
pub struct EarlierCalls {
    /// Start of this daemon; `None` if the back end had no calls before.
    started: Option<Instant>,
    /// Longest time-out of any configuration that has been in force since.
    longest_timeout: AtomicU64,
}

impl EarlierCalls {
    /// The calls of a back end beside a daemon that started at `started`.
    #[must_use]
    pub fn before(started: Instant) -> Self {
        Self { started: Some(started), longest_timeout: AtomicU64::new(Microseconds::MAX) }
    }

    /// The calls of a back end that has started together with this daemon: none.
    #[must_use]
    pub fn none() -> Self {
        Self { started: None, longest_timeout: AtomicU64::new(0) }
    }

    /// Records the longest time-out of a configuration that comes into force.
    pub fn note_longest_timeout(&self, timeout: Microseconds) {
        let raise = |known| Some(if known == Microseconds::MAX { timeout } else { timeout.max(known) });
        // The closure always returns a value.
        let _ = self.longest_timeout.fetch_update(Ordering::AcqRel, Ordering::Acquire, raise);
    }

    /// Whether such a call may still run at `now`. Always before the first configuration.
    #[must_use]
    pub fn may_run(&self, now: Instant) -> bool {
        let longest = self.longest_timeout.load(Ordering::Acquire);
        self.started.is_some_and(|started| now < started.plus(longest))
    }
}
