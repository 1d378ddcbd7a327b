//! Registers a configuration with the witnesses of one shard, and queries them for the newest.
//!
//! A majority of the witnesses holds a configuration before it is in force anywhere, and a starting daemon asks a majority.
//! Since any two majorities of an epoch share a witness, a daemon can't revert to an older configuration than the one in
//! force, even if the store is unavailable.

use super::ask::ask_witnesses;
use crate::shared::Shared;
use seamhatch_core::claims::Epoch;
use seamhatch_core::generation::Generation;
use seamhatch_core::roster::{Assignment, CONFIGURATION_SHARD};
use seamhatch_policy::StoredConfiguration;
use seamhatch_wire::{ControlReply, ControlRequest};
use std::sync::Arc;

/// Returns the newer of two configurations.
pub fn newer(
    left: Option<StoredConfiguration>,
    right: Option<StoredConfiguration>,
) -> Option<StoredConfiguration> {
    left.into_iter().chain(right).max_by_key(|stored| stored.generation)
}

/// Returns the current witnesses of the configuration's shard; none before the first roster.
fn holders(shared: &Shared) -> Option<Assignment> {
    let snapshot = shared.snapshot();
    snapshot.roster.shards.get(CONFIGURATION_SHARD).map(|shard| shard.current.clone())
}

/// Registers a configuration with the witnesses. Returns true if a majority holds it.
///
/// Succeeds without witnesses before the first roster, when there is no earlier configuration to revert to.
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

/// Result of a query to the witnesses for the newest configuration.
#[derive(Debug)]
pub enum Held {
    /// No roster is known yet.
    NoRoster,
    /// No majority answered.
    NoMajority,
    /// The newest configuration held by a majority, if it is newer than that of the asking daemon.
    Newest(Option<StoredConfiguration>),
}

/// Queries the witnesses for the newest accepted configuration above `have`.
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
