//! What a sender remembers of its calls to one daemon.

use crate::clock::Instant;
use crate::identity::{CallId, Incarnation};
use std::collections::BTreeMap;

/// Maximum number of calls to one daemon that are remembered; further ones are not.
const MAX_SENT_CALLS: usize = 1024;

/// A call that may still run at the daemon that it was sent to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SentCall<T> {
    /// The life of the receiving daemon that it was sent to.
    pub incarnation: Incarnation,
    /// When it was sent.
    pub sent: Instant,
    /// Deadline, in the sender's clock.
    pub expiry: Instant,
    /// What the receiver needs to know it again.
    pub call: T,
}

/// Calls to one daemon that are not settled: they may run there, as far as their sender knows. A call is settled by an
/// answer, or by a refusal that says that it has not run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SentCalls<T> {
    /// Ordered by deadline.
    calls: BTreeMap<(Instant, CallId), SentCall<T>>,
}

impl<T> Default for SentCalls<T> {
    fn default() -> Self {
        Self { calls: BTreeMap::new() }
    }
}

impl<T: Clone> SentCalls<T> {
    /// Remembers a call that is sent at `sent.sent`, unless there are too many.
    pub fn note(&mut self, id: CallId, sent: SentCall<T>) {
        self.forget_expired(sent.sent);
        if self.calls.len() < MAX_SENT_CALLS {
            self.calls.insert((sent.expiry, id), sent);
        }
    }

    /// Forgets a call with the deadline `expiry` that is settled.
    pub fn settle(&mut self, id: CallId, expiry: Instant) {
        self.calls.remove(&(expiry, id));
    }

    /// Whether a call may still run at `now`.
    #[must_use]
    pub fn has_unsettled(&self, now: Instant) -> bool {
        self.calls.last_key_value().is_some_and(|((expiry, _), _)| *expiry > now)
    }

    /// Returns the calls that were sent to other lives of the daemon than `incarnation`. They are handed back on each
    /// connection, since nothing tells whether an earlier one has delivered them.
    pub fn hand_back(&mut self, incarnation: Incarnation, now: Instant) -> Vec<SentCall<T>> {
        self.forget_expired(now);
        self.calls.values().filter(|sent| sent.incarnation != incarnation).cloned().collect()
    }

    fn forget_expired(&mut self, now: Instant) {
        while let Some(first) = self.calls.first_entry().filter(|first| first.key().0 <= now) {
            first.remove();
        }
    }
}
