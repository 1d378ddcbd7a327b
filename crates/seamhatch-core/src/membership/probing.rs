//! Probes of members, directly and through others.

use super::{GossipBody, Lifecycle, Liveness, Membership, Outgoing, Probe};
use crate::clock::Instant;
use crate::identity::Address;

impl Membership {
    pub(super) fn start_probe(
        &mut self,
        now: Instant,
        random: &mut impl FnMut(usize) -> usize,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let live = self.live_addresses();
        if let Some(&target) = live.get(random(live.len().max(1))) {
            self.sequence += 1;
            self.probe = Some(Probe { target, sequence: self.sequence, sent: now, asked_others: false });
            let ping = GossipBody::Ping { sequence: self.sequence };
            outgoing.push((target, self.message(ping)));
        }
        // A member that is thought dead is probed now and then, so that the end of a network partition is noticed.
        let dead: Vec<Address> = self
            .others()
            .filter(|record| record.liveness == Liveness::Dead && record.lifecycle != Lifecycle::Left)
            .map(|record| record.info.gossip)
            .collect();
        if let Some(&target) = dead.get(random(dead.len().max(1))) {
            let verdict = self.members[&target].record.clone();
            outgoing.push((target, self.message_with(GossipBody::Ping { sequence: 0 }, vec![verdict])));
        }
    }

    pub(super) fn follow_probe(
        &mut self,
        now: Instant,
        random: &mut impl FnMut(usize) -> usize,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let Some(mut probe) = self.probe else { return };
        let age = now.since(probe.sent);
        if age >= self.policy.probe_interval * 9 / 10 {
            self.probe = None;
            self.suspect(probe.target, now);
        } else if age >= self.policy.probe_timeout && !probe.asked_others {
            probe.asked_others = true;
            self.probe = Some(probe);
            let mut helpers = self.live_addresses();
            helpers.retain(|helper| *helper != probe.target);
            for _ in 0..self.policy.indirect_probes.min(helpers.len()) {
                let helper = helpers.swap_remove(random(helpers.len()));
                let request = GossipBody::PingRequest { sequence: probe.sequence, target: probe.target };
                outgoing.push((helper, self.message(request)));
            }
        }
    }

    pub(super) fn suspect(&mut self, address: Address, now: Instant) {
        let transmissions = self.transmissions();
        let Some(member) = self.members.get_mut(&address) else { return };
        if member.record.liveness == Liveness::Alive {
            member.record.liveness = Liveness::Suspect;
            member.suspect_since = Some(now);
            member.transmissions_left = transmissions;
            self.changes += 1;
        }
    }

    pub(super) fn acked(&mut self, sequence: u64) -> Vec<Outgoing> {
        if self.probe.is_some_and(|probe| probe.sequence == sequence) {
            self.probe = None;
        }
        let Some(relay) = self.relays.remove(&sequence) else { return Vec::new() };
        let ack = GossipBody::Ack { sequence: relay.asker_sequence };
        vec![(relay.asker, self.message(ack))]
    }
}
