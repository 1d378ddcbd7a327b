//! The witness roster that this daemon knows, and how far the coordinator has carried out its changes.
//!
//! [`RosterController`] owns both for the control thread. What each shard should become is decided by [`seamhatch_core::roster`];
//! a [`super::roster_change::Transition`] carries it out.

use crate::control::TransitionResult;
use seamhatch_core::Instant;
use seamhatch_core::claims::Epoch;
use seamhatch_core::identity::Address;
use seamhatch_core::membership::{Lifecycle, Liveness, MemberRecord};
use seamhatch_core::roster::{
    ClaimLossWaits, Roster, SealProgress, ShardRoster, WitnessCandidate, WitnessDuty, WitnessHealth,
    WitnessId, first_roster, plan_change, seal_progress,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;

/// Holds the newest roster that was seen, and, on the coordinator, which
/// epochs are known to be installed.
#[derive(Debug, Default)]
pub struct RosterController {
    roster: Arc<Roster>,
    /// By shard: the epoch that this coordinator has checked.
    checked: BTreeMap<usize, Epoch>,
    /// By shard: the epoch that is installed at a majority.
    confirmed: BTreeMap<usize, Epoch>,
    /// By shard: the epoch that is installed at all witnesses.
    complete: BTreeMap<usize, Epoch>,
    /// Shards with a transition in progress.
    running: BTreeSet<usize>,
    loss_waits: ClaimLossWaits,
    /// Machines that were listed and are no longer.
    removed_machines: BTreeSet<IpAddr>,
    listed_machines: BTreeSet<IpAddr>,
}

impl RosterController {
    /// The newest roster that was seen.
    pub fn roster(&self) -> &Arc<Roster> {
        &self.roster
    }

    /// Adopts a roster; false when it isn't newer.
    pub fn offer(&mut self, roster: Roster) -> bool {
        if roster.version <= self.roster.version {
            return false;
        }
        self.roster = Arc::new(roster);
        true
    }

    /// What this daemon, as the witness `own`, still owes the others before it may end; `installed` is the last epoch of a shard that was
    /// installed at it. A shard that has lost claims waits whatever this daemon does.
    pub fn duty(
        &self,
        own: &WitnessId,
        installed: impl Fn(usize) -> Option<Epoch>,
        members: &[MemberRecord],
    ) -> WitnessDuty {
        let shards = self.roster.shards.iter().enumerate();
        let held = shards.filter(|(index, shard)| !shard.has_released(own, installed(*index)));
        let shards = held.filter(|(_, shard)| !self.has_lost_claims(shard, members)).count();
        if shards == 0 {
            return WitnessDuty::Released;
        }
        if candidates(members).is_empty() {
            return WitnessDuty::NoSuccessor { shards };
        }
        WitnessDuty::Held { shards }
    }

    /// Peer addresses of all witnesses of this roster, present and earlier.
    pub fn witnesses(&self) -> BTreeSet<Address> {
        let assignments =
            self.roster.shards.iter().flat_map(|shard| shard.previous.iter().chain([&shard.current]));
        assignments.flat_map(|assignment| &assignment.witnesses).map(|id| id.daemon).collect()
    }

    /// Compares the platform's list of machines with the one before: those that are no longer listed are gone.
    pub fn update_machines(&mut self, listed: BTreeSet<IpAddr>) {
        let vanished: Vec<IpAddr> = self.listed_machines.difference(&listed).copied().collect();
        self.removed_machines.extend(vanished);
        self.removed_machines.retain(|address| !listed.contains(address));
        self.listed_machines = listed;
    }

    /// The roster that should follow, or none while all shards are as they should be. `knows_all_members` says that a witness without a record in
    /// `members` is one that has gone.
    pub fn plan(&self, members: &[MemberRecord], knows_all_members: bool) -> Option<Roster> {
        let candidates = candidates(members);
        if candidates.is_empty() {
            return None;
        }
        if self.roster.shards.is_empty() {
            return Some(first_roster(&candidates));
        }
        let is_unknown =
            |id: &WitnessId| !knows_all_members && members.iter().all(|record| record.info.peer != id.daemon);
        let health = |id: &WitnessId| match self.health(id, members) {
            WitnessHealth::Unreachable if is_unknown(id) => WitnessHealth::Unknown,
            health => health,
        };
        self.next_roster(|index, shard| self.plan_shard(index, shard, health, &candidates))
    }

    /// The roster without the assignments that need no sealing any more, as their successors are confirmed; none where there are none.
    pub fn plan_releases(&self) -> Option<Roster> {
        self.next_roster(|index, shard| self.without_previous(index, shard))
    }

    /// The roster with some shards changed; none where no shard is.
    fn next_roster(&self, change: impl Fn(usize, &ShardRoster) -> Option<ShardRoster>) -> Option<Roster> {
        let mut shards = self.roster.shards.clone();
        let mut changed = false;
        for (index, shard) in shards.iter_mut().enumerate() {
            if let Some(next) = change(index, shard) {
                *shard = next;
                changed = true;
            }
        }
        changed.then(|| Roster { version: self.roster.version + 1, shards })
    }

    fn without_previous(&self, index: usize, shard: &ShardRoster) -> Option<ShardRoster> {
        let is_over = self.is_confirmed(index, shard) && !shard.previous.is_empty();
        is_over.then(|| ShardRoster { previous: Vec::new(), ..shard.clone() })
    }

    /// What one shard should become. Only a shard that this coordinator has checked is changed: a coordinator
    /// that was just chosen does not know yet whether the present epoch was installed, and would seal
    /// epochs again that ended long ago.
    fn plan_shard(
        &self,
        index: usize,
        shard: &ShardRoster,
        health: impl Fn(&WitnessId) -> WitnessHealth,
        candidates: &[WitnessCandidate],
    ) -> Option<ShardRoster> {
        if self.checked.get(&index) != Some(&shard.current.epoch) {
            return None;
        }
        let confirmed = self.is_confirmed(index, shard);
        let change = plan_change(index, shard, confirmed, health, candidates);
        change.or_else(|| self.without_previous(index, shard))
    }

    /// Shards whose present epoch isn't yet installed at all its witnesses and that have no transition in progress;
    /// they are marked as having one.
    pub fn start_transitions(&mut self) -> Vec<(usize, ShardRoster)> {
        let pending: Vec<(usize, ShardRoster)> = self
            .roster
            .shards
            .iter()
            .enumerate()
            .filter(|(index, shard)| self.complete.get(index) != Some(&shard.current.epoch))
            .filter(|(index, _)| !self.running.contains(index))
            .map(|(index, shard)| (index, shard.clone()))
            .collect();
        self.running.extend(pending.iter().map(|(index, _)| *index));
        pending
    }

    /// Records how far a transition came. Returns the epochs that turned out to have ended with a loss.
    pub fn finish_transition(&mut self, result: &TransitionResult, now: Instant) -> Vec<Epoch> {
        self.running.remove(&result.shard);
        self.checked.insert(result.shard, result.epoch);
        if result.confirmed {
            self.confirmed.insert(result.shard, result.epoch);
        }
        if result.complete {
            self.complete.insert(result.shard, result.epoch);
        }
        if let Some(shard) = self.roster.shards.get(result.shard) {
            self.loss_waits.retain(result.shard, &shard.previous);
        }
        let lossy = result.lossy.iter().copied();
        lossy.filter(|epoch| self.loss_waits.note(result.shard, *epoch, now)).collect()
    }

    /// Epochs of a shard that ended with a loss and have been waited out.
    pub fn waited_out(&self, shard: usize, now: Instant) -> BTreeSet<Epoch> {
        self.loss_waits.elapsed(shard, now)
    }

    /// Has every shard checked again: for a coordinator that has just been chosen, and from time to time.
    pub fn recheck(&mut self) {
        self.complete.clear();
    }

    /// Witnesses of a shard, present and earlier, that are known to have ended.
    pub fn ended(&self, shard: &ShardRoster, members: &[MemberRecord]) -> BTreeSet<WitnessId> {
        let earlier = shard.previous.iter().flat_map(|assignment| assignment.witnesses.iter());
        let all = earlier.chain(shard.current.witnesses.iter());
        all.copied().filter(|id| self.health(id, members) == WitnessHealth::Ended).collect()
    }

    /// Whether the witnesses of one of the listed assignments have ended with what only they remembered.
    fn has_lost_claims(&self, shard: &ShardRoster, members: &[MemberRecord]) -> bool {
        let has_ended = |id: &WitnessId| self.health(id, members) == WitnessHealth::Ended;
        let mut listed = shard.previous.iter().chain([&shard.current]);
        listed.any(|assignment| {
            let best = seal_progress(assignment, |id| !has_ended(id), has_ended);
            best == SealProgress::CompleteWithLoss
        })
    }

    fn is_confirmed(&self, index: usize, shard: &ShardRoster) -> bool {
        self.confirmed.get(&index) == Some(&shard.current.epoch)
    }

    fn health(&self, id: &WitnessId, members: &[MemberRecord]) -> WitnessHealth {
        let gone = self.removed_machines.contains(&id.daemon.ip);
        let Some(record) = members.iter().find(|record| record.info.peer == id.daemon) else {
            return if gone { WitnessHealth::Ended } else { WitnessHealth::Unreachable };
        };
        let restarted = record.incarnation > id.incarnation;
        let dead = record.liveness == Liveness::Dead;
        if restarted || (gone && dead) {
            return WitnessHealth::Ended;
        }
        if record.liveness != Liveness::Alive || record.incarnation != id.incarnation {
            return WitnessHealth::Unreachable;
        }
        match record.lifecycle {
            Lifecycle::Left => WitnessHealth::Unreachable,
            Lifecycle::Draining => WitnessHealth::Leaving,
            Lifecycle::Joining | Lifecycle::Ready if record.leaving => WitnessHealth::Leaving,
            Lifecycle::Joining | Lifecycle::Ready => WitnessHealth::Live,
        }
    }
}

/// Members that can be witnesses.
pub fn candidates(members: &[MemberRecord]) -> Vec<WitnessCandidate> {
    members
        .iter()
        .filter(|record| record.liveness == Liveness::Alive && !record.leaving)
        .filter(|record| matches!(record.lifecycle, Lifecycle::Joining | Lifecycle::Ready))
        .map(|record| WitnessCandidate {
            id: WitnessId { daemon: record.info.peer, incarnation: record.incarnation },
            zone: format!("{}/{}", record.info.region, record.info.zone),
            ready: record.takes_work(),
        })
        .collect()
}
