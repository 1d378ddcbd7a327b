//! Taking and keeping shards of the tenants' limits, by keys in the store that go with a lease.
//!
//! The control thread finds the shards that no daemon seems to hold, and this daemon's place in the order of those that may take
//! them; the store lets only one have each. A daemon that has restarted takes over at once what its earlier incarnation held; one that stops
//! leaves its shards to others.
//! [`crate::limits::quota::HeldShards`] owns what is held; a lease counts there from when the call that made or renewed it was sent, in the
//! store from its arrival, so this daemon always stops first.

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

/// Pause between two checks of which shards to take or keep.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How long a lease lasts without renewal: a shard whose holder is lost is free after that.
///
/// It outlasts an outage of the store for which proofs of freshness stay recent enough, five seconds or so, with the last renewal before it
/// and the first one after it: else all limits are gone until all shards are taken again. Longer, the shards of a lost daemon are missing for longer.
const LEASE_DURATION: Duration = Duration::from_secs(8);
/// Time between two renewals, in microseconds: each costs the store a tenth of a read.
const RENEWAL_INTERVAL: Microseconds = SECOND;
/// A daemon whose lease was renewed longer ago than this doesn't reach the store, in microseconds.
const MAX_RENEWAL_AGE: Microseconds = 2 * RENEWAL_INTERVAL;
/// How much later each next one in the order tries to take a shard, in microseconds.
const ATTEMPT_STAGGER: Microseconds = 300 * MILLISECOND;
/// Pause in microseconds after another daemon was found to hold a shard that seemed vacant.
const HELD_ELSEWHERE_PAUSE: Microseconds = 500 * MILLISECOND;

/// Where the holder of a shard is.
pub fn holder_of(record: &ShardRecord) -> ShardHolder {
    ShardHolder { peer: record.peer, zone: record.zone.clone() }
}

/// The daemon that takes shards, as its records in the store name it.
pub struct ShardOwner {
    /// Its gossip address.
    pub gossip: Address,
    /// Its peer address.
    pub peer: Address,
    /// Its zone.
    pub zone: String,
    /// This run of the process.
    pub incarnation: Incarnation,
}

/// What this task uses.
pub struct ShardKeeper {
    owner: ShardOwner,
    followed: FollowedStore,
    limits: Arc<SharedLimits>,
    control: ControlHandle,
    metrics: Arc<Metrics>,
    lease: Option<LeaseId>,
    /// When the call that made or last renewed the lease was sent.
    renewed: Instant,
    /// Shards that seem vacant, each with the instant at which this daemon may try next.
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
                    // Few daemons hold shards, and their leases run out.
                    backoff.fixed_pause().await;
                } else {
                    backoff.pause().await;
                }
            }
        }
    }
}

impl ShardKeeper {
    /// Holds nothing yet; `limits` shows which shards may be taken, and `control` learns of those that are.
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

    /// Hands out nothing more and removes this daemon's records, so that others can take its shards at once. Where the store seems to be out, it keeps them until
    /// the lease ends.
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
                info!(shards = self.records.len(); "this daemon leaves its shards of the tenants' limits");
            }
            Ok(WriteOutcome::Refused(_)) => {
                warn!("records of this daemon's shards have changed; they are free when their leases end");
            }
            Err(error) => {
                self.metrics.store_failures.inc();
                warn!(error = error.to_string().as_str(); "this daemon's shards are free when its lease ends");
            }
        }
        self.control.send(ControlEvent::QuotaShardsChanged);
    }

    /// Renews the lease and tries the shards that are due.
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

    /// Gives up all shards where the lease has ended.
    fn drop_expired_lease(&mut self) {
        let held = &self.limits.quota.held;
        if self.lease.is_some() && !held.has_lease() {
            warn!(shards = held.mask().count_ones(); "the lease of this daemon's shards has ended");
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

    /// The lease of this daemon's shards, made where there is none.
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
            // The answer to an earlier attempt was lost.
            Some(record) if record == self.record(lease) => self.record_acquired(shard, found.revision),
            Some(record) if record.is_of_earlier_incarnation(self.owner.gossip, self.owner.incarnation) => {
                self.write(shard, found.revision, lease).await?;
            }
            Some(record) => self.defer_held_shard(shard, &record),
            None => {
                warn!(shard = shard; "a shard's record in the store can't be read, so it is nobody's");
                self.write(shard, found.revision, lease).await?;
            }
        }
        Ok(())
    }

    /// Writes this daemon's record for a shard, where the key is at `revision`. Returns the item there where it isn't.
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
        info!(shard = shard; "this daemon holds a shard of the tenants' limits");
        self.records.insert(shard, revision);
        self.limits.quota.held.add(shard);
        self.control.send(ControlEvent::QuotaShardsChanged);
    }

    /// Leaves a shard that another daemon holds alone for a while.
    fn defer_held_shard(&mut self, shard: ShardNumber, record: &ShardRecord) {
        self.limits.quota.directory.set_holder(shard, holder_of(record));
        self.next_attempts.insert(shard, clock::now().plus(HELD_ELSEWHERE_PAUSE));
    }

    async fn call<T>(&self, call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
        call_store(&self.metrics, call).await
    }
}
