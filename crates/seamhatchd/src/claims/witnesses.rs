//! This daemon's witnesses, one per shard, in memory only.
//!
//! Peer sessions forward the claims of other daemons; the control thread seals and installs epochs. [`seamhatch_core::claims`]
//! defines the rules.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::claims::{Claim, ClaimHolder, ClaimKey, ClaimReply, Epoch, Witness};
use seamhatch_core::roster::SHARDS;
use std::sync::{Mutex, MutexGuard};

/// The witnesses of one daemon, indexed by shard.
#[derive(Debug)]
pub struct Witnesses(Mutex<Vec<Witness>>);

impl Default for Witnesses {
    fn default() -> Self {
        Self(Mutex::new(vec![Witness::default(); SHARDS]))
    }
}

impl Witnesses {
    /// Grants or denies a claim.
    #[must_use]
    pub fn claim(&self, shard: u32, epoch: Epoch, claim: Claim) -> ClaimReply {
        match self.lock().get_mut(shard as usize) {
            Some(witness) => witness.claim(epoch, claim, clock::now()),
            None => ClaimReply::NotServing { epoch: Epoch::default() },
        }
    }

    /// Releases a claim that its holder has given up.
    pub fn release(&self, shard: u32, epoch: Epoch, key: ClaimKey, holder: ClaimHolder) {
        if let Some(witness) = self.lock().get_mut(shard as usize) {
            witness.release(epoch, key, holder);
        }
    }

    /// Seals an epoch: no more claims are granted in it. Returns the remembered claims; `None` for an unknown shard.
    #[must_use]
    pub fn seal(&self, shard: u32, epoch: Epoch) -> Option<Vec<Claim>> {
        self.lock().get_mut(shard as usize).map(|witness| witness.seal(epoch))
    }

    /// Permanently stops granting claims. Returns the remembered claims by shard.
    #[must_use]
    pub fn retire(&self) -> Vec<(u32, Vec<Claim>)> {
        let mut witnesses = self.lock();
        let serving = witnesses.iter_mut().enumerate().filter(|(_, witness)| witness.epoch().is_some());
        serving.map(|(shard, witness)| (shard as u32, witness.retire())).collect()
    }

    /// Starts an epoch with the claims of earlier epochs. Returns false when the epoch is refused.
    #[must_use]
    pub fn install(&self, shard: u32, epoch: Epoch, claims: Vec<Claim>) -> bool {
        let mut witnesses = self.lock();
        let witness = witnesses.get_mut(shard as usize);
        witness.is_some_and(|witness| witness.install(epoch, claims, clock::now()).is_ok())
    }

    /// The last epoch that was installed or sealed here; `None` before the first.
    #[must_use]
    pub fn epoch(&self, shard: usize) -> Option<Epoch> {
        self.lock().get(shard).and_then(Witness::epoch)
    }

    /// The epoch in which claims are currently granted, zero for none.
    #[must_use]
    pub fn serving(&self, shard: u32) -> Epoch {
        let witnesses = self.lock();
        let Some(witness) = witnesses.get(shard as usize) else { return Epoch::default() };
        witness.epoch().filter(|epoch| witness.serves(*epoch)).unwrap_or_default()
    }

    /// Removes expired claims and returns the number that remain.
    pub fn forget_old(&self) -> usize {
        let now = clock::now();
        let mut witnesses = self.lock();
        witnesses.iter_mut().for_each(|witness| witness.forget_old(now));
        witnesses.iter().map(Witness::len).sum()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Witness>> {
        lock(&self.0)
    }
}
