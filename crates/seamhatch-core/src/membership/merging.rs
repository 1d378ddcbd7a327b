//! Merging records that others send, and aging of members.

use super::{Liveness, Member, MemberRecord, Membership};
use crate::clock::Instant;
use crate::identity::{Address, Incarnation};

impl Membership {
    pub(super) fn heard_from(&mut self, address: Address) {
        let Some(member) = self.members.get_mut(&address) else { return };
        if member.record.liveness == Liveness::Dead {
            // It runs although it is thought dead: let it hear that, and refute it.
            member.transmissions_left = member.transmissions_left.max(1);
        }
    }

    pub(super) fn merge(&mut self, record: MemberRecord, now: Instant) {
        if record.info.gossip == self.me.info.gossip {
            return self.merge_about_me(&record);
        }
        let transmissions = self.transmissions();
        let Some(known) = self.members.get_mut(&record.info.gossip) else {
            return self.meet(record, now);
        };
        let same_life = record.incarnation == known.record.incarnation;
        let leaving = record.leaving || (same_life && known.record.leaving);
        if record.supersedes(&known.record) {
            known.suspect_since = (record.liveness == Liveness::Suspect).then_some(now);
            known.gone_since = (!record.is_live()).then_some(now);
            known.record = MemberRecord { leaving, ..record };
        } else if same_life && leaving != known.record.leaving {
            known.record.leaving = leaving;
        } else {
            return;
        }
        known.transmissions_left = transmissions;
        self.changes += 1;
    }

    /// Adds a member that was not known. One that is gone is left out: members that forgot it would learn it again from those
    /// that still know it, and none would ever forget it.
    fn meet(&mut self, record: MemberRecord, now: Instant) {
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

    pub(super) fn merge_about_me(&mut self, record: &MemberRecord) {
        if record.incarnation > self.me.incarnation {
            // An earlier incarnation at this address had a clock ahead of ours.
            self.me.incarnation = Incarnation(record.incarnation.0 + 1);
            return self.speak_up();
        }
        if record.incarnation < self.me.incarnation {
            return;
        }
        let doubted = record.liveness != Liveness::Alive && record.revision >= self.me.revision;
        let told_to_leave = record.leaving && !self.me.leaving;
        self.me.leaving |= record.leaving;
        if doubted || told_to_leave {
            self.me.revision = self.me.revision.max(record.revision);
            self.speak_up();
        }
    }

    pub(super) fn age_members(&mut self, now: Instant) {
        let transmissions = self.transmissions();
        let policy = self.policy;
        for member in self.members.values_mut() {
            let doubted_long = member.suspect_since.is_some_and(|since| now.since(since) >= policy.suspicion);
            if doubted_long {
                member.suspect_since = None;
                member.gone_since = Some(now);
                member.record.liveness = Liveness::Dead;
                member.transmissions_left = transmissions;
                self.changes += 1;
            }
        }
        self.members
            .retain(|_, member| member.gone_since.is_none_or(|since| now.since(since) < policy.tombstone));
    }
}
