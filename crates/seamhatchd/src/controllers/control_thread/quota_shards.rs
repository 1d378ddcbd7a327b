//! Shards of the tenants' limits: which are told by members, and which this daemon may take.

use super::ControlThread;
use crate::controllers::follow::holder_of;
use crate::limits::quota::ShardHolder;
use crate::store::ShardRecord;
use seamhatch_core::Instant;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::identity::Address;
use seamhatch_core::membership::MemberRecord;
use seamhatch_core::quota::ShardNumber;
use seamhatch_core::rendezvous;

/// Seed of the order in which daemons may take shards.
const SHARD_SEED: u64 = 5;
/// Daemons that may take a vacant shard, one after the other.
const MOST_CONTENDERS: usize = 3;
/// Places by which a daemon goes back in the order for each shard that it holds, so that one loss costs few shards.
const PLACES_FOR_SHARD: usize = 2;
/// A daemon that starts knows the others after this time, by the store's list and their gossip.
const LEAST_AGE: Microseconds = 3 * SECOND / 2;

impl ControlThread {
    /// Takes in the shards' records as they lie in the store. What an earlier life of this daemon held is its to take.
    pub(super) fn learn_quota_shards(&mut self, shards: &[(ShardNumber, ShardRecord)]) {
        let (own, incarnation) = (self.shared.settings.advertise.gossip, self.shared.incarnation);
        for (shard, record) in shards {
            self.shared.limits.quota.directory.learn(*shard, holder_of(record));
        }
        let earlier = shards.iter().filter(|(_, record)| record.is_of_earlier_incarnation(own, incarnation));
        self.shared.limits.quota.directory.set_vacant(earlier.map(|(shard, _)| (*shard, 0)).collect());
    }

    pub(super) fn quota_shards_changed(&mut self) {
        self.membership.state.set_quota_shards(self.shared.limits.quota.held.mask());
        self.announce();
        self.update_shard_holders();
    }

    /// Finds the shards that no live member says to hold, and this daemon's place in the order of those who may take them.
    pub(super) fn update_vacant_shards(&mut self, now: Instant) {
        if !self.shared.limits.quota.is_needed() || now.since(self.started) < LEAST_AGE {
            return;
        }
        self.update_shard_holders();
        let live = self.membership.state.others().filter(|record| record.is_live());
        let told =
            live.fold(self.shared.limits.quota.held.mask(), |mask, record| mask | record.info.quota_shards);
        let vacant = (0..self.shared.limits.quota.policy.shards).filter(|shard| told & (1 << shard) == 0);
        let contended = vacant.map(|shard| (shard, self.place_for(shard)));
        let contended = contended.filter(|(_, place)| *place < MOST_CONTENDERS).collect();
        self.shared.limits.quota.directory.set_vacant(contended);
    }

    fn place_for(&self, shard: ShardNumber) -> usize {
        let weight = |member: Address| rendezvous::weight(SHARD_SEED, format!("{shard} {member}").as_bytes());
        let own = weight(self.shared.settings.advertise.gossip);
        let before = |record: &&MemberRecord| {
            record.is_live() && record.info.quota_shards == 0 && weight(record.info.gossip) > own
        };
        let held = self.shared.limits.quota.held.mask().count_ones() as usize;
        self.membership.state.others().filter(before).count() + PLACES_FOR_SHARD * held
    }

    /// Tells the threads that carry traffic where the shards are that live members say to hold.
    pub(super) fn update_shard_holders(&self) {
        let directory = &self.shared.limits.quota.directory;
        let members = std::iter::once(self.membership.state.me()).chain(self.membership.state.others());
        for record in members.filter(|record| record.is_live() && record.info.quota_shards != 0) {
            let place = ShardHolder { peer: record.info.peer, zone: record.info.zone.clone() };
            for shard in (0..self.shared.limits.quota.policy.shards)
                .filter(|shard| record.info.quota_shards & (1 << shard) != 0)
            {
                directory.learn(shard, place.clone());
            }
        }
    }
}
