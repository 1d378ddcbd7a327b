//! Registering a configuration with the witnesses of one shard, and asking them for the newest.
//!
//! A majority holds a configuration before it is in force anywhere, and a starting daemon asks a majority, so that it can't go
//! back behind what is in force, also where the store is out. Two majorities of one epoch share a witness.

use super::ask::ask_witnesses;
use crate::shared::Shared;
use seamhatch_core::claims::Epoch;
use seamhatch_core::generation::Generation;
use seamhatch_core::roster::{Assignment, CONFIGURATION_SHARD};
use seamhatch_policy::StoredConfiguration;
use seamhatch_wire::{ControlReply, ControlRequest};
use std::sync::Arc;

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
    let replies = ask_witnesses(&shared.pool, &assignment.witnesses, &request).await;
    let held = replies.iter().flatten().filter(|reply| **reply == ControlReply::Done).count();
    if held <= assignment.witnesses.len() / 2 {
        shared.control.check_roster(None);
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
    /// The newest that a majority holds, if it is above what the asking daemon has.
    Newest(Option<StoredConfiguration>),
}

/// Asks the witnesses for the newest accepted configuration above `have`.
pub async fn ask_held(shared: &Arc<Shared>, have: Generation) -> Held {
    let Some(assignment) = holders(shared) else { return Held::NoRoster };
    let request = ControlRequest::GetHeld { epoch: assignment.epoch, have };
    let replies = ask_witnesses(&shared.pool, &assignment.witnesses, &request).await;
    let answers: Vec<Option<StoredConfiguration>> = replies
        .into_iter()
        .flatten()
        .filter_map(|reply| match reply {
            ControlReply::Configuration(stored) => Some(Some(stored)),
            ControlReply::Generation(_) => Some(None),
            _ => None,
        })
        .collect();
    if answers.len() <= assignment.witnesses.len() / 2 {
        shared.control.check_roster(None);
        return Held::NoMajority;
    }
    Held::Newest(answers.into_iter().fold(None, newer))
}

/// Whether this daemon holds configurations as a witness of `epoch`.
pub fn is_holder(shared: &Shared, epoch: Epoch) -> bool {
    shared.claims.witnesses.serving(CONFIGURATION_SHARD as u32) == epoch
}
