//! The newest accepted configuration is held by the witnesses of one shard, so
//! that a daemon which starts while the store is out can't go back behind it:
//! a majority holds a configuration before it is in force anywhere, and a
//! starting daemon asks a majority. Two majorities of one epoch share a witness.

use crate::shared::Shared;
use futures_util::future::join_all;
use seamhatch_core::claims::Epoch;
use seamhatch_core::generation::Generation;
use seamhatch_core::roster::{Assignment, CONFIGURATION_SHARD, WitnessId};
use seamhatch_policy::StoredConfiguration;
use seamhatch_wire::{ControlReply, ControlRequest};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a witness.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(800);

/// The newer of two configurations.
pub fn newer(
    left: Option<StoredConfiguration>,
    right: Option<StoredConfiguration>,
) -> Option<StoredConfiguration> {
    left.into_iter().chain(right).max_by_key(|stored| stored.generation)
}

/// The witnesses that hold the configuration; none before the first roster.
fn holders(shared: &Shared) -> Option<Assignment> {
    let snapshot = shared.snapshot();
    snapshot.roster.shards.get(CONFIGURATION_SHARD).map(|shard| shard.current.clone())
}

/// Has a majority of the witnesses hold a configuration; true when it does.
///
/// Before the first roster there is no earlier configuration to go back to.
pub async fn register(shared: &Arc<Shared>, stored: &StoredConfiguration) -> bool {
    let Some(assignment) = holders(shared) else { return true };
    let request = ControlRequest::HoldConfiguration { epoch: assignment.epoch, stored: stored.clone() };
    let replies = ask_all(shared, &assignment, &request).await;
    let held = replies.iter().flatten().filter(|reply| **reply == ControlReply::Done).count();
    if held <= assignment.witnesses.len() / 2 {
        shared.control.check_roster();
        return false;
    }
    true
}

/// What a majority of the witnesses holds.
#[derive(Debug)]
pub enum Held {
    /// There is no roster known yet.
    NoRoster,
    /// No majority answered.
    NoMajority,
    /// The newest that a majority holds, if it is above what the asker has.
    Newest(Option<StoredConfiguration>),
}

/// Asks the witnesses for the newest accepted configuration above `have`.
pub async fn ask_held(shared: &Arc<Shared>, have: Generation) -> Held {
    let Some(assignment) = holders(shared) else { return Held::NoRoster };
    let request = ControlRequest::GetHeld { epoch: assignment.epoch, have };
    let replies = ask_all(shared, &assignment, &request).await;
    let told: Vec<Option<StoredConfiguration>> = replies
        .into_iter()
        .flatten()
        .filter_map(|reply| match reply {
            ControlReply::Configuration(stored) => Some(Some(stored)),
            ControlReply::Generation(_) => Some(None),
            _ => None,
        })
        .collect();
    if told.len() <= assignment.witnesses.len() / 2 {
        shared.control.check_roster();
        return Held::NoMajority;
    }
    Held::Newest(told.into_iter().fold(None, newer))
}

async fn ask_all(
    shared: &Arc<Shared>,
    assignment: &Assignment,
    request: &ControlRequest,
) -> Vec<Option<ControlReply>> {
    join_all(assignment.witnesses.iter().map(|witness| ask_witness(shared, *witness, request.clone()))).await
}

/// Asks one witness; none unless this very life of it answers.
pub async fn ask_witness(
    shared: &Arc<Shared>,
    witness: WitnessId,
    request: ControlRequest,
) -> Option<ControlReply> {
    let asking = async {
        let connection = shared.pool.get_witness(shared, witness).await?;
        connection.control(request).await
    };
    tokio::time::timeout(WITNESS_TIMEOUT, asking).await.ok().flatten()
}

/// Whether this daemon holds configurations as a witness of `epoch`.
pub fn is_holder(shared: &Shared, epoch: Epoch) -> bool {
    shared.claims.witnesses.serving(CONFIGURATION_SHARD as u32) == epoch
}
