//! What is known of the admission floors behind the entry, shared by all threads.
//!
//! Locks the table of [`seamhatch_core::entry_floor`], which decides. Answers of the request path and heartbeats of peers write it;
//! the entry floor filter reads it.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::entry_floor::EntryFloorTable;
use seamhatch_core::priority::{AdmissionFloor, Priority};
use seamhatch_wire::ChainFloor;
use std::sync::{Mutex, MutexGuard};

/// Floors of the services behind the entry.
#[derive(Debug, Default)]
pub struct EntryFloors(Mutex<EntryFloorTable>);

impl EntryFloors {
    /// Records the lowest floor that an answer's chain met, or that it met none.
    pub fn learn(&self, kind: &str, met: Option<&ChainFloor>) {
        let met = met.map(|met| (met.service.as_str(), met.floor));
        self.lock().learn(kind, met, clock::now());
    }

    /// Records what `service` admits by the reports of its servers, when a heartbeat brings one.
    pub fn learn_service(&self, service: &str, floor: AdmissionFloor) {
        self.lock().learn_service(service, floor, clock::now());
    }

    /// Records how long a request of this kind took from its arrival to a good answer.
    pub fn learn_answer_time(&self, kind: &str, took: Microseconds) {
        self.lock().learn_answer_time(kind, took);
    }

    /// Whether a request of this kind and priority is admitted.
    #[must_use]
    pub fn admits(&self, kind: &str, priority: Priority) -> bool {
        self.lock().admits(kind, priority, clock::now())
    }

    /// The service with the lowest floor among those that bound this kind of request; none where all are open.
    #[must_use]
    pub fn bottleneck(&self, kind: &str) -> Option<String> {
        self.lock().bottleneck(kind, clock::now()).map(str::to_owned)
    }

    /// When a refused request of this kind and priority should return, before jitter.
    #[must_use]
    pub fn return_after(&self, kind: &str, priority: Priority, objective: Microseconds) -> Microseconds {
        self.lock().return_after(kind, priority, objective, clock::now())
    }

    fn lock(&self) -> MutexGuard<'_, EntryFloorTable> {
        lock(&self.0)
    }
}
