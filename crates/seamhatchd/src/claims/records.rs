//! Results of the claims that this daemon made, looked up when the same request is repeated.
//!
//! The claimant writes the records, claimants of other daemons read them through control requests, and the control thread removes
//! old ones. Answers recorded by daemons that have stopped are held here, too.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::claims::{CLAIM_RETENTION, ClaimHolder, ClaimKey};
use seamhatch_wire::{RecordedAnswer, RecordedState};
use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard};

/// Maximum size of all recorded answer bodies; the oldest records are evicted first.
const MAX_TOTAL_RECORDED_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of records; the oldest are evicted first.
const MAX_RECORDS: usize = 100_000;

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

/// Results of the claims made by this daemon's attempts.
#[derive(Debug, Default)]
pub struct ClaimRecords(Mutex<Records>);

impl ClaimRecords {
    /// Adds a claim that is about to be made.
    pub fn begin(&self, key: ClaimKey, holder: ClaimHolder) {
        self.lock().begin(key, holder);
    }

    /// Sets the state of a claim, unless its record was evicted.
    pub fn set(&self, key: ClaimKey, holder: ClaimHolder, state: RecordedState) {
        self.lock().set(key, holder, state);
    }

    /// Stores the answer to another daemon's claim, unless a record of that claim exists.
    pub fn hold(&self, key: ClaimKey, holder: ClaimHolder, answer: RecordedAnswer) {
        let mut records = self.lock();
        if !records.by_claim.contains_key(&(key, holder)) {
            records.begin(key, holder);
            records.set(key, holder, RecordedState::Answered(answer));
        }
    }

    /// The claims with a recorded answer, newest first.
    #[must_use]
    pub fn answered(&self) -> Vec<(ClaimKey, ClaimHolder)> {
        let records = self.lock();
        let is_answered = |claim: &&(ClaimKey, ClaimHolder)| {
            let record = records.by_claim.get(claim);
            record.is_some_and(|record| matches!(record.state, RecordedState::Answered(_)))
        };
        records.order.iter().rev().filter(is_answered).copied().collect()
    }

    /// The state of a claim; [`RecordedState::Forgotten`] without a record.
    #[must_use]
    pub fn get(&self, key: ClaimKey, holder: ClaimHolder) -> RecordedState {
        let records = self.lock();
        records.by_claim.get(&(key, holder)).map_or(RecordedState::Forgotten, |record| record.state.clone())
    }

    /// Removes records that are older than [`CLAIM_RETENTION`].
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
        self.bytes > MAX_TOTAL_RECORDED_BYTES || self.order.len() > MAX_RECORDS
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
