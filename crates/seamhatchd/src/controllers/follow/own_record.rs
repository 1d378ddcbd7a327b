//! What a daemon must not forget, as it lies in the followed store: one key a daemon.
//!
//! A write adds to what lies there and is bound to its revision: an earlier life's write may land late, and a daemon that has
//! just started may not know yet what its earlier lives have written.

use super::Backoff;
use crate::ports::FollowedStore;
use crate::shared::Shared;
use crate::store::{DaemonRecord, Revision, StoreError, Write, WriteOutcome};
use std::time::Duration;

/// Longest wait for one answer of the store. What comes later may still be done.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Attempts to have the store note what other daemons know already.
const WRITE_ATTEMPTS: u32 = 20;

/// Changes this daemon's record in the store, however often that has to be tried. False when the store could not be told.
pub async fn change_own_record(
    shared: &Shared,
    followed: &FollowedStore,
    change: impl Fn(&mut DaemonRecord),
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
    change: &impl Fn(&mut DaemonRecord),
) -> Result<WriteOutcome, StoreError> {
    let key = DaemonRecord::key(&followed.member_prefix, shared.settings.advertise.gossip);
    let item = shared.metrics.time_store_call(followed.store.get(&key)).await?.found;
    let revision = item.as_ref().map_or(Revision(0), |item| item.revision);
    let mut record = item.as_ref().map(|item| DaemonRecord::read(item)).unwrap_or_default();
    change(&mut record);
    let write = Write {
        expect: vec![(key.clone(), revision)],
        put: vec![(key, record.to_bytes())],
        ..Write::default()
    };
    shared.metrics.time_store_call(followed.store.write(&write)).await
}
