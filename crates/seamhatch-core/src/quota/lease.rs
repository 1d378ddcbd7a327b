//! The lease under which a daemon holds its shards.

use crate::clock::{Instant, Microseconds};

/// Until when a daemon may act as the holder of its shards.
///
/// The store counts a lease from the arrival of the call that made or renewed it, its holder from the sending, which
/// is earlier: so the lease has always ended for the holder before the store lets anybody else in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct ShardLease {
    until: Instant,
}

impl ShardLease {
    /// Records that a call sent at `sent` made or renewed the lease for `span`.
    pub fn renewed(&mut self, sent: Instant, span: Microseconds) {
        self.until = self.until.max(sent.plus(span));
    }

    /// Records that the lease is over.
    pub fn end(&mut self) {
        self.until = Instant::default();
    }

    /// Whether it counts.
    #[must_use]
    pub fn holds(&self, now: Instant) -> bool {
        now < self.until
    }
}
