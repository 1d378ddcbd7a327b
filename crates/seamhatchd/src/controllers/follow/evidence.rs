//! Persists in the store which requests crash servers, so that the evidence outlives all daemons.
//!
//! The daemon beside a crashed server writes evidence against the requests that ran there into its own record. Only requests
//! that ran in several crashes are recorded, since dozens run in a single crash by coincidence. The task periodically checks
//! whether the store still has the evidence, since an outage may outlast any number of attempts and a store may be restored
//! from an older copy, and whether the request has been cleared. [`SuspectRegistry`] owns the evidence; this task owns only
//! the set of recorded requests.

use super::own_record::{OwnRecord, RecordChange};
use super::store_calls::Backoff;
use crate::base::clock::unix_milliseconds;
use crate::base::metrics::Metrics;
use crate::server::crashes::SuspectRegistry;
use crate::store::{DaemonRecord, StoreError};
use log::{debug, info};
use seamhatch_core::crashes::{CondemnedRecord, SuspectReport};
use seamhatch_core::identity::RequestDigest;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of requests in the record of one daemon. Beyond it, cleared requests are dropped first, then the oldest.
const MAX_NOTED: usize = 32;
/// Interval between two checks whether the store still has the recorded evidence.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Delay after a crash until its requests are checked again. Simultaneous crashes elsewhere are known here by then.
const RECHECK_DELAY: Duration = Duration::from_secs(1);

/// Requests whose evidence may have to be recorded in the store.
#[derive(Debug)]
pub enum EvidenceUpdate {
    /// The requests ran in a crash of this daemon's back end.
    CrashedHere(Vec<RequestDigest>),
    /// This daemon's record in the store contains the requests.
    InOwnRecord(Vec<RequestDigest>),
}

/// State and dependencies of the task that records evidence in the store.
pub struct EvidenceKeeper {
    own_record: Arc<OwnRecord>,
    suspects: Arc<SuspectRegistry>,
    metrics: Arc<Metrics>,
    updates: mpsc::UnboundedReceiver<EvidenceUpdate>,
    /// Requests of recent crashes here, which may turn out to have run in other crashes as well.
    recent: BTreeSet<RequestDigest>,
    noted: BTreeSet<RequestDigest>,
}

/// Records evidence in the store, and restores it there when missing, until the process ends.
pub async fn keep_evidence(mut keeper: EvidenceKeeper) {
    let mut backoff = Backoff::default();
    while keeper.wait_until_due().await {
        while let Err(error) = keeper.step().await {
            keeper.metrics.store_failures.inc();
            debug!(error = error.to_string().as_str(); "evidence can't be recorded in the store; retrying");
            backoff.pause().await;
        }
        backoff.succeeded();
    }
}

impl EvidenceKeeper {
    /// Creates a keeper with no recorded requests. `updates` delivers requests whose evidence may have to be recorded.
    pub fn new(
        own_record: Arc<OwnRecord>,
        suspects: Arc<SuspectRegistry>,
        metrics: Arc<Metrics>,
        updates: mpsc::UnboundedReceiver<EvidenceUpdate>,
    ) -> Self {
        let (recent, noted) = (BTreeSet::new(), BTreeSet::new());
        Self { own_record, suspects, metrics, updates, recent, noted }
    }

    /// Waits for an update or the next check. Returns false when the channel is closed.
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
            // Recent requests are checked once more, then dropped.
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

    /// Adds the recent requests that ran in several crashes to the recorded ones.
    fn note_repeated(&mut self) {
        let repeated = self.recent.iter().filter(|request| self.suspects.is_repeat_suspect(**request));
        self.noted.extend(repeated);
    }

    /// Updates this daemon's record with the current evidence on its requests.
    async fn step(&mut self) -> Result<(), StoreError> {
        while let Ok(update) = self.updates.try_recv() {
            self.apply_update(update);
        }
        self.note_repeated();
        let noted: Vec<RequestDigest> = self.noted.iter().copied().collect();
        let reports = self.suspects.reports(&noted);
        // Requests without a report were cleared or have expired.
        self.noted.retain(|request| reports.iter().any(|report| report.record.request == *request));
        if reports.is_empty() {
            return Ok(());
        }
        // The store may have lost the record.
        self.own_record.read().await?;
        loop {
            match self.own_record.change(&|record: &mut DaemonRecord| add(record, &reports)).await? {
                RecordChange::Written => {
                    info!(requests = reports.len(); "evidence against requests recorded in the store");
                    return Ok(());
                }
                RecordChange::Unneeded => return Ok(()),
                RecordChange::Conflict => {}
            }
        }
    }
}

/// Adds the missing parts of the reports to a record.
fn add(record: &mut DaemonRecord, reports: &[SuspectReport]) {
    let now = unix_milliseconds();
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
    }
    let dropped = record.condemned.len().saturating_sub(MAX_NOTED);
    // The stable sort keeps the oldest first within each kind.
    record.condemned.sort_by_key(|known| known.record.open_crashes() > 0);
    record.condemned.drain(..dropped);
}
