//! Shards of the tenants' limits: which daemon holds which, and which this daemon may take.
//!
//! [`crate::limits::quota`] owns the directory of holders; a task in `follow` takes and keeps shards by keys in the store. The order in
//! which daemons try a vacant shard follows from the members that all know, so that few of them write at once.

use super::ControlThread;
use crate::controllers::follow::holder_of;
use crate::store::ShardRecord;
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::identity::Address;
use seamhatch_core::membership::{Lifecycle, MemberRecord};
use seamhatch_core::quota::{ShardHolder, ShardNumber};
use seamhatch_core::rendezvous;

/// Seed of the order in which daemons may take shards. Any number will do that differs from the other seeds of rendezvous hashing.
const SHARD_SEED: u64 = 5;
/// Daemons that may take a vacant shard, one after the other. Chosen, not measured.
const MAX_CONTENDERS: usize = 3;
/// Places by which a daemon goes back in the order for each shard that it holds, so that one loss costs few shards. Chosen, not
/// measured.
const RANKS_PER_SHARD: usize = 2;
/// Age in microseconds from which a daemon may take shards: by then it knows the other members, by the store's records and their
/// gossip. Chosen, not measured.
const MIN_AGE: Microseconds = 1_500 * MILLISECOND;

impl ControlThread {
    /// Uses the shards' records in the store. This daemon takes those that an earlier incarnation of it held.
    pub(super) fn learn_quota_shards(&mut self, shards: &[(ShardNumber, ShardRecord)]) {
        let (own, incarnation) = (self.shared.settings.advertise.gossip, self.shared.incarnation);
        for (shard, record) in shards {
            self.shared.limits.quota.directory.set_holder(*shard, holder_of(record));
        }
        let earlier = shards.iter().filter(|(_, record)| record.is_of_earlier_incarnation(own, incarnation));
        self.shared.limits.quota.directory.set_vacant(earlier.map(|(shard, _)| (*shard, 0)).collect());
    }

    /// Announces the shards that this daemon holds now.
    pub(super) fn quota_shards_changed(&mut self) {
        self.membership.state.set_quota_shards(self.shared.limits.quota.held.mask());
        self.announce();
        self.update_shard_holders();
    }

    /// Finds the shards that no live member reports to hold, and this daemon's place in the order of those that may take them.
    pub(super) fn update_vacant_shards(&mut self, now: Instant) {
        if !self.shared.limits.quota.is_needed() || now.since(self.started) < MIN_AGE {
            return;
        }
        self.update_shard_holders();
        let live = self.membership.state.others().filter(|record| record.is_live());
        let own = self.shared.limits.quota.held.mask();
        let held = live.fold(own, |mask, record| mask | record.info.quota_shards);
        let vacant = (0..self.shared.limits.quota.policy.shards).filter(|shard| held & (1 << shard) == 0);
        let contended = vacant.map(|shard| (shard, self.rank_for(shard)));
        let contended = contended.filter(|(_, rank)| *rank < MAX_CONTENDERS).collect();
        self.shared.limits.quota.directory.set_vacant(contended);
    }

    /// This daemon's place in the order of those that may take a shard; zero is first.
    fn rank_for(&self, shard: ShardNumber) -> usize {
        let weight = |member: Address| rendezvous::weight(SHARD_SEED, format!("{shard} {member}").as_bytes());
        let own = weight(self.shared.settings.advertise.gossip);
        let is_before = |record: &&MemberRecord| {
            may_take_shards(record) && record.info.quota_shards == 0 && weight(record.info.gossip) > own
        };
        let held = self.shared.limits.quota.held.mask().count_ones() as usize;
        self.membership.state.others().filter(is_before).count() + RANKS_PER_SHARD * held
    }

    /// Shows the threads that carry traffic which live members report to hold which shards.
    fn update_shard_holders(&self) {
        let quota = &self.shared.limits.quota;
        let members = std::iter::once(self.membership.state.me()).chain(self.membership.state.others());
        for record in members.filter(|record| record.is_live() && record.info.quota_shards != 0) {
            let holder = ShardHolder { peer: record.info.peer, zone: record.info.zone.clone() };
            let holds = |shard: &ShardNumber| record.info.quota_shards & (1 << shard) != 0;
            for shard in (0..quota.policy.shards).filter(holds) {
                quota.directory.set_holder(shard, holder.clone());
            }
        }
    }
}

/// Whether a member may take shards: one that stops leaves its own to others.
fn may_take_shards(record: &MemberRecord) -> bool {
    record.is_live() && record.lifecycle != Lifecycle::Draining
}
