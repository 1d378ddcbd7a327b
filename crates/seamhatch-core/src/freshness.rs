//! Proof that the configuration held here was the newest at some instant.
//!
//! A daemon that is cut off, was frozen or has just started can't know from silence that nothing has changed. What
//! must not be done by an old configuration, as running a request with a key that was taken away, is done only
//! while a *proof* is young enough: that at an instant not long ago, no configuration newer than the one held
//! here had been accepted. These prove an instant:
//!
//! - An answered, linearizable read of the store: the instant at which it was *sent*. When the answer was made or
//!   arrived says nothing, as it may have been on its way for any time.
//! - Another daemon's proof: the instant that it proves, translated into the local clock so that it errs early.
//!
//! A watch that hangs proves nothing, nor does a read that may be stale, nor a message by itself.
//!
//! A proof names a generation: at `at`, nothing newer than it had been accepted. It counts here once that
//! generation or a newer one is in force. What is in force only moves forward, so that a proof never ceases to
//! be true.

use crate::clock::{Instant, Microseconds};
use crate::generation::Generation;
use speedy::{Readable, Writable};

/// At an instant, no generation above this one had been accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Readable, Writable)]
pub struct FreshnessProof {
    /// The newest generation at that instant, or an older one that then was the newest.
    pub generation: Generation,
    /// The instant, in the boot clock of whoever holds the proof.
    pub at: Instant,
}

/// The youngest proof that a daemon has for the configuration that it goes by.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct FreshnessTracker {
    in_force: Generation,
    proved_at: Option<Instant>,
    /// The youngest proof of a generation that is not in force here yet.
    awaited: Option<FreshnessProof>,
}

impl FreshnessTracker {
    /// Takes in that a generation is in force here.
    pub fn set_in_force(&mut self, generation: Generation) {
        self.in_force = self.in_force.max(generation);
        if let Some(proof) = self.awaited.take() {
            self.prove(proof);
        }
    }

    /// Takes in a proof in the local clock.
    pub fn prove(&mut self, proof: FreshnessProof) {
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

    /// For how long nothing is known of changes; none before the first proof.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Microseconds> {
        self.proved_at.map(|at| now.since(at))
    }
}
