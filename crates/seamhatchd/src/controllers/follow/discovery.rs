//! Registers this daemon in the store, and reads the records of the other daemons.
//!
//! Each daemon has one key, whose value is its [`DaemonRecord`]. It writes its own key before it reads all others, so that of
//! two daemons starting together at least one sees the other.

use super::own_record::OwnRecord;
use super::store_calls::{Backoff, call_store};
use crate::base::clock::unix_milliseconds;
use crate::base::metrics::Metrics;
use crate::control::{ControlHandle, Discovery, InstanceEvent, MemberEvent};
use crate::ports::FollowedStore;
use crate::store::{DaemonRecord, Page, ShardRecord, StoreError};
use log::warn;
use seamhatch_core::identity::Address;
use std::sync::Arc;

/// Registers this daemon, then reads the records of all daemons. Retries each step until it succeeds. `gossip` is this
/// daemon's gossip address.
pub async fn discover(
    own_record: Arc<OwnRecord>,
    followed: FollowedStore,
    gossip: Address,
    control: ControlHandle,
    metrics: Arc<Metrics>,
) {
    let mut backoff = Backoff::default();
    let own_departures = loop {
        match own_record.register().await {
            Ok(departures) => break departures,
            Err(error) => {
                metrics.store_failures.inc();
                warn!(error = error.to_string().as_str(); "this daemon can't be registered in the store; retrying");
                backoff.pause().await;
            }
        }
    };
    control.send(InstanceEvent::DeparturesRead(own_departures.instances));
    backoff.succeeded();
    loop {
        match read_records(&followed, gossip, &metrics).await {
            Ok(discovery) => return control.send(MemberEvent::Discovered(discovery)),
            Err(error) => {
                metrics.store_failures.inc();
                warn!(error = error.to_string().as_str(); "the daemons' records can't be read; retrying");
                backoff.pause().await;
            }
        }
    }
}

async fn read_records(
    followed: &FollowedStore,
    gossip: Address,
    metrics: &Metrics,
) -> Result<Discovery, StoreError> {
    let prefix = followed.member_prefix.as_str();
    let mut discovery = Discovery::default();
    let now = unix_milliseconds();
    let mut after: Option<String> = None;
    loop {
        let reading = followed.store.range(prefix, after.as_deref());
        let Page { items, last_key, more } = call_store(metrics, reading).await?.found;
        for item in &items {
            if let Some(shard) = ShardRecord::read(prefix, item) {
                discovery.shards.push(shard);
                continue;
            }
            let member = DaemonRecord::member(prefix, &item.key);
            discovery.members.extend(member);
            let noted = DaemonRecord::read(item).condemned;
            discovery.evidence.extend(noted.iter().map(|known| known.to_report(now)));
            if member == Some(gossip) {
                discovery.own_evidence.extend(noted.iter().map(|known| known.record.request));
            }
        }
        after = last_key;
        if !more || after.is_none() {
            return Ok(discovery);
        }
    }
}
