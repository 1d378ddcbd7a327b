//! Who holds which shard, as far as this daemon knows. Only hints: a daemon that doesn't hold its shard says so.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::identity::Address;
use seamhatch_core::quota::ShardNumber;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

/// A shard whose holder did not answer is left alone for this long.
const SILENT_FOR: Microseconds = 500 * MILLISECOND;

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
pub struct ShardDirectory(Mutex<Places>);

#[derive(Debug, Default)]
struct Places {
    /// Shards that no live member says to hold, with this daemon's place in the order of those who may take them.
    vacant: Vec<(ShardNumber, usize)>,
    known: BTreeMap<ShardNumber, ShardHolder>,
    silent_until: BTreeMap<ShardNumber, Instant>,
}

impl ShardDirectory {
    /// Takes in where a shard is.
    pub fn learn(&self, shard: ShardNumber, place: ShardHolder) {
        let mut places = self.lock();
        if places.known.get(&shard) != Some(&place) {
            places.silent_until.remove(&shard);
            places.known.insert(shard, place);
        }
    }

    /// Takes in which shards no live member says to hold, each with this daemon's place in the order of those who may
    /// take it; only those that this daemon may take.
    pub fn set_vacant(&self, vacant: Vec<(ShardNumber, usize)>) {
        self.lock().vacant = vacant;
    }

    /// Shards that this daemon may try to take, with its place in the order.
    #[must_use]
    pub fn vacant(&self) -> Vec<(ShardNumber, usize)> {
        self.lock().vacant.clone()
    }

    /// Takes in that a shard's holder did not answer, or that whoever was asked doesn't hold it.
    pub fn note_silent(&self, shard: ShardNumber) {
        self.lock().silent_until.insert(shard, clock::now().plus(SILENT_FOR));
    }

    /// The shards that may be asked, those of `zone` first, each part from a place drawn by `random` on.
    pub fn in_order(&self, zone: &str, random: impl Fn(usize) -> usize) -> Vec<(ShardNumber, ShardHolder)> {
        let now = clock::now();
        let places = self.lock();
        let usable = |shard: &ShardNumber| places.silent_until.get(shard).is_none_or(|until| *until <= now);
        let shards = places.known.iter().filter(|(shard, _)| usable(shard));
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            shards.map(|(shard, place)| (*shard, place.clone())).partition(|(_, place)| place.zone == zone);
        for part in [&mut near, &mut far] {
            if !part.is_empty() {
                let first = random(part.len());
                part.rotate_left(first);
            }
        }
        near.append(&mut far);
        near
    }

    fn lock(&self) -> MutexGuard<'_, Places> {
        lock(&self.0)
    }
}
