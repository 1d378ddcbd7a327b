//! The witness roster known to this daemon, and the coordinator's progress in carrying out its changes.
//!
//! [`RosterController`] owns both for the control thread. [`seamhatch_core::roster`] decides the next state of each shard; a
//! [`super::roster_change::Transition`] carries it out.

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

/// Holds the newest roster seen, and, on the coordinator, the epochs known to be installed.
#[derive(Debug, Default)]
pub struct RosterController {
    roster: Arc<Roster>,
    /// Epoch that this coordinator has checked, by shard.
    checked: BTreeMap<usize, Epoch>,
    /// Epoch that is installed at a majority of the witnesses, by shard.
    confirmed: BTreeMap<usize, Epoch>,
    /// Epoch that is installed at all witnesses, by shard.
    complete: BTreeMap<usize, Epoch>,
    /// Shards with a transition in progress.
    running: BTreeSet<usize>,
    loss_waits: ClaimLossWaits,
    /// Machines that are no longer in the platform's list.
    removed_machines: BTreeSet<IpAddr>,
    listed_machines: BTreeSet<IpAddr>,
}

impl RosterController {
    /// The newest roster seen.
    pub fn roster(&self) -> &Arc<Roster> {
        &self.roster
    }

    /// Adopts a roster. Returns false if it isn't newer.
    pub fn offer(&mut self, roster: Roster) -> bool {
        if roster.version <= self.roster.version {
            return false;
        }
        self.roster = Arc::new(roster);
        true
    }

    /// Remaining duty of this daemon, as the witness `own`, before it may end. `installed` returns the last epoch of a shard that
    /// was installed at this daemon. Shards that have lost claims don't count: they wait regardless of this daemon.
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

    /// Peer addresses of all current and earlier witnesses in the roster.
    pub fn witnesses(&self) -> BTreeSet<Address> {
        let assignments =
            self.roster.shards.iter().flat_map(|shard| shard.previous.iter().chain([&shard.current]));
        assignments.flat_map(|assignment| &assignment.witnesses).map(|id| id.daemon).collect()
    }

    /// Applies the platform's list of machines. Machines missing from it that were in the previous list count as removed.
    pub fn update_machines(&mut self, listed: BTreeSet<IpAddr>) {
        let vanished: Vec<IpAddr> = self.listed_machines.difference(&listed).copied().collect();
        self.removed_machines.extend(vanished);
        self.removed_machines.retain(|address| !listed.contains(address));
        self.listed_machines = listed;
    }

    /// Plans the next roster; none if no shard needs a change. `knows_all_members` means that a witness without a record in
    /// `members` is unreachable; otherwise its health is unknown.
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

    /// Plans a roster without the earlier assignments that need no sealing because their successors are confirmed; none if
    /// there are none.
    pub fn plan_releases(&self) -> Option<Roster> {
        self.next_roster(|index, shard| self.without_previous(index, shard))
    }

    /// Returns the next roster with `change` applied to each shard; none if no shard changes.
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

    /// Plans the next state of a shard. Only a shard that this coordinator has checked is changed: a newly chosen coordinator
    /// does not know yet whether the current epoch was installed, and would seal epochs again that ended long ago.
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

    /// Returns the shards whose current epoch isn't installed at all witnesses and that have no transition in progress, and
    /// marks their transitions as in progress.
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

    /// Records the result of a transition. Returns the epochs newly found to have ended with a loss of claims.
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

    /// Epochs of a shard that ended with a loss of claims and whose waiting period has elapsed.
    pub fn waited_out(&self, shard: usize, now: Instant) -> BTreeSet<Epoch> {
        self.loss_waits.elapsed(shard, now)
    }

    /// Schedules a check of every shard, for a newly chosen coordinator and at regular intervals.
    pub fn recheck(&mut self) {
        self.complete.clear();
    }

    /// Current and earlier witnesses of a shard that are known to have ended.
    pub fn ended(&self, shard: &ShardRoster, members: &[MemberRecord]) -> BTreeSet<WitnessId> {
        let earlier = shard.previous.iter().flat_map(|assignment| assignment.witnesses.iter());
        let all = earlier.chain(shard.current.witnesses.iter());
        all.copied().filter(|id| self.health(id, members) == WitnessHealth::Ended).collect()
    }

    /// Whether claims of one of the shard's assignments are lost because the witnesses that recorded them have ended.
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

/// Members eligible as witnesses.
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
