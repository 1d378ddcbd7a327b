//! Claiming the key of a call that may not be repeated, before it is dispatched.

use crate::controllers::ask_daemon;
use crate::shared::Shared;
use crate::snapshot::ShardView;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use seamhatch_core::claims::{Claim, ClaimHolder, ClaimKey, ClaimReply, ClaimRound, ClaimVerdict, Epoch};
use seamhatch_core::identity::Fingerprint;
use seamhatch_core::outcome::Reason;
use seamhatch_core::roster::WitnessId;
use seamhatch_wire::{ControlReply, ControlRequest, PeerMessage, RecordedAnswer, RecordedState};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Longest wait for the witnesses.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Rounds that are tried while a shard changes its witnesses.
const MOST_ROUNDS: u32 = 4;
/// Pause between two rounds, multiplied by the number of rounds so far.
const ROUND_PAUSE: Duration = Duration::from_millis(60);

/// Why a call may not be dispatched.
#[derive(Debug)]
pub enum ClaimRefused {
    /// The key was used with another request.
    KeyMismatch,
    /// Nothing was or will be dispatched for this attempt; whether an earlier one
    /// with the same key was is not known.
    Undecided(Reason),
    /// An earlier attempt of the same request holds the key; its answer, if known.
    Duplicate(Option<RecordedAnswer>),
}

/// A claim that was won. Dropping it before [`Claimed::dispatched`] gives it up.
#[derive(Debug)]
pub struct Claimed {
    shared: Arc<Shared>,
    key: ClaimKey,
    holder: ClaimHolder,
    shard: u32,
    epoch: Epoch,
    witnesses: Vec<WitnessId>,
    may_have_run: bool,
}

impl Claimed {
    /// The call is about to be sent: from now on it may run.
    pub fn dispatched(&mut self) {
        self.may_have_run = true;
    }

    /// The call was proven not run after all.
    pub fn not_run(&mut self) {
        self.may_have_run = false;
    }

    /// The call was answered.
    pub fn answered(&self, answer: RecordedAnswer) {
        self.shared.claims.records.set(self.key, self.holder, RecordedState::Answered(answer));
    }
}

impl Drop for Claimed {
    fn drop(&mut self) {
        if self.may_have_run {
            return;
        }
        self.shared.claims.records.set(self.key, self.holder, RecordedState::GivenUp);
        let release = PeerMessage::ReleaseClaim {
            shard: self.shard,
            epoch: self.epoch,
            key: self.key,
            holder: self.holder,
        };
        send_to_witnesses(&self.shared, &self.witnesses, &release);
    }
}

fn send_to_witnesses(shared: &Shared, witnesses: &[WitnessId], message: &PeerMessage) {
    for witness in witnesses {
        if let Some(connection) = shared.pool.existing(witness.daemon) {
            connection.send(message.clone());
        }
    }
}

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// Claims `key` for a request with this digest.
///
/// # Errors
/// [`ClaimRefused`]; the call must not be dispatched then.
pub async fn claim(
    shared: &Arc<Shared>,
    key: ClaimKey,
    request: Fingerprint,
) -> Result<Claimed, ClaimRefused> {
    let first = claim_in_rounds(shared, key, request).await;
    let Err(TryError::Held(held)) = first else { return first.map_err(TryError::into_refusal) };
    if held.request != request {
        return Err(ClaimRefused::KeyMismatch);
    }
    match ask_holder(shared, &held).await {
        RecordedState::Answered(answer) => Err(ClaimRefused::Duplicate(Some(answer))),
        RecordedState::Undecided | RecordedState::Forgotten => Err(ClaimRefused::Duplicate(None)),
        RecordedState::GivenUp => {
            release_for(shared, &held);
            try_claim(shared, key, request).await.map_err(TryError::into_refusal)
        }
    }
}

/// Tries again while there is no majority: a shard that changes its witnesses
/// grants nothing for a moment.
async fn claim_in_rounds(
    shared: &Arc<Shared>,
    key: ClaimKey,
    request: Fingerprint,
) -> Result<Claimed, TryError> {
    let mut round = 1;
    loop {
        match try_claim(shared, key, request).await {
            Err(TryError::NoMajority) if round < MOST_ROUNDS => {
                tokio::time::sleep(ROUND_PAUSE * round).await;
                round += 1;
            }
            other => return other,
        }
    }
}

enum TryError {
    Held(Claim),
    NoMajority,
}

impl TryError {
    fn into_refusal(self) -> ClaimRefused {
        match self {
            Self::Held(_) => ClaimRefused::Duplicate(None),
            Self::NoMajority => ClaimRefused::Undecided(Reason::NoClaimMajority),
        }
    }
}

async fn try_claim(shared: &Arc<Shared>, key: ClaimKey, request: Fingerprint) -> Result<Claimed, TryError> {
    let snapshot = shared.snapshot();
    let view: ShardView<'_> = snapshot.shard_of(key).ok_or(TryError::NoMajority)?;
    let holder = ClaimHolder {
        daemon: shared.settings.advertise.peer,
        incarnation: shared.incarnation,
        attempt: NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed),
    };
    let claim = Claim { key, request, holder };
    shared.claims.records.begin(key, holder);
    // Made first: whatever is granted from here on is given up unless the round is won.
    let claimed = Claimed {
        shared: shared.clone(),
        key,
        holder,
        shard: view.shard,
        epoch: view.epoch,
        witnesses: view.witnesses.to_vec(),
        may_have_run: false,
    };
    match ask_witnesses(shared, &view, claim).await {
        ClaimVerdict::Won => Ok(claimed),
        ClaimVerdict::Held(held) => Err(TryError::Held(held)),
        ClaimVerdict::NoMajority => {
            shared.control.check_roster();
            Err(TryError::NoMajority)
        }
    }
}

async fn ask_witnesses(shared: &Arc<Shared>, view: &ShardView<'_>, claim: Claim) -> ClaimVerdict {
    let mut round = ClaimRound::new(view.witnesses.len());
    let mut replies: FuturesUnordered<_> = view
        .witnesses
        .iter()
        .map(|witness| ask_witness(shared, *witness, view.shard, view.epoch, claim))
        .collect();
    while let Some(reply) = replies.next().await {
        round.reply(reply);
        if let Some(verdict) = round.verdict() {
            return verdict;
        }
    }
    ClaimVerdict::NoMajority
}

async fn ask_witness(
    shared: &Arc<Shared>,
    witness: WitnessId,
    shard: u32,
    epoch: Epoch,
    claim: Claim,
) -> Option<ClaimReply> {
    let asking = async {
        let connection = shared.pool.get_witness(shared, witness).await?;
        connection.claim(shard, epoch, claim).await
    };
    tokio::time::timeout(CLAIM_TIMEOUT, asking).await.ok().flatten()
}

async fn ask_holder(shared: &Arc<Shared>, held: &Claim) -> RecordedState {
    let request = ControlRequest::GetRecorded { key: held.key, holder: held.holder };
    let reply = ask_daemon(shared, held.holder.daemon, request).await;
    match reply {
        Some(ControlReply::Recorded(state)) => state,
        _ => RecordedState::Forgotten,
    }
}

/// Releases a claim whose holder said that it gave it up; the holder's own release may be lost.
fn release_for(shared: &Arc<Shared>, held: &Claim) {
    let snapshot = shared.snapshot();
    let Some(view) = snapshot.shard_of(held.key) else { return };
    let release = PeerMessage::ReleaseClaim {
        shard: view.shard,
        epoch: view.epoch,
        key: held.key,
        holder: held.holder,
    };
    send_to_witnesses(shared, view.witnesses, &release);
}
