//! At-most-once execution: claims on idempotency keys, granted by a majority of witnesses.
//!
//! A call that is not repeatable may be dispatched only after its sender has claimed the call's key at the witnesses
//! of the key's shard. The first claim wins and is remembered for [`CLAIM_RETENTION`], which is longer than any
//! request lives.
//!
//! Such a call therefore runs at most once. A claim is not a lease: a holder that is paused and wakes up later still
//! holds its claim, and the expiry of the call stops what it sends too late. Alternatives:
//! docs/DESIGN.md#at-most-once. The daemon uses this in `seamhatchd::claims`; a model check covers it.

use crate::clock::{Instant, Microseconds, SECOND};
use crate::identity::{Address, Fingerprint, Incarnation};
use crate::wire_number::wire_number;
use speedy::{Readable, Writable};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

/// Maximum lifetime of a request; longer deadlines are cut to this.
pub const MAX_REQUEST_LIFETIME: Microseconds = 120 * SECOND;

/// How long a witness remembers a claim: longer than a request lives, with room for its repeats.
pub const CLAIM_RETENTION: Microseconds = 4 * MAX_REQUEST_LIFETIME;

wire_number! {
    /// Digest of an idempotency key.
    pub struct ClaimKey(pub u128);
}

impl ClaimKey {
    /// The key of a text within one service.
    #[must_use]
    pub fn of(service: &str, text: &str) -> Self {
        let joined = format!("{}:{service}:{text}", service.len());
        Self(xxhash_rust::xxh3::xxh3_128(joined.as_bytes()))
    }

    /// The shard, out of `shards`, whose witnesses decide claims on this key.
    #[must_use]
    pub fn shard(self, shards: usize) -> usize {
        (self.0 % shards.max(1) as u128) as usize
    }
}

wire_number! {
    /// Epoch of the witnesses of one shard. Witnesses of different epochs never grant claims at the same time.
    #[derive(Default)]
    pub struct Epoch(pub u64);
}

impl Epoch {
    /// The epoch after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// One attempt to run a call, identified by the sending daemon, its incarnation and a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ClaimHolder {
    /// Peer address of the sending daemon.
    pub daemon: Address,
    /// Incarnation of the sending daemon.
    pub incarnation: Incarnation,
    /// Number of the attempt, unique within the incarnation.
    pub attempt: u64,
}

impl ClaimHolder {
    /// Stands for several attempts, one of which may have won. Never released.
    pub const CONTESTED: Self = Self {
        daemon: Address { ip: IpAddr::V4(Ipv4Addr::UNSPECIFIED), port: 0 },
        incarnation: Incarnation(0),
        attempt: 0,
    };
}

/// A granted claim as a witness remembers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Claim {
    /// Claimed key.
    pub key: ClaimKey,
    /// Digest of the request, which tells a repeat from a reuse of the key for another request.
    pub request: Fingerprint,
    /// Attempt that holds the claim.
    pub holder: ClaimHolder,
}

/// Reply of a witness to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub enum ClaimReply {
    /// The claimant holds the claim.
    Granted,
    /// Another attempt holds an earlier claim on the key.
    Held(Claim),
    /// The witness does not serve the shard in the epoch of the request.
    NotServing {
        /// Highest epoch that the witness knows of, zero for none.
        epoch: Epoch,
    },
}

/// A message refers to an epoch that the witness does not serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("witness serves epoch {serving:?}, not {asked:?}; read the roster again and ask its witnesses")]
pub struct WrongEpoch {
    /// Epoch in the message.
    pub asked: Epoch,
    /// Epoch of the witness, if any.
    pub serving: Option<Epoch>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct StoredClaim {
    claim: Claim,
    since: Instant,
}

/// A witness of one shard. Its state is in memory only: after a restart it is [`Witness::default`], which serves no
/// epoch and grants nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Witness {
    epoch: Option<Epoch>,
    sealed: bool,
    retired: bool,
    claims: BTreeMap<ClaimKey, StoredClaim>,
}

impl Witness {
    /// The epoch that was installed or sealed last, if any.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    /// Whether this witness grants claims in `epoch`.
    #[must_use]
    pub fn serves(&self, epoch: Epoch) -> bool {
        self.epoch == Some(epoch) && !self.sealed && !self.retired
    }

