//! For how long this daemon may have missed a change of the configuration, and whether it may act by it where an old one would do harm.
//!
//! Locks [`seamhatch_core::freshness::FreshnessTracker`], which decides. The control thread and the links write proofs; the request
//! path asks before it acts by a tenant's key.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::freshness::{FreshnessProof, FreshnessTracker};
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::Address;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// What this daemon can prove of its configuration, and how old the proof may be.
#[derive(Debug)]
pub struct Freshness {
    /// How old a proof may be for requests to run by a tenant's key; none for any age.
    bound: Option<Microseconds>,
    tracker: Mutex<FreshnessTracker>,
    relay_position: Mutex<ProofRelayPosition>,
}

/// Where a daemon gets its proofs from, by the order of all live members.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProofRelayPosition {
    /// Live members that ask the store before this one does.
    pub rank: usize,
    /// Peer address of the member whose heartbeats are to bring proofs; none for the first.
    pub upstream: Option<Address>,
}

impl Freshness {
    /// No proof yet; one older than `bound` does not count. Without a bound none is needed.
    #[must_use]
    pub fn new(bound: Option<Duration>) -> Self {
        let bound = bound.map(|bound| bound.as_micros() as Microseconds);
        Self { bound, tracker: Mutex::default(), relay_position: Mutex::default() }
    }

    /// Records the configuration in force.
    pub fn set_in_force(&self, generation: Generation) {
        self.lock().set_in_force(generation);
    }

    /// Records a proof in the local boot clock.
    pub fn record(&self, proof: FreshnessProof) {
        self.lock().record(proof);
    }

    /// Whether requests may run by the keys of the configuration.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let Some(bound) = self.bound else { return true };
        self.lock().is_fresh(bound, clock::now())
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

    /// Sets this daemon's place in the order of all live members.
    pub fn set_relay_position(&self, position: ProofRelayPosition) {
        *lock(&self.relay_position) = position;
    }

    /// This daemon's place in the order of all live members.
    #[must_use]
    pub fn relay_position(&self) -> ProofRelayPosition {
        *lock(&self.relay_position)
    }

    fn lock(&self) -> MutexGuard<'_, FreshnessTracker> {
        lock(&self.tracker)
    }
}
