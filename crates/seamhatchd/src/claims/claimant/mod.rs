//! Claiming the key of a call that is not repeatable, before it is dispatched.
//!
//! A claim is won when a majority of the witnesses of the key's shard grants it; when another attempt holds the key, this one
//! is a duplicate, whose answer is asked for as [`answers`] says. Owns the numbers of this daemon's attempts. Relies on the
//! published roster for the witnesses and on the pool for connections. Used by dispatch.

mod answers;

use super::ClaimState;
use crate::control::ControlHandle;
use crate::peer::PeerPool;
use crate::snapshot::{ShardView, Snapshot};
use arc_swap::ArcSwap;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use seamhatch_core::claims::{Claim, ClaimHolder, ClaimKey, ClaimReply, ClaimRound, ClaimVerdict, Epoch};
use seamhatch_core::identity::{Address, Fingerprint, Incarnation};
use seamhatch_core::outcome::Reason;
use seamhatch_core::roster::WitnessId;
use seamhatch_wire::{PeerMessage, RecordedAnswer, RecordedState};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Longest wait for a witness, the connection to it included.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Rounds that are tried while a shard changes its witnesses. With the pauses between them a claim lasts through 0.36 s
/// of that.
const MOST_ROUNDS: u32 = 4;
/// Pause after the first round; after the second it is twice as long, and so on.
const ROUND_PAUSE: Duration = Duration::from_millis(60);

/// Why a call may not be dispatched.
#[derive(Debug)]
pub enum ClaimRefused {
    /// The key was used with another request.
    KeyMismatch,
    /// Nothing was or will be dispatched for this attempt; whether an earlier one with the same key was is not known.
    Undecided(Reason),
    /// An earlier attempt of the same request holds the key; its answer, if known.
    Duplicate(Option<RecordedAnswer>),
}

/// Makes the claims of this daemon's calls.
#[derive(Debug)]
pub struct Claimant {
    daemon: Address,
    incarnation: Incarnation,
    claims: Arc<ClaimState>,
    pool: Arc<PeerPool>,
    published: Arc<ArcSwap<Snapshot>>,
    control: ControlHandle,
    next_attempt: AtomicU64,
}

/// A claim that was won. Dropping it before [`Claimed::dispatched`] gives it up.
#[derive(Debug)]
pub struct Claimed {
    claimant: Arc<Claimant>,
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
        self.claimant.claims.records.set(self.key, self.holder, RecordedState::Answered(answer));
    }
}

impl Drop for Claimed {
    fn drop(&mut self) {
        if self.may_have_run {
            return;
        }
        self.claimant.claims.records.set(self.key, self.holder, RecordedState::GivenUp);
        let release = PeerMessage::ReleaseClaim {
            shard: self.shard,
            epoch: self.epoch,
            key: self.key,
            holder: self.holder,
        };
        self.claimant.send_to_witnesses(&self.witnesses, &release);
    }
}

/// Why a round was not won.
enum RoundError {
    Held(Claim),
    NoMajority,
}

impl RoundError {
    fn into_refusal(self) -> ClaimRefused {
        match self {
            Self::Held(_) => ClaimRefused::Duplicate(None),
            Self::NoMajority => ClaimRefused::Undecided(Reason::NoClaimMajority),
        }
    }
}

impl Claimant {
    /// Makes claims as `daemon` in this incarnation.
    #[must_use]
    pub fn new(
        daemon: Address,
        incarnation: Incarnation,
        claims: Arc<ClaimState>,
        pool: Arc<PeerPool>,
        published: Arc<ArcSwap<Snapshot>>,
        control: ControlHandle,
    ) -> Arc<Self> {
        let next_attempt = AtomicU64::new(1);
        Arc::new(Self { daemon, incarnation, claims, pool, published, control, next_attempt })
    }

    /// Claims `key` for a request with this fingerprint.
    ///
    /// # Errors
    /// [`ClaimRefused`]; the call must not be dispatched then.
    pub async fn claim(
        self: &Arc<Self>,
        key: ClaimKey,
        request: Fingerprint,
    ) -> Result<Claimed, ClaimRefused> {
        let first = self.claim_in_rounds(key, request).await;
        let Err(RoundError::Held(held)) = first else { return first.map_err(RoundError::into_refusal) };
        if held.request != request {
            return Err(ClaimRefused::KeyMismatch);
        }
        match self.ask_holder(&held).await {
            RecordedState::Answered(answer) => Err(ClaimRefused::Duplicate(Some(answer))),
            RecordedState::Undecided | RecordedState::Forgotten => Err(ClaimRefused::Duplicate(None)),
            RecordedState::GivenUp => {
                self.release_for(&held);
                self.claim_in_round(key, request).await.map_err(RoundError::into_refusal)
            }
        }
    }