    /// Number of remembered claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Decides a claim: the first one on a key wins, and a repeat by the same holder is granted again.
    pub fn claim(&mut self, epoch: Epoch, claim: Claim, now: Instant) -> ClaimReply {
        if !self.serves(epoch) {
            return ClaimReply::NotServing { epoch: self.epoch.unwrap_or_default() };
        }
        match self.claims.get(&claim.key) {
            Some(earlier) if earlier.claim.holder != claim.holder => ClaimReply::Held(earlier.claim),
            Some(_) => ClaimReply::Granted,
            None => {
                self.claims.insert(claim.key, StoredClaim { claim, since: now });
                ClaimReply::Granted
            }
        }
    }

    /// Removes a claim that its holder releases before any dispatch.
    pub fn release(&mut self, epoch: Epoch, key: ClaimKey, holder: ClaimHolder) {
        let is_holder = self.claims.get(&key).is_some_and(|earlier| earlier.claim.holder == holder);
        if self.serves(epoch) && is_holder {
            self.claims.remove(&key);
        }
    }

    /// Permanently stops granting in `epoch` and earlier ones. Returns the remembered claims.
    ///
    /// A witness on which `epoch` is not installed yet is sealed too, and will refuse the installation. One that has
    /// moved on to a later epoch no longer grants in `epoch`, and remembers what it granted there.
    pub fn seal(&mut self, epoch: Epoch) -> Vec<Claim> {
        if self.epoch.is_none_or(|known| known <= epoch) {
            self.epoch = Some(epoch);
            self.sealed = true;
        }
        self.remembered()
    }

    /// Permanently stops granting in any epoch, as the process is about to end. Returns the remembered claims: they
    /// are final, so another daemon can take them over.
    pub fn retire(&mut self) -> Vec<Claim> {
        self.retired = true;
        self.remembered()
    }

    fn remembered(&self) -> Vec<Claim> {
        self.claims.values().map(|remembered| remembered.claim).collect()
    }

    /// Starts to grant in `epoch`, with the claims of earlier epochs.
    ///
    /// Installing the same epoch again adds claims and removes none.
    ///
    /// # Errors
    /// [`WrongEpoch`] if a later epoch or the seal of this one came first, or if the witness is retired.
    pub fn install(&mut self, epoch: Epoch, claims: Vec<Claim>, now: Instant) -> Result<(), WrongEpoch> {
        let stale = self.epoch.is_some_and(|installed| installed > epoch);
        let sealed = self.epoch == Some(epoch) && self.sealed;
        if stale || sealed || self.retired {
            return Err(WrongEpoch { asked: epoch, serving: self.epoch });
        }
        self.epoch = Some(epoch);
        self.sealed = false;
        for claim in claims {
            self.claims.entry(claim.key).or_insert(StoredClaim { claim, since: now });
        }
        Ok(())
    }

    /// Evicts claims older than [`CLAIM_RETENTION`].
    pub fn forget_old(&mut self, now: Instant) {
        self.claims.retain(|_, remembered| now.since(remembered.since) <= CLAIM_RETENTION);
    }
}

/// What a claimant concludes from the replies of the witnesses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// A majority granted the claim: the call may be dispatched.
    Won,
    /// A majority reported an earlier claim, all with one and the same holder.
    Held(Claim),
    /// No majority either way. Nothing was dispatched; granted claims must be released.
    NoMajority,
}

/// One round of a claim: the replies of a shard's witnesses.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimRound {
    witnesses: usize,
    granted: usize,
    refused: usize,
    held: Vec<Claim>,
}

impl ClaimRound {
    /// Starts a round with this many witnesses.
    #[must_use]
    pub fn new(witnesses: usize) -> Self {
        Self { witnesses, granted: 0, refused: 0, held: Vec::new() }
    }

    /// Records the reply of one witness; `None` if it will not reply.
    pub fn reply(&mut self, reply: Option<ClaimReply>) {
        match reply {
            Some(ClaimReply::Granted) => self.granted += 1,
            Some(ClaimReply::Held(claim)) => self.held.push(claim),
            Some(ClaimReply::NotServing { .. }) | None => self.refused += 1,
        }
    }

    /// The verdict, once the replies decide it.
    #[must_use]
    pub fn verdict(&self) -> Option<ClaimVerdict> {
        let majority = self.witnesses / 2 + 1;
        if self.granted >= majority {
            return Some(ClaimVerdict::Won);
        }
        if let Some(claim) = self.held_by_majority(majority) {
            return Some(ClaimVerdict::Held(claim));
        }
        let replies = self.granted + self.refused + self.held.len();
        (replies >= self.witnesses).then_some(ClaimVerdict::NoMajority)
    }

    fn held_by_majority(&self, majority: usize) -> Option<Claim> {
        self.held
            .iter()
            .find(|claim| {
                let same = self.held.iter().filter(|other| other.holder == claim.holder);
                same.count() >= majority
            })
            .copied()
    }
}
