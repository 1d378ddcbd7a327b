//! Having the store remember, beyond the end of all daemons, that a request is condemned.

use super::own_record::change_own_record;
use crate::base::clock::unix_milliseconds;
use crate::base::metrics::Metrics;
use crate::ports::FollowedStore;
use crate::store::DaemonRecord;
use log::{info, warn};
use seamhatch_core::crashes::{CondemnedRecord, SuspectReport};
use seamhatch_core::identity::Address;
use std::sync::Arc;

/// Condemned requests that the record of one daemon has room for; the oldest are dropped. Chosen, not measured.
const MOST_CONDEMNED: usize = 32;

/// Adds the evidence against requests that a crash of this daemon's back end has condemned to its record.
pub async fn remember_condemned(
    metrics: Arc<Metrics>,
    followed: FollowedStore,
    gossip: Address,
    reports: Vec<SuspectReport>,
) {
    let change = |record: &mut DaemonRecord| add(record, &reports);
    let remembered = change_own_record(&metrics, &followed, gossip, change).await;
    if remembered {
        info!(requests = reports.len(); "condemned requests noted in the store");
    } else {
        warn!(requests = reports.len(); "the store could not be told of condemned requests; other daemons know them");
    }
}

fn add(record: &mut DaemonRecord, reports: &[SuspectReport]) {
    let now = unix_milliseconds();
    for report in reports {
        record.condemned.retain(|known| known.record.request != report.record.request);
        record.condemned.push(CondemnedRecord::new(report, now));
    }
    let dropped = record.condemned.len().saturating_sub(MOST_CONDEMNED);
    record.condemned.drain(..dropped);
}
