//! Until when the back end may run calls that this daemon does not know.

use crate::clock::{Instant, Microseconds};

/// Calls that may have been running on the back end since before this daemon started. A call ends at its deadline, at the
/// latest after the longest time-out in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct EarlierCalls {
    /// Start of this daemon; `None` if the back end had no calls before.
    started: Option<Instant>,
    /// Longest time-out of any configuration that has been in force since; `None` before the first.
    longest_timeout: Option<Microseconds>,
}

impl EarlierCalls {
    /// The calls of a back end beside a daemon that started at `started`.
    #[must_use]
    pub fn before(started: Instant) -> Self {
        Self { started: Some(started), longest_timeout: None }
    }

    /// The calls of a back end that has started together with its daemon: none.
    #[must_use]
    pub fn none() -> Self {
        Self::default()
    }

    /// Records the longest time-out of a configuration that comes into force, in microseconds.
    pub fn note_longest_timeout(&mut self, timeout: Microseconds) {
        self.longest_timeout = self.longest_timeout.max(Some(timeout));
    }

    /// Whether such a call may still run at `now`.
    #[must_use]
    pub fn may_run(&self, now: Instant) -> bool {
        let Some(started) = self.started else { return false };
        self.longest_timeout.is_none_or(|longest| now < started.plus(longest))
    }
}
