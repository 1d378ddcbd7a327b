//! Hands over the state of a stopping daemon: its witness state, and the recorded answers to its claimed calls.

use super::elapsed_since;
use crate::control::Retirement;
use crate::controllers::ask::ask_holder;
use crate::shared::Shared;
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream;
use log::{info, warn};
use rand::seq::SliceRandom;
use seamhatch_core::Instant;
use seamhatch_core::claims::{ClaimHolder, ClaimKey};
use seamhatch_core::identity::Address;
use seamhatch_core::roster::WitnessDuty;
use seamhatch_wire::{ControlReply, ControlRequest, RecordedState, SealedMemory};
use std::time::Duration;

/// Time limit, from the stop request, for other daemons to take over this daemon's shards. A shorter grace period
/// takes precedence.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks whether the shards have been taken over.
const HANDOVER_POLL: Duration = Duration::from_millis(50);

/// Time within which other daemons usually take over if the store is available.
const USUAL_HANDOVER: Duration = Duration::from_millis(1_500);
/// Pause between two attempts to leave the witness state with holders.
const HANDOVER_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Number of daemons that should hold a copy of the state if no successor has taken over, since one of them may
/// end.
const HOLDERS: usize = 2;
/// Number of recorded answers handed over concurrently.
const CONCURRENT_ANSWERS: usize = 32;
/// Number of daemons that are asked to hold the witness state, including spares.
const HOLDER_CANDIDATES: usize = 4;

/// Waits until other daemons have taken over the shards that this daemon witnesses, or hold its witness state, at
/// most until `longest` has passed since `started`. State of retired witnesses that this daemon holds is handed on
/// as well.
pub(super) async fn until_handed_over(shared: &Shared, started: Instant, longest: Duration) {
    let longest = longest.min(HANDOVER_TIMEOUT);
    let mut due = longest.min(USUAL_HANDOVER);
    let mut released = until_released(shared, started, due).await;
    if released {
        // A change of witnesses that was in progress when the stop began may have selected this daemon.
        released = until_released(shared, started, due).await;
    }
    if released && shared.claims.sealed.all().is_empty() {
        return;
    }
    while !try_transfer(shared, started, longest).await {
        if elapsed_since(started) >= longest || has_no_successor(shared).await {
            return until_released_or_timeout(shared, started, longest).await;
        }
        due = elapsed_since(started) + HANDOVER_RETRY_PAUSE;
        if until_released(shared, started, due.min(longest)).await {
            return;
        }
    }
}

/// [`transfer_to_holders`] with a time limit of `longest` since `started`.
async fn try_transfer(shared: &Shared, started: Instant, longest: Duration) -> bool {
    let left = longest.saturating_sub(elapsed_since(started));
    tokio::time::timeout(left, transfer_to_holders(shared, started)).await.unwrap_or(false)
}

/// Whether no other daemon can take over, or the control thread does not respond.
async fn has_no_successor(shared: &Shared) -> bool {
    matches!(shared.control.witness_duty().await, None | Some(WitnessDuty::NoSuccessor { .. }))
}

/// Retires this daemon as a witness and stores copies of its witness state on other daemons for the later
/// successors. Returns false if successors can still take over through the store, or if too few daemons accepted
/// the state.
async fn transfer_to_holders(shared: &Shared, started: Instant) -> bool {
    let Some(Retirement { memories, mut holders }) = shared.control.retire().await else { return false };
    let wanted = HOLDERS.min(holders.len());
    if wanted == 0 {
        return false;
    }
    holders.shuffle(&mut rand::rng());
    holders.truncate(HOLDER_CANDIDATES);
    let transfers = holders.iter().map(|holder| send_all(shared, *holder, &memories));
    let holding = join_all(transfers).await.into_iter().filter(|holds| *holds).count();
    if holding < wanted {
        return false;
    }
    let (shards, after_ms) = (memories.len(), elapsed_since(started).as_millis());
    info!(shards = shards, holders = holding, after_ms = after_ms; "other daemons hold this daemon's witness state");
    true
}

async fn send_all(shared: &Shared, holder: Address, memories: &[SealedMemory]) -> bool {
    for memory in memories {
        let request = ControlRequest::HoldSealed(memory.clone());
        if ask_holder(&shared.pool, holder, request).await != Some(ControlReply::Done) {
            return false;
        }
    }
    true
}

/// Waits until other daemons have taken over, and logs a warning if they have not within `longest` since
/// `started`.
async fn until_released_or_timeout(shared: &Shared, started: Instant, longest: Duration) {
    let why = match remaining_duty(shared, started, longest).await {
        Some(WitnessDuty::Released) => return,
        Some(WitnessDuty::Held { shards }) => format!("{shards} of its shards have no other witness yet"),
        Some(WitnessDuty::NoSuccessor { shards }) => {
            format!("no other daemon is left to witness {shards} shards")
        }
        None => "the control thread does not respond".to_owned(),
    };
    warn!(why = why.as_str(); "the daemon ends before others have taken over its shards");
}

/// Waits until other daemons have taken over, and returns whether they have within `longest` since `started`. If
/// two witnesses of a shard end with their state, the shard grants no claims until all earlier requests have
/// expired.
async fn until_released(shared: &Shared, started: Instant, longest: Duration) -> bool {
    matches!(remaining_duty(shared, started, longest).await, Some(WitnessDuty::Released))
}

/// Waits until this daemon has no witness duty, has no successor, or `longest` has passed since `started`. Returns
/// the remaining duty, or none if the control thread does not respond.
async fn remaining_duty(shared: &Shared, started: Instant, longest: Duration) -> Option<WitnessDuty> {
    let mut held = 0;
    loop {
        match shared.control.witness_duty().await? {
            WitnessDuty::Held { shards } if elapsed_since(started) < longest => {
                held = held.max(shards);
                tokio::time::sleep(HANDOVER_POLL).await;
            }
            duty => {
                if duty == WitnessDuty::Released && held > 0 {
                    let after_ms = elapsed_since(started).as_millis();
                    info!(shards = held, after_ms = after_ms; "other daemons have taken over this daemon's shards");
                }
                return Some(duty);
            }
        }
    }
}

/// Copies the recorded answers to this daemon's claimed calls to other daemons, which serve repeats of these
/// calls. The latest answers come first; the time limit is `longest`.
pub(super) async fn hand_over_answers(shared: &Shared, longest: Duration) {
    let claims = shared.claims.records.answered();
    if claims.is_empty() {
        return;
    }
    let transfers = stream::iter(claims.iter().copied())
        .map(|(key, holder)| send_answer(shared, key, holder))
        .buffer_unordered(CONCURRENT_ANSWERS)
        .filter(|sent| std::future::ready(*sent))
        .count();
    let sent = tokio::time::timeout(longest, transfers).await;
    let sent = sent.unwrap_or_default();
    info!(answers = claims.len(), given = sent; "answers to claimed calls handed over");
}

async fn send_answer(shared: &Shared, key: ClaimKey, holder: ClaimHolder) -> bool {
    let RecordedState::Answered(answer) = shared.claims.records.get(key, holder) else { return false };
    let own = shared.settings.advertise.peer;
    let holders = shared.claimant.answer_holders(key, own, HOLDERS);
    let request = ControlRequest::HoldRecorded { key, holder, answer };
    let replies = holders.into_iter().map(|daemon| ask_holder(&shared.pool, daemon, request.clone()));
    join_all(replies).await.contains(&Some(ControlReply::Done))
}
