//! Carries out a shard's change of witnesses: seals the earlier epochs, merges their claims, and installs the new epoch.
//!
//! A [`Transition`] is a task of the coordinator. It keeps no state between attempts, so that any daemon can repeat it from any
//! point; [`super::roster::RosterController`] records the progress of each shard.

use crate::control::TransitionResult;
use crate::controllers::ask::{ask_holder, ask_witnesses};
use crate::controllers::registration::newer;
use crate::peer::PeerPool;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use log::info;
use seamhatch_core::claims::{Claim, Epoch};
use seamhatch_core::identity::Address;
use seamhatch_core::roster::{
    Assignment, CONFIGURATION_SHARD, SealProgress, ShardRoster, WitnessId, seal_progress, union_of_claims,
};
use seamhatch_policy::StoredConfiguration;
use seamhatch_wire::{ControlReply, ControlRequest};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A change of witnesses of one shard.
pub struct Transition {
    /// Connections to the witnesses.
    pub pool: Arc<PeerPool>,
    /// Number of the shard.
    pub shard: usize,
    /// Target state of the shard, including the earlier assignments.
    pub target: ShardRoster,
    /// Witnesses that are known to have ended.
    pub ended: BTreeSet<WitnessId>,
    /// Epochs that ended with a loss of claims and whose waiting period has elapsed.
    pub waited_out: BTreeSet<Epoch>,
    /// Peer addresses of the daemons that may hold the records of retired witnesses.
    pub holders: Vec<Address>,
    /// The newest accepted configuration that this daemon knows.
    pub newest: Option<StoredConfiguration>,
}

impl Transition {
    /// Carries out the change as far as currently possible. Idempotent.
    pub async fn run(self) -> TransitionResult {
        let missing = self.missing_witnesses().await;
        let mut result = self.result(missing.len());
        if missing.is_empty() {
            return result;
        }
        let sealed = if result.confirmed {
            // A majority has the claims of earlier epochs, so a late witness may start without them.
            Sealed { claims: Vec::new(), held: self.newest.clone(), lossy: Vec::new() }
        } else {
            match self.seal_previous().await {
                Some(sealed) => sealed,
                None => return result,
            }
        };
        if sealed.lossy.iter().any(|epoch| !self.waited_out.contains(epoch)) {
            result.lossy = sealed.lossy;
            return result;
        }
        let installed = self.install(&missing, sealed).await;
        let still_missing = missing.len() - installed;
        info!(shard = self.shard, epoch = self.target.current.epoch.0, installed = installed; "witnesses installed");
        self.result(still_missing)
    }

    fn result(&self, missing: usize) -> TransitionResult {
        let witnesses = self.target.current.witnesses.len();
        TransitionResult {
            shard: self.shard,
            epoch: self.target.current.epoch,
            confirmed: witnesses - missing > witnesses / 2,
            complete: missing == 0,
            lossy: Vec::new(),
        }
    }

    async fn missing_witnesses(&self) -> Vec<WitnessId> {
        let current = &self.target.current;
        let request = ControlRequest::WitnessStatus { shard: self.shard as u32 };
        let replies = ask_witnesses(&self.pool, &current.witnesses, &request).await;
        let serving = Some(ControlReply::Serving(current.epoch));
        let pairs = current.witnesses.iter().zip(replies);
        pairs.filter(|(_, reply)| *reply != serving).map(|(id, _)| *id).collect()
    }

    /// Seals every earlier assignment and merges the records of their witnesses. Returns none while one of the assignments may
    /// still grant claims.
    async fn seal_previous(&self) -> Option<Sealed> {
        let mut claims = Vec::new();
        let mut held = self.newest.clone();
        let mut lossy = Vec::new();
        for assignment in &self.target.previous {
            let mut replies = self.seal(assignment).await;
            self.add_held(assignment, &mut replies).await;
            let sealed = |id: &WitnessId| replies.contains_key(id);
            match seal_progress(assignment, sealed, |id| self.ended.contains(id)) {
                SealProgress::Incomplete => return None,
                SealProgress::Complete => {}
                SealProgress::CompleteWithLoss => lossy.push(assignment.epoch),
            }
            for memory in replies.into_values() {
                claims.extend(memory.claims);
                held = newer(held, memory.held);
            }
        }
        Some(Sealed { claims: union_of_claims(claims), held, lossy })
    }

    async fn seal(&self, assignment: &Assignment) -> BTreeMap<WitnessId, WitnessMemory> {
        let request = ControlRequest::Seal { shard: self.shard as u32, epoch: assignment.epoch };
        let replies = ask_witnesses(&self.pool, &assignment.witnesses, &request).await;
        let pairs = assignment.witnesses.iter().zip(replies);
        pairs
            .filter_map(|(id, reply)| match reply {
                Some(ControlReply::Sealed { claims, held }) => Some((*id, WitnessMemory { claims, held })),
                _ => None,
            })
            .collect()
    }

    /// Adds the records of retired witnesses that other daemons hold, if no majority of the witnesses themselves answers.
    async fn add_held(&self, assignment: &Assignment, replies: &mut BTreeMap<WitnessId, WitnessMemory>) {
        if seal_progress(assignment, |id| replies.contains_key(id), |_| false) == SealProgress::Complete {
            return;
        }
        for witness in &assignment.witnesses {
            if !replies.contains_key(witness)
                && let Some(memory) = self.held_of(*witness).await
            {
                replies.insert(*witness, memory);
            }
        }
    }

    /// Returns the records of a retired witness from the first daemon that holds them.
    async fn held_of(&self, witness: WitnessId) -> Option<WitnessMemory> {
        let request = ControlRequest::GetSealed { shard: self.shard as u32, witness };
        let asking = self.holders.iter().map(|holder| ask_holder(&self.pool, *holder, request.clone()));
        let mut replies: FuturesUnordered<_> = asking.collect();
        while let Some(reply) = replies.next().await {
            if let Some(ControlReply::Sealed { claims, held }) = reply {
                return Some(WitnessMemory { claims, held });
            }
        }
        None
    }

    async fn install(&self, missing: &[WitnessId], sealed: Sealed) -> usize {
        let request = ControlRequest::Install {
            shard: self.shard as u32,
            epoch: self.target.current.epoch,
            claims: sealed.claims,
            held: sealed.held.filter(|_| self.shard == CONFIGURATION_SHARD),
        };
        let replies = ask_witnesses(&self.pool, missing, &request).await;
        replies.iter().filter(|reply| **reply == Some(ControlReply::Done)).count()
    }
}

/// Records of one sealed witness.
struct WitnessMemory {
    claims: Vec<Claim>,
    /// The newest configuration that the witness holds.
    held: Option<StoredConfiguration>,
}

/// Merged records of the witnesses of all earlier epochs.
struct Sealed {
    claims: Vec<Claim>,
    held: Option<StoredConfiguration>,
    /// Epochs that have ended and whose claims may be lost.
    lossy: Vec<Epoch>,
}
