//! Which daemon holds which shard, as far as one daemon knows.
//!
//! Decides the order in which shards are asked for tokens: those in the own zone first, each part from a place drawn at
//! random, without the ones whose holder did not answer a moment ago. All of it are only hints: a daemon that doesn't hold
//! its shard says so.

use super::ShardNumber;
use crate::clock::{Instant, MILLISECOND, Microseconds};
use crate::identity::Address;
use std::collections::BTreeMap;

/// A shard whose holder did not answer is not asked for this long. Chosen, not measured.
const UNAVAILABLE_FOR: Microseconds = 500 * MILLISECOND;

/// Where a shard's holder is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardHolder {
    /// Peer address of the daemon.
    pub peer: Address,
    /// Its zone.
    pub zone: String,
}

/// The shards by their numbers.
#[derive(Debug, Default)]
pub struct ShardDirectory {
    /// Shards that no live member reports to hold, with this daemon's place in the order of those who may take them.
    vacant: Vec<(ShardNumber, usize)>,
    known: BTreeMap<ShardNumber, ShardHolder>,
    unavailable_until: BTreeMap<ShardNumber, Instant>,
}

impl ShardDirectory {
    /// Records where a shard is.
    pub fn set_holder(&mut self, shard: ShardNumber, holder: ShardHolder) {
        if self.known.get(&shard) != Some(&holder) {
            self.unavailable_until.remove(&shard);
            self.known.insert(shard, holder);
        }
    }

    /// Records which shards no live member reports to hold, each with this daemon's place in the order of those who may
    /// take it; only those that this daemon may take.
    pub fn set_vacant(&mut self, vacant: Vec<(ShardNumber, usize)>) {
        self.vacant = vacant;
    }

    /// Shards that this daemon may try to take, with its place in the order.
    #[must_use]
    pub fn vacant(&self) -> &[(ShardNumber, usize)] {
        &self.vacant
    }

    /// Records that a shard's holder did not answer, or that the daemon that was asked doesn't hold it.
    pub fn mark_unavailable(&mut self, shard: ShardNumber, now: Instant) {
        self.unavailable_until.insert(shard, now.plus(UNAVAILABLE_FOR));
    }

    /// The shards that may be asked, those of `zone` first, each part from a place drawn by `random` on.
    pub fn shards_to_ask(
        &self,
        zone: &str,
        now: Instant,
        random: impl Fn(usize) -> usize,
    ) -> Vec<(ShardNumber, ShardHolder)> {
        let usable =
            |shard: &ShardNumber| self.unavailable_until.get(shard).is_none_or(|until| *until <= now);
        let shards = self.known.iter().filter(|(shard, _)| usable(shard));
        let (mut near, mut far): (Vec<_>, Vec<_>) = shards
            .map(|(shard, holder)| (*shard, holder.clone()))
            .partition(|(_, holder)| holder.zone == zone);
        for part in [&mut near, &mut far] {
            if !part.is_empty() {
                let first = random(part.len());
                part.rotate_left(first);
            }
        }
        near.append(&mut far);
        near
    }
}
