//! Which daemon holds which shard, as far as this daemon knows, shared by all threads.
//!
//! Locks [`seamhatch_core::quota::ShardDirectory`], which decides. The control thread writes what members report; the request
//! path reads the order in which shards are asked.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::quota::{ShardDirectory, ShardHolder, ShardNumber};
use std::sync::{Mutex, MutexGuard};

/// The shards by their numbers.
#[derive(Debug, Default)]
pub struct SharedShardDirectory(Mutex<ShardDirectory>);

impl SharedShardDirectory {
    /// Records where a shard is.
    pub fn set_holder(&self, shard: ShardNumber, holder: ShardHolder) {
        self.lock().set_holder(shard, holder);
    }

    /// Records which shards no live member reports to hold, each with this daemon's place in the order of those who may
    /// take it; only those that this daemon may take.
    pub fn set_vacant(&self, vacant: Vec<(ShardNumber, usize)>) {
        self.lock().set_vacant(vacant);
    }

    /// Shards that this daemon may try to take, with its place in the order.
    #[must_use]
    pub fn vacant(&self) -> Vec<(ShardNumber, usize)> {
        self.lock().vacant().to_vec()
    }

    /// Records that a shard's holder did not answer, or that the daemon that was asked doesn't hold it.
    pub fn mark_unavailable(&self, shard: ShardNumber) {
        self.lock().mark_unavailable(shard, clock::now());
    }

    /// The shards that may be asked, those of `zone` first.
    #[must_use]
    pub fn shards_to_ask(&self, zone: &str) -> Vec<(ShardNumber, ShardHolder)> {
        self.lock().shards_to_ask(zone, clock::now(), |below| rand::random_range(0..below))
    }

    fn lock(&self) -> MutexGuard<'_, ShardDirectory> {
        lock(&self.0)
    }
}
