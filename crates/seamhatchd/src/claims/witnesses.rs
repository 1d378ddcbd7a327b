//! This daemon's witnesses, one for each shard, in memory only.
//!
//! Sessions pass on the claims of other daemons; the control thread seals and installs epochs. The rules are
//! [`seamhatch_core::claims`].

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::claims::{Claim, ClaimHolder, ClaimKey, ClaimReply, Epoch, Witness};
use seamhatch_core::roster::SHARDS;
use std::sync::{Mutex, MutexGuard};

/// All shards' witnesses of one daemon.
#[derive(Debug)]
pub struct Witnesses(Mutex<Vec<Witness>>);

impl Default for Witnesses {
    fn default() -> Self {
        Self(Mutex::new(vec![Witness::default(); SHARDS]))
    }
}

impl Witnesses {
    /// Decides a claim.
    #[must_use]
    pub fn claim(&self, shard: u32, epoch: Epoch, claim: Claim) -> ClaimReply {
        match self.lock().get_mut(shard as usize) {
            Some(witness) => witness.claim(epoch, claim, clock::now()),
            None => ClaimReply::NotServing { epoch: Epoch::default() },
        }
    }

    /// Releases a claim that its holder gave up.
    pub fn release(&self, shard: u32, epoch: Epoch, key: ClaimKey, holder: ClaimHolder) {
        if let Some(witness) = self.lock().get_mut(shard as usize) {
            witness.release(epoch, key, holder);
        }
    }

    /// Ends an epoch. Returns the claims that are remembered, none for an unknown shard.
    #[must_use]
    pub fn seal(&self, shard: u32, epoch: Epoch) -> Option<Vec<Claim>> {
        self.lock().get_mut(shard as usize).map(|witness| witness.seal(epoch))
    }

    /// Grants nothing more for ever. Returns the claims that are remembered, by shard.
    #[must_use]
    pub fn retire(&self) -> Vec<(u32, Vec<Claim>)> {
        let mut witnesses = self.lock();
        let serving = witnesses.iter_mut().enumerate().filter(|(_, witness)| witness.epoch().is_some());
        serving.map(|(shard, witness)| (shard as u32, witness.retire())).collect()
    }

    /// Begins an epoch with the claims of earlier ones; false when it is refused.
    #[must_use]
    pub fn install(&self, shard: u32, epoch: Epoch, claims: Vec<Claim>) -> bool {
        let mut witnesses = self.lock();
        let witness = witnesses.get_mut(shard as usize);
        witness.is_some_and(|witness| witness.install(epoch, claims, clock::now()).is_ok())
    }

    /// The last epoch that was installed or sealed here; none before the first.
    #[must_use]
    pub fn epoch(&self, shard: usize) -> Option<Epoch> {
        self.lock().get(shard).and_then(Witness::epoch)
    }

    /// The epoch in which claims are granted now, zero for none.
    #[must_use]
    pub fn serving(&self, shard: u32) -> Epoch {
        let witnesses = self.lock();
        let Some(witness) = witnesses.get(shard as usize) else { return Epoch::default() };
        witness.epoch().filter(|epoch| witness.serves(*epoch)).unwrap_or_default()
    }

    /// Forgets old claims; returns how many are left.
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
