//! Witness roster: which daemons witness which shard of the claims, and how assignments change.
//!
//! Chooses the witnesses of each shard from the live members, and decides when a change may proceed, so that two sets
//! of witnesses never grant claims of a shard at the same time. Alternatives: docs/DESIGN.md#at-most-once. The
//! controllers of the daemon call it.
//!
//! The roster is stored in the platform's key-value service and changed by compare-and-swap. Moving a shard from
//! epoch `e` to `e + 1` takes these steps: write the new assignment; seal `e` at enough of its witnesses to intersect
//! every majority; take the union of their claims; install it at a majority of the new witnesses. Any daemon may
//! carry out or repeat these steps. Epochs whose installation is not confirmed stay listed in `previous` and are
//! sealed too.

use crate::claims::{Claim, ClaimHolder, ClaimKey, Epoch};
use crate::clock::{Instant, Microseconds};
use crate::identity::{Address, Incarnation};
use crate::rendezvous;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// Number of claim shards.
pub const SHARDS: usize = 16;

/// Shard whose witnesses also hold the newest accepted configuration.
pub const CONFIGURATION_SHARD: usize = 0;

/// Witnesses per shard. A shard keeps working without one of them.
pub const WITNESSES: usize = 3;

/// How long a shard whose claims may be lost waits before it starts empty: no request that held a claim in it is
/// alive by then.
pub const SHARD_RESTART_WAIT: Microseconds = crate::claims::MAX_REQUEST_LIFETIME;

/// One incarnation of a daemon as a witness.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct WitnessId {
    /// Peer address of the daemon.
    pub daemon: Address,
    /// Incarnation of the daemon. A restarted daemon is a different witness.
    pub incarnation: Incarnation,
}

/// The witnesses of one shard in one epoch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct Assignment {
    /// Epoch of this assignment.
    pub epoch: Epoch,
    /// [`WITNESSES`] daemons, or fewer in a small deployment and while most daemons are down.
    pub witnesses: Vec<WitnessId>,
}

impl Assignment {
    /// Smallest number of witnesses to seal so that the rest are no majority, and so that every claim granted by a
    /// majority is known to one of the sealed ones.
    fn seal_quorum(&self) -> usize {
        let majority = self.witnesses.len() / 2 + 1;
        self.witnesses.len() + 1 - majority
    }
}

/// Assignments of one shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct ShardRoster {
    /// The assignment in force, or the one that will be once it is installed.
    pub current: Assignment,
    /// Assignments that must be sealed first: the last confirmed one and the unconfirmed ones after it.
    pub previous: Vec<Assignment>,
}

impl ShardRoster {
    /// Whether other daemons have taken over the claims of `witness`, so that its process may end: the witness is no
    /// longer listed, and this roster is not older than `installed`, the last epoch that was installed at it.
    ///
    /// A seal is not enough: the coordinator that has collected the claims may end before it has installed them.
    #[must_use]
    pub fn has_released(&self, witness: &WitnessId, installed: Option<Epoch>) -> bool {
        let mut assignments = self.previous.iter().chain([&self.current]);
        let is_listed = assignments.any(|assignment| assignment.witnesses.contains(witness));
        !is_listed && installed.is_none_or(|epoch| epoch <= self.current.epoch)
    }
}

/// What a stopping daemon still has to hand over as a witness. Its graceful shutdown waits for that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WitnessDuty {
    /// Other daemons have taken over all shards.
    Released,
    /// Other daemons have yet to take over some shards.
    Held {
        /// Number of these shards.
        shards: usize,
    },
    /// As [`Self::Held`], and no other daemon could take them over.
    NoSuccessor {
        /// Number of these shards.
        shards: usize,
    },
}

/// Assignments of all shards.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Readable, Writable, Serialize, Deserialize,
)]
pub struct Roster {
    /// Grows with each change; the first roster has version 1.
    pub version: u64,
    /// [`SHARDS`] entries.
    pub shards: Vec<ShardRoster>,
}

/// A daemon that could be a witness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WitnessCandidate {
    /// Identity of the daemon.
    pub id: WitnessId,
    /// Zone of the daemon. The witnesses of a shard are spread over zones.
    pub zone: String,
    /// The daemon takes work. One that is still starting is chosen only if there are too few others.
    pub ready: bool,
}

/// What is known about a witness of the current roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WitnessHealth {
    /// A live member.
    Live,
    /// Shutting down gracefully, and waiting for others to take over.
    Leaving,
    /// Not answering or presumed dead. To be replaced, though it may still be running.
    Unreachable,
    /// Its memory is gone: a later incarnation was seen at its address, or its machine was removed from the platform's
    /// list and its member record is dead or missing.
    Ended,
    /// Nothing is known about it, as this daemon has just started.
    Unknown,
}

/// The assignments that should follow `shard`, or `None` if nothing is to change.
///
/// Live witnesses stay. A leaving one is replaced, or dropped if no daemon can take its place, so that it may end.
/// Nothing changes while one of them is [`WitnessHealth::Unknown`]: a daemon that has just started would put itself
/// in the place of all others. `confirmed` says that the current epoch is known to be installed at a majority, so
/// that earlier ones need no sealing any more.
#[must_use]
pub fn plan_change(
    index: usize,
    shard: &ShardRoster,
    confirmed: bool,
    health: impl Fn(&WitnessId) -> WitnessHealth,
    candidates: &[WitnessCandidate],
) -> Option<ShardRoster> {
    let current = &shard.current;
    if current.witnesses.iter().any(|id| health(id) == WitnessHealth::Unknown) {
        return None;
    }
    let live: Vec<WitnessId> =
        current.witnesses.iter().copied().filter(|id| health(id) == WitnessHealth::Live).collect();
    let wanted = WITNESSES.min(candidates.len());
    let leaves = current.witnesses.iter().any(|id| health(id) == WitnessHealth::Leaving);
    if live.len() >= wanted && !leaves {
        return None;
    }
    let witnesses = select_witnesses(index, &live, candidates);
    if witnesses == current.witnesses || witnesses.is_empty() {
        return None;
    }
    let next = Assignment { epoch: current.epoch.next(), witnesses };
    let earlier = if confirmed { Vec::new() } else { shard.previous.clone() };
    let previous = earlier.into_iter().chain([current.clone()]).collect();
    Some(ShardRoster { current: next, previous })
}

