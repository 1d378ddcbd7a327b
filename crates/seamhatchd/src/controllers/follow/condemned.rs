//! Having it remembered that a request is condemned, past the end of all daemons.

use super::own_record::change_own_record;
use crate::base::clock::unix_milliseconds;
use crate::ports::FollowedStore;
use crate::shared::Shared;
use crate::store::DaemonRecord;
use log::{info, warn};
use seamhatch_core::crashes::{CondemnedRecord, SuspectReport};
use seamhatch_core::identity::RequestDigest;
use std::sync::Arc;

/// Condemned requests that one daemon keeps in the store, the latest ones.
const KEPT_IN_STORE: usize = 32;

/// Adds what is known of requests that a crash of this daemon's back end has condemned to its record.
pub async fn remember_condemned(shared: Arc<Shared>, followed: FollowedStore, requests: Vec<RequestDigest>) {
    let reports = shared.suspects.reports(&requests);
    let remembered = change_own_record(&shared, &followed, |record| add(record, &reports)).await;
    if remembered {
        info!(requests = requests.len(); "condemned requests noted in the store");
    } else {
        warn!(requests = requests.len(); "the store could not be told of condemned requests; other daemons know them");
    }
}

fn add(record: &mut DaemonRecord, reports: &[SuspectReport]) {
    let now = unix_milliseconds();
    for report in reports {
        record.condemned.retain(|known| known.record.request != report.record.request);
        record.condemned.push(CondemnedRecord::new(report, now));
    }
    let forgotten = record.condemned.len().saturating_sub(KEPT_IN_STORE);
    record.condemned.drain(..forgotten);
}