    /// Tries again while there is no majority: a shard that changes its witnesses grants nothing for a moment.
    async fn claim_in_rounds(
        self: &Arc<Self>,
        key: ClaimKey,
        request: Fingerprint,
    ) -> Result<Claimed, RoundError> {
        let mut round = 1;
        loop {
            match self.claim_in_round(key, request).await {
                Err(RoundError::NoMajority) if round < MOST_ROUNDS => {
                    tokio::time::sleep(ROUND_PAUSE * round).await;
                    round += 1;
                }
                other => return other,
            }
        }
    }

    /// Asks all witnesses once, as an attempt of its own.
    async fn claim_in_round(
        self: &Arc<Self>,
        key: ClaimKey,
        request: Fingerprint,
    ) -> Result<Claimed, RoundError> {
        let snapshot = self.published.load();
        let view = snapshot.shard_of(key).ok_or(RoundError::NoMajority)?;
        let holder = self.new_holder();
        let claim = Claim { key, request, holder };
        self.claims.records.begin(key, holder);
        // Made before the witnesses are asked: dropping it gives up whatever they grant, unless the round is won.
        let claimed = Claimed {
            claimant: self.clone(),
            key,
            holder,
            shard: view.shard,
            epoch: view.epoch,
            witnesses: view.witnesses.to_vec(),
            may_have_run: false,
        };
        let (verdict, ahead) = self.ask_witnesses(&view, claim).await;
        match verdict {
            ClaimVerdict::Won => Ok(claimed),
            ClaimVerdict::Held(held) => Err(RoundError::Held(held)),
            ClaimVerdict::NoMajority => {
                self.control.check_roster(ahead);
                Err(RoundError::NoMajority)
            }
        }
    }

    fn new_holder(&self) -> ClaimHolder {
        ClaimHolder {
            daemon: self.daemon,
            incarnation: self.incarnation,
            attempt: self.next_attempt.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Asks all witnesses at once; done as soon as their replies decide. Also returns a witness that knows a later epoch.
    async fn ask_witnesses(
        self: &Arc<Self>,
        view: &ShardView<'_>,
        claim: Claim,
    ) -> (ClaimVerdict, Option<Address>) {
        let mut round = ClaimRound::new(view.witnesses.len());
        let mut ahead = None;
        let ask = async |witness: WitnessId| {
            (witness.daemon, self.ask_witness(witness, view.shard, view.epoch, claim).await)
        };
        let mut replies: FuturesUnordered<_> = view.witnesses.iter().copied().map(ask).collect();
        while let Some((daemon, reply)) = replies.next().await {
            if matches!(reply, Some(ClaimReply::NotServing { epoch }) if epoch > view.epoch) {
                ahead = Some(daemon);
            }
            round.reply(reply);
            if let Some(verdict) = round.verdict() {
                return (verdict, ahead);
            }
        }
        (ClaimVerdict::NoMajority, ahead)
    }

    /// A witness's reply; none when it can't be reached or doesn't answer in time, which the round counts.
    async fn ask_witness(
        &self,
        witness: WitnessId,
        shard: u32,
        epoch: Epoch,
        claim: Claim,
    ) -> Option<ClaimReply> {
        let asking = async {
            let connection = self.pool.get_witness(witness).await?;
            connection.claim(shard, epoch, claim).await
        };
        tokio::time::timeout(CLAIM_TIMEOUT, asking).await.ok().flatten()
    }

    /// Releases a claim whose holder said that it gave it up, as the holder's own release may be lost.
    fn release_for(&self, held: &Claim) {
        let snapshot = self.published.load();
        let Some(view) = snapshot.shard_of(held.key) else { return };
        let release = PeerMessage::ReleaseClaim {
            shard: view.shard,
            epoch: view.epoch,
            key: held.key,
            holder: held.holder,
        };
        self.send_to_witnesses(view.witnesses, &release);
    }

    /// Sends a message to the witnesses that this daemon is connected to.
    fn send_to_witnesses(&self, witnesses: &[WitnessId], message: &PeerMessage) {
        for witness in witnesses {
            if let Some(connection) = self.pool.existing(witness.daemon) {
                connection.send(message.clone());
            }
        }
    }
}
