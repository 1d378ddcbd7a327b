//! Trial runs: suspects run here one at a time, so that the next crash shows which of them caused
//! it.
//!
//! Owns a lock for each suspect that runs on the back end, and one for all suspects of several
//! crashes. [`seamhatch_core::crashes::runs_isolated`] decides which runs need the second lock.

use crate::base::lock::lock;
use seamhatch_core::crashes::runs_isolated;
use seamhatch_core::identity::RequestDigest;
use std::collections::HashMap;
use std::sync::{Arc, Mutex as StdMutex};
use tokio::sync::{Mutex, OwnedMutexGuard};

/// The suspects that run on the local back end.
#[derive(Debug, Default)]
pub struct TrialRuns {
    by_request: StdMutex<HashMap<RequestDigest, Arc<Mutex<()>>>>,
    isolation: Arc<Mutex<()>>,
}

/// The permission to run a suspect, until it is dropped.
#[derive(Debug)]
pub struct TrialRun {
    isolation: Option<OwnedMutexGuard<()>>,
    _copies: OwnedMutexGuard<()>,
}

impl TrialRun {
    /// Whether the run is isolated from other suspects of several crashes.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.isolation.is_some()
    }
}

impl TrialRuns {
    /// Waits until no other copy of the request runs here and, after enough crashes, no other
    /// suspect of several crashes. Cancel-safe.
    pub async fn begin(&self, request: RequestDigest, crashes: u32) -> TrialRun {
        let copies = self.copies_lock(request).lock_owned().await;
        let isolation =
            if runs_isolated(crashes) { Some(self.isolation.clone().lock_owned().await) } else { None };
        TrialRun { isolation, _copies: copies }
    }

    fn copies_lock(&self, request: RequestDigest) -> Arc<Mutex<()>> {
        let mut locks = lock(&self.by_request);
        locks.retain(|_, lock| Arc::strong_count(lock) > 1);
        locks.entry(request).or_default().clone()
    }
}
