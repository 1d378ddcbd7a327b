//! Records the departure of an instance in the store and at other daemons, and queries other daemons for departures.
//!
//! This daemon may restart and then receive a late heartbeat of a departed instance. The store therefore records a departure
//! before it is acknowledged: the memory of daemons is gone when all of them are killed. Other daemons hold it as well, for a
//! restart while the store is out, and a starting daemon asks both.

use super::own_record::{OwnRecord, RecordChange};
use crate::control::HolderAnswers;
use crate::peer::PeerPool;
use futures_util::future::join_all;
use log::{debug, warn};
use seamhatch_core::identity::Address;
use seamhatch_core::instance::InstanceId;
use seamhatch_wire::{ControlReply, ControlRequest};
use std::sync::Arc;
use std::time::Duration;

/// Maximum wait of a starting daemon for each daemon that may hold its departures. An unreachable one delays the start by
/// this time.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Writes to this daemon's record that an instance of its back end has departed, with several attempts. Returns true if the
/// store has recorded it.
pub async fn record_departure(record: &OwnRecord, instance: &InstanceId) -> bool {
    let is_recorded = record.change_until_done(|record| record.departures.add(instance)).await;
    if !is_recorded {
        warn!(instance = instance.name.as_str(); "departure could not be written to the store; only other daemons may hold it");
    }
    is_recorded
}

/// Tries once to write a departure that is being recorded, since another attempt may wait for a store that has come back
/// meanwhile. Returns true if the store has recorded it.
pub async fn try_to_record_departure(record: &OwnRecord, instance: &InstanceId) -> bool {
    match record.change(&|record| record.departures.add(instance)).await {
        Ok(change) => change != RecordChange::Conflict,
        // The other attempts go on.
        Err(error) => {
            debug!(error = error.to_string().as_str(); "this daemon's record can't be written; retrying");
            false
        }
    }
}

/// Asks `peers` to hold a departure. `gossip` is this daemon's gossip address.
pub async fn ask_to_hold(pool: Arc<PeerPool>, gossip: Address, instance: InstanceId, peers: Vec<Address>) {
    let request = ControlRequest::RememberDeparture { member: gossip, instance };
    // A daemon that does not answer may not hold it; the store's record is what counts.
    join_all(peers.into_iter().map(|peer| pool.ask(peer, request.clone()))).await;
}

/// Queries `peers` for the departed instances of this daemon's back end. `gossip` is this daemon's gossip address. Returns
/// none if no peer answers.
pub async fn ask_departures(
    pool: Arc<PeerPool>,
    gossip: Address,
    peers: Vec<Address>,
) -> Option<HolderAnswers> {
    let request = ControlRequest::GetDepartures { member: gossip };
    let ask = |peer| tokio::time::timeout(HOLDER_TIMEOUT, pool.ask(peer, request.clone()));
    let replies = join_all(peers.iter().copied().map(ask)).await;
    let mut answers = HolderAnswers::default();
    for (peer, reply) in peers.into_iter().zip(replies) {
        if let Ok(Some(ControlReply::Departures(instances))) = reply {
            answers.peers.push(peer);
            answers.instances.extend(instances);
        }
    }
    (!answers.peers.is_empty()).then_some(answers)
}
