//! Holders of the quota shards as known to this daemon, shared by all threads.
//!
//! Wraps [`seamhatch_core::quota::ShardDirectory`], which makes the decisions, in a lock. The
//! control thread writes the members' reports; the request path reads the order in which shards are
//! asked.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::quota::{ShardDirectory, ShardHolder, ShardNumber};
use std::sync::{Mutex, MutexGuard};

/// Holders of the shards, by shard number.
#[derive(Debug, Default)]
pub struct SharedShardDirectory(Mutex<ShardDirectory>);

impl SharedShardDirectory {
    /// Records the holder of a shard.
    pub fn set_holder(&self, shard: ShardNumber, holder: ShardHolder) {
        self.lock().set_holder(shard, holder);
    }

    /// Records the vacant shards that this daemon may take: no live member reports to hold them.
    /// Each comes with this daemon's rank among the candidates for it.
    pub fn set_vacant(&self, vacant: Vec<(ShardNumber, usize)>) {
        self.lock().set_vacant(vacant);
    }

    /// Returns the shards that this daemon may try to take, each with its rank among the
    /// candidates.
    #[must_use]
    pub fn vacant(&self) -> Vec<(ShardNumber, usize)> {
        self.lock().vacant().to_vec()
    }

    /// Records that a shard's holder did not answer, or that the daemon asked does not hold the
    /// shard.
    pub fn mark_unavailable(&self, shard: ShardNumber) {
        self.lock().mark_unavailable(shard, clock::now());
    }

    /// Returns the shards that may be asked, those in `zone` first.
    #[must_use]
    pub fn shards_to_ask(&self, zone: &str) -> Vec<(ShardNumber, ShardHolder)> {
        self.lock().shards_to_ask(zone, clock::now(), |below| rand::random_range(0..below))
    }

    fn lock(&self) -> MutexGuard<'_, ShardDirectory> {
        lock(&self.0)
    }
}
