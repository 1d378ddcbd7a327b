//! The table of all requests in progress in this process. Every request must be accepted here before it is
//! processed.
//!
//! [`RequestIntake`] owns the table and, under the same lock, the [`IntakeGate`] that decides whether further
//! requests are accepted. The listeners and the sessions of other daemons enter a request when they have read its
//! head. A request leaves the table when its answer has been written to its connection, or when its caller no
//! longer waits for it. The stop sequence closes the intake when the table is empty. If the grace period runs out
//! first, the stop sequence uses the table to log the requests that it cuts off.

mod progress;

pub use progress::{RequestEntry, RequestProgress, RequestStage};

use crate::base::lock::lock;
use seamhatch_core::intake::{IntakeClosed, IntakeGate, IntakePhase};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// Accepts requests and tracks them until they end.
#[derive(Debug)]
pub struct RequestIntake {
    table: Mutex<IntakeTable>,
    /// Set when the requests in progress are to be cut off.
    cut: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct IntakeTable {
    gate: IntakeGate,
    next: u64,
    in_progress: HashMap<u64, Arc<RequestProgress>>,
    refused: u64,
}

/// An accepted request, which counts as in progress until all clones are dropped.
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
        table.in_progress.remove(&self.number);
        table.gate.end();
    }
}

impl AcceptedRequest {
    /// The progress of the request.
    #[must_use]
    pub fn progress(&self) -> &Arc<RequestProgress> {
        &self.0.progress
    }

    /// Whether this is the only remaining handle to the request.
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
    /// Accepts a request that arrived at `entry`.
    ///
    /// # Errors
    /// [`IntakeClosed`] if the process is about to end; the request must be refused as not run.
    pub fn accept(self: &Arc<Self>, entry: RequestEntry) -> Result<AcceptedRequest, IntakeClosed> {
        let progress = Arc::new(RequestProgress::begin(entry));
        let mut table = self.lock();
        if let Err(closed) = table.gate.take() {
            table.refused += 1;
            return Err(closed);
        }
        let number = table.next;
        table.next += 1;
        table.in_progress.insert(number, progress.clone());
        drop(table);
        Ok(AcceptedRequest(Arc::new(TableEntry { intake: self.clone(), number, progress })))
    }

    /// Which requests are accepted.
    #[must_use]
    pub fn phase(&self) -> IntakePhase {
        self.lock().gate.phase()
    }

    /// From now on accepts only calls made for requests in progress.
    pub fn close_to_callers(&self) {
        self.lock().gate.close_to_callers();
    }

    /// Closes the intake if no request is in progress. Returns whether it is closed.
    #[must_use]
    pub fn close_if_idle(&self) -> bool {
        self.lock().gate.close_if_idle()
    }

    /// Closes the intake and cuts off all requests in progress. Returns their progress, oldest first.
    pub fn close_and_cut(&self) -> Vec<Arc<RequestProgress>> {
        self.lock().gate.close();
        let unfinished = self.unfinished();
        self.cut.send_replace(true);
        unfinished
    }

    /// Waits until the requests in progress are cut off.
    pub async fn until_cut(&self) {
        // Fails only if the sender is dropped, which `&self` rules out.
        let _ = self.cut.subscribe().wait_for(|cut| *cut).await;
    }

    /// Counts a request that is refused because the daemon is stopping.
    pub fn note_refused(&self) {
        self.lock().refused += 1;
    }

    /// The number of requests refused because the daemon is stopping.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    /// The number of requests in progress, including those whose answers are not fully written.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().gate.in_progress()
    }

    fn unfinished(&self) -> Vec<Arc<RequestProgress>> {
        let table = self.lock();
        let mut numbers: Vec<u64> = table.in_progress.keys().copied().collect();
        numbers.sort_unstable();
        numbers.iter().map(|number| table.in_progress[number].clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, IntakeTable> {
        lock(&self.table)
    }
}
