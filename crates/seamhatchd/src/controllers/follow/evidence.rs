//! Having the store remember, beyond the end of all daemons, which requests crash servers.
//!
//! The daemon beside a crashed server notes the evidence against what ran there in its own record, as far as the request ran in
//! several crashes: dozens run in one by accident. It looks again from time to time whether the store still has that, as an outage
//! may outlast any number of attempts and a store may come back from a copy, and whether the request has been cleared since.
//! [`SuspectRegistry`] owns the evidence; this task owns only which requests it has noted.

use super::store_calls::{Backoff, STORE_TIMEOUT};
use crate::base::clock::unix_milliseconds;
use crate::base::metrics::Metrics;
use crate::ports::FollowedStore;
use crate::server::crashes::SuspectRegistry;
use crate::store::{DaemonRecord, Revision, StoreError, Write, WriteOutcome};
use log::{debug, info};
use seamhatch_core::crashes::{CondemnedRecord, SuspectReport};
use seamhatch_core::identity::{Address, RequestDigest};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Requests that the record of one daemon has room for; those that were cleared, and then the oldest, are dropped.
const MAX_NOTED: usize = 32;
/// Time between two looks whether the store still has what was noted.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Time after a crash until its requests are looked at again: crashes elsewhere in the same moment are known here by then.
const RECHECK_DELAY: Duration = Duration::from_secs(1);

/// Requests that may be worth noting.
#[derive(Debug)]
pub enum EvidenceUpdate {
    /// They ran in a crash of this daemon's back end.
    CrashedHere(Vec<RequestDigest>),
    /// This daemon's record in the store holds them.
    InOwnRecord(Vec<RequestDigest>),
}

/// What this task uses.
pub struct EvidenceKeeper {
    followed: FollowedStore,
    gossip: Address,
    suspects: Arc<SuspectRegistry>,
    metrics: Arc<Metrics>,
    updates: mpsc::UnboundedReceiver<EvidenceUpdate>,
    /// Requests of crashes here that may turn out to have run in others too.
    recent: BTreeSet<RequestDigest>,
    noted: BTreeSet<RequestDigest>,
}

/// Notes evidence in the store, and sees to it that it stays there, until the process ends.
pub async fn keep_evidence(mut keeper: EvidenceKeeper) {
    let mut backoff = Backoff::default();
    while keeper.wait_until_due().await {
        while let Err(error) = keeper.step().await {
            keeper.metrics.store_failures.inc();
            debug!(error = error.to_string().as_str(); "evidence can't be noted in the store yet");
            backoff.pause().await;
        }
        backoff.succeeded();
    }
}

impl EvidenceKeeper {
    /// Has noted nothing yet. `gossip` is this daemon's gossip address; `updates` brings what may be worth noting.
    pub fn new(
        followed: FollowedStore,
        gossip: Address,
        suspects: Arc<SuspectRegistry>,
        metrics: Arc<Metrics>,
        updates: mpsc::UnboundedReceiver<EvidenceUpdate>,
    ) -> Self {
        let (recent, noted) = (BTreeSet::new(), BTreeSet::new());
        Self { followed, gossip, suspects, metrics, updates, recent, noted }
    }

    /// Waits until there is something to look at. False when nothing will come any more.
    async fn wait_until_due(&mut self) -> bool {
        let pause = match (self.recent.is_empty(), self.noted.is_empty()) {
            (false, _) => RECHECK_DELAY,
            (true, false) => CHECK_INTERVAL,
            (true, true) => Duration::MAX,
        };
        tokio::select! {
            update = self.updates.recv() => match update {
                Some(update) => self.apply_update(update),
                None => return false,
            },
            // The second look is the last one.
            () = tokio::time::sleep(pause) => {
                self.note_repeated();
                self.recent.clear();
            }
        }
        true
    }

    fn apply_update(&mut self, update: EvidenceUpdate) {
        match update {
            EvidenceUpdate::CrashedHere(requests) => self.recent.extend(requests),
            EvidenceUpdate::InOwnRecord(requests) => self.noted.extend(requests),
        }
    }

    /// Adds those recent requests that ran in several crashes to what is noted.
    fn note_repeated(&mut self) {
        let repeated = self.recent.iter().filter(|request| self.suspects.is_repeat_suspect(**request));
        self.noted.extend(repeated);
    }

    /// Brings this daemon's record up to what is known of the requests that it holds.
    async fn step(&mut self) -> Result<(), StoreError> {
        while let Ok(update) = self.updates.try_recv() {
            self.apply_update(update);
        }
        self.note_repeated();
        let noted: Vec<RequestDigest> = self.noted.iter().copied().collect();
        let reports = self.suspects.reports(&noted);
        // What is no longer known was cleared or has lapsed.
        self.noted.retain(|request| reports.iter().any(|report| report.record.request == *request));
        while !reports.is_empty() {
            // One time-out for the read and the write together.
            let written = tokio::time::timeout(STORE_TIMEOUT, self.write(&reports)).await;
            match written.unwrap_or_else(|_| Err(StoreError::timed_out()))? {
                WriteOutcome::Done(_) => return Ok(()),
                // Another write came in between: the record is read again at once.
                WriteOutcome::Refused(_) => {}
            }
        }
        Ok(())
    }

    /// Writes what this daemon's record lacks.
    async fn write(&self, reports: &[SuspectReport]) -> Result<WriteOutcome, StoreError> {
        let key = DaemonRecord::key(&self.followed.member_prefix, self.gossip);
        let reading = self.metrics.time_store_call(self.followed.store.get(&key)).await?;
        let revision = reading.found.as_ref().map_or(Revision(0), |item| item.revision);
        let mut record = reading.found.as_ref().map(DaemonRecord::read).unwrap_or_default();
        if !add(&mut record, reports) {
            return Ok(WriteOutcome::Done(revision));
        }
        let write = Write {
            expect: vec![(key.clone(), revision)],
            put: vec![(key, record.to_bytes())],
            ..Write::default()
        };
        let outcome = self.metrics.time_store_call(self.followed.store.write(&write)).await?;
        if matches!(outcome, WriteOutcome::Done(_)) {
            info!(requests = reports.len(); "evidence against requests noted in the store");
        }
        Ok(outcome)
    }
}

/// Adds to a record what it lacks of the reports. True when it lacked anything.
fn add(record: &mut DaemonRecord, reports: &[SuspectReport]) -> bool {
    let now = unix_milliseconds();
    let mut changed = false;
    for report in reports {
        let index = record.condemned.iter().position(|known| known.record.request == report.record.request);
        let mut entry = CondemnedRecord::new(report, now);
        if let Some(index) = index {
            let known = &record.condemned[index];
            if !known.record.clone().merge(&report.record) {
                continue;
            }
            entry.record.merge(&known.record);
            record.condemned.remove(index);
        }
        record.condemned.push(entry);
        changed = true;
    }
    let dropped = record.condemned.len().saturating_sub(MAX_NOTED);
    // The order among those of a kind stays: the oldest come first.
    record.condemned.sort_by_key(|known| known.record.open_crashes() > 0);
    record.condemned.drain(..dropped);
    changed
}
