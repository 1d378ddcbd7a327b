//! What the tasks of a soak write its history with.

use super::history::{HistoryEvent, SoakMillis};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Gathers events; cheap to clone.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    events: Arc<Mutex<Vec<HistoryEvent>>>,
}

impl Recorder {
    /// One whose time begins now.
    #[must_use]
    pub fn begin() -> Self {
        Self { start: Instant::now(), events: Arc::default() }
    }

    /// The beginning.
    #[must_use]
    pub fn start(&self) -> Instant {
        self.start
    }

    /// Time since the beginning.
    #[must_use]
    pub fn at_ms(&self) -> SoakMillis {
        self.start.elapsed().as_millis() as SoakMillis
    }

    /// Adds an event.
    pub fn note(&self, event: HistoryEvent) {
        self.events.lock().expect("history lock").push(event);
    }

    /// The events so far, which it keeps no more.
    #[must_use]
    pub fn take(&self) -> Vec<HistoryEvent> {
        std::mem::take(&mut self.events.lock().expect("history lock"))
    }
}
