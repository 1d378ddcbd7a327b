//! Taking and keeping shards of the tenants' limits, by keys in the store that go with a lease.
//!
//! Who is to take a shard that nobody seems to hold follows from an order that all members know; the store lets
//! only one have it. A daemon that has restarted takes over what its earlier life held at once.

use super::{ANSWER_TIMEOUT, Backoff};
use crate::base::clock;
use crate::control::ControlEvent;
use crate::limits::quota::ShardHolder;
use crate::ports::FollowedStore;
use crate::shared::Shared;
use crate::store::{Item, LeaseId, Revision, ShardRecord, StoreError, Write, WriteOutcome};
use log::{debug, info, warn};
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::quota::ShardNumber;
use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// Pause between two looks at what is to be done.
const POLL: Duration = Duration::from_millis(200);
/// How long a lease lasts without renewal: a shard whose holder is lost is free after that.
///
/// It outlasts an outage of the store that keys outlive, of which proofs of freshness are young enough for five seconds or so,
/// with the last renewal before it and the first after it. Shorter, all limits are gone after such an outage until all shards are
/// taken anew; longer, the shards of a daemon that is lost are missing for longer.
const LEASE: Duration = Duration::from_secs(8);
/// Time between two renewals, each a tenth of a read.
const RENEWAL: Microseconds = SECOND;
/// Pause after a failure of the store for a daemon that holds shards: there are few, and their leases run.
const HOLDERS_PAUSE: Duration = Duration::from_millis(300);
/// How much later each next one in the order tries to take a shard.
const NEXT_TRIES_AFTER: Microseconds = 300 * MILLISECOND;
/// Pause after another daemon was found to hold a shard that seemed vacant.
const HELD_ELSEWHERE_PAUSE: Microseconds = 500 * MILLISECOND;

/// Where the holder of a shard is.
pub fn holder_of(record: &ShardRecord) -> ShardHolder {
    ShardHolder { peer: record.peer, zone: record.zone.clone() }
}

/// Keeps the shards that this daemon holds, and takes those that are its to take, for ever.
pub async fn keep_quota_shards(shared: Arc<Shared>, followed: FollowedStore) {
    let mut keeper =
        ShardKeeper { shared, followed, lease: None, renewed: Instant::default(), noticed: BTreeMap::new() };
    let mut backoff = Backoff::default();
    loop {
        tokio::time::sleep(POLL).await;
        if !keeper.shared.limits.quota.is_needed() {
            continue;
        }
        match keeper.step().await {
            Ok(()) => backoff.succeeded(),
            Err(error) => {
                keeper.shared.metrics.store_failures.inc();
                debug!(error = error.to_string().as_str(); "shards can't be taken or kept");
                if keeper.lease.is_some() {
                    tokio::time::sleep(HOLDERS_PAUSE).await
                } else {
                    backoff.pause().await
                }
            }
        }
    }
}

struct ShardKeeper {
    shared: Arc<Shared>,
    followed: FollowedStore,
    lease: Option<LeaseId>,
    renewed: Instant,
    /// Shards that seem vacant, each with the moment at which this daemon may try next.
    noticed: BTreeMap<ShardNumber, Instant>,
}

impl ShardKeeper {
    async fn step(&mut self) -> Result<(), StoreError> {
        self.drop_what_has_ended();
        self.renew().await?;
        let held = self.shared.limits.quota.held.mask();
        let mut vacant = self.shared.limits.quota.directory.vacant();
        vacant.retain(|(shard, _)| held & (1 << shard) == 0);
        self.noticed.retain(|shard, _| vacant.iter().any(|(vacant, _)| vacant == shard));
        for (shard, place) in vacant {
            let now = clock::now();
            let delay = place as Microseconds * NEXT_TRIES_AFTER;
            let due = *self.noticed.entry(shard).or_insert_with(|| now.plus(delay));
            if now >= due {
                self.try_to_take(shard).await?;
            }
        }
        Ok(())
    }

