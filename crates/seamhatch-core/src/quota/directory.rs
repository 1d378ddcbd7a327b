//! The holder of each shard, as far as one daemon knows.
//!
//! Decides the order in which shards are asked for tokens: those in this daemon's zone first, and within each
//! group starting at a random one. Shards whose holder did not answer recently are left out. The entries are
//! hints: a daemon that does not hold a shard refuses the request for it.

use super::ShardNumber;
use crate::clock::{Instant, MILLISECOND, Microseconds};
use crate::identity::Address;
use std::collections::BTreeMap;

/// How long a shard is not asked after its holder did not answer.
const UNAVAILABLE_FOR: Microseconds = 500 * MILLISECOND;

/// Location of a shard's holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardHolder {
    /// Peer address of the holder.
    pub peer: Address,
    /// Zone of the holder.
    pub zone: String,
}

/// Known holders of shards.
#[derive(Debug, Default)]
pub struct ShardDirectory {
    /// Shards that no live member reports to hold, with this daemon's rank among the daemons that may take
    /// them.
    vacant: Vec<(ShardNumber, usize)>,
    known: BTreeMap<ShardNumber, ShardHolder>,
    unavailable_until: BTreeMap<ShardNumber, Instant>,
}

impl ShardDirectory {
    /// Records the holder of a shard.
    pub fn set_holder(&mut self, shard: ShardNumber, holder: ShardHolder) {
        if self.known.get(&shard) != Some(&holder) {
            self.unavailable_until.remove(&shard);
            self.known.insert(shard, holder);
        }
    }

    /// Replaces the list of shards that no live member reports to hold and that this daemon may take, each
    /// with this daemon's rank among the daemons that may take it.
    pub fn set_vacant(&mut self, vacant: Vec<(ShardNumber, usize)>) {
        self.vacant = vacant;
    }

    /// Shards that this daemon may try to take, each with its rank.
    #[must_use]
    pub fn vacant(&self) -> &[(ShardNumber, usize)] {
        &self.vacant
    }

    /// Records that the holder of a shard did not answer, or that the daemon that was asked does not hold it.
    pub fn mark_unavailable(&mut self, shard: ShardNumber, now: Instant) {
        self.unavailable_until.insert(shard, now.plus(UNAVAILABLE_FOR));
    }

    /// Shards to ask, those in `zone` first. `random` draws the index at which each group starts.
    pub fn shards_to_ask(
        &self,
        zone: &str,
        now: Instant,
        random: impl Fn(usize) -> usize,
    ) -> Vec<(ShardNumber, ShardHolder)> {
        let usable =
            |shard: &ShardNumber| self.unavailable_until.get(shard).is_none_or(|until| *until <= now);
        let shards = self.known.iter().filter(|(shard, _)| usable(shard));
        let (mut same_zone, mut other_zones): (Vec<_>, Vec<_>) = shards
            .map(|(shard, holder)| (*shard, holder.clone()))
            .partition(|(_, holder)| holder.zone == zone);
        for group in [&mut same_zone, &mut other_zones] {
            if !group.is_empty() {
                let first = random(group.len());
                group.rotate_left(first);
            }
        }
        same_zone.append(&mut other_zones);
        same_zone
    }
}
