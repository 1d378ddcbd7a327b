//! Admission floors of the services behind the entry, shared by all threads.
//!
//! Wraps the table in [`seamhatch_core::entry_floor`], which makes the decisions, in a lock.
//! Answers on the request path and heartbeats of peers write it; the entry floor filter reads it.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::entry_floor::EntryFloorTable;
use seamhatch_core::priority::{AdmissionFloor, Priority};
use seamhatch_wire::ChainFloor;
use std::sync::{Mutex, MutexGuard};

/// Admission floors of the services behind the entry.
#[derive(Debug, Default)]
pub struct EntryFloors(Mutex<EntryFloorTable>);

impl EntryFloors {
    /// Records the lowest floor that the chain of an answered request has met; `None` if it has met
    /// none.
    pub fn learn(&self, kind: &str, met: Option<&ChainFloor>) {
        let met = met.map(|met| (met.service.as_str(), met.floor));
        self.lock().learn(kind, met, clock::now());
    }

    /// Records the floor of a service, computed from the reports of its servers, when a heartbeat
    /// brings a report.
    pub fn learn_service(&self, service: &str, floor: AdmissionFloor) {
        self.lock().learn_service(service, floor, clock::now());
    }

    /// Records the time from the arrival of a request of this kind to a successful answer.
    pub fn learn_answer_time(&self, kind: &str, took: Microseconds) {
        self.lock().learn_answer_time(kind, took);
    }

    /// Whether a request of this kind and priority is admitted.
    #[must_use]
    pub fn admits(&self, kind: &str, priority: Priority) -> bool {
        self.lock().admits(kind, priority, clock::now())
    }

    /// Returns the service with the lowest floor among the recorded bottlenecks of this kind of
    /// request; `None` if all are open.
    #[must_use]
    pub fn bottleneck(&self, kind: &str) -> Option<String> {
        self.lock().bottleneck(kind, clock::now()).map(str::to_owned)
    }

    /// Returns the time after which a refused request of this kind and priority should return,
    /// before jitter.
    #[must_use]
    pub fn return_after(&self, kind: &str, priority: Priority, objective: Microseconds) -> Microseconds {
        self.lock().return_after(kind, priority, objective, clock::now())
    }

    fn lock(&self) -> MutexGuard<'_, EntryFloorTable> {
        lock(&self.0)
    }
}