    fn drop_what_has_ended(&mut self) {
        let held = &self.shared.limits.quota.held;
        if self.lease.is_some() && !held.holds() {
            warn!(shards = held.mask().count_ones(); "the lease of this daemon's shards has ended");
            self.lease = None;
            held.give_up();
            self.shared.control.send(ControlEvent::QuotaShardsChanged);
        }
    }

    async fn renew(&mut self) -> Result<(), StoreError> {
        let Some(lease) = self.lease else { return Ok(()) };
        let sent = clock::now();
        if sent.since(self.renewed) < RENEWAL {
            return Ok(());
        }
        let kept = self.timed(self.followed.store.keep_lease(lease)).await?;
        if kept {
            self.renewed = sent;
            self.shared.limits.quota.held.renewed(sent, LEASE.as_micros() as Microseconds);
        } else {
            self.shared.limits.quota.held.give_up();
            self.drop_what_has_ended();
        }
        Ok(())
    }

    async fn lease(&mut self) -> Result<LeaseId, StoreError> {
        if let Some(lease) = self.lease {
            return Ok(lease);
        }
        let sent = clock::now();
        let lease = self.timed(self.followed.store.make_lease(LEASE)).await?;
        self.renewed = sent;
        self.shared.limits.quota.held.renewed(sent, LEASE.as_micros() as Microseconds);
        self.lease = Some(lease);
        Ok(lease)
    }

    async fn try_to_take(&mut self, shard: ShardNumber) -> Result<(), StoreError> {
        let lease = self.lease().await?;
        let Some(found) = self.write(shard, Revision(0), lease).await? else { return Ok(()) };
        let settings = &self.shared.settings;
        let record = ShardRecord::read(&self.followed.member_prefix, &found).map(|(_, record)| record);
        match record {
            // The answer to an earlier attempt was lost.
            Some(record) if record == self.record(lease) => self.take(shard),
            Some(record)
                if record.is_of_earlier_incarnation(settings.advertise.gossip, self.shared.incarnation) =>
            {
                self.write(shard, found.revision, lease).await?;
            }
            Some(record) => self.pass_over(shard, &record),
            None => {
                warn!(shard = shard; "a shard's record in the store can't be read, so it is nobody's");
                self.write(shard, found.revision, lease).await?;
            }
        }
        Ok(())
    }

    /// Writes this daemon's record for a shard where the key is at `revision`. What lies there instead, if it isn't.
    async fn write(
        &self,
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
        match self.timed(self.followed.store.write(&write)).await? {
            WriteOutcome::Done(_) => {
                self.take(shard);
                Ok(None)
            }
            WriteOutcome::Refused(items) => Ok(items.into_iter().next()),
        }
    }

    fn record(&self, LeaseId(lease): LeaseId) -> ShardRecord {
        let settings = &self.shared.settings;
        ShardRecord {
            holder: settings.advertise.gossip,
            incarnation: self.shared.incarnation.0,
            lease,
            peer: settings.advertise.peer,
            zone: settings.zone.clone(),
        }
    }

    fn take(&self, shard: ShardNumber) {
        info!(shard = shard; "this daemon holds a shard of the tenants' limits");
        self.shared.limits.quota.held.take(shard);
        self.shared.control.send(ControlEvent::QuotaShardsChanged);
    }

    fn pass_over(&mut self, shard: ShardNumber, record: &ShardRecord) {
        self.shared.limits.quota.directory.learn(shard, holder_of(record));
        self.noticed.insert(shard, clock::now().plus(HELD_ELSEWHERE_PAUSE));
    }

    async fn timed<T>(&self, call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
        let timed_out = |_| StoreError::AnswerLost { detail: "no answer in time".into() };
        let call = tokio::time::timeout(ANSWER_TIMEOUT, call);
        self.shared.metrics.time_store_call(call).await.map_err(timed_out)?
    }
}
