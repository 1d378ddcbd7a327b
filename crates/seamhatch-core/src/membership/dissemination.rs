//! What is sent at once: greetings of a starting daemon, announcements, and reports of suspects.

use super::{GossipBody, MemberRecord, Membership, Outgoing, SUSPECTS_PER_MESSAGE};
use crate::crashes::SuspectReport;
use crate::identity::Address;

/// In deployments with fewer members every suspect is reported to all. Chosen: some 50 suspects are eight datagrams to each
/// member, and more at once would not fit into the buffer of a socket.
const MEMBERS_TOLD_ALL: usize = 32;

impl Membership {
    /// Offers this daemon's record and list to `targets` at once, as a starting daemon does.
    #[must_use]
    pub fn sync_with(&self, targets: &[Address]) -> Vec<Outgoing> {
        let request = GossipBody::SyncRequest { digest: self.digest() };
        let others = targets.iter().filter(|target| **target != self.me.info.gossip);
        others.map(|target| (*target, self.message_with(request.clone(), vec![self.me.clone()]))).collect()
    }

    /// Messages with this daemon's record for all live members, for a change that should not wait (a drain).
    pub fn announce(&mut self) -> Vec<Outgoing> {
        let targets: Vec<Address> = self.live_addresses();
        targets
            .into_iter()
            .map(|target| (target, self.message_with(GossipBody::News, vec![self.me.clone()])))
            .collect()
    }

    /// Messages that report suspects to `targets`.
    #[must_use]
    pub fn report_suspects_to(&self, targets: &[Address], reports: &[SuspectReport]) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        for page in reports.chunks(SUSPECTS_PER_MESSAGE) {
            let message = self.message_with(GossipBody::Suspects(page.to_vec()), Vec::new());
            outgoing.extend(targets.iter().map(|target| (*target, message.clone())));
        }
        outgoing
    }

    /// Messages that report suspects to the members that need them.
    ///
    /// A crash leaves dozens of suspects, nearly all by accident. The daemons beside the servers of the service have to know of
    /// these, as the next crash may happen there; the other members get them too where the members are few. A suspect of two crashes is rare
    /// and reported to all.
    #[must_use]
    pub fn spread_suspects(&self, reports: &[SuspectReport]) -> Vec<Outgoing> {
        let all = self.live_addresses();
        let (repeated, single): (Vec<_>, Vec<_>) =
            reports.iter().cloned().partition(|report| report.record.crashes() > 1);
        let mut outgoing = self.report_suspects_to(&all, &repeated);
        let targets = if all.len() < MEMBERS_TOLD_ALL { all } else { self.live_of_own_service() };
        outgoing.extend(self.report_suspects_to(&targets, &single));
        outgoing
    }

    fn live_of_own_service(&self) -> Vec<Address> {
        let own = |record: &&MemberRecord| record.is_live() && record.info.service == self.me.info.service;
        self.others().filter(own).map(|record| record.info.gossip).collect()
    }
}
