//! The kept buckets of each class: those admitted whatever the floor's level.
//!
//! Decides how many buckets of a class (of 128) fit into its share of the slots, from the slots that the buckets admitted
//! now have used and from whether more of their calls wait than the class has places. It protects the less important
//! classes from starving behind more important ones that can fill the server; one request is admitted everywhere or
//! nowhere, so a chain is not begun to fail at its tenth call. Alternatives: docs/DESIGN.md#shares-of-the-classes.

use super::shares::share_of;
use crate::priority::{AdmissionFloor, BUCKETS, PriorityClass};

/// Most that the kept buckets of a class grow in one tick, as a factor: calls of newly admitted buckets arrive some time
/// later.
const KEPT_GROWTH: f64 = 1.1;

/// Most that they shrink in one tick, as a factor.
const KEPT_SHRINKAGE: f64 = 0.5;

/// What is left of them after a tick in which more of their calls wait than the class has places. The queue holds a class
/// that waits to its share, so the slots that it uses can't show that too many are admitted. Undoes two ticks of
/// [`KEPT_GROWTH`].
const CROWDED_SHRINKAGE: f64 = 0.8;

/// Buckets of a class that are kept at least: one in 128 of its requests, as less than a bucket can't be kept.
const FEWEST_KEPT: f64 = 1.0;

/// Buckets kept of each class, in parts of a bucket.
#[derive(Debug)]
pub(super) struct KeptBuckets([f64; PriorityClass::ALL.len()]);

impl Default for KeptBuckets {
    fn default() -> Self {
        Self(AdmissionFloor::OPEN.kept.map(f64::from))
    }
}

impl KeptBuckets {
    /// Whole buckets of each class.
    pub(super) fn buckets(&self) -> [u8; PriorityClass::ALL.len()] {
        self.0.map(|kept| kept as u8)
    }

    /// Whole buckets of one class.
    pub(super) fn of(&self, class: PriorityClass) -> u8 {
        self.0[class.rank()] as u8
    }

    /// Moves the kept buckets of `class` towards as many as fill its share of the `slots`: those admitted now, by the
    /// floor's `level` or as kept ones, have `used` so many slots.
    pub(super) fn fit(&mut self, class: PriorityClass, level: u16, used: f64, slots: f64) {
        let most = f64::from(BUCKETS);
        let kept = &mut self.0[class.rank()];
        let by_level = f64::from(level) - class.rank() as f64 * most;
        let admitted = kept.max(by_level.min(most));
        let share = share_of(class) * slots;
        let fitting = if used > 0.0 { admitted * share / used } else { most };
        let moved = fitting.clamp(*kept * KEPT_SHRINKAGE, *kept * KEPT_GROWTH);
        *kept = moved.clamp(FEWEST_KEPT, most);
    }

    /// Removes some of the kept buckets of `class`, whose calls wait for more than its share.
    pub(super) fn shrink(&mut self, class: PriorityClass) {
        let kept = &mut self.0[class.rank()];
        *kept = (*kept * CROWDED_SHRINKAGE).max(FEWEST_KEPT);
    }
}
