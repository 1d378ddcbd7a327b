//! Direct and indirect probes of members.

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
            self.probe = Some(Probe { target, sequence: self.sequence, sent: now, indirect_sent: false });
            let ping = GossipBody::Ping { sequence: self.sequence };
            outgoing.push((target, self.message(ping)));
        }
        // One dead member is pinged too, so that the two sides of a healed network partition find each other. The
        // ping carries the record that says it is dead, which the member refutes.
        let dead: Vec<Address> = self
            .others()
            .filter(|record| record.liveness == Liveness::Dead && record.lifecycle != Lifecycle::Left)
            .map(|record| record.info.gossip)
            .collect();
        if let Some(&target) = dead.get(random(dead.len().max(1))) {
            let dead_record = self.members[&target].record.clone();
            outgoing.push((target, self.message_with(GossipBody::Ping { sequence: 0 }, vec![dead_record])));
        }
    }

    pub(super) fn check_probe(
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
        } else if age >= self.policy.probe_timeout && !probe.indirect_sent {
            probe.indirect_sent = true;
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

    pub(super) fn handle_ack(&mut self, sequence: u64) -> Vec<Outgoing> {
        if self.probe.is_some_and(|probe| probe.sequence == sequence) {
            self.probe = None;
        }
        let Some(relay) = self.relays.remove(&sequence) else { return Vec::new() };
        let ack = GossipBody::Ack { sequence: relay.requester_sequence };
        vec![(relay.requester, self.message(ack))]
    }
}
