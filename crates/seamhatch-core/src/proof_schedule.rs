//! When a daemon reads the followed store for a freshness proof.
//!
//! The members ask in an order that all of them derive from the membership. The first reads early and passes its proof on with
//! heartbeats, so that later ones seldom have to read; whoever has no recent proof by its own age reads too. A read that is not
//! answered within [`HEDGE_DELAY`] is repeated on another connection while the first goes on: a single lost packet must not use
//! up the time in which a configuration has to come into force. Inputs are the rank in the order, the age of the proof and the results
//! of the reads. The daemon uses this in `seamhatchd::controllers::follow::freshness`. Alternatives: docs/DESIGN.md#tenants.

use crate::clock::{Instant, MILLISECOND, Microseconds};

/// Interval between two checks whether a read is due, in microseconds.
pub const POLL_INTERVAL: Microseconds = 100 * MILLISECOND;
/// Age of the proof in microseconds at which a daemon reads, by its rank; all further ranks use the last value.
///
/// A proof reaches a direct peer of the first daemon within the age at which the first one reads, a check and a heartbeat:
/// 0.9 s.
pub const REFRESH_AGES: [Microseconds; 4] =
    [400 * MILLISECOND, 1050 * MILLISECOND, 1150 * MILLISECOND, 1200 * MILLISECOND];
/// Time without an answer after which a read is repeated on another connection, in microseconds.
pub const HEDGE_DELAY: Microseconds = 300 * MILLISECOND;
/// Time after which a read counts as failed, in microseconds.
pub const READ_TIMEOUT: Microseconds = 700 * MILLISECOND;
/// Pause after a failure, in microseconds, for the few daemons from which the others get their proofs after an outage.
pub const LEADING_PAUSE: Microseconds = 300 * MILLISECOND;
/// Number of first ranks that use [`LEADING_PAUSE`].
const LEADING_RANKS: usize = 3;
/// Pause after the first failure in microseconds, before jitter; doubled after each further one.
const FIRST_PAUSE: Microseconds = 150 * MILLISECOND;
/// Longest pause after a failure in microseconds, before jitter.
const MAX_PAUSE: Microseconds = 800 * MILLISECOND;
/// Longest pause after a failure in microseconds, with jitter.
pub const LONGEST_PAUSE: Microseconds = MAX_PAUSE * 3 / 2;

/// Decides when one daemon reads the store for a proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ProofSchedule {
    next: Instant,
    failures: u32,
}

impl ProofSchedule {
    /// Creates the schedule of a daemon that reads the store at `now` for another reason.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { next: now.plus(REFRESH_AGES[0]), failures: 0 }
    }

    /// Whether a read is due at `now` for a daemon of this rank whose proof has this age in microseconds; `None` without a
    /// proof.
    #[must_use]
    pub fn is_due(&self, rank: usize, age: Option<Microseconds>, now: Instant) -> bool {
        now >= self.next && age.is_none_or(|age| age >= refresh_age(rank))
    }

    /// Records the answer to a read that began at `sent`. It may prove nothing, for example if the store has no
    /// configuration.
    pub fn answered(&mut self, rank: usize, sent: Instant) {
        self.failures = 0;
        self.next = sent.plus(refresh_age(rank));
    }

    /// Records a failed read at `now`. `random` is from 0 to 1: the pauses have jitter, so that daemons don't act in step.
    pub fn failed(&mut self, rank: usize, now: Instant, random: f64) {
        let pause = if rank < LEADING_RANKS {
            LEADING_PAUSE
        } else {
            let pause = FIRST_PAUSE.saturating_mul(1 << self.failures.min(8)).min(MAX_PAUSE);
            (pause as f64 * (0.5 + random)) as Microseconds
        };
        self.failures += 1;
        self.next = now.plus(pause);
    }
}

fn refresh_age(rank: usize) -> Microseconds {
    REFRESH_AGES[rank.min(REFRESH_AGES.len() - 1)]
}
