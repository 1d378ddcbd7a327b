//! At most once: claims on idempotency keys, granted by a majority of witnesses.
//!
//! Decides whether a call that is not repeatable may be dispatched. Its sender first claims the call's key at the witnesses of
//! the key's shard. The first claim wins and is remembered for [`CLAIM_RETENTION`], which is longer than any request lives.
//!
//! It protects the promise that such a call runs at most once. Claims hold no lease: a holder that is paused and wakes up
//! later still holds its claim, and the expiry of the call stops what it sends too late. Alternatives:
//! docs/DESIGN.md#at-most-once. The daemon's part is `seamhatchd::claims`; a model check searches it.

use crate::clock::{Instant, Microseconds, SECOND};
use crate::identity::{Address, Fingerprint, Incarnation};
use crate::wire_number::wire_number;
use speedy::{Readable, Writable};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

/// The longest life of a request; longer deadlines are cut to this. Chosen, not measured.
pub const MAX_REQUEST_LIFETIME: Microseconds = 120 * SECOND;

/// How long a witness remembers a claim: longer than a request lives, with room for its repeats. The factor is chosen.
pub const CLAIM_RETENTION: Microseconds = 4 * MAX_REQUEST_LIFETIME;

wire_number! {
    /// A digest of an idempotency key.
    pub struct ClaimKey(pub u128);
}

impl ClaimKey {
    /// The key of a text, within one service.
    #[must_use]
    pub fn of(service: &str, text: &str) -> Self {
        let joined = format!("{}:{service}:{text}", service.len());
        Self(xxhash_rust::xxh3::xxh3_128(joined.as_bytes()))
    }

    /// The shard, out of `shards`, whose witnesses decide about this key.
    #[must_use]
    pub fn shard(self, shards: usize) -> usize {
        (self.0 % shards.max(1) as u128) as usize
    }
}

wire_number! {
    /// The roster epoch of one shard; witnesses of different epochs never grant at once.
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

/// One attempt to run a call: the daemon that makes it, its incarnation, and a number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ClaimHolder {
    /// Peer address of the sending daemon.
    pub daemon: Address,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Unique within the incarnation.
    pub attempt: u64,
}

impl ClaimHolder {
    /// Stands for several attempts of which one may have won; it is never released.
    pub const CONTESTED: Self = Self {
        daemon: Address { ip: IpAddr::V4(Ipv4Addr::UNSPECIFIED), port: 0 },
        incarnation: Incarnation(0),
        attempt: 0,
    };
}

/// A granted claim as a witness remembers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Claim {
    /// What is claimed.
    pub key: ClaimKey,
    /// Digest of the claimed request, to tell a repeat from a misuse of the key.
    pub request: Fingerprint,
    /// Who won it.
    pub holder: ClaimHolder,
}

/// A witness's answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub enum ClaimReply {
    /// The claim is the claimant's.
    Granted,
    /// An earlier claim stands.
    Held(Claim),
    /// This process does not witness the shard in the epoch that was asked for.
    NotServing {
        /// The highest epoch it knows of, zero for none.
        epoch: Epoch,
    },
}

/// A seal, a claim or an installation came for an epoch that this witness doesn't serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("witness serves epoch {serving:?}, not {asked:?}; read the roster again and ask its witnesses")]
pub struct WrongEpoch {
    /// The epoch in the message.
    pub asked: Epoch,
    /// The epoch served, if any.
    pub serving: Option<Epoch>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Remembered {
    claim: Claim,
    since: Instant,
}

/// A witness of one shard. It lives in memory only: a restarted process starts
/// with [`Witness::default`], which serves no epoch and so grants nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Witness {
    epoch: Option<Epoch>,
    sealed: bool,
    retired: bool,
    claims: BTreeMap<ClaimKey, Remembered>,
}

impl Witness {
    /// The epoch that was installed last, if any.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    /// Whether claims of `epoch` are granted here.
    #[must_use]
    pub fn serves(&self, epoch: Epoch) -> bool {
        self.epoch == Some(epoch) && !self.sealed && !self.retired
    }

