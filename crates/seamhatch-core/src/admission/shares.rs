//! Slot time that each priority class has used, and the share that it is guaranteed.
//!
//! Strict priority starves the less important classes whenever the more important ones can fill a server. Each class
//! except the most important one is therefore guaranteed a small share of the slot time: while it has used less than
//! that, its waiting calls go first. Time that a class does not use is open to all classes, in order of importance.
//! Alternatives: docs/DESIGN.md#shares-of-the-classes.

use crate::clock::{Instant, Microseconds, SECOND};
use crate::priority::PriorityClass;

/// Time constant of the average slot use.
const USE_TIME_CONSTANT: Microseconds = SECOND;

/// The guaranteed share of a server's slot time, 0 to 1. The most important class goes first anyway and needs none; the
/// other shares leave it more than half of the server.
#[must_use]
pub fn share_of(class: PriorityClass) -> f64 {
    match class {
        PriorityClass::Critical => 0.0,
        PriorityClass::Normal | PriorityClass::Bulk => 0.2,
        PriorityClass::Background => 0.05,
    }
}

/// Present and recent slot use of each class.
#[derive(Debug, Default)]
pub struct ClassShares {
    running: [u32; PriorityClass::ALL.len()],
    /// Exponentially weighted average of the slots in use, with the time constant [`USE_TIME_CONSTANT`].
    used: [f64; PriorityClass::ALL.len()],
    /// When `used` was last updated.
    updated: Instant,
}

impl ClassShares {
    /// Records that a call of `class` gets a slot.
    pub fn start(&mut self, class: PriorityClass, now: Instant) {
        self.advance(now);
        self.running[class.rank()] += 1;
    }

    /// Records that a call of `class` frees its slot.
    pub fn finish(&mut self, class: PriorityClass, now: Instant) {
        self.advance(now);
        let running = &mut self.running[class.rank()];
        *running = running.saturating_sub(1);
    }

    /// Average number of slots that `class` used recently.
    #[must_use]
    pub fn used(&self, class: PriorityClass) -> f64 {
        self.used[class.rank()]
    }

    /// Whether `class` uses less than its share of `slots`, both now and recently.
    ///
    /// Recent use alone would let a class that was idle take every slot for a while; present use alone would give it
    /// half of a server with two slots.
    #[must_use]
    pub fn below_share(&self, class: PriorityClass, slots: f64) -> bool {
        let share = share_of(class) * slots;
        f64::from(self.running[class.rank()]) < share.ceil() && self.used(class) < share
    }

    fn advance(&mut self, now: Instant) {
        let passed = now.since(self.updated) as f64 / USE_TIME_CONSTANT as f64;
        let retained = (-passed).exp();
        for (used, running) in self.used.iter_mut().zip(self.running) {
            *used = *used * retained + f64::from(running) * (1.0 - retained);
        }
        self.updated = self.updated.max(now);
    }
}
