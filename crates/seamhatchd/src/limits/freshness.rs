//! How long this daemon may have missed a configuration change, and whether it may still act where
//! an outdated configuration would do harm.
//!
//! Wraps [`seamhatch_core::freshness::FreshnessTracker`], which makes the decisions, in a lock. The
//! control thread and the connections between daemons record proofs; the request path checks them
//! before it accepts a tenant's key.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::freshness::{FreshnessProof, FreshnessTracker};
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::Address;
use std::fmt;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Freshness proof of the configuration in force, and the age up to which it is accepted.
#[derive(Debug)]
pub struct Freshness {
    /// Maximum age of a proof for requests that use a tenant's key; `None` if any age is accepted.
    max_age: Option<Microseconds>,
    state: Mutex<ProofState>,
    relay_position: Mutex<ProofRelayPosition>,
}

/// Who provided a proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofSource {
    /// A read of the store by this daemon.
    Store,
    /// A heartbeat of the daemon with this peer address.
    Peer(Address),
}

impl fmt::Display for ProofSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => formatter.write_str("store"),
            Self::Peer(address) => address.fmt(formatter),
        }
    }
}

/// The most recent proof of the configuration in force, as shown to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProofStanding {
    /// Its age in microseconds.
    pub age: Microseconds,
    /// Who provided it.
    pub source: ProofSource,
}

#[derive(Debug, Default)]
struct ProofState {
    tracker: FreshnessTracker,
    /// Source of the proof that counts.
    source: Option<ProofSource>,
    /// Source of the most recent proof of a generation that is not in force yet.
    pending_source: Option<ProofSource>,
}

impl ProofState {
    /// Changes the tracker. If its proof has become more recent, `source` has provided it.
    fn update(&mut self, source: Option<ProofSource>, change: impl FnOnce(&mut FreshnessTracker)) -> bool {
        let proved_at = |tracker: &FreshnessTracker| tracker.proof().map(|proof| proof.at);
        let before = proved_at(&self.tracker);
        change(&mut self.tracker);
        let is_newer = proved_at(&self.tracker) > before;
        if is_newer {
            self.source = source;
        }
        is_newer
    }
}

/// Position of a daemon in the relay of freshness proofs, in the order of all live members.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProofRelayPosition {
    /// Number of live members that ask the store before this one does.
    pub rank: usize,
    /// Peer address of the member whose heartbeats relay proofs to this one; `None` for the first
    /// member.
    pub upstream: Option<Address>,
}

impl Freshness {
    /// Creates the state without a proof. A proof older than `max_age` is not accepted; without a
    /// maximum age, no proof is needed.
    #[must_use]
    pub fn new(max_age: Option<Duration>) -> Self {
        let max_age = max_age.map(|age| age.as_micros() as Microseconds);
        Self { max_age, state: Mutex::default(), relay_position: Mutex::default() }
    }

    /// Records the configuration in force.
    pub fn set_in_force(&self, generation: Generation) {
        let mut state = self.lock();
        let pending = state.pending_source;
        state.update(pending, |tracker| tracker.set_in_force(generation));
    }

    /// Records a proof, whose time is in the local boot clock.
    pub fn record(&self, proof: FreshnessProof, source: ProofSource) {
        let mut state = self.lock();
        if !state.update(Some(source), |tracker| tracker.record(proof)) {
            state.pending_source = Some(source);
        }
    }

    /// The most recent proof at `now`; `None` without a proof.
    #[must_use]
    pub fn standing(&self, now: Instant) -> Option<ProofStanding> {
        let state = self.lock();
        Some(ProofStanding { age: state.tracker.age(now)?, source: state.source? })
    }

    /// Whether the keys of the configuration may be accepted.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let Some(max_age) = self.max_age else { return true };
        self.lock().tracker.is_fresh(max_age, clock::now())
    }

    /// Returns the proof that is relayed to other daemons.
    #[must_use]
    pub fn proof(&self) -> Option<FreshnessProof> {
        self.lock().tracker.proof()
    }

    /// Returns the age of the proof in microseconds; `None` without a proof.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Microseconds> {
        self.lock().tracker.age(now)
    }

    /// Sets this daemon's position in the order of all live members.
    pub fn set_relay_position(&self, position: ProofRelayPosition) {
        *lock(&self.relay_position) = position;
    }

    /// Returns this daemon's position in the order of all live members.
    #[must_use]
    pub fn relay_position(&self) -> ProofRelayPosition {
        *lock(&self.relay_position)
    }

    fn lock(&self) -> MutexGuard<'_, ProofState> {
        lock(&self.state)
    }
}