/// Progress of sealing one assignment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SealProgress {
    /// Its witnesses may still grant claims.
    Incomplete,
    /// It grants no more claims, and all its claims are known.
    Complete,
    /// It grants no more claims, but some may be lost with witnesses that ended. Its successor must wait for
    /// [`SHARD_RESTART_WAIT`].
    CompleteWithLoss,
}

/// Progress of sealing `assignment`, from which of its witnesses are sealed and which have ended.
#[must_use]
pub fn seal_progress(
    assignment: &Assignment,
    sealed: impl Fn(&WitnessId) -> bool,
    ended: impl Fn(&WitnessId) -> bool,
) -> SealProgress {
    let quorum = assignment.seal_quorum();
    let sealed_count = assignment.witnesses.iter().filter(|id| sealed(id)).count();
    let stopped_count = assignment.witnesses.iter().filter(|id| sealed(id) || ended(id)).count();
    if sealed_count >= quorum {
        SealProgress::Complete
    } else if stopped_count >= quorum {
        SealProgress::CompleteWithLoss
    } else {
        SealProgress::Incomplete
    }
}

/// Assignments that ended with a loss of claims, and since when that is known.
///
/// A wait belongs to the assignment whose claims may be lost and not to its successor: the successor changes again
/// whenever witnesses come and go, and its wait would never end.
#[derive(Debug, Default)]
pub struct ClaimLossWaits {
    known_since: BTreeMap<(usize, Epoch), Instant>,
}

impl ClaimLossWaits {
    /// Records that the assignment of `shard` in `epoch` ended with a loss. Returns whether that is new.
    pub fn note(&mut self, shard: usize, epoch: Epoch, now: Instant) -> bool {
        match self.known_since.entry((shard, epoch)) {
            Entry::Occupied(_) => false,
            Entry::Vacant(vacant) => {
                vacant.insert(now);
                true
            }
        }
    }

    /// Epochs of `shard` whose wait has elapsed: no request that held a claim in them is alive.
    #[must_use]
    pub fn elapsed(&self, shard: usize, now: Instant) -> BTreeSet<Epoch> {
        let own = self.known_since.range((shard, Epoch(0))..=(shard, Epoch(u64::MAX)));
        own.filter(|(_, since)| now.since(**since) > SHARD_RESTART_WAIT)
            .map(|((_, epoch), _)| *epoch)
            .collect()
    }

    /// Removes the waits of `shard` for epochs that are no longer listed.
    pub fn retain(&mut self, shard: usize, previous: &[Assignment]) {
        self.known_since.retain(|(other, epoch), _| {
            *other != shard || previous.iter().any(|assignment| assignment.epoch == *epoch)
        });
    }
}

/// Merges the claims of an ended epoch, as reported by its sealed witnesses.
///
/// If the witnesses disagree about the holder of a key, either may have won a majority together with a witness that
/// did not report. The key is then kept as [`ClaimHolder::CONTESTED`], which nobody can release.
pub fn union_of_claims(sealed: impl IntoIterator<Item = Claim>) -> Vec<Claim> {
    let mut union: BTreeMap<ClaimKey, Claim> = BTreeMap::new();
    for claim in sealed {
        let known = union.entry(claim.key).or_insert(claim);
        if known.holder != claim.holder {
            known.holder = ClaimHolder::CONTESTED;
        }
    }
    union.into_values().collect()
}

/// Adds witnesses to `kept`: daemons that take work before others, then those in zones with few witnesses of this
/// shard, then by rendezvous hashing.
fn select_witnesses(shard: usize, kept: &[WitnessId], candidates: &[WitnessCandidate]) -> Vec<WitnessId> {
    let key = |candidate: &WitnessCandidate| candidate.id.daemon.to_string().into_bytes();
    let order = rendezvous::choose(shard as u64, candidates.iter(), key, candidates.len());
    let mut witnesses = kept.to_vec();
    while witnesses.len() < WITNESSES {
        let others = order.iter().filter(|candidate| !witnesses.contains(&candidate.id));
        let in_zone = |zone: &str| {
            let same = candidates.iter().filter(|candidate| candidate.zone == zone);
            same.filter(|candidate| witnesses.contains(&candidate.id)).count()
        };
        let next = others.min_by_key(|candidate| (!candidate.ready, in_zone(&candidate.zone)));
        let Some(next) = next.map(|candidate| candidate.id) else { break };
        witnesses.push(next);
    }
    witnesses
}

/// The first roster of a deployment.
#[must_use]
pub fn first_roster(candidates: &[WitnessCandidate]) -> Roster {
    let shard = |index| ShardRoster {
        current: Assignment { epoch: Epoch(1), witnesses: select_witnesses(index, &[], candidates) },
        previous: Vec::new(),
    };
    Roster { version: 1, shards: (0..SHARDS).map(shard).collect() }
}
