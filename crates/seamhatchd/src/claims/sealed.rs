//! What witnesses remember that have retired: this daemon holds it until others have taken over their shards.
//!
//! Such a memory is final, whoever holds it. Written and read by the controllers of other daemons; handed on where this daemon ends itself.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::claims::CLAIM_RETENTION;
use seamhatch_core::roster::WitnessId;
use seamhatch_wire::SealedMemory;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

type Memories = BTreeMap<(u32, WitnessId), (SealedMemory, Instant)>;

/// Memories of retired witnesses.
#[derive(Debug, Default)]
pub struct SealedMemories(Mutex<Memories>);

impl SealedMemories {
    /// Holds one.
    pub fn hold(&self, memory: SealedMemory) {
        self.lock().insert((memory.shard, memory.witness), (memory, clock::now()));
    }

    /// What a witness remembered in a shard.
    #[must_use]
    pub fn get(&self, shard: u32, witness: WitnessId) -> Option<SealedMemory> {
        self.lock().get(&(shard, witness)).map(|(memory, _)| memory.clone())
    }

    /// All that are held.
    #[must_use]
    pub fn all(&self) -> Vec<SealedMemory> {
        self.lock().values().map(|(memory, _)| memory.clone()).collect()
    }

    /// Forgets those whose claims are older than [`CLAIM_RETENTION`].
    pub fn forget_old(&self) {
        let now = clock::now();
        self.lock().retain(|_, (_, since)| now.since(*since) <= CLAIM_RETENTION);
    }

    fn lock(&self) -> MutexGuard<'_, Memories> {
        lock(&self.0)
    }
}
