//! Syncs of whole member lists, and records that are piggybacked on other messages.

use super::{
    EARLY_SYNC_INTERVAL, EARLY_SYNC_PERIOD, GossipBody, GossipMessage, JOIN_SYNC_INTERVAL, JOIN_SYNC_TARGETS,
    Member, MemberRecord, Membership, NEWS_PER_MESSAGE, Outgoing,
};
use crate::clock::{Instant, Microseconds};
use crate::identity::Address;

impl Membership {
    /// Sends a sync request to one live member and to one seed that is not a live member: groups that formed around
    /// different seeds find each other through them. Until a member list has arrived, several of each are asked.
    pub(super) fn start_sync(
        &mut self,
        now: Instant,
        random: &mut impl FnMut(usize) -> usize,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let started = *self.started.get_or_insert(now);
        self.next_sync = now.plus(self.sync_interval(now.since(started)));
        let asked = if self.received_list { 1 } else { JOIN_SYNC_TARGETS };
        let live = self.live_addresses();
        let own = self.me.info.gossip;
        let unknown_seeds: Vec<Address> =
            self.seeds.iter().copied().filter(|seed| *seed != own && !live.contains(seed)).collect();
        for mut pool in [live, unknown_seeds] {
            for _ in 0..asked.min(pool.len()) {
                let target = pool.swap_remove(random(pool.len()));
                let request = GossipBody::SyncRequest { digest: self.digest() };
                outgoing.push((target, self.message_with(request, vec![self.me.clone()])));
            }
        }
    }

    /// Time until the next sync of a member that has been running for `running`.
    fn sync_interval(&self, running: Microseconds) -> Microseconds {
        if running > EARLY_SYNC_PERIOD {
            self.policy.sync_interval
        } else if self.received_list {
            EARLY_SYNC_INTERVAL
        } else {
            JOIN_SYNC_INTERVAL
        }
    }

    pub(super) fn sync_pages(&mut self, to: Address, digest: u64) -> Vec<Outgoing> {
        if digest == self.digest() {
            return Vec::new();
        }
        let all: Vec<MemberRecord> = std::iter::once(&self.me).chain(self.others()).cloned().collect();
        all.chunks(NEWS_PER_MESSAGE)
            .map(|page| (to, self.message_with(GossipBody::SyncPage, page.to_vec())))
            .collect()
    }

    pub(super) fn message(&mut self, body: GossipBody) -> GossipMessage {
        let news = self.take_news();
        self.message_with(body, news)
    }

    pub(super) fn message_with(&self, body: GossipBody, news: Vec<MemberRecord>) -> GossipMessage {
        GossipMessage {
            from: self.me.info.gossip,
            generation: self.generation,
            roster_version: self.roster_version,
            body,
            news,
        }
    }

    /// Takes the records to piggyback on the next message: those that were sent least often so far.
    pub(super) fn take_news(&mut self) -> Vec<MemberRecord> {
        let mut news = Vec::new();
        if self.my_transmissions_left > 0 {
            self.my_transmissions_left -= 1;
            news.push(self.me.clone());
        }
        let mut updates: Vec<&mut Member> =
            self.members.values_mut().filter(|member| member.transmissions_left > 0).collect();
        updates.sort_by_key(|member| std::cmp::Reverse(member.transmissions_left));
        for member in updates.into_iter().take(NEWS_PER_MESSAGE - news.len()) {
            member.transmissions_left -= 1;
            news.push(member.record.clone());
        }
        news
    }
}
