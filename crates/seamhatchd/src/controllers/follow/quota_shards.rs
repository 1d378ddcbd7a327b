//! Acquires and keeps shards of the tenants' limits through keys in the store that are bound to a lease.
//!
//! The control thread finds the shards that no daemon seems to hold, and this daemon's rank among those that may take them;
//! the store grants each shard to one daemon only. A restarted daemon takes over the shards of its earlier incarnation at
//! once; a stopping one hands its shards over to others. [`crate::limits::quota::HeldShards`] owns the set of held shards. It
//! counts a lease from the time at which the call that made or renewed it was sent, the store from the arrival of that call,
//! so this daemon always stops using a shard before the store frees it.

use super::store_calls::{Backoff, call_store};
use crate::base::clock;
use crate::base::metrics::Metrics;
use crate::control::{ControlEvent, ControlHandle};
use crate::limits::SharedLimits;
use crate::ports::FollowedStore;
use crate::store::{Item, LeaseId, Revision, ShardRecord, StoreError, Write, WriteOutcome};
use log::{debug, info, warn};
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::identity::{Address, Incarnation};
use seamhatch_core::quota::{ShardHolder, ShardNumber};
use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two checks of which shards to take or keep.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Duration of a lease without renewal. The shards of a lost holder become free after it.
///
/// The lease must cover a store outage during which freshness proofs stay recent enough, about 5 s, plus the last renewal
/// before and the first one after it; otherwise nobody grants tokens, and requests of limited tenants are refused, until
/// the shards are taken again. A longer lease leaves the shards of a lost daemon unavailable for longer.
const LEASE_DURATION: Duration = Duration::from_secs(8);
/// Interval between two lease renewals in microseconds. A renewal costs the store a tenth of a read.
const RENEWAL_INTERVAL: Microseconds = SECOND;
/// Maximum age in microseconds of the last renewal; beyond it the store counts as unreachable.
const MAX_RENEWAL_AGE: Microseconds = 2 * RENEWAL_INTERVAL;
/// Delay in microseconds per rank before a daemon tries to take a vacant shard.
const ATTEMPT_STAGGER: Microseconds = 300 * MILLISECOND;
/// Pause in microseconds before the next attempt on a seemingly vacant shard that another daemon turned out to hold.
const HELD_ELSEWHERE_PAUSE: Microseconds = 500 * MILLISECOND;

/// Returns the peer address and zone of the holder in a shard's record.
pub fn holder_of(record: &ShardRecord) -> ShardHolder {
    ShardHolder { peer: record.peer, zone: record.zone.clone() }
}

/// Identity of the daemon that takes shards, as written into its records in the store.
pub struct ShardOwner {
    /// Its gossip address.
    pub gossip: Address,
    /// Its peer address.
    pub peer: Address,
    /// Its zone.
    pub zone: String,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// State and dependencies of the task that acquires and keeps shards.
pub struct ShardKeeper {
    owner: ShardOwner,
    followed: FollowedStore,
    limits: Arc<SharedLimits>,
    control: ControlHandle,
    metrics: Arc<Metrics>,
    lease: Option<LeaseId>,
    /// When the call that made or last renewed the lease was sent.
    renewed: Instant,
    /// Seemingly vacant shards, each with the earliest time of this daemon's next attempt.
    next_attempts: BTreeMap<ShardNumber, Instant>,
    /// The shards of the lease, with the revisions of their records.
    records: BTreeMap<ShardNumber, Revision>,
}

/// Keeps the shards that this daemon holds, and takes those that it may take, until it stops.
pub async fn keep_quota_shards(mut keeper: ShardKeeper) {
    let mut backoff = Backoff::default();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        if !keeper.limits.quota.is_needed() {
            continue;
        }
        if keeper.limits.quota.is_handing_over() {
            return keeper.hand_over().await;
        }
        match keeper.step().await {
            Ok(()) => backoff.succeeded(),
            Err(error) => {
                keeper.metrics.store_failures.inc();
                debug!(error = error.to_string().as_str(); "shards can't be taken or kept");
                if keeper.lease.is_some() {
                    // Few daemons hold shards, so short pauses cost the store little, and the leases are about to expire.
                    backoff.fixed_pause().await;
                } else {
                    backoff.pause().await;
                }
            }
        }
    }
}

