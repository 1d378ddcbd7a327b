//! This daemon's record in the followed store.
//!
//! [`OwnRecord`] owns the last known content and revision of the record, shared by the tasks that change it. A write is
//! conditional on the revision: a late write of an earlier incarnation may still arrive, and a starting daemon may not know yet
//! what earlier incarnations have written. A refused write returns the record as it is, which the next attempt changes.

use super::store_calls::{Backoff, STORE_TIMEOUT, call_store};
use crate::base::lock::lock;
use crate::base::metrics::Metrics;
use crate::ports::FollowedStore;
use crate::store::{DaemonRecord, Item, Revision, StoreError, Write, WriteOutcome};
use log::debug;
use seamhatch_core::departure::DepartureRecord;
use seamhatch_core::identity::Address;
use std::sync::{Arc, Mutex};

/// Number of attempts of a change. With the longest pauses, they span an outage of about 20 s.
const WRITE_ATTEMPTS: u32 = 20;

/// Result of one attempt to change the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordChange {
    /// The store has the changed record.
    Written,
    /// The record in the store needs no change.
    Unneeded,
    /// Another write has changed the record; its new content is known now.
    Conflict,
}

#[derive(Debug, Clone)]
struct KnownRecord {
    revision: Revision,
    record: DaemonRecord,
}

/// The record of this daemon in the followed store.
#[derive(Debug)]
pub struct OwnRecord {
    followed: FollowedStore,
    key: String,
    metrics: Arc<Metrics>,
    /// As last seen in the store; none before the first contact.
    known: Mutex<Option<KnownRecord>>,
}

impl OwnRecord {
    /// Creates the state of a record that has not been read yet. `gossip` is this daemon's gossip address.
    #[must_use]
    pub fn new(followed: FollowedStore, gossip: Address, metrics: Arc<Metrics>) -> Self {
        let key = DaemonRecord::key(&followed.member_prefix, gossip);
        Self { followed, key, metrics, known: Mutex::default() }
    }

    /// Creates the record unless an earlier incarnation has done so. Returns the departures in it.
    ///
    /// # Errors
    /// [`StoreError`], after which the record may exist.
    pub async fn register(&self) -> Result<DepartureRecord, StoreError> {
        self.write(Revision(0), DaemonRecord::default()).await?;
        Ok(self.known().map(|known| known.record.departures).unwrap_or_default())
    }

    /// Reads the record again.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn read(&self) -> Result<(), StoreError> {
        let reading = call_store(&self.metrics, self.followed.store.get(&self.key)).await?;
        self.learn(reading.found.as_ref());
        Ok(())
    }

    /// Applies `change` to the record, with up to [`WRITE_ATTEMPTS`] attempts. Returns false if none succeeded.
    pub async fn change_until_done(&self, change: impl Fn(&mut DaemonRecord)) -> bool {
        let mut backoff = Backoff::default();
        for _attempt in 0..WRITE_ATTEMPTS {
            match self.change(&change).await {
                Ok(RecordChange::Written | RecordChange::Unneeded) => return true,
                Ok(RecordChange::Conflict) => {}
                Err(error) => {
                    self.metrics.store_failures.inc();
                    debug!(error = error.to_string().as_str(); "this daemon's record can't be written; retrying");
                    backoff.pause().await;
                }
            }
        }
        false
    }

    /// Applies `change` to the record once. Reads the record first only if it is not known.
    ///
    /// # Errors
    /// [`StoreError`], after which the record may have been changed, or may still be.
    pub async fn change(&self, change: &impl Fn(&mut DaemonRecord)) -> Result<RecordChange, StoreError> {
        // The time-out covers a read and the write together.
        let attempt = tokio::time::timeout(STORE_TIMEOUT, self.read_and_change(change)).await;
        attempt.unwrap_or_else(|_| Err(StoreError::timed_out()))
    }

    async fn read_and_change(&self, change: &impl Fn(&mut DaemonRecord)) -> Result<RecordChange, StoreError> {
        if self.known().is_none() {
            self.read().await?;
        }
        let KnownRecord { revision, record } = self.known().expect("was read");
        let mut changed = record.clone();
        change(&mut changed);
        if changed == record {
            return Ok(RecordChange::Unneeded);
        }
        self.write(revision, changed).await
    }

    async fn write(&self, expected: Revision, record: DaemonRecord) -> Result<RecordChange, StoreError> {
        let write = Write {
            expect: vec![(self.key.clone(), expected)],
            put: vec![(self.key.clone(), record.to_bytes())],
            ..Write::default()
        };
        match call_store(&self.metrics, self.followed.store.write(&write)).await? {
            WriteOutcome::Done(revision) => {
                *lock(&self.known) = Some(KnownRecord { revision, record });
                Ok(RecordChange::Written)
            }
            WriteOutcome::Refused(items) => {
                self.learn(items.iter().find(|item| item.key == self.key));
                Ok(RecordChange::Conflict)
            }
        }
    }

    /// Records the item that the store has; none if there is no record.
    fn learn(&self, item: Option<&Item>) {
        let revision = item.map_or(Revision(0), |item| item.revision);
        let record = item.map(DaemonRecord::read).unwrap_or_default();
        *lock(&self.known) = Some(KnownRecord { revision, record });
    }

    fn known(&self) -> Option<KnownRecord> {
        lock(&self.known).clone()
    }
}
