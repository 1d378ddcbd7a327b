//! What each priority class has used of a server's slots, and what it owns of them.
//!
//! Strict order by class starves the less important classes whenever the more important ones can fill a server. So each
//! class but the first owns a small share of the slot time: while it has used less than that, its waiting calls go first.
//! What a class does not use is open to all, in the order of importance. Alternatives:
//! docs/DESIGN.md#shares-of-the-classes.

use crate::clock::{Instant, Microseconds, SECOND};
use crate::priority::PriorityClass;

/// Time constant of the slot time that is remembered.
const MEMORY: Microseconds = SECOND;

/// The share of a server's slot time that a class owns, 0 to 1. The most important class goes first anyway and owns none;
/// the shares leave it more than half of the server.
#[must_use]
pub fn share_of(class: PriorityClass) -> f64 {
    match class {
        PriorityClass::Critical => 0.0,
        PriorityClass::Normal | PriorityClass::Bulk => 0.2,
        PriorityClass::Background => 0.05,
    }
}

/// Slots in use by class, now and recently.
#[derive(Debug, Default)]
pub struct ClassShares {
    running: [u32; PriorityClass::ALL.len()],
    /// Slots in use on average, over [`MEMORY`].
    used: [f64; PriorityClass::ALL.len()],
    /// When `used` was brought up to date.
    updated: Instant,
}

impl ClassShares {
    /// A call of `class` has got a slot.
    pub fn start(&mut self, class: PriorityClass, now: Instant) {
        self.advance(now);
        self.running[class.rank()] += 1;
    }

    /// A call of `class` has freed its slot.
    pub fn finish(&mut self, class: PriorityClass, now: Instant) {
        self.advance(now);
        let running = &mut self.running[class.rank()];
        *running = running.saturating_sub(1);
    }

    /// Slots that `class` used recently, on average.
    #[must_use]
    pub fn used(&self, class: PriorityClass) -> f64 {
        self.used[class.rank()]
    }

    /// Whether `class` has less than its share of `slots`, now and recently.
    ///
    /// Recent use alone would let a class that was idle take every slot for a while; present use alone would give it half
    /// of a server of two slots.
    #[must_use]
    pub fn below_share(&self, class: PriorityClass, slots: f64) -> bool {
        let share = share_of(class) * slots;
        f64::from(self.running[class.rank()]) < share.ceil() && self.used(class) < share
    }

    fn advance(&mut self, now: Instant) {
        let passed = now.since(self.updated) as f64 / MEMORY as f64;
        let kept = (-passed).exp();
        for (used, running) in self.used.iter_mut().zip(self.running) {
            *used = *used * kept + f64::from(running) * (1.0 - kept);
        }
        self.updated = self.updated.max(now);
    }
}
