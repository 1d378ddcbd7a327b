//! The runs in progress on the local back end, shared by the calls themselves.
//!
//! Wraps the table in [`seamhatch_core::crashes::RunTable`], which decides which requests become
//! suspects, in a lock. A run is removed when its [`TrackedRun`] is dropped.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::crashes::{CrashedRuns, InstanceDigest, RunEnd, RunMode, RunNumber, RunTable};
use seamhatch_core::identity::{Incarnation, RequestDigest};
use seamhatch_core::instance::InstanceId;
use std::sync::{Arc, Mutex};

/// Tracks the runs on the local back end, and which of its instances have crashed.
#[derive(Debug)]
pub struct CrashTracker {
    incarnation: Incarnation,
    runs: Arc<Mutex<RunTable>>,
    /// Start of the last probe that found the back end running. The lock is held by the call that
    /// probes.
    pub(super) last_seen_alive: tokio::sync::Mutex<Instant>,
}

/// A run in progress. It ends when this is dropped.
#[derive(Debug)]
pub struct TrackedRun {
    /// Instance that executes the run.
    pub instance: InstanceDigest,
    /// Whether the back end's instances have no names.
    is_unnamed: bool,
    runs: Arc<Mutex<RunTable>>,
    number: RunNumber,
}

impl TrackedRun {
    /// Records how the run has ended. A run that is dropped without this call counts as broken off.
    pub fn finish(&self, end: RunEnd) {
        lock(&self.runs).finish(self.number, end, clock::now());
    }
}

impl Drop for TrackedRun {
    fn drop(&mut self) {
        self.finish(RunEnd::BrokenOff);
    }
}

impl CrashTracker {
    /// Creates a tracker without runs.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, runs: Arc::default(), last_seen_alive: tokio::sync::Mutex::default() }
    }

    /// Records a call that is about to be sent to the back end.
    #[must_use]
    pub fn begin(&self, instance: Option<&InstanceId>, request: RequestDigest, mode: RunMode) -> TrackedRun {
        let is_unnamed = instance.is_none();
        let (number, instance) = lock(&self.runs).begin(self.incarnation, instance, request, mode);
        TrackedRun { instance, is_unnamed, runs: self.runs.clone(), number }
    }

    /// Whether the instance that executes the run is known to have crashed.
    pub(super) fn has_ended(&self, run: &TrackedRun) -> bool {
        lock(&self.runs).has_ended(run.instance)
    }

    /// Records that the instance that executes the run has crashed. Returns what was running on it.
    pub(super) fn end_instance(&self, run: &TrackedRun) -> CrashedRuns {
        lock(&self.runs).end(run.instance, run.is_unnamed, clock::now())
    }

    /// Records that another instance has replaced this one, which had not reported that it leaves.
    /// Returns what was running on it when it ended, if that was not known before.
    pub(super) fn replace_instance(&self, instance: &InstanceId) -> CrashedRuns {
        lock(&self.runs).replace(instance, clock::now())
    }
}
