//! Having it remembered that an instance takes no work any more, before it is told so.
//!
//! This daemon may restart and then get a late heartbeat of that instance. So the departure lies in the
//! store or at other daemons before it is acknowledged, and a starting daemon asks both.

use super::own_record::change_own_record;
use crate::controllers::ask::ask_daemon;
use crate::ports::FollowedStore;
use crate::shared::Shared;
use futures_util::future::join_all;
use log::warn;
use seamhatch_core::identity::Address;
use seamhatch_core::instance::InstanceId;
use seamhatch_wire::{ControlReply, ControlRequest};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest time for the store and other daemons to note a departure; an acknowledgement that comes
/// later than a second is none.
const REMEMBER_TIMEOUT: Duration = Duration::from_millis(800);
/// A starting daemon waits this long for each daemon that may hold its departures.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Has the store and `peers` note that an instance of this daemon's back end has departed. True when the
/// store or at least one of them has noted it in time; the store is asked until it has, all the same.
pub async fn remember_departure(
    shared: Arc<Shared>,
    followed: FollowedStore,
    instance: InstanceId,
    peers: Vec<Address>,
) -> bool {
    let (done, written) = oneshot::channel();
    tokio::spawn(write_until_done(shared.clone(), followed, instance.clone(), done));
    let stored = tokio::time::timeout(REMEMBER_TIMEOUT, written);
    let told = tokio::time::timeout(REMEMBER_TIMEOUT, tell(&shared, &instance, peers));
    tokio::pin!(stored, told);
    // Whichever notes it first is enough; the other goes on while this waits.
    tokio::select! {
        done = &mut stored => matches!(done, Ok(Ok(()))) || told.await.unwrap_or(false),
        done = &mut told => done.unwrap_or(false) || matches!(stored.await, Ok(Ok(()))),
    }
}

async fn write_until_done(
    shared: Arc<Shared>,
    followed: FollowedStore,
    instance: InstanceId,
    done: oneshot::Sender<()>,
) {
    if change_own_record(&shared, &followed, |record| record.departures.add(&instance)).await {
        // Nobody waits where other daemons have noted it before.
        let _ = done.send(());
    } else {
        warn!(instance = instance.name.as_str(); "the store could not be told of a departure; other daemons hold it");
    }
}

async fn tell(shared: &Arc<Shared>, instance: &InstanceId, peers: Vec<Address>) -> bool {
    let request = ControlRequest::RememberDeparture {
        member: shared.settings.advertise.gossip,
        instance: instance.clone(),
    };
    let replies = join_all(peers.iter().map(|peer| ask_daemon(shared, *peer, request.clone()))).await;
    replies.contains(&Some(ControlReply::Done))
}

/// Asks `peers` which instances of this daemon's back end have departed. None when nobody answers.
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
