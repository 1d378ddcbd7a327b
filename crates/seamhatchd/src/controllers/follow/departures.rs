//! Records the departure of an instance in the store and at other daemons, and queries other daemons for departures.
//!
//! This daemon may restart and then receive a late heartbeat of a departed instance. The store or another daemon therefore
//! records a departure before it is acknowledged, and a starting daemon asks both.

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

/// Maximum wait for the store or another daemon to record a departure. The users' platform treats an acknowledgement after
/// 1 s as missing; the remaining 0.2 s are for its delivery.
const REMEMBER_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum wait of a starting daemon for each daemon that may hold its departures. An unreachable one delays the start by
/// this time.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Who recorded a departure first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureRecorder {
    /// The store.
    Store,
    /// Another daemon, in its memory.
    Daemon,
    /// Neither in time.
    Nobody,
}

impl DepartureRecorder {
    /// Name of the recorder in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Daemon => "daemon",
            Self::Nobody => "nobody",
        }
    }
}

/// Records in the store and at `peers` that an instance of this daemon's back end has departed. Returns who did so first
/// within [`REMEMBER_TIMEOUT`]. The write to the store is retried beyond that.
///
/// `gossip` is this daemon's gossip address.
pub async fn remember_departure(
    pool: Arc<PeerPool>,
    metrics: Arc<Metrics>,
    followed: FollowedStore,
    gossip: Address,
    instance: InstanceId,
    peers: Vec<Address>,
) -> DepartureRecorder {
    let (done, written) = oneshot::channel();
    tokio::spawn(write_until_done(metrics, followed, gossip, instance.clone(), done));
    let stored = tokio::time::timeout(REMEMBER_TIMEOUT, written);
    let held = tokio::time::timeout(REMEMBER_TIMEOUT, ask_to_hold(&pool, gossip, &instance, peers));
    tokio::pin!(stored, held);
    // The first success suffices; after a failure the other result decides. A time-out counts as a failure.
    tokio::select! {
        done = &mut stored => match done {
            Ok(Ok(())) => DepartureRecorder::Store,
            _ if held.await.unwrap_or(false) => DepartureRecorder::Daemon,
            _ => DepartureRecorder::Nobody,
        },
        done = &mut held => match done {
            Ok(true) => DepartureRecorder::Daemon,
            _ if matches!(stored.await, Ok(Ok(()))) => DepartureRecorder::Store,
            _ => DepartureRecorder::Nobody,
        },
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
        // Fails if the caller no longer waits because another daemon holds the departure.
        let _ = done.send(());
    } else {
        warn!(instance = instance.name.as_str(); "departure could not be written to the store; only other daemons may hold it");
    }
}

/// Asks `peers` to hold a departure. Returns true if at least one does.
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

/// Queries `peers` for the departed instances of this daemon's back end. `gossip` is this daemon's gossip address. Returns none
/// if no peer answers.
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
