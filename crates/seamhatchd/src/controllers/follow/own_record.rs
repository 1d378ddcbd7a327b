//! What a daemon must not forget, as it lies in the followed store: one key a daemon.
//!
//! A write adds to what lies there and is bound to its revision: an earlier life's write may land late, and a daemon that has
//! just started may not know yet what its earlier lives have written.

use super::Backoff;
use super::discovery::member_key;
use crate::ports::FollowedStore;
use crate::shared::Shared;
use crate::store::{Revision, StoreError, Write, WriteOutcome};
use seamhatch_core::crashes::CondemnedRecord;
use seamhatch_core::departure::DepartureRecord;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest wait for one answer of the store. What comes later may still be done.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Attempts to have the store note what other daemons know already.
const WRITE_ATTEMPTS: u32 = 20;

/// One daemon's record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnRecord {
    /// Departed instances of its back end.
    #[serde(flatten)]
    pub departures: DepartureRecord,
    /// Requests that were condemned by a crash of its back end.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub condemned: Vec<CondemnedRecord>,
}

impl OwnRecord {
    /// What the store holds; nothing where that can't be read.
    pub fn from_bytes(bytes: &[u8]) -> Self {
        serde_json::from_slice(bytes).unwrap_or_default()
    }

    /// As it lies in the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Changes this daemon's record in the store, however often that has to be tried. False when the store could not be told.
pub async fn change_own_record(
    shared: &Shared,
    followed: &FollowedStore,
    change: impl Fn(&mut OwnRecord),
) -> bool {
    let mut backoff = Backoff::default();
    for _attempt in 0..WRITE_ATTEMPTS {
        match tokio::time::timeout(WRITE_TIMEOUT, write(shared, followed, &change)).await {
            Ok(Ok(WriteOutcome::Done(_))) => return true,
            // Somebody else has written in between: what lies there is read again at once.
            Ok(Ok(WriteOutcome::Refused(_))) => {}
            Ok(Err(_)) | Err(_) => {
                shared.metrics.store_failures.inc();
                backoff.pause().await;
            }
        }
    }
    false
}

async fn write(
    shared: &Shared,
    followed: &FollowedStore,
    change: &impl Fn(&mut OwnRecord),
) -> Result<WriteOutcome, StoreError> {
    let key = member_key(followed, shared.settings.advertise.gossip);
    let item = shared.metrics.time_store_call(followed.store.get(&key)).await?.found;
    let revision = item.as_ref().map_or(Revision(0), |item| item.revision);
    let mut record = item.map(|item| OwnRecord::from_bytes(&item.value)).unwrap_or_default();
    change(&mut record);
    let write = Write {
        expect: vec![(key.clone(), revision)],
        put: vec![(key, record.to_bytes())],
        ..Write::default()
    };
    shared.metrics.time_store_call(followed.store.write(&write)).await
}
