//! Freshness: proof that the configuration held here was the newest a short time ago.
//!
//! Decides whether a daemon may act by a tenant's key, and shows for how long it may have missed a change. A daemon whose watch hears
//! nothing, that is cut off, was frozen or has just started can't know from silence that nothing has changed, so it asks where its
//! proof grows old. What must not be done by an old configuration, such as running a request with a
//! revoked key, is done only while a *freshness proof* is young enough: that at a recent instant no configuration newer than
//! the one held here had been accepted. These prove an instant:
//!
//! - An answered, linearizable read of the store: the instant at which it was *sent*. When the answer was made or arrived
//!   shows nothing, as it may have been on its way for any time.
//! - Another daemon's proof: the instant that it proves, translated into the local clock so that it errs early.
//!
//! A watch that hangs proves nothing, nor does a read that may be stale, nor a message by itself.
//!
//! A proof names a generation: at `at`, nothing newer than it had been accepted. It counts here once that generation or a
//! newer one is in force. What is in force only moves forward, so a proof never becomes false. Alternatives:
//! docs/DESIGN.md#tenants. The daemon's part is `seamhatchd::limits::freshness`.

use crate::clock::{Instant, MILLISECOND, Microseconds};
use crate::generation::Generation;
use speedy::{Readable, Writable};

/// At an instant, no generation above this one had been accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Readable, Writable)]
pub struct FreshnessProof {
    /// The newest generation at that instant, or an older one that then was the newest.
    pub generation: Generation,
    /// The instant, in the boot clock of the daemon that holds the proof.
    pub at: Instant,
}

/// A proof counts for this much less than the operator's bound, as the boot clocks of two machines may run at rates that
/// differ a little. Chosen, not measured.
const CLOCK_MARGIN: Microseconds = 100 * MILLISECOND;

/// The youngest proof that a daemon has for the configuration in force there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct FreshnessTracker {
    in_force: Generation,
    proved_at: Option<Instant>,
    /// The youngest proof of a generation that is not in force here yet.
    awaited: Option<FreshnessProof>,
}

impl FreshnessTracker {
    /// Records that a generation is in force here.
    pub fn set_in_force(&mut self, generation: Generation) {
        self.in_force = self.in_force.max(generation);
        if let Some(proof) = self.awaited.take() {
            self.record(proof);
        }
    }

    /// Records a proof in the local clock.
    pub fn record(&mut self, proof: FreshnessProof) {
        if proof.generation <= self.in_force {
            self.proved_at = self.proved_at.max(Some(proof.at));
        } else if self.awaited.is_none_or(|awaited| awaited.at < proof.at) {
            self.awaited = Some(proof);
        }
    }

    /// What it can prove to others: that nothing newer than what is in force here had been accepted at that instant.
    #[must_use]
    pub fn proof(&self) -> Option<FreshnessProof> {
        self.proved_at.map(|at| FreshnessProof { generation: self.in_force, at })
    }

    /// Whether the youngest proof is young enough at `now` for an operator who allows `bound` microseconds.
    #[must_use]
    pub fn is_fresh(&self, bound: Microseconds, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age <= bound.saturating_sub(CLOCK_MARGIN))
    }

    /// For how long nothing is known of changes, in microseconds; none before the first proof.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Microseconds> {
        self.proved_at.map(|at| now.since(at))
    }
}
