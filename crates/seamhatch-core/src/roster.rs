//! Which daemons witness which shard of the claims, and how that changes.
//!
//! Decides the witnesses of each shard from the live members, and when a change may go on. It protects claims from being
//! granted by two sets of witnesses at once. Alternatives: docs/DESIGN.md#at-most-once. Who calls it: the controllers of the
//! daemon.
//!
//! The roster lies in the platform's key-value service and is changed by
//! compare-and-swap. A shard's change from epoch `e` to `e + 1` is: write the
//! new assignment; seal `e` at as many of its witnesses as share one with each
//! majority; take the union of their claims; install it at a majority of the
//! new witnesses. Anyone may carry out or repeat these steps. Epochs whose
//! installation was not confirmed stay listed in `previous` and are sealed too.

use crate::claims::{Claim, ClaimHolder, ClaimKey, Epoch};
use crate::clock::{Instant, Microseconds};
use crate::identity::{Address, Incarnation};
use crate::rendezvous;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// Shards of the claims.
pub const SHARDS: usize = 16;

/// The shard whose witnesses also hold the newest accepted configuration.
pub const CONFIGURATION_SHARD: usize = 0;

/// Witnesses of a shard: one may be lost without stopping it.
pub const WITNESSES: usize = 3;

/// How long a shard waits before it starts empty: no request that held a claim in it lives any more.
pub const SHARD_RESTART_WAIT: Microseconds = crate::claims::MAX_REQUEST_LIFETIME;

/// One incarnation of a daemon as a witness.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct WitnessId {
    /// Peer address.
    pub daemon: Address,
    /// A restarted daemon is another witness.
    pub incarnation: Incarnation,
}

/// The witnesses of one shard in one epoch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct Assignment {
    /// Epoch of this assignment.
    pub epoch: Epoch,
    /// [`WITNESSES`] daemons, or fewer in a small deployment and while most daemons are away.
    pub witnesses: Vec<WitnessId>,
}

impl Assignment {
    /// Fewest sealed witnesses after which no majority can grant a claim any more, and which remember together all that one has granted.
    fn seal_quorum(&self) -> usize {
        let majority = self.witnesses.len() / 2 + 1;
        self.witnesses.len() + 1 - majority
    }
}

/// One shard's place in the roster.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct ShardRoster {
    /// Who witnesses now, or will once installed.
    pub current: Assignment,
    /// Assignments to seal first: the last confirmed one and the unconfirmed ones after it.
    pub previous: Vec<Assignment>,
}

impl ShardRoster {
    /// Whether others have taken over what `witness` remembers, so that it may end: it is listed no more, and this roster is not
    /// older than `installed`, the last epoch that was installed at it.
    ///
    /// Being sealed is not enough: the coordinator that has its claims may end before it has installed them.
    #[must_use]
    pub fn has_released(&self, witness: &WitnessId, installed: Option<Epoch>) -> bool {
        let mut assignments = self.previous.iter().chain([&self.current]);
        let is_listed = assignments.any(|assignment| assignment.witnesses.contains(witness));
        !is_listed && installed.is_none_or(|epoch| epoch <= self.current.epoch)
    }
}

/// What keeps a daemon that stops in order from ending: the shards that it witnesses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WitnessDuty {
    /// Others have taken over all of them.
    Released,
    /// Others have yet to take over this many.
    Held {
        /// Shards.
        shards: usize,
    },
    /// As above, and there is no other daemon that could.
    NoSuccessor {
        /// Shards.
        shards: usize,
    },
}

/// All shards. `version` grows with each change.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Readable, Writable, Serialize, Deserialize,
)]
pub struct Roster {
    /// Number of changes since the first roster.
    pub version: u64,
    /// [`SHARDS`] entries.
    pub shards: Vec<ShardRoster>,
}

/// A daemon that could be a witness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WitnessCandidate {
    /// Identity.
    pub id: WitnessId,
    /// Zone, so that the witnesses of a shard lie in different ones.
    pub zone: String,
    /// It takes work. One that is only starting is chosen where there are too few others.
    pub ready: bool,
}

/// What is known of a witness of the present roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WitnessHealth {
    /// Live.
    Live,
    /// Stops in order, and waits until others have taken over.
    Leaving,
    /// Not answering or thought dead: to be replaced, may still be running.
    Unreachable,
    /// Its memory is gone: a later incarnation was seen at its address.
    Ended,
    /// Nothing is known of it, as this daemon has just started.
    Unknown,
}

