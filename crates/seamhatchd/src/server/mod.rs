//! The back end beside this daemon: its connections, its instances, the slots that calls wait for, the calls that it
//! runs, and its crashes.
//!
//! All calls to the back end pass through here, so that the daemon knows exactly what is in progress.

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
use std::sync::Arc;

/// The back end beside this daemon, as all threads share it.
#[derive(Debug)]
pub struct LocalServer {
    /// Its slots, and the calls that wait for one.
    pub gate: Arc<AdmissionGate>,
    /// What it says of itself in its answers.
    pub notices: BackEndNotices,
    /// Calls that run there.
    pub running: Arc<RunningCalls>,
    /// The connections to it.
    pub backend: Backend,
    /// Which instance of it takes work.
    pub instances: Instances,
    /// Its crashes, and the calls that were at work then.
    pub crashes: CrashTracker,
}
