//! The calls that run on the back end beside this daemon, shared by the calls themselves.
//!
//! Locks the table of [`seamhatch_core::crashes::RunTable`], which decides who becomes a suspect; a call leaves it when its
//! [`TrackedRun`] is dropped.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::crashes::{CrashedRuns, InstanceDigest, RunEnd, RunMode, RunNumber, RunTable};
use seamhatch_core::identity::{Incarnation, RequestDigest};
use seamhatch_core::instance::InstanceId;
use std::sync::{Arc, Mutex};

/// What runs on the back end, and which of its instances have ended in a crash.
#[derive(Debug)]
pub struct CrashTracker {
    incarnation: Incarnation,
    calls: Arc<Mutex<RunTable>>,
    /// When the last look that found the back end alive began; held by the call that looks.
    pub(super) seen_alive: tokio::sync::Mutex<Instant>,
}

/// A call that runs until this is dropped.
#[derive(Debug)]
pub struct TrackedRun {
    /// The instance that runs it.
    pub instance: InstanceDigest,
    /// The back end's instances have no names.
    is_unnamed: bool,
    calls: Arc<Mutex<RunTable>>,
    number: RunNumber,
}

impl TrackedRun {
    /// Records how the run has ended. One that is dropped without this has broken off.
    pub fn finish(&self, end: RunEnd) {
        lock(&self.calls).finish(self.number, end, clock::now());
    }
}

impl Drop for TrackedRun {
    fn drop(&mut self) {
        self.finish(RunEnd::BrokenOff);
    }
}

impl CrashTracker {
    /// Nothing runs yet.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, calls: Arc::default(), seen_alive: tokio::sync::Mutex::default() }
    }

    /// A call that is about to be sent to the back end.
    #[must_use]
    pub fn begin(&self, instance: Option<&InstanceId>, request: RequestDigest, mode: RunMode) -> TrackedRun {
        let is_unnamed = instance.is_none();
        let (number, instance) = lock(&self.calls).begin(self.incarnation, instance, request, mode);
        TrackedRun { instance, is_unnamed, calls: self.calls.clone(), number }
    }

    /// Whether the instance that runs the call is known to have ended in a crash.
    pub(super) fn has_ended(&self, work: &TrackedRun) -> bool {
        lock(&self.calls).has_ended(work.instance)
    }

    /// Records that the instance that runs the call has ended in a crash. Returns what ran on it.
    pub(super) fn end_instance(&self, work: &TrackedRun) -> CrashedRuns {
        lock(&self.calls).end(work.instance, work.is_unnamed, clock::now())
    }

    /// Another instance has taken the place of this one, which had not reported that it leaves. Returns what ran on it when
    /// it ended, where that was not known before.
    pub(super) fn replace_instance(&self, instance: &InstanceId) -> CrashedRuns {
        lock(&self.calls).replace(instance, clock::now())
    }
}
