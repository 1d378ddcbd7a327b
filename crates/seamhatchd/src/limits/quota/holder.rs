//! Hands out tokens for the shards that this daemon holds.
//!
//! Owns the lease and the buckets of the tenants. The control thread takes and gives up shards; peers and requests here ask for
//! tokens.

use super::{Quota, limit_of};
use crate::base::clock;
use crate::base::lock::lock;
use crate::snapshot::Snapshot;
use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::quota::{QuotaBucket, QuotaGrant, ShardLease, ShardNumber};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard};

/// Shards that this daemon holds under one lease, with the buckets of the tenants.
#[derive(Debug, Default)]
pub struct HeldShards(Mutex<Holding>);

#[derive(Debug, Default)]
struct Holding {
    lease: ShardLease,
    /// The shards, each with the moment from which its buckets fill.
    shards: BTreeMap<ShardNumber, Instant>,
    buckets: HashMap<ShardNumber, HashMap<String, QuotaBucket>>,
}

impl HeldShards {
    /// Records that a call sent at `sent` made or renewed the lease.
    pub fn record_renewal(&self, sent: Instant, span: Microseconds) {
        self.lock().lease.renewed(sent, span);
    }

    /// Records that a shard is held from now on, with empty buckets.
    pub fn add(&self, shard: ShardNumber) {
        self.lock().shards.entry(shard).or_insert_with(clock::now);
    }

    /// Gives up all shards, as the lease is over.
    pub fn release_all(&self) {
        *self.lock() = Holding::default();
    }

    /// Whether the lease counts.
    #[must_use]
    pub fn has_lease(&self) -> bool {
        self.lock().lease.holds(clock::now())
    }

    /// The shards held, a bit each.
    #[must_use]
    pub fn mask(&self) -> u64 {
        self.lock().shards.keys().fold(0, |mask, shard| mask | 1 << shard)
    }

    fn lock(&self) -> MutexGuard<'_, Holding> {
        lock(&self.0)
    }
}

/// Hands out tokens of a shard, by the tenant's limit in the published configuration; none where this daemon doesn't hold the
/// shard, or knows no such tenant.
#[must_use]
pub fn grant(
    quota: &Quota,
    snapshot: &Snapshot,
    shard: ShardNumber,
    tenant: &str,
    wanted: u32,
) -> Option<QuotaGrant> {
    let tenant = snapshot.configuration()?.tenants().named(tenant)?;
    let now = clock::now();
    let mut holding = quota.held.lock();
    if !holding.lease.holds(now) {
        return None;
    }
    let held_since = *holding.shards.get(&shard)?;
    let Some(limit) = limit_of(tenant) else { return Some(QuotaGrant { tokens: wanted, pause: 0 }) };
    let limit = quota.policy.shard_limit(limit);
    let buckets = holding.buckets.entry(shard).or_default();
    let empty = || QuotaBucket::empty(held_since);
    let bucket = buckets.entry(tenant.name.clone()).or_insert_with(empty);
    Some(bucket.grant(limit, wanted, now))
}