/// The assignment that should follow `shard`, or none while it is as it should be.
///
/// Live witnesses stay. A leaving one is replaced, and dropped where nobody can take its place, so that it may end. Who doesn't know all of
/// them changes nothing: a daemon that has just started would have itself take the place of all others. `confirmed` says that
/// the present epoch is known to be installed at a majority, so that earlier ones need no sealing any more.
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
    let witnesses = fill_up(index, &live, candidates);
    if witnesses == current.witnesses || witnesses.is_empty() {
        return None;
    }
    let next = Assignment { epoch: current.epoch.next(), witnesses };
    let earlier = if confirmed { Vec::new() } else { shard.previous.clone() };
    let previous = earlier.into_iter().chain([current.clone()]).collect();
    Some(ShardRoster { current: next, previous })
}

/// How far the sealing of one assignment has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SealProgress {
    /// Claims may still be granted in it.
    Incomplete,
    /// It is over and all its claims are known.
    Complete,
    /// It is over, but claims may have been lost with ended witnesses: what
    /// follows must wait for [`SHARD_RESTART_WAIT`].
    CompleteWithLoss,
}

/// Judges the sealing of `assignment` from its witnesses that were sealed and that ended.
#[must_use]
pub fn seal_progress(
    assignment: &Assignment,
    sealed: impl Fn(&WitnessId) -> bool,
    ended: impl Fn(&WitnessId) -> bool,
) -> SealProgress {
    let quorum = assignment.seal_quorum();
    let sealed_count = assignment.witnesses.iter().filter(|id| sealed(id)).count();
    let over_count = assignment.witnesses.iter().filter(|id| sealed(id) || ended(id)).count();
    if sealed_count >= quorum {
        SealProgress::Complete
    } else if over_count >= quorum {
        SealProgress::CompleteWithLoss
    } else {
        SealProgress::Incomplete
    }
}

/// Assignments that ended with a loss, and since when that has been known.
///
/// A wait belongs to the assignment whose claims may be lost, not to the one that is to follow: that one
/// changes again while its witnesses come and go, and the wait would never end.
#[derive(Debug, Default)]
pub struct ClaimLossWaits {
    known_since: BTreeMap<(usize, Epoch), Instant>,
}

impl ClaimLossWaits {
    /// Records that the assignment of `shard` in `epoch` is over with a loss; true when that was not known.
    pub fn note(&mut self, shard: usize, epoch: Epoch, now: Instant) -> bool {
        match self.known_since.entry((shard, epoch)) {
            Entry::Occupied(_) => false,
            Entry::Vacant(vacant) => {
                vacant.insert(now);
                true
            }
        }
    }

    /// Epochs of `shard` whose wait is over: no request that held a claim in them lives any more.
    #[must_use]
    pub fn elapsed(&self, shard: usize, now: Instant) -> BTreeSet<Epoch> {
        let own = self.known_since.range((shard, Epoch(0))..=(shard, Epoch(u64::MAX)));
        own.filter(|(_, since)| now.since(**since) > SHARD_RESTART_WAIT)
            .map(|((_, epoch), _)| *epoch)
            .collect()
    }

    /// Forgets the waits of `shard` for epochs that are not listed any more.
    pub fn retain(&mut self, shard: usize, previous: &[Assignment]) {
        self.known_since.retain(|(other, epoch), _| {
            *other != shard || previous.iter().any(|assignment| assignment.epoch == *epoch)
        });
    }
}

/// The claims of an ended epoch, from its sealed witnesses.
///
/// Where they disagree about the holder of a key, either may have won at a
/// majority together with a witness that was not heard: the key is kept as
/// [`ClaimHolder::CONTESTED`], which nobody can release.
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

/// Adds witnesses to the `kept` ones: such as take work before others, from zones with few witnesses of this shard, by rendezvous.
fn fill_up(shard: usize, kept: &[WitnessId], candidates: &[WitnessCandidate]) -> Vec<WitnessId> {
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
        current: Assignment { epoch: Epoch(1), witnesses: fill_up(index, &[], candidates) },
        previous: Vec::new(),
    };
    Roster { version: 1, shards: (0..SHARDS).map(shard).collect() }
}
