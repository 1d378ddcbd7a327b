//! Having the departure of an instance remembered, and asking other daemons for departures.
//!
//! This daemon may restart and then receive a late heartbeat of that instance. So the store or another daemon remembers a departure
//! before it is acknowledged, and a starting daemon asks both.

use super::own_record::change_own_record;
use crate::controllers::ask::ask_daemon;
use crate::ports::FollowedStore;
use crate::shared::Shared;
use crate::store::DaemonRecord;
use futures_util::future::join_all;
use log::warn;
use seamhatch_core::identity::Address;
use seamhatch_core::instance::InstanceId;
use seamhatch_wire::{ControlReply, ControlRequest};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest wait for the store or another daemon to remember a departure: an acknowledgement that arrives after a second counts as none on
/// the users' platform, and 0.2 s are left for its way.
const REMEMBER_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a starting daemon waits for each daemon that may hold its departures. Chosen, not measured; a start is delayed by it where
/// one of them can't be reached.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Has the store and `peers` remember that an instance of this daemon's back end has departed. True when the
/// store or at least one peer has done so in time. The write to the store goes on all the same until it has succeeded.
pub async fn remember_departure(
    shared: Arc<Shared>,
    followed: FollowedStore,
    instance: InstanceId,
    peers: Vec<Address>,
) -> bool {
    let (done, written) = oneshot::channel();
    tokio::spawn(write_until_done(shared.clone(), followed, instance.clone(), done));
    let stored = tokio::time::timeout(REMEMBER_TIMEOUT, written);
    let held = tokio::time::timeout(REMEMBER_TIMEOUT, ask_to_hold(&shared, &instance, peers));
    tokio::pin!(stored, held);
    // Whichever succeeds first is enough; where it fails, the other one decides. A time-out counts as a failure.
    tokio::select! {
        done = &mut stored => matches!(done, Ok(Ok(()))) || held.await.unwrap_or(false),
        done = &mut held => done.unwrap_or(false) || matches!(stored.await, Ok(Ok(()))),
    }
}

async fn write_until_done(
    shared: Arc<Shared>,
    followed: FollowedStore,
    instance: InstanceId,
    done: oneshot::Sender<()>,
) {
    let gossip = shared.settings.advertise.gossip;
    let change = |record: &mut DaemonRecord| record.departures.add(&instance);
    if change_own_record(&shared.metrics, &followed, gossip, change).await {
        // Nobody waits any more where other daemons hold it.
        let _ = done.send(());
    } else {
        warn!(instance = instance.name.as_str(); "the store could not be told of a departure; other daemons hold it");
    }
}

/// Asks `peers` to hold a departure; true when at least one does.
async fn ask_to_hold(shared: &Arc<Shared>, instance: &InstanceId, peers: Vec<Address>) -> bool {
    let request = ControlRequest::RememberDeparture {
        member: shared.settings.advertise.gossip,
        instance: instance.clone(),
    };
    let replies = join_all(peers.iter().map(|peer| ask_daemon(shared, *peer, request.clone()))).await;
    replies.contains(&Some(ControlReply::Done))
}

/// Asks `peers` which instances of this daemon's back end have departed. None when no peer answers.
pub async fn ask_departures(shared: Arc<Shared>, peers: Vec<Address>) -> Option<Vec<InstanceId>> {
    let request = ControlRequest::GetDepartures { member: shared.settings.advertise.gossip };
    let ask = |peer| tokio::time::timeout(HOLDER_TIMEOUT, ask_daemon(&shared, peer, request.clone()));
    let replies = join_all(peers.into_iter().map(ask)).await;
    let mut answered = false;
    let mut departed = Vec::new();
    for reply in replies {
        if let Ok(Some(ControlReply::Departures(instances))) = reply {
            answered = true;
            departed.extend(instances);
        }
    }
    answered.then_some(departed)
}
