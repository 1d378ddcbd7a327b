//! Making this daemon known in the store, and reading who else is there.
//!
//! Each daemon has one key, whose value is what it must not forget. It writes its key before it reads
//! all others, so that of two daemons that start together at least one sees the other.

use super::{ANSWER_TIMEOUT, Backoff};
use crate::base::clock::unix_milliseconds;
use crate::base::metrics::Metrics;
use crate::control::{ControlHandle, Discovery, InstanceEvent, MemberEvent};
use crate::ports::FollowedStore;
use crate::store::{DaemonRecord, Page, Revision, ShardRecord, StoreError, Write, WriteOutcome};
use log::warn;
use seamhatch_core::departure::{DepartureRecord, DepartureSource};
use seamhatch_core::identity::Address;
use std::sync::Arc;

/// Registers this daemon and reads the others, until that has succeeded once.
pub async fn discover(
    followed: FollowedStore,
    gossip: Address,
    control: ControlHandle,
    metrics: Arc<Metrics>,
) {
    let mut backoff = Backoff::default();
    let own_departures = loop {
        match metrics.time_store_call(register(&followed, gossip)).await {
            Ok(departures) => break departures,
            Err(error) => {
                metrics.store_failures.inc();
                warn!(error = error.to_string().as_str(); "this daemon can't be registered in the store yet");
                backoff.pause().await;
            }
        }
    };
    control.send(InstanceEvent::DeparturesLearned(DepartureSource::Store, own_departures.instances));
    backoff.succeeded();
    loop {
        match read_members(&followed, &metrics).await {
            Ok(discovery) => return control.send(MemberEvent::Discovered(discovery)),
            Err(error) => {
                metrics.store_failures.inc();
                warn!(error = error.to_string().as_str(); "the daemons' records can't be read yet");
                backoff.pause().await;
            }
        }
    }
}

/// Makes this daemon's record unless an earlier life has. Returns what that remembered.
async fn register(followed: &FollowedStore, gossip: Address) -> Result<DepartureRecord, StoreError> {
    let key = DaemonRecord::key(&followed.member_prefix, gossip);
    let write = Write {
        expect: vec![(key.clone(), Revision(0))],
        put: vec![(key, DaemonRecord::default().to_bytes())],
        ..Write::default()
    };
    let written = tokio::time::timeout(ANSWER_TIMEOUT, followed.store.write(&write));
    let timed_out = |_| StoreError::AnswerLost { detail: "no answer in time".into() };
    match written.await.map_err(timed_out)?? {
        WriteOutcome::Done(_) => Ok(DepartureRecord::default()),
        WriteOutcome::Refused(items) => {
            let own = items.first().map(|item| DaemonRecord::read(item).departures);
            Ok(own.unwrap_or_default())
        }
    }
}

async fn read_members(followed: &FollowedStore, metrics: &Metrics) -> Result<Discovery, StoreError> {
    let mut discovery = Discovery::default();
    let now = unix_milliseconds();
    let mut after: Option<String> = None;
    loop {
        let reading = followed.store.range(&followed.member_prefix, after.as_deref());
        let timed_out = |_| StoreError::AnswerLost { detail: "no answer in time".into() };
        let reading = metrics.time_store_call(tokio::time::timeout(ANSWER_TIMEOUT, reading)).await;
        let Page { items, more } = reading.map_err(timed_out)??.found;
        for item in &items {
            if let Some(shard) = ShardRecord::read(&followed.member_prefix, item) {
                discovery.shards.push(shard);
                continue;
            }
            discovery.members.extend(DaemonRecord::member(&followed.member_prefix, &item.key));
            let condemned = DaemonRecord::read(item).condemned;
            discovery.condemned.extend(condemned.iter().map(|known| known.to_report(now)));
        }
        after = items.last().map(|item| item.key.clone());
        if !more || after.is_none() {
            return Ok(discovery);
        }
    }
}
