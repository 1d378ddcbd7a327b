//! The requests that this process has taken and not yet ended, whoever sent them.
//!
//! [`RequestIntake`] owns the table. A request is entered when its head has been read, by whoever reads it: the listeners, and the
//! sessions of other daemons. It leaves once its answer has been written to its connection, or nobody waits for one any more. The stop sequence
//! waits for the table to be empty, and names what it cuts off by it.

mod progress;

pub use progress::{RequestEntry, RequestProgress, RequestStage};

use crate::base::lock::lock;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// The requests in progress.
#[derive(Debug, Default)]
pub struct RequestIntake(Mutex<IntakeTable>);

#[derive(Debug, Default)]
struct IntakeTable {
    next: u64,
    taken: HashMap<u64, Arc<RequestProgress>>,
    refused: u64,
}

/// A request that was taken. It is in progress until all clones are dropped.
#[derive(Debug, Clone)]
pub struct TakenRequest(Arc<TableEntry>);

#[derive(Debug)]
struct TableEntry {
    intake: Arc<RequestIntake>,
    number: u64,
    progress: Arc<RequestProgress>,
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        self.intake.lock().taken.remove(&self.number);
    }
}

impl TakenRequest {
    /// How far it has come.
    #[must_use]
    pub fn progress(&self) -> &Arc<RequestProgress> {
        &self.0.progress
    }

    /// Whether no other part of the daemon works on it.
    #[must_use]
    pub fn is_last(&self) -> bool {
        Arc::strong_count(&self.0) == 1
    }
}

impl RequestIntake {
    /// Takes a request that came in at `entry`.
    #[must_use]
    pub fn take(self: &Arc<Self>, entry: RequestEntry) -> TakenRequest {
        let progress = Arc::new(RequestProgress::begin(entry));
        let mut table = self.lock();
        let number = table.next;
        table.next += 1;
        table.taken.insert(number, progress.clone());
        drop(table);
        TakenRequest(Arc::new(TableEntry { intake: self.clone(), number, progress }))
    }

    /// Counts a request that is refused because the daemon stops.
    pub fn note_refused(&self) {
        self.lock().refused += 1;
    }

    /// Requests refused because the daemon stops.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    /// Requests in progress, until they are written.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().taken.len()
    }

    /// How far each request in progress has come, the oldest first.
    #[must_use]
    pub fn unfinished(&self) -> Vec<Arc<RequestProgress>> {
        let table = self.lock();
        let mut numbers: Vec<u64> = table.taken.keys().copied().collect();
        numbers.sort_unstable();
        numbers.iter().map(|number| table.taken[number].clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, IntakeTable> {
        lock(&self.0)
    }
}
