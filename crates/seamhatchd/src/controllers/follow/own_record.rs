//! Writes this daemon's record in the followed store.
//!
//! A write adds to the record in the store and is conditional on its revision: a late write of an earlier incarnation may
//! still arrive, and a starting daemon may not know yet what earlier incarnations have written.

use super::store_calls::{Backoff, STORE_TIMEOUT};
use crate::base::metrics::Metrics;
use crate::ports::FollowedStore;
use crate::store::{DaemonRecord, Revision, StoreError, Write, WriteOutcome};
use log::debug;
use seamhatch_core::identity::Address;

/// Number of attempts to write a record whose content other daemons already hold. With the longest pauses, the attempts span
/// an outage of about 20 s.
const WRITE_ATTEMPTS: u32 = 20;

/// Changes this daemon's record in the store, with up to [`WRITE_ATTEMPTS`] attempts. `gossip` is this daemon's gossip
/// address. Returns false if no attempt succeeded.
pub async fn change_own_record(
    metrics: &Metrics,
    followed: &FollowedStore,
    gossip: Address,
    change: impl Fn(&mut DaemonRecord),
) -> bool {
    let mut backoff = Backoff::default();
    for _attempt in 0..WRITE_ATTEMPTS {
        // The time-out covers the read and the write together.
        let attempt = tokio::time::timeout(STORE_TIMEOUT, write(metrics, followed, gossip, &change)).await;
        match attempt.unwrap_or_else(|_| Err(StoreError::timed_out())) {
            Ok(WriteOutcome::Done(_)) => return true,
            // A concurrent write changed the record; it is reread at once.
            Ok(WriteOutcome::Refused(_)) => {}
            Err(error) => {
                metrics.store_failures.inc();
                debug!(error = error.to_string().as_str(); "this daemon's record can't be written; retrying");
                backoff.pause().await;
            }
        }
    }
    false
}

async fn write(
    metrics: &Metrics,
    followed: &FollowedStore,
    gossip: Address,
    change: &impl Fn(&mut DaemonRecord),
) -> Result<WriteOutcome, StoreError> {
    let key = DaemonRecord::key(&followed.member_prefix, gossip);
    let item = metrics.time_store_call(followed.store.get(&key)).await?.found;
    let revision = item.as_ref().map_or(Revision(0), |item| item.revision);
    let mut record = item.as_ref().map(DaemonRecord::read).unwrap_or_default();
    change(&mut record);
    let write = Write {
        expect: vec![(key.clone(), revision)],
        put: vec![(key, record.to_bytes())],
        ..Write::default()
    };
    metrics.time_store_call(followed.store.write(&write)).await
}