impl ShardKeeper {
    /// Creates a keeper without shards. `limits` shows which shards may be taken; `control` is notified of acquired ones.
    pub fn new(
        owner: ShardOwner,
        followed: FollowedStore,
        limits: Arc<SharedLimits>,
        control: ControlHandle,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            owner,
            followed,
            limits,
            control,
            metrics,
            lease: None,
            renewed: Instant::default(),
            next_attempts: BTreeMap::new(),
            records: BTreeMap::new(),
        }
    }

    /// Releases all shards and removes their records, so that other daemons can take them at once. If the store seems
    /// unavailable, this daemon keeps the shards until the lease expires.
    async fn hand_over(&mut self) {
        let is_out = clock::now().since(self.renewed) > MAX_RENEWAL_AGE;
        if self.records.is_empty() || is_out {
            return;
        }
        self.limits.quota.held.release_all();
        let key = |shard: &ShardNumber| ShardRecord::key(&self.followed.member_prefix, *shard);
        let write = Write {
            expect: self.records.iter().map(|(shard, revision)| (key(shard), *revision)).collect(),
            remove: self.records.keys().map(key).collect(),
            ..Write::default()
        };
        match self.call(self.followed.store.write(&write)).await {
            Ok(WriteOutcome::Done(_)) => {
                info!(shards = self.records.len(); "released this daemon's shards of the tenants' limits");
            }
            Ok(WriteOutcome::Refused(_)) => {
                warn!(
                    "records of this daemon's shards have changed; the shards become free when their leases expire"
                );
            }
            Err(error) => {
                self.metrics.store_failures.inc();
                warn!(error = error.to_string().as_str(); "this daemon's shards could not be released; they become free when its lease expires");
            }
        }
        self.control.send(ControlEvent::QuotaShardsChanged);
    }

    /// Renews the lease, and tries to acquire the vacant shards that are due.
    async fn step(&mut self) -> Result<(), StoreError> {
        self.drop_expired_lease();
        self.renew().await?;
        let held = self.limits.quota.held.mask();
        let mut vacant = self.limits.quota.directory.vacant();
        vacant.retain(|(shard, _)| held & (1 << shard) == 0);
        self.next_attempts.retain(|shard, _| vacant.iter().any(|(vacant, _)| vacant == shard));
        for (shard, rank) in vacant {
            let now = clock::now();
            let delay = rank as Microseconds * ATTEMPT_STAGGER;
            let due = *self.next_attempts.entry(shard).or_insert_with(|| now.plus(delay));
            if now >= due {
                self.try_acquire(shard).await?;
            }
        }
        Ok(())
    }

    /// Releases all shards if the lease has expired.
    fn drop_expired_lease(&mut self) {
        let held = &self.limits.quota.held;
        if self.lease.is_some() && !held.has_lease() {
            warn!(shards = held.mask().count_ones(); "the lease of this daemon's shards has expired");
            self.lease = None;
            self.records.clear();
            held.release_all();
            self.control.send(ControlEvent::QuotaShardsChanged);
        }
    }

    async fn renew(&mut self) -> Result<(), StoreError> {
        let Some(lease) = self.lease else { return Ok(()) };
        let sent = clock::now();
        if sent.since(self.renewed) < RENEWAL_INTERVAL {
            return Ok(());
        }
        let kept = self.call(self.followed.store.keep_lease(lease)).await?;
        if kept {
            self.renewed = sent;
            self.limits.quota.held.record_renewal(sent, LEASE_DURATION.as_micros() as Microseconds);
        } else {
            self.limits.quota.held.release_all();
            self.drop_expired_lease();
        }
        Ok(())
    }

    /// Returns the lease of this daemon's shards, and creates one if there is none.
    async fn lease(&mut self) -> Result<LeaseId, StoreError> {
        if let Some(lease) = self.lease {
            return Ok(lease);
        }
        let sent = clock::now();
        let lease = self.call(self.followed.store.make_lease(LEASE_DURATION)).await?;
        self.renewed = sent;
        self.limits.quota.held.record_renewal(sent, LEASE_DURATION.as_micros() as Microseconds);
        self.lease = Some(lease);
        Ok(lease)
    }

    async fn try_acquire(&mut self, shard: ShardNumber) -> Result<(), StoreError> {
        let lease = self.lease().await?;
        let Some(found) = self.write(shard, Revision(0), lease).await? else { return Ok(()) };
        let record = ShardRecord::read(&self.followed.member_prefix, &found).map(|(_, record)| record);
        match record {
            // The response to an earlier attempt was lost.
            Some(record) if record == self.record(lease) => self.record_acquired(shard, found.revision),
            Some(record) if record.is_of_earlier_incarnation(self.owner.gossip, self.owner.incarnation) => {
                self.write(shard, found.revision, lease).await?;
            }
            Some(record) => self.defer_held_shard(shard, &record),
            None => {
                warn!(shard = shard; "a shard's record in the store can't be read; treating the shard as vacant");
                self.write(shard, found.revision, lease).await?;
            }
        }
        Ok(())
    }

    /// Writes this daemon's record for a shard if the key is at `revision`. Otherwise returns the existing item.
    async fn write(
        &mut self,
        shard: ShardNumber,
        revision: Revision,
        lease: LeaseId,
    ) -> Result<Option<Item>, StoreError> {
        let key = ShardRecord::key(&self.followed.member_prefix, shard);
        let value = self.record(lease).to_bytes();
        let write = Write {
            expect: vec![(key.clone(), revision)],
            put: vec![(key, value)],
            lease: Some(lease),
            ..Write::default()
        };
        match self.call(self.followed.store.write(&write)).await? {
            WriteOutcome::Done(revision) => {
                self.record_acquired(shard, revision);
                Ok(None)
            }
            WriteOutcome::Refused(items) => Ok(items.into_iter().next()),
        }
    }

    fn record(&self, LeaseId(lease): LeaseId) -> ShardRecord {
        let owner = &self.owner;
        ShardRecord {
            holder: owner.gossip,
            incarnation: owner.incarnation.0,
            lease,
            peer: owner.peer,
            zone: owner.zone.clone(),
        }
    }

    fn record_acquired(&mut self, shard: ShardNumber, revision: Revision) {
        info!(shard = shard; "acquired a shard of the tenants' limits");
        self.records.insert(shard, revision);
        self.limits.quota.held.add(shard);
        self.control.send(ControlEvent::QuotaShardsChanged);
    }

    /// Records the holder of a shard, and defers the next attempt by [`HELD_ELSEWHERE_PAUSE`].
    fn defer_held_shard(&mut self, shard: ShardNumber, record: &ShardRecord) {
        self.limits.quota.directory.set_holder(shard, holder_of(record));
        self.next_attempts.insert(shard, clock::now().plus(HELD_ELSEWHERE_PAUSE));
    }

    async fn call<T>(&self, call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
        call_store(&self.metrics, call).await
    }
}
