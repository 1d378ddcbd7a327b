//! Shards of the tenants' limits: which daemon holds which shard, and which shards this daemon may take.
//!
//! [`crate::limits::quota`] owns the directory of holders; a task in `follow` acquires and keeps shards through keys in the
//! store. The order in which daemons try to take a vacant shard is derived from the shared membership, so that few of them
//! write at once.

use super::ControlThread;
use crate::controllers::follow::holder_of;
use crate::store::ShardRecord;
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::identity::Address;
use seamhatch_core::membership::{Lifecycle, MemberRecord};
use seamhatch_core::quota::{ShardHolder, ShardNumber};
use seamhatch_core::rendezvous;

/// Rendezvous hashing seed for the order in which daemons may take shards. Must differ from the other seeds.
const SHARD_SEED: u64 = 5;
/// Number of daemons that may try to take a vacant shard, one after the other.
const MAX_CONTENDERS: usize = 3;
/// Ranks that a daemon moves back in the order per shard that it holds, so that the loss of one daemon affects few shards.
const RANKS_PER_SHARD: usize = 2;
/// Minimum age in microseconds at which a daemon may take shards. By then it knows the other members from the store's
/// records and gossip.
const MIN_AGE: Microseconds = 1_500 * MILLISECOND;

impl ControlThread {
    /// Applies the shard records read from the store. Shards held by an earlier incarnation of this daemon are marked as
    /// vacant with rank 0, so that this daemon takes them over.
    pub(super) fn learn_quota_shards(&mut self, shards: &[(ShardNumber, ShardRecord)]) {
        let (own, incarnation) = (self.shared.settings.advertise.gossip, self.shared.incarnation);
        for (shard, record) in shards {
            self.shared.limits.quota.directory.set_holder(*shard, holder_of(record));
        }
        let earlier = shards.iter().filter(|(_, record)| record.is_of_earlier_incarnation(own, incarnation));
        self.shared.limits.quota.directory.set_vacant(earlier.map(|(shard, _)| (*shard, 0)).collect());
    }

    /// Announces the shards that this daemon currently holds.
    pub(super) fn quota_shards_changed(&mut self) {
        self.membership.state.set_quota_shards(self.shared.limits.quota.held.mask());
        self.announce();
        self.update_shard_holders();
    }

    /// Updates the vacant shards that this daemon may take, with its rank for each. A shard is vacant if no live member
    /// reports holding it.
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

    /// This daemon's rank among the members that may take a shard; zero is first.
    fn rank_for(&self, shard: ShardNumber) -> usize {
        let weight = |member: Address| rendezvous::weight(SHARD_SEED, format!("{shard} {member}").as_bytes());
        let own = weight(self.shared.settings.advertise.gossip);
        let is_before = |record: &&MemberRecord| {
            may_take_shards(record) && record.info.quota_shards == 0 && weight(record.info.gossip) > own
        };
        let held = self.shared.limits.quota.held.mask().count_ones() as usize;
        self.membership.state.others().filter(is_before).count() + RANKS_PER_SHARD * held
    }

    /// Publishes to the threads that carry traffic which live member holds which shard, as the members report it.
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

/// Whether a member may take shards. A draining member hands over its shards and takes none.
fn may_take_shards(record: &MemberRecord) -> bool {
    record.is_live() && record.lifecycle != Lifecycle::Draining
}
