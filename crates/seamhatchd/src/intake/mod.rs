//! The requests that this process has taken and not yet ended, whoever sent them. Nothing is taken past it.
//!
//! [`RequestIntake`] owns the table and, under the same lock, the [`IntakeGate`] that decides whether anything more is taken. A request is entered when
//! its head has been read, by whoever reads it: the listeners, and the sessions of other daemons. It leaves once its answer has been written to its
//! connection, or nobody waits for one any more. The stop sequence closes the intake when the table is empty; when the time is up before, it names
//! what it cuts off by it.

mod progress;

pub use progress::{RequestEntry, RequestProgress, RequestStage};

use crate::base::lock::lock;
use seamhatch_core::intake::{IntakeClosed, IntakeGate, IntakePhase};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// The requests in progress.
#[derive(Debug)]
pub struct RequestIntake {
    table: Mutex<IntakeTable>,
    /// Set when the time is up for what is in progress.
    cut: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct IntakeTable {
    gate: IntakeGate,
    next: u64,
    taken: HashMap<u64, Arc<RequestProgress>>,
    refused: u64,
}

/// A request that was taken. It is in progress until all clones are dropped.
#[derive(Debug, Clone)]
pub struct AcceptedRequest(Arc<TableEntry>);

#[derive(Debug)]
struct TableEntry {
    intake: Arc<RequestIntake>,
    number: u64,
    progress: Arc<RequestProgress>,
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        let mut table = self.intake.lock();
        table.taken.remove(&self.number);
        table.gate.end();
    }
}

impl AcceptedRequest {
    /// How far it has come.
    #[must_use]
    pub fn progress(&self) -> &Arc<RequestProgress> {
        &self.0.progress
    }

    /// Whether no other part of the daemon works on it.
    #[must_use]
    pub fn is_last_handle(&self) -> bool {
        Arc::strong_count(&self.0) == 1
    }
}

impl Default for RequestIntake {
    fn default() -> Self {
        Self { table: Mutex::default(), cut: watch::Sender::new(false) }
    }
}

impl RequestIntake {
    /// Takes a request that came in at `entry`.
    ///
    /// # Errors
    /// [`IntakeClosed`]: the process ends, and the request has to be refused as not run.
    pub fn accept(self: &Arc<Self>, entry: RequestEntry) -> Result<AcceptedRequest, IntakeClosed> {
        let progress = Arc::new(RequestProgress::begin(entry));
        let mut table = self.lock();
        if let Err(closed) = table.gate.take() {
            table.refused += 1;
            return Err(closed);
        }
        let number = table.next;
        table.next += 1;
        table.taken.insert(number, progress.clone());
        drop(table);
        Ok(AcceptedRequest(Arc::new(TableEntry { intake: self.clone(), number, progress })))
    }

    /// Which requests are taken.
    #[must_use]
    pub fn phase(&self) -> IntakePhase {
        self.lock().gate.phase()
    }

    /// Takes only calls of requests in progress from now on.
    pub fn close_to_callers(&self) {
        self.lock().gate.close_to_callers();
    }

    /// Takes nothing more if nothing is in progress; false if something is.
    #[must_use]
    pub fn close_if_idle(&self) -> bool {
        self.lock().gate.close_if_idle()
    }

    /// Takes nothing more, and has all that is in progress given up. Returns how far each request has come, the oldest first.
    pub fn close_and_cut(&self) -> Vec<Arc<RequestProgress>> {
        self.lock().gate.close();
        let unfinished = self.unfinished();
        self.cut.send_replace(true);
        unfinished
    }

    /// Waits until what is in progress has to be given up.
    pub async fn until_cut(&self) {
        // Fails only where the intake is gone, which this reference excludes.
        let _ = self.cut.subscribe().wait_for(|cut| *cut).await;
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
        self.lock().gate.in_progress()
    }

    fn unfinished(&self) -> Vec<Arc<RequestProgress>> {
        let table = self.lock();
        let mut numbers: Vec<u64> = table.taken.keys().copied().collect();
        numbers.sort_unstable();
        numbers.iter().map(|number| table.taken[number].clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, IntakeTable> {
        lock(&self.table)
    }
}
