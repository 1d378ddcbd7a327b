//! Spreading which requests were at work when servers crashed.
//!
//! News goes at once to the live members that need it, in datagrams, and a second time a little later, as some are lost. What is missed
//! all the same arrives with the exchanges of member lists, and a starting daemon asks for one before it serves. The evidence
//! itself is owned by [`crate::server::crashes::SuspectRegistry`]; this file owns only what is due
//! a second time, and the way to the task that keeps evidence in the store.

use super::ControlThread;
use crate::base::clock;
use crate::controllers::follow::{EvidenceKeeper, EvidenceUpdate, keep_evidence};
use crate::ports::FollowedStore;
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::identity::RequestDigest;
use seamhatch_core::membership::{GossipBody, GossipMessage, SUSPECTS_PER_MESSAGE};
use tokio::sync::mpsc;

/// Time until news is sent a second time: whatever made a link lose the first may be over by then.
const RESEND_DELAY: Microseconds = 300 * MILLISECOND;
/// Datagrams of suspects that answer an exchange of member lists.
const DATAGRAMS_PER_EXCHANGE: usize = 8;
/// Records that an exchange of member lists brings, those with the most crashes.
const RECORDS_PER_EXCHANGE: usize = DATAGRAMS_PER_EXCHANGE * SUSPECTS_PER_MESSAGE;
/// Time between two searches for records that are too old to count.
const FORGET_INTERVAL: Microseconds = 10 * SECOND;

/// What is due to be sent a second time and when, and the task that keeps evidence in the store.
#[derive(Debug, Default)]
pub(super) struct SuspectUpdates {
    resends: Vec<(Instant, Vec<RequestDigest>)>,
    next_forget: Instant,
    keeper: Option<mpsc::UnboundedSender<EvidenceUpdate>>,
}

impl ControlThread {
    pub(super) fn suspects_changed(&mut self, requests: Vec<RequestDigest>) {
        self.spread_suspects(&requests);
        self.suspect_updates.resends.push((clock::now().plus(RESEND_DELAY), requests));
    }

    /// Has the store remember, where one is followed, what speaks against requests.
    pub(super) fn remember_evidence(&self, update: EvidenceUpdate) {
        if let Some(keeper) = &self.suspect_updates.keeper {
            // The task ends with the process.
            let _ = keeper.send(update);
        }
    }

    /// Starts the task that keeps evidence in the followed store.
    pub(super) fn start_keeping_evidence(&mut self, followed: FollowedStore) {
        let (sender, updates) = mpsc::unbounded_channel();
        self.suspect_updates.keeper = Some(sender);
        let gossip = self.shared.settings.advertise.gossip;
        let (suspects, metrics) = (self.shared.suspects.clone(), self.shared.metrics.clone());
        tokio::spawn(keep_evidence(EvidenceKeeper::new(followed, gossip, suspects, metrics, updates)));
    }

    /// Sends what is due a second time, and forgets records that are too old.
    pub(super) fn resend_suspects(&mut self, now: Instant) {
        let due: Vec<_> = self.suspect_updates.resends.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, requests) in due {
            self.spread_suspects(&requests);
        }
        if now >= self.suspect_updates.next_forget {
            self.suspect_updates.next_forget = now.plus(FORGET_INTERVAL);
            self.shared.suspects.forget_old();
        }
    }

    /// Merges the evidence in a datagram, and answers an exchange of member lists with what is known here.
    pub(super) fn note_suspects(&mut self, message: &GossipMessage) {
        match &message.body {
            GossipBody::Suspects(reports) => self.shared.suspects.merge(reports),
            GossipBody::SyncRequest { .. } => {
                let reports = self.shared.suspects.with_most_crashes(RECORDS_PER_EXCHANGE);
                let outgoing = self.membership.state.report_suspects_to(&[message.from], &reports);
                self.membership.send_all(outgoing);
            }
            _ => {}
        }
    }

    fn spread_suspects(&self, requests: &[RequestDigest]) {
        let reports = self.shared.suspects.reports(requests);
        let outgoing = self.membership.state.spread_suspects(&reports);
        self.membership.send_all(outgoing);
    }
}
