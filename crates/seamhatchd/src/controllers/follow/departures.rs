//! Having it remembered that an instance takes no work any more, before it is told so.
//!
//! This daemon may restart and then get a late heartbeat of that instance. So the departure lies in the
//! store or at other daemons before it is acknowledged, and a starting daemon asks both.

use super::discovery::member_key;
use crate::controllers::ask::ask_daemon;
use crate::ports::FollowedStore;
use crate::shared::Shared;
use crate::store::{Write, WriteOutcome};
use futures_util::future::join_all;
use seamhatch_core::identity::Address;
use seamhatch_core::instance::InstanceId;
use seamhatch_wire::{ControlReply, ControlRequest};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Longest time for the store and other daemons to note a departure; an acknowledgement that comes
/// later than a second is none.
const REMEMBER_TIMEOUT: Duration = Duration::from_millis(800);

/// Departed instances of one daemon's back end, as they lie in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RememberedDepartures {
    /// The instances, the latest last.
    #[serde(rename = "departed")]
    pub instances: Vec<InstanceId>,
}

impl RememberedDepartures {
    /// As it lies in the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// What the store holds; nothing where that can't be read.
    pub fn from_bytes(bytes: &[u8]) -> Self {
        serde_json::from_slice(bytes).unwrap_or_default()
    }
}

/// Writes the departures of this daemon's back end to the store and tells `peers` of the latest. True
/// when the store or at least one of them has noted it in time.
pub async fn remember_departures(
    shared: Arc<Shared>,
    followed: FollowedStore,
    departures: RememberedDepartures,
    peers: Vec<Address>,
) -> bool {
    let stored = tokio::time::timeout(REMEMBER_TIMEOUT, write(&shared, &followed, &departures));
    let told = tokio::time::timeout(REMEMBER_TIMEOUT, tell(&shared, &departures, peers));
    tokio::pin!(stored, told);
    // Whichever notes it first is enough; the other goes on while this waits.
    tokio::select! {
        done = &mut stored => done.unwrap_or(false) || told.await.unwrap_or(false),
        done = &mut told => done.unwrap_or(false) || stored.await.unwrap_or(false),
    }
}

async fn write(shared: &Shared, followed: &FollowedStore, departures: &RememberedDepartures) -> bool {
    let key = member_key(followed, shared.settings.advertise.gossip);
    // Only this daemon writes its key, so the write needs no condition.
    let write = Write { expect: Vec::new(), put: vec![(key, departures.to_bytes())], remove: Vec::new() };
    let written = shared.metrics.time_store_call(followed.store.write(&write)).await;
    matches!(written, Ok(WriteOutcome::Done(_)))
}

async fn tell(shared: &Arc<Shared>, departures: &RememberedDepartures, peers: Vec<Address>) -> bool {
    let Some(latest) = departures.instances.last() else { return true };
    let request = ControlRequest::RememberDeparture {
        member: shared.settings.advertise.gossip,
        instance: latest.clone(),
    };
    let replies = join_all(peers.iter().map(|peer| ask_daemon(shared, *peer, request.clone()))).await;
    replies.contains(&Some(ControlReply::Done))
}

/// Asks `peers` which instances of this daemon's back end have departed. None when nobody answers.
pub async fn ask_departures(shared: Arc<Shared>, peers: Vec<Address>) -> Option<Vec<InstanceId>> {
    let request = ControlRequest::GetDepartures { member: shared.settings.advertise.gossip };
    let replies = join_all(peers.iter().map(|peer| ask_daemon(&shared, *peer, request.clone()))).await;
    let mut answered = false;
    let mut departed = Vec::new();
    for reply in replies {
        if let Some(ControlReply::Departures(instances)) = reply {
            answered = true;
            departed.extend(instances);
        }
    }
    answered.then_some(departed)
}
