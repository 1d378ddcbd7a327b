//! What became of the claims that this daemon made, for repeats of the same request.
//!
//! Written by the claimant, read by other daemons' claimants through control requests, and trimmed by the control thread. Answers of daemons that have stopped
//! are held here, too.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::claims::{CLAIM_RETENTION, ClaimHolder, ClaimKey};
use seamhatch_wire::{RecordedAnswer, RecordedState};
use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard};

/// Bytes of recorded answers that are kept; the oldest go first.
const LARGEST_TOTAL: usize = 8 * 1024 * 1024;

/// Claims that are remembered at most; the oldest go first.
const MOST_RECORDS: usize = 100_000;

#[derive(Debug)]
struct Record {
    state: RecordedState,
    since: Instant,
}

#[derive(Debug, Default)]
struct Records {
    by_claim: HashMap<(ClaimKey, ClaimHolder), Record>,
    order: VecDeque<(ClaimKey, ClaimHolder)>,
    bytes: usize,
}

/// The claims of this daemon's attempts.
#[derive(Debug, Default)]
pub struct ClaimRecords(Mutex<Records>);

impl ClaimRecords {
    /// Adds a claim that is about to be made.
    pub fn begin(&self, key: ClaimKey, holder: ClaimHolder) {
        self.lock().begin(key, holder);
    }

    /// Records what became of a claim, unless it was forgotten.
    pub fn set(&self, key: ClaimKey, holder: ClaimHolder, state: RecordedState) {
        self.lock().set(key, holder, state);
    }

    /// Holds the answer of another daemon's claim, unless it does already.
    pub fn hold(&self, key: ClaimKey, holder: ClaimHolder, answer: RecordedAnswer) {
        let mut records = self.lock();
        if !records.by_claim.contains_key(&(key, holder)) {
            records.begin(key, holder);
            records.set(key, holder, RecordedState::Answered(answer));
        }
    }

    /// The claims whose answers are known, the latest first.
    #[must_use]
    pub fn answered(&self) -> Vec<(ClaimKey, ClaimHolder)> {
        let records = self.lock();
        let is_answered = |claim: &&(ClaimKey, ClaimHolder)| {
            let record = records.by_claim.get(claim);
            record.is_some_and(|record| matches!(record.state, RecordedState::Answered(_)))
        };
        records.order.iter().rev().filter(is_answered).copied().collect()
    }

    /// What became of a claim.
    #[must_use]
    pub fn get(&self, key: ClaimKey, holder: ClaimHolder) -> RecordedState {
        let records = self.lock();
        records.by_claim.get(&(key, holder)).map_or(RecordedState::Forgotten, |record| record.state.clone())
    }

    /// Forgets claims that are older than [`CLAIM_RETENTION`].
    pub fn forget_old(&self) {
        let now = clock::now();
        let mut records = self.lock();
        while records.oldest_age(now).is_some_and(|age| age > CLAIM_RETENTION) {
            records.drop_oldest();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Records> {
        lock(&self.0)
    }
}

impl Records {
    fn begin(&mut self, key: ClaimKey, holder: ClaimHolder) {
        let record = Record { state: RecordedState::Undecided, since: clock::now() };
        self.by_claim.insert((key, holder), record);
        self.order.push_back((key, holder));
        self.shrink();
    }

    fn set(&mut self, key: ClaimKey, holder: ClaimHolder, state: RecordedState) {
        let Some(record) = self.by_claim.get_mut(&(key, holder)) else { return };
        self.bytes += size(&state);
        self.bytes -= size(&record.state);
        record.state = state;
        self.shrink();
    }

    fn shrink(&mut self) {
        while self.is_full() && !self.order.is_empty() {
            self.drop_oldest();
        }
    }

    fn is_full(&self) -> bool {
        self.bytes > LARGEST_TOTAL || self.order.len() > MOST_RECORDS
    }

    fn oldest_age(&self, now: Instant) -> Option<u64> {
        let record = self.by_claim.get(self.order.front()?)?;
        Some(now.since(record.since))
    }

    fn drop_oldest(&mut self) {
        let Some(claim) = self.order.pop_front() else { return };
        if let Some(record) = self.by_claim.remove(&claim) {
            self.bytes -= size(&record.state);
        }
    }
}

fn size(state: &RecordedState) -> usize {
    match state {
        RecordedState::Answered(answer) => answer.body.len(),
        _ => 0,
    }
}
