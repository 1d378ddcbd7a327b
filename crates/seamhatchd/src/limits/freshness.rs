//! Whether this daemon may go by its configuration where an old one would do harm.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::freshness::{FreshnessProof, FreshnessTracker};
use seamhatch_core::generation::Generation;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// A proof counts for this much less than the operator's bound, as the boot clocks of two machines may run at
/// rates that differ a little.
const CLOCK_MARGIN: Microseconds = 100 * MILLISECOND;

/// What this daemon can prove of its configuration, and how young the proof has to be.
#[derive(Debug)]
pub struct Freshness {
    bound: Option<Microseconds>,
    tracker: Mutex<FreshnessTracker>,
    /// Whether the configuration has tenants, so that anything depends on the proof.
    needed: AtomicBool,
    /// Live members that ask the store before this one does.
    rank: AtomicUsize,
}

impl Freshness {
    /// No proof yet; one older than `bound` does not count. Without a bound none is needed.
    #[must_use]
    pub fn new(bound: Option<Duration>) -> Self {
        let bound = bound.map(|bound| (bound.as_micros() as Microseconds).saturating_sub(CLOCK_MARGIN));
        Self { bound, tracker: Mutex::default(), needed: AtomicBool::new(false), rank: AtomicUsize::new(0) }
    }

    /// Takes in the configuration in force.
    pub fn set_in_force(&self, generation: Generation, has_tenants: bool) {
        self.lock().set_in_force(generation);
        self.needed.store(has_tenants, Ordering::Relaxed);
    }

    /// Takes in a proof in the local boot clock.
    pub fn prove(&self, proof: FreshnessProof) {
        self.lock().prove(proof);
    }

    /// Whether the keys of the configuration may be gone by.
    #[must_use]
    pub fn is_proved(&self) -> bool {
        let Some(bound) = self.bound else { return true };
        self.lock().age(clock::now()).is_some_and(|age| age <= bound)
    }

    /// What other daemons are told; nothing while nothing depends on it.
    #[must_use]
    pub fn proof(&self) -> Option<FreshnessProof> {
        self.lock().proof().filter(|_| self.is_needed())
    }

    /// Whether requests depend on a proof.
    #[must_use]
    pub fn is_needed(&self) -> bool {
        self.bound.is_some() && self.needed.load(Ordering::Relaxed)
    }

    /// How old the proof is; none without one.
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
