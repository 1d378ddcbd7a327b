//! Lease under which a daemon holds its shards.

use crate::clock::{Instant, Microseconds};

/// Time until which a daemon may act as the holder of its shards.
///
/// The store counts a lease from the arrival of the call that created or renewed it. The holder counts from
/// sending that call, which is earlier, so its lease always ends before the store grants the shards to
/// another daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct ShardLease {
    until: Instant,
}

impl ShardLease {
    /// Records that a call sent at `sent` created or renewed the lease for `span`.
    pub fn renewed(&mut self, sent: Instant, span: Microseconds) {
        self.until = self.until.max(sent.plus(span));
    }

    /// Ends the lease.
    pub fn end(&mut self) {
        self.until = Instant::default();
    }

    /// Whether the lease is valid at `now`.
    #[must_use]
    pub fn holds(&self, now: Instant) -> bool {
        now < self.until
    }
}
