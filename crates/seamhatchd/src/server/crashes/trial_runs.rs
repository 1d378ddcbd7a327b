//! Trial runs: suspects run here one at a time, so that the next crash shows which of them it was.
//!
//! Owns a lock for each suspect that runs at the back end, and one for all suspects of several crashes;
//! [`seamhatch_core::crashes::runs_isolated`] decides which need the second one.

use crate::base::lock::lock;
use seamhatch_core::crashes::runs_isolated;
use seamhatch_core::identity::RequestDigest;
use std::collections::HashMap;
use std::sync::{Arc, Mutex as StdMutex};
use tokio::sync::{Mutex, OwnedMutexGuard};

/// The suspects that run at the back end beside this daemon.
#[derive(Debug, Default)]
pub struct TrialRuns {
    by_request: StdMutex<HashMap<RequestDigest, Arc<Mutex<()>>>>,
    isolation: Arc<Mutex<()>>,
}

/// The right to run a suspect, until it is dropped.
#[derive(Debug)]
pub struct TrialRun {
    isolation: Option<OwnedMutexGuard<()>>,
    _copies: OwnedMutexGuard<()>,
}

impl TrialRun {
    /// Whether it runs alone among the suspects of several crashes.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.isolation.is_some()
    }
}

impl TrialRuns {
    /// Waits until no other copy of the request runs here and, with enough crashes, no other such suspect. Cancel-safe.
    pub async fn begin(&self, request: RequestDigest, crashes: u32) -> TrialRun {
        let copies = self.copies_of(request).lock_owned().await;
        let isolation =
            if runs_isolated(crashes) { Some(self.isolation.clone().lock_owned().await) } else { None };
        TrialRun { isolation, _copies: copies }
    }

    fn copies_of(&self, request: RequestDigest) -> Arc<Mutex<()>> {
        let mut locks = lock(&self.by_request);
        locks.retain(|_, lock| Arc::strong_count(lock) > 1);
        locks.entry(request).or_default().clone()
    }
}
