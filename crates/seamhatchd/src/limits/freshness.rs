//! Whether this daemon may act by its configuration where an old one would do harm.
//!
//! Locks [`seamhatch_core::freshness::FreshnessTracker`], which decides. The control thread and the links write proofs; the request
//! path asks before it acts by a tenant's key.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::freshness::{FreshnessProof, FreshnessTracker};
use seamhatch_core::generation::Generation;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// What this daemon can prove of its configuration, and how old the proof may be.
#[derive(Debug)]
pub struct Freshness {
    /// How old a proof may be for requests to run by a tenant's key; none for any age.
    bound: Option<Microseconds>,
    tracker: Mutex<FreshnessTracker>,
    /// Live members that ask the store before this one does.
    rank: AtomicUsize,
}

impl Freshness {
    /// No proof yet; one older than `bound` does not count. Without a bound none is needed.
    #[must_use]
    pub fn new(bound: Option<Duration>) -> Self {
        let bound = bound.map(|bound| bound.as_micros() as Microseconds);
        Self { bound, tracker: Mutex::default(), rank: AtomicUsize::new(0) }
    }

    /// Records the configuration in force.
    pub fn set_in_force(&self, generation: Generation) {
        self.lock().set_in_force(generation);
    }

    /// Records a proof in the local boot clock.
    pub fn prove(&self, proof: FreshnessProof) {
        self.lock().prove(proof);
    }

    /// Whether requests may run by the keys of the configuration.
    #[must_use]
    pub fn is_proved(&self) -> bool {
        let Some(bound) = self.bound else { return true };
        self.lock().is_proved(bound, clock::now())
    }

    /// The proof for other daemons.
    #[must_use]
    pub fn proof(&self) -> Option<FreshnessProof> {
        self.lock().proof()
    }

    /// How old the proof is, in microseconds; none without one.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Microseconds> {
        self.lock().age(now)
    }

    /// Sets how many live members ask the store before this one does.
    pub fn set_rank(&self, rank: usize) {
        self.rank.store(rank, Ordering::Relaxed);
    }

    /// How many live members ask the store before this one does.
    #[must_use]
    pub fn rank(&self) -> usize {
        self.rank.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, FreshnessTracker> {
        lock(&self.tracker)
    }
}
