//! Sealed state of retired witnesses, which this daemon holds until other witnesses have taken over their shards.
//!
//! Sealed state never changes, whichever daemon holds it. The controllers of other daemons write and read it; a daemon that stops
//! hands it on to others.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::claims::CLAIM_RETENTION;
use seamhatch_core::roster::WitnessId;
use seamhatch_wire::SealedMemory;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

type Memories = BTreeMap<(u32, WitnessId), (SealedMemory, Instant)>;

/// Sealed state of retired witnesses, by shard and witness.
#[derive(Debug, Default)]
pub struct SealedMemories(Mutex<Memories>);

impl SealedMemories {
    /// Stores the sealed state of one witness for one shard, replacing an earlier one.
    pub fn hold(&self, memory: SealedMemory) {
        self.lock().insert((memory.shard, memory.witness), (memory, clock::now()));
    }

    /// The sealed state of a witness for a shard.
    #[must_use]
    pub fn get(&self, shard: u32, witness: WitnessId) -> Option<SealedMemory> {
        self.lock().get(&(shard, witness)).map(|(memory, _)| memory.clone())
    }

    /// All sealed states held here.
    #[must_use]
    pub fn all(&self) -> Vec<SealedMemory> {
        self.lock().values().map(|(memory, _)| memory.clone()).collect()
    }

    /// Removes entries that were stored more than [`CLAIM_RETENTION`] ago.
    pub fn forget_old(&self) {
        let now = clock::now();
        self.lock().retain(|_, (_, since)| now.since(*since) <= CLAIM_RETENTION);
    }

    fn lock(&self) -> MutexGuard<'_, Memories> {
        lock(&self.0)
    }
}