    /// Claims that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Decides a claim: the first one for a key wins; asking again is granted again.
    pub fn claim(&mut self, epoch: Epoch, claim: Claim, now: Instant) -> ClaimReply {
        if !self.serves(epoch) {
            return ClaimReply::NotServing { epoch: self.epoch.unwrap_or_default() };
        }
        match self.claims.get(&claim.key) {
            Some(earlier) if earlier.claim.holder != claim.holder => ClaimReply::Held(earlier.claim),
            Some(_) => ClaimReply::Granted,
            None => {
                self.claims.insert(claim.key, Remembered { claim, since: now });
                ClaimReply::Granted
            }
        }
    }

    /// Drops a claim that its holder released before any dispatch.
    pub fn release(&mut self, epoch: Epoch, key: ClaimKey, holder: ClaimHolder) {
        let held_by_asker = self.claims.get(&key).is_some_and(|earlier| earlier.claim.holder == holder);
        if self.serves(epoch) && held_by_asker {
            self.claims.remove(&key);
        }
    }

    /// Stops granting in `epoch` and earlier ones for ever. Returns the claims remembered.
    ///
    /// A witness on which `epoch` was not installed yet is sealed all the same:
    /// it will refuse the installation. One that has gone on to a later epoch
    /// grants in `epoch` no more, and remembers what it granted there.
    pub fn seal(&mut self, epoch: Epoch) -> Vec<Claim> {
        if self.epoch.is_none_or(|known| known <= epoch) {
            self.epoch = Some(epoch);
            self.sealed = true;
        }
        self.remembered()
    }

    /// Grants nothing more for ever, in whatever epoch, as its process is about to end. Returns the claims remembered: they are final, so that another daemon
    /// can hold them in its place.
    pub fn retire(&mut self) -> Vec<Claim> {
        self.retired = true;
        self.remembered()
    }

    fn remembered(&self) -> Vec<Claim> {
        self.claims.values().map(|remembered| remembered.claim).collect()
    }

    /// Starts to grant in `epoch`, with the claims of earlier epochs.
    ///
    /// A second installation of the same epoch adds claims and removes none.
    ///
    /// # Errors
    /// [`WrongEpoch`] when a later epoch, or this one's seal, came first, or the witness has retired.
    pub fn install(&mut self, epoch: Epoch, claims: Vec<Claim>, now: Instant) -> Result<(), WrongEpoch> {
        let stale = self.epoch.is_some_and(|installed| installed > epoch);
        let sealed = self.epoch == Some(epoch) && self.sealed;
        if stale || sealed || self.retired {
            return Err(WrongEpoch { asked: epoch, serving: self.epoch });
        }
        self.epoch = Some(epoch);
        self.sealed = false;
        for claim in claims {
            self.claims.entry(claim.key).or_insert(Remembered { claim, since: now });
        }
        Ok(())
    }

    /// Forgets claims older than [`CLAIM_RETENTION`].
    pub fn forget_old(&mut self, now: Instant) {
        self.claims.retain(|_, remembered| now.since(remembered.since) <= CLAIM_RETENTION);
    }
}

/// What a claimant concludes from its witnesses' replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// A majority granted it: the call may be dispatched.
    Won,
    /// A majority holds an earlier claim of one holder.
    Held(Claim),
    /// No majority either way. Nothing was dispatched; release what was granted.
    NoMajority,
}

/// One round of a claim at the witnesses of a shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimRound {
    witnesses: usize,
    granted: usize,
    refused: usize,
    held: Vec<Claim>,
}

impl ClaimRound {
    /// A round that asks this many witnesses.
    #[must_use]
    pub fn new(witnesses: usize) -> Self {
        Self { witnesses, granted: 0, refused: 0, held: Vec::new() }
    }

    /// Records one witness's reply; `None` for an answer that will not come.
    pub fn reply(&mut self, reply: Option<ClaimReply>) {
        match reply {
            Some(ClaimReply::Granted) => self.granted += 1,
            Some(ClaimReply::Held(claim)) => self.held.push(claim),
            Some(ClaimReply::NotServing { .. }) | None => self.refused += 1,
        }
    }

    /// The verdict, once the replies so far decide it.
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
