//! The local back end: its connections, its instances, its slots and the calls that wait for them,
//! the calls that it runs, and its crashes.
//!
//! All calls to the back end pass through this module, so that the daemon knows exactly which calls
//! are in progress.

pub mod backend;
pub mod crashes;
pub mod gate;
pub mod instances;
pub mod notices;
pub mod running;

use backend::Backend;
use crashes::CrashTracker;
use gate::AdmissionGate;
use instances::Instances;
use notices::BackEndNotices;
use running::RunningCalls;
use seamhatch_core::instance::InstanceId;
use std::sync::Arc;

/// The local back end, shared by all threads.
#[derive(Debug)]
pub struct LocalServer {
    /// Slots of the back end, and the calls that wait for one.
    pub gate: Arc<AdmissionGate>,
    /// State that the back end reports about itself in its answers.
    pub notices: BackEndNotices,
    /// Calls that run on the back end.
    pub running: Arc<RunningCalls>,
    /// Connections to the back end.
    pub backend: Backend,
    /// Which instance of the back end takes calls.
    pub instances: Instances,
    /// Crashes of the back end, and the calls that were running then.
    pub crashes: CrashTracker,
}

impl LocalServer {
    /// Records that an instance takes calls, before it receives the first.
    pub fn note_open(&self, instance: &InstanceId) {
        self.notices.note_open(Some(instance));
        self.running.note_open(instance);
    }
}
