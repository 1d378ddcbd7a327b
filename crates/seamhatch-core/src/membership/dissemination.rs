//! Messages that are sent without waiting for the next probe or sync: sync requests of a starting daemon,
//! announcements, and reports of suspects.

use super::{GossipBody, MemberRecord, Membership, Outgoing, SUSPECTS_PER_MESSAGE};
use crate::crashes::SuspectReport;
use crate::identity::Address;

/// Deployments with fewer members than this report every suspect to all of them. About 50 suspects are eight datagrams for
/// each member; sent to more members at once, they would not fit into the buffer of a socket.
const FULL_REPORT_LIMIT: usize = 32;

impl Membership {
    /// Returns sync requests with this daemon's record for `targets`, which a starting daemon sends right away.
    #[must_use]
    pub fn sync_with(&self, targets: &[Address]) -> Vec<Outgoing> {
        let request = GossipBody::SyncRequest { digest: self.digest() };
        let others = targets.iter().filter(|target| **target != self.me.info.gossip);
        others.map(|target| (*target, self.message_with(request.clone(), vec![self.me.clone()]))).collect()
    }

    /// Returns messages with this daemon's record for all live members, for a change that must not wait to be
    /// piggybacked, such as a drain.
    pub fn announce(&mut self) -> Vec<Outgoing> {
        let targets: Vec<Address> = self.live_addresses();
        targets
            .into_iter()
            .map(|target| (target, self.message_with(GossipBody::News, vec![self.me.clone()])))
            .collect()
    }

    /// Returns messages that report suspects to `targets`.
    #[must_use]
    pub fn report_suspects_to(&self, targets: &[Address], reports: &[SuspectReport]) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        for page in reports.chunks(SUSPECTS_PER_MESSAGE) {
            let message = self.message_with(GossipBody::Suspects(page.to_vec()), Vec::new());
            outgoing.extend(targets.iter().map(|target| (*target, message.clone())));
        }
        outgoing
    }

    /// Returns messages that report suspects to the members that need them.
    ///
    /// A crash produces dozens of suspects, nearly all of them innocent. The daemons of the same service get every
    /// suspect, since the next crash may hit their back end; all other members get them only in small deployments. A
    /// suspect of more than one crash is rare and is reported to every member.
    #[must_use]
    pub fn spread_suspects(&self, reports: &[SuspectReport]) -> Vec<Outgoing> {
        let all = self.live_addresses();
        let (repeated, single): (Vec<_>, Vec<_>) =
            reports.iter().cloned().partition(|report| report.record.crashes() > 1);
        let mut outgoing = self.report_suspects_to(&all, &repeated);
        let targets = if all.len() < FULL_REPORT_LIMIT { all } else { self.live_of_own_service() };
        outgoing.extend(self.report_suspects_to(&targets, &single));
        outgoing
    }

    fn live_of_own_service(&self) -> Vec<Address> {
        let own = |record: &&MemberRecord| record.is_live() && record.info.service == self.me.info.service;
        self.others().filter(own).map(|record| record.info.gossip).collect()
    }
}
