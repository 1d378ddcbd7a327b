//! Having the departure of an instance remembered, and asking other daemons for departures.
//!
//! This daemon may restart and then receive a late heartbeat of that instance. So the store or another daemon remembers a departure
//! before it is acknowledged, and a starting daemon asks both.

use super::own_record::change_own_record;
use crate::base::metrics::Metrics;
use crate::peer::PeerPool;
use crate::ports::FollowedStore;
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
///
/// `gossip` is this daemon's gossip address.
pub async fn remember_departure(
    pool: Arc<PeerPool>,
    metrics: Arc<Metrics>,
    followed: FollowedStore,
    gossip: Address,
    instance: InstanceId,
    peers: Vec<Address>,
) -> bool {
    let (done, written) = oneshot::channel();
    tokio::spawn(write_until_done(metrics, followed, gossip, instance.clone(), done));
    let stored = tokio::time::timeout(REMEMBER_TIMEOUT, written);
    let held = tokio::time::timeout(REMEMBER_TIMEOUT, ask_to_hold(&pool, gossip, &instance, peers));
    tokio::pin!(stored, held);
    // Whichever succeeds first is enough; where it fails, the other one decides. A time-out counts as a failure.
    tokio::select! {
        done = &mut stored => matches!(done, Ok(Ok(()))) || held.await.unwrap_or(false),
        done = &mut held => done.unwrap_or(false) || matches!(stored.await, Ok(Ok(()))),
    }
}

async fn write_until_done(
    metrics: Arc<Metrics>,
    followed: FollowedStore,
    gossip: Address,
    instance: InstanceId,
    done: oneshot::Sender<()>,
) {
    let change = |record: &mut DaemonRecord| record.departures.add(&instance);
    if change_own_record(&metrics, &followed, gossip, change).await {
        // Nobody waits any more where other daemons hold it.
        let _ = done.send(());
    } else {
        warn!(instance = instance.name.as_str(); "the store could not be told of a departure; other daemons hold it");
    }
}

/// Asks `peers` to hold a departure; true when at least one does.
async fn ask_to_hold(
    pool: &Arc<PeerPool>,
    gossip: Address,
    instance: &InstanceId,
    peers: Vec<Address>,
) -> bool {
    let request = ControlRequest::RememberDeparture { member: gossip, instance: instance.clone() };
    let replies = join_all(peers.iter().map(|peer| pool.ask(*peer, request.clone()))).await;
    replies.contains(&Some(ControlReply::Done))
}

/// Asks `peers` which instances of the back end of this daemon, which has the gossip address `gossip`, have departed. None when no peer
/// answers.
pub async fn ask_departures(
    pool: Arc<PeerPool>,
    gossip: Address,
    peers: Vec<Address>,
) -> Option<Vec<InstanceId>> {
    let request = ControlRequest::GetDepartures { member: gossip };
    let ask = |peer| tokio::time::timeout(HOLDER_TIMEOUT, pool.ask(peer, request.clone()));
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
