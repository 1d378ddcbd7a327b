//! Suspects run here one at a time, so that the next crash tells which of them it was.

use crate::base::lock::lock;
use seamhatch_core::identity::RequestDigest;
use std::collections::HashMap;
use std::sync::{Arc, Mutex as StdMutex};
use tokio::sync::{Mutex, OwnedMutexGuard};

/// Suspects with this many crashes run alone among their kind. With one crash they are many, as each call that was at
/// work is one, and would wait for each other; two crashes leave few.
pub const CRASHES_TO_ISOLATE: u32 = 2;

/// The suspects that run at the server beside this daemon.
#[derive(Debug, Default)]
pub struct Trials {
    by_request: StdMutex<HashMap<RequestDigest, Arc<Mutex<()>>>>,
    isolation: Arc<Mutex<()>>,
}

/// The right to run a suspect, until it is dropped.
#[derive(Debug)]
pub struct Trial {
    isolation: Option<OwnedMutexGuard<()>>,
    _copies: OwnedMutexGuard<()>,
}

impl Trial {
    /// Whether it runs alone among the suspects of several crashes.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.isolation.is_some()
    }
}

impl Trials {
    /// Waits until no other copy of the request runs here and, with enough crashes, no other such suspect. Cancel-safe.
    pub async fn begin(&self, request: RequestDigest, crashes: u32) -> Trial {
        let copies = self.copies_of(request).lock_owned().await;
        let isolated = crashes >= CRASHES_TO_ISOLATE;
        let isolation = if isolated { Some(self.isolation.clone().lock_owned().await) } else { None };
        Trial { isolation, _copies: copies }
    }

    fn copies_of(&self, request: RequestDigest) -> Arc<Mutex<()>> {
        let mut locks = lock(&self.by_request);
        locks.retain(|_, lock| Arc::strong_count(lock) > 1);
        locks.entry(request).or_default().clone()
    }
}
