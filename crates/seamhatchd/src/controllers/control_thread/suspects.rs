//! Disseminates which requests were running when servers crashed.
//!
//! Each update is sent in datagrams to the live members that need it, at once and a second time shortly after, since
//! datagrams get lost. Updates that are still missed arrive with the exchanges of member lists; a starting daemon requests
//! one before it serves. [`crate::server::crashes::SuspectRegistry`] owns the evidence; this file owns only the pending
//! resends and the channel to the task that keeps evidence in the store.

use super::ControlThread;
use crate::base::clock;
use crate::controllers::follow::{EvidenceKeeper, EvidenceUpdate, OwnRecord, keep_evidence};
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::identity::RequestDigest;
use seamhatch_core::membership::{GossipBody, GossipMessage, SUSPECTS_PER_MESSAGE};
use std::sync::Arc;
use tokio::sync::mpsc;

/// Delay before an update is sent a second time. The cause of a loss on the link may be over by then.
const RESEND_DELAY: Microseconds = 300 * MILLISECOND;
/// Maximum number of suspect datagrams sent in answer to an exchange of member lists.
const DATAGRAMS_PER_EXCHANGE: usize = 8;
/// Maximum number of records sent in answer to an exchange of member lists, those with the most crashes first.
const RECORDS_PER_EXCHANGE: usize = DATAGRAMS_PER_EXCHANGE * SUSPECTS_PER_MESSAGE;
/// Interval between two removals of expired records.
const FORGET_INTERVAL: Microseconds = 10 * SECOND;

/// Pending resends with their due times, and the channel to the task that keeps evidence in the store.
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

    /// Passes an update to the task that keeps evidence in the store, if a store is followed.
    pub(super) fn remember_evidence(&self, update: EvidenceUpdate) {
        if let Some(keeper) = &self.suspect_updates.keeper {
            // Fails only while the process ends: the task runs until then.
            let _ = keeper.send(update);
        }
    }

    /// Starts the task that keeps evidence in this daemon's record in the followed store.
    pub(super) fn start_keeping_evidence(&mut self, own_record: Arc<OwnRecord>) {
        let (sender, updates) = mpsc::unbounded_channel();
        self.suspect_updates.keeper = Some(sender);
        let (suspects, metrics) = (self.shared.suspects.clone(), self.shared.metrics.clone());
        tokio::spawn(keep_evidence(EvidenceKeeper::new(own_record, suspects, metrics, updates)));
    }

    /// Sends the updates whose resend is due, and removes expired records.
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

    /// Merges the evidence in a datagram, and answers an exchange of member lists with the evidence known here.
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
