//! Merges received records into the member list, and expires suspicions and tombstones.

use super::{Liveness, Member, MemberRecord, Membership};
use crate::clock::Instant;
use crate::identity::{Address, Incarnation};

impl Membership {
    pub(super) fn heard_from(&mut self, address: Address) {
        let Some(member) = self.members.get_mut(&address) else { return };
        if member.record.liveness == Liveness::Dead {
            // The member runs although its record says that it is dead. The record is sent once more, so that the
            // member can refute it.
            member.transmissions_left = member.transmissions_left.max(1);
        }
    }

    pub(super) fn merge(&mut self, record: MemberRecord, now: Instant) {
        if record.info.gossip == self.me.info.gossip {
            return self.merge_own(&record);
        }
        let transmissions = self.transmissions();
        let Some(known) = self.members.get_mut(&record.info.gossip) else {
            return self.add_member(record, now);
        };
        let same_incarnation = record.incarnation == known.record.incarnation;
        let leaving = record.leaving || (same_incarnation && known.record.leaving);
        if record.supersedes(&known.record) {
            known.suspect_since = (record.liveness == Liveness::Suspect).then_some(now);
            known.gone_since = (!record.is_live()).then_some(now);
            known.record = MemberRecord { leaving, ..record };
        } else if same_incarnation && leaving != known.record.leaving {
            known.record.leaving = leaving;
        } else {
            return;
        }
        known.transmissions_left = transmissions;
        self.changes += 1;
    }

    /// Adds an unknown member. A record of a dead or left member is ignored: members that have evicted it would learn
    /// it again from those that still hold it, and none would ever forget it.
    fn add_member(&mut self, record: MemberRecord, now: Instant) {
        if !record.is_live() {
            return;
        }
        let member = Member {
            suspect_since: (record.liveness == Liveness::Suspect).then_some(now),
            gone_since: None,
            transmissions_left: self.transmissions(),
            record,
        };
        self.members.insert(member.record.info.gossip, member);
        self.changes += 1;
    }

    pub(super) fn merge_own(&mut self, record: &MemberRecord) {
        if record.incarnation > self.me.incarnation {
            // An earlier incarnation at this address had a clock ahead of the present one.
            self.me.incarnation = Incarnation(record.incarnation.0 + 1);
            return self.republish();
        }
        if record.incarnation < self.me.incarnation {
            return;
        }
        let suspected = record.liveness != Liveness::Alive && record.revision >= self.me.revision;
        let told_to_leave = record.leaving && !self.me.leaving;
        self.me.leaving |= record.leaving;
        if suspected || told_to_leave {
            self.me.revision = self.me.revision.max(record.revision);
            self.republish();
        }
    }

    pub(super) fn expire_members(&mut self, now: Instant) {
        let transmissions = self.transmissions();
        let policy = self.policy;
        for member in self.members.values_mut() {
            let suspicion_expired =
                member.suspect_since.is_some_and(|since| now.since(since) >= policy.suspicion_timeout);
            if suspicion_expired {
                member.suspect_since = None;
                member.gone_since = Some(now);
                member.record.liveness = Liveness::Dead;
                member.transmissions_left = transmissions;
                self.changes += 1;
            }
        }
        self.members.retain(|_, member| {
            member.gone_since.is_none_or(|since| now.since(since) < policy.tombstone_retention)
        });
    }
}
