//! Claims the key of a non-repeatable call before the call is dispatched.
//!
//! A claim is won when a majority of the witnesses of the key's shard grants it. If another attempt holds the key, this one is a
//! duplicate, and [`answers`] looks up the answer of the earlier attempt. This module owns the attempt numbers of the daemon; it takes
//! the witnesses from the published roster and connections from the pool. Dispatch is its only user.

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

/// Timeout for the reply of a witness, including the time to connect to it.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of rounds while a shard changes its witnesses. The pauses add up to 0.36 s, so a claim succeeds if
/// the change takes no longer than that.
const MAX_ROUNDS: u32 = 4;
/// Pause after the first round; it grows linearly, so it is twice as long after the second round.
const ROUND_PAUSE: Duration = Duration::from_millis(60);

/// Why a call may not be dispatched.
#[derive(Debug)]
pub enum ClaimRefused {
    /// The key was used with another request.
    KeyMismatch,
    /// Nothing was or will be dispatched for this attempt. Whether an earlier attempt with the same key was dispatched is unknown.
    Undecided(Reason),
    /// An earlier attempt of the same request holds the key. Contains its answer, if known.
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

/// A claim that was won. Dropping it before [`Claimed::dispatched`] releases the claim.
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
    /// Marks the call as about to be sent: from now on it may run.
    pub fn dispatched(&mut self) {
        self.may_have_run = true;
    }

    /// Marks the call as proven not to have run.
    pub fn not_run(&mut self) {
        self.may_have_run = false;
    }

    /// Records the answer to the call.
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
    /// A claimant for `daemon` in this incarnation.
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

    /// Retries while there is no majority: a shard grants no claims while it changes its witnesses.
    async fn claim_in_rounds(
        self: &Arc<Self>,
        key: ClaimKey,
        request: Fingerprint,
    ) -> Result<Claimed, RoundError> {
        let mut round = 1;
        loop {
            match self.claim_in_round(key, request).await {
                Err(RoundError::NoMajority) if round < MAX_ROUNDS => {
                    tokio::time::sleep(ROUND_PAUSE * round).await;
                    round += 1;
                }
                other => return other,
            }
        }
    }

    /// Asks all witnesses once, under a new attempt number.
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
        // Created before the witnesses are asked, so that dropping it releases whatever they grant unless the round is won.
        let claimed = Claimed {
            claimant: self.clone(),
            key,
            holder,
            shard: view.shard,
            epoch: view.epoch,
            witnesses: view.witnesses.to_vec(),
            may_have_run: false,
        };
        let (verdict, newer_witness) = self.ask_witnesses(&view, claim).await;
        match verdict {
            ClaimVerdict::Won => Ok(claimed),
            ClaimVerdict::Held(held) => Err(RoundError::Held(held)),
            ClaimVerdict::NoMajority => {
                self.control.check_roster(newer_witness);
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

    /// Asks all witnesses concurrently and returns as soon as their replies decide the round. Also returns a witness that knows a
    /// later epoch.
    async fn ask_witnesses(
        self: &Arc<Self>,
        view: &ShardView<'_>,
        claim: Claim,
    ) -> (ClaimVerdict, Option<Address>) {
        let mut round = ClaimRound::new(view.witnesses.len());
        let mut newer_witness = None;
        let ask = async |witness: WitnessId| {
            (witness.daemon, self.ask_witness(witness, view.shard, view.epoch, claim).await)
        };
        let mut replies: FuturesUnordered<_> = view.witnesses.iter().copied().map(ask).collect();
        while let Some((daemon, reply)) = replies.next().await {
            if matches!(reply, Some(ClaimReply::NotServing { epoch }) if epoch > view.epoch) {
                newer_witness = Some(daemon);
            }
            round.reply(reply);
            if let Some(verdict) = round.verdict() {
                return (verdict, newer_witness);
            }
        }
        (ClaimVerdict::NoMajority, newer_witness)
    }

    /// The reply of a witness; `None` when it can't be reached or doesn't answer in time, which the round counts.
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

    /// Releases a claim that its holder reports as given up, since the release message of the holder may be lost.
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

    /// Sends a message to those witnesses to which a connection exists.
    fn send_to_witnesses(&self, witnesses: &[WitnessId], message: &PeerMessage) {
        for witness in witnesses {
            if let Some(connection) = self.pool.existing(witness.daemon) {
                connection.send(message.clone());
            }
        }
    }
}
