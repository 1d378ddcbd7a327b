//! Collects the events of a soak from all its tasks, and gives them their time.

use super::history::{HistoryEvent, SoakMillis};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Collects events; cheap to clone.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    events: Arc<Mutex<Vec<HistoryEvent>>>,
}

impl Recorder {
    /// A recorder whose time begins now.
    #[must_use]
    pub fn begin() -> Self {
        Self { start: Instant::now(), events: Arc::default() }
    }

    /// The time at which it began.
    #[must_use]
    pub fn start(&self) -> Instant {
        self.start
    }

    /// Milliseconds since the beginning.
    #[must_use]
    pub fn at_ms(&self) -> SoakMillis {
        self.start.elapsed().as_millis() as SoakMillis
    }

    /// Adds an event.
    pub fn note(&self, event: HistoryEvent) {
        self.events.lock().expect("history lock").push(event);
    }

    /// Takes the events so far.
    #[must_use]
    pub fn take(&self) -> Vec<HistoryEvent> {
        std::mem::take(&mut self.events.lock().expect("history lock"))
    }
}
