//! Handing over what a daemon that stops remembers: as a witness, and of the answers to its claimed calls.

use super::passed_since;
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

/// Longest time from the request to stop for others to take over this daemon's shards; the grace period may end before.
const LONGEST_HANDOVER: Duration = Duration::from_secs(30);
/// Pause between two checks whether they have.
const HANDOVER_POLL: Duration = Duration::from_millis(50);

/// Time in which others usually take over, with the store at hand.
const USUAL_HANDOVER: Duration = Duration::from_millis(1_500);
/// Time between two looks whether others can't take over.
const HANDOVER_PAUSE: Duration = Duration::from_millis(500);
/// Daemons that are to hold what this one remembers where nobody has taken over: one of them may end.
const HOLDERS: usize = 2;
/// Answers that are handed over at a time.
const ANSWERS_AT_A_TIME: usize = 32;
/// Daemons that are asked to, the rest in reserve.
const ASKED_TO_HOLD: usize = 4;

/// Waits until others have taken over the shards that this daemon witnesses, or hold what it remembers of them, for at most `longest` since
/// `started`. What it holds of others is handed on.
pub(super) async fn until_handed_over(shared: &Shared, started: Instant, longest: Duration) {
    let longest = longest.min(LONGEST_HANDOVER);
    let mut due = longest.min(USUAL_HANDOVER);
    let mut released = until_released(shared, started, due).await;
    if released {
        // A change of witnesses that was under way when the stop began may have chosen this daemon.
        released = until_released(shared, started, due).await;
    }
    if released && shared.claims.sealed.all().is_empty() {
        return;
    }
    while !give_in_time(shared, started, longest).await {
        if passed_since(started) >= longest || nobody_is_left(shared).await {
            return until_released_at_last(shared, started, longest).await;
        }
        due = passed_since(started) + HANDOVER_PAUSE;
        if until_released(shared, started, due.min(longest)).await {
            return;
        }
    }
}

/// [`give_to_holders`], until `longest` has passed since `started` at most.
async fn give_in_time(shared: &Shared, started: Instant, longest: Duration) -> bool {
    let left = longest.saturating_sub(passed_since(started));
    tokio::time::timeout(left, give_to_holders(shared, started)).await.unwrap_or(false)
}

/// Whether there is no other daemon that could take over.
async fn nobody_is_left(shared: &Shared) -> bool {
    matches!(shared.control.witness_duty().await, None | Some(WitnessDuty::NoSuccessor { .. }))
}

/// Retires as a witness and has other daemons hold what this one remembers, whoever takes the shards over later. False where others can still take them over by
/// the store, and where too few could hold it.
async fn give_to_holders(shared: &Shared, started: Instant) -> bool {
    let Some(Retirement { memories, mut holders }) = shared.control.retire().await else { return false };
    let wanted = HOLDERS.min(holders.len());
    if wanted == 0 {
        return false;
    }
    holders.shuffle(&mut rand::rng());
    holders.truncate(ASKED_TO_HOLD);
    let given = holders.iter().map(|holder| give_all(shared, *holder, &memories));
    let holding = join_all(given).await.into_iter().filter(|holds| *holds).count();
    if holding < wanted {
        return false;
    }
    let (shards, after_ms) = (memories.len(), passed_since(started).as_millis());
    info!(shards = shards, holders = holding, after_ms = after_ms; "other daemons hold what this one remembers of its shards");
    true
}

async fn give_all(shared: &Shared, holder: Address, memories: &[SealedMemory]) -> bool {
    for memory in memories {
        let request = ControlRequest::HoldSealed(memory.clone());
        if ask_holder(&shared.pool, holder, request).await != Some(ControlReply::Done) {
            return false;
        }
    }
    true
}

/// Waits until others have taken over, with what comes of it in the log.
async fn until_released_at_last(shared: &Shared, started: Instant, longest: Duration) {
    let why = match duty_at(shared, started, longest).await {
        Some(WitnessDuty::Released) => return,
        Some(WitnessDuty::Held { shards }) => format!("{shards} of its shards have no other witness in time"),
        Some(WitnessDuty::NoSuccessor { shards }) => {
            format!("nobody else is left to witness {shards} shards")
        }
        None => "the control thread is held up".to_owned(),
    };
    warn!(why = why.as_str(); "the daemon ends before others have taken over its shards");
}

/// Whether others have taken over within `longest`: two daemons that end with what they remember leave a shard that grants nothing until no request of
/// before lives any more.
async fn until_released(shared: &Shared, started: Instant, longest: Duration) -> bool {
    matches!(duty_at(shared, started, longest).await, Some(WitnessDuty::Released))
}

/// What this daemon still owes as a witness, once that is nothing, can't be handed over, or `longest` has passed since `started`.
async fn duty_at(shared: &Shared, started: Instant, longest: Duration) -> Option<WitnessDuty> {
    let mut held = 0;
    loop {
        match shared.control.witness_duty().await? {
            WitnessDuty::Held { shards } if passed_since(started) < longest => {
                held = held.max(shards);
                tokio::time::sleep(HANDOVER_POLL).await;
            }
            duty => {
                if duty == WitnessDuty::Released && held > 0 {
                    let after_ms = passed_since(started).as_millis();
                    info!(shards = held, after_ms = after_ms; "others have taken over this daemon's shards");
                }
                return Some(duty);
            }
        }
    }
}

/// Has other daemons hold the answers to this daemon's claimed calls, for repeats of them, the latest first and for at most `longest`.
pub(super) async fn hand_over_answers(shared: &Shared, longest: Duration) {
    let claims = shared.claims.records.answered();
    if claims.is_empty() {
        return;
    }
    let handing = stream::iter(claims.iter().copied())
        .map(|(key, holder)| give_answer(shared, key, holder))
        .buffer_unordered(ANSWERS_AT_A_TIME)
        .filter(|given| std::future::ready(*given))
        .count();
    let given = tokio::time::timeout(longest, handing).await;
    let given = given.unwrap_or_default();
    info!(answers = claims.len(), given = given; "answers to claimed calls handed over");
}

async fn give_answer(shared: &Shared, key: ClaimKey, holder: ClaimHolder) -> bool {
    let RecordedState::Answered(answer) = shared.claims.records.get(key, holder) else { return false };
    let own = shared.settings.advertise.peer;
    let holders = shared.claimant.answer_holders(key, own, HOLDERS);
    let request = ControlRequest::HoldRecorded { key, holder, answer };
    let given = holders.into_iter().map(|daemon| ask_holder(&shared.pool, daemon, request.clone()));
    join_all(given).await.contains(&Some(ControlReply::Done))
}
