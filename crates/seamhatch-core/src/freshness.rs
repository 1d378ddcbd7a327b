//! Freshness: proof that the configuration held here was the newest one a short time ago.
//!
//! Decides whether a daemon may act on a tenant's key, and for how long it may have missed a change. Silence proves
//! nothing: a daemon whose watch reports no change may be cut off, may have been frozen or may have just started.
//! The daemon therefore asks the store when its proof gets old. What an outdated configuration must not allow, such
//! as running a request with a revoked key, is done only while a *freshness proof* is recent enough: a proof that
//! at some recent instant, no configuration newer than the one held here had been accepted. Two things prove an
//! instant:
//!
//! - An answered, linearizable read of the store proves the instant at which it was *sent*. The time at which the
//!   answer was made or arrived proves nothing, as it may have been in transit for any time.
//! - Another daemon's proof proves its instant, translated into the local clock so that it may be too early but
//!   never too late.
//!
//! A hanging watch proves nothing, nor does a read that may be stale, nor a message by itself.
//!
//! A proof names a generation: at `at`, nothing newer had been accepted. It counts here once that generation or a
//! newer one is in force. The generation in force never decreases, so a proof never becomes false. Alternatives:
//! docs/DESIGN.md#tenants. The daemon uses this in `seamhatchd::limits::freshness`.

use crate::clock::{Instant, MILLISECOND, Microseconds};
use crate::generation::Generation;
use speedy::{Readable, Writable};

/// Proof that at an instant, no generation above this one had been accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Readable, Writable)]
pub struct FreshnessProof {
    /// Upper bound on the generations accepted at that instant.
    pub generation: Generation,
    /// The instant, in the boot clock of the daemon that holds the proof.
    pub at: Instant,
}

/// Margin by which the operator's bound is reduced, as the boot clocks of two machines may run at slightly different
/// rates.
const CLOCK_MARGIN: Microseconds = 100 * MILLISECOND;

/// The most recent proof that a daemon has for the configuration in force there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct FreshnessTracker {
    in_force: Generation,
    proved_at: Option<Instant>,
    /// The most recent proof of a generation that is not in force here yet.
    pending: Option<FreshnessProof>,
}

impl FreshnessTracker {
    /// Records the generation that is in force here.
    pub fn set_in_force(&mut self, generation: Generation) {
        self.in_force = self.in_force.max(generation);
        if let Some(proof) = self.pending.take() {
            self.record(proof);
        }
    }

    /// Records a proof whose instant is in the local clock.
    pub fn record(&mut self, proof: FreshnessProof) {
        if proof.generation <= self.in_force {
            self.proved_at = self.proved_at.max(Some(proof.at));
        } else if self.pending.is_none_or(|pending| pending.at < proof.at) {
            self.pending = Some(proof);
        }
    }

    /// The proof for other daemons: nothing newer than the generation in force here had been accepted at that
    /// instant.
    #[must_use]
    pub fn proof(&self) -> Option<FreshnessProof> {
        self.proved_at.map(|at| FreshnessProof { generation: self.in_force, at })
    }

    /// Whether the proof is recent enough at `now`, for an operator who allows `bound` microseconds.
    #[must_use]
    pub fn is_fresh(&self, bound: Microseconds, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age <= bound.saturating_sub(CLOCK_MARGIN))
    }

    /// Age of the proof in microseconds, that is, for how long a change may have been missed; `None` before the first
    /// proof.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Microseconds> {
        self.proved_at.map(|at| now.since(at))
    }
}
