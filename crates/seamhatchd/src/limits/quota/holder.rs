//! Grants tokens of the quota shards that this daemon holds.
//!
//! Owns the lease and the tenants' buckets. The control thread takes and releases shards; peers and
//! local requests ask for tokens.

use super::{Quota, limit_of};
use crate::base::clock;
use crate::base::lock::lock;
use crate::snapshot::Snapshot;
use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::quota::{QuotaBucket, QuotaGrant, ShardLease, ShardNumber};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard};

/// Shards that this daemon holds under one lease, with the tenants' buckets.
#[derive(Debug, Default)]
pub struct HeldShards(Mutex<Holding>);

#[derive(Debug, Default)]
struct Holding {
    lease: ShardLease,
    /// The shards, each with the time from which its buckets fill.
    shards: BTreeMap<ShardNumber, Instant>,
    buckets: HashMap<ShardNumber, HashMap<String, QuotaBucket>>,
}

impl HeldShards {
    /// Records that a call sent at `sent` created or renewed the lease.
    pub fn record_renewal(&self, sent: Instant, span: Microseconds) {
        self.lock().lease.renewed(sent, span);
    }

    /// Adds a shard that is held from now on, with empty buckets.
    pub fn add(&self, shard: ShardNumber) {
        self.lock().shards.entry(shard).or_insert_with(clock::now);
    }

    /// Drops the lease and all shards, so that no more tokens are granted.
    pub fn release_all(&self) {
        *self.lock() = Holding::default();
    }

    /// Whether the lease is valid.
    #[must_use]
    pub fn has_lease(&self) -> bool {
        self.lock().lease.holds(clock::now())
    }

    /// Returns the shards held as a bit mask.
    #[must_use]
    pub fn mask(&self) -> u64 {
        self.lock().shards.keys().fold(0, |mask, shard| mask | 1 << shard)
    }

    fn lock(&self) -> MutexGuard<'_, Holding> {
        lock(&self.0)
    }
}

/// Grants tokens of a shard, by the tenant's limit in the published configuration. Returns `None`
/// if this daemon does not hold the shard or the tenant is unknown.
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
