//! The kept buckets of each class, which are admitted at any level of the floor.
//!
//! Decides how many buckets of a class (of 128) fit into its share of the slots. Inputs: the slots that the currently
//! admitted buckets have used, and whether more of their calls wait than the class has places in the queue. Kept
//! buckets protect the less important classes from starvation when more important ones can fill the server. A request
//! is in the same bucket at every server, so it is admitted everywhere or nowhere, and a chain does not start only to
//! fail at its tenth call. Alternatives: docs/DESIGN.md#shares-of-the-classes.

use super::shares::share_of;
use crate::priority::{AdmissionFloor, BUCKETS, PriorityClass};

/// Largest growth factor of the kept buckets of a class per tick, since calls of newly admitted buckets arrive with a
/// delay.
const KEPT_GROWTH: f64 = 1.1;

/// Smallest shrink factor of the kept buckets per tick.
const KEPT_SHRINKAGE: f64 = 0.5;

/// Shrink factor for a tick in which more of their calls wait than the class has places. The queue limits
/// a waiting class to its share, so its slot use can't show that too many buckets are admitted. Undoes two ticks of
/// [`KEPT_GROWTH`].
const OVER_SHARE_SHRINKAGE: f64 = 0.8;

/// Fewest kept buckets of a class: one in 128 of its requests, the smallest unit.
const MIN_KEPT: f64 = 1.0;

/// Number of kept buckets of each class, as a fractional value.
#[derive(Debug)]
pub(super) struct KeptBuckets([f64; PriorityClass::ALL.len()]);

impl Default for KeptBuckets {
    fn default() -> Self {
        Self(AdmissionFloor::OPEN.kept.map(f64::from))
    }
}

impl KeptBuckets {
    /// Number of whole kept buckets of each class.
    pub(super) fn buckets(&self) -> [u8; PriorityClass::ALL.len()] {
        self.0.map(|kept| kept as u8)
    }

    /// Number of whole kept buckets of one class.
    pub(super) fn of(&self, class: PriorityClass) -> u8 {
        self.0[class.rank()] as u8
    }

    /// Moves the number of kept buckets of `class` towards the number that fills its share of `slots`. The buckets
    /// admitted now, by the floor's `level` or because they are kept, have `used` that many slots.
    pub(super) fn fit(&mut self, class: PriorityClass, level: u16, used: f64, slots: f64) {
        let most = f64::from(BUCKETS);
        let kept = &mut self.0[class.rank()];
        let by_level = f64::from(level) - class.rank() as f64 * most;
        let admitted = kept.max(by_level.min(most));
        let share = share_of(class) * slots;
        let fitting = if used > 0.0 { admitted * share / used } else { most };
        let moved = fitting.clamp(*kept * KEPT_SHRINKAGE, *kept * KEPT_GROWTH);
        *kept = moved.clamp(MIN_KEPT, most);
    }

    /// Removes some kept buckets of `class`, because more of its calls wait than its share allows.
    pub(super) fn shrink(&mut self, class: PriorityClass) {
        let kept = &mut self.0[class.rank()];
        *kept = (*kept * OVER_SHARE_SHRINKAGE).max(MIN_KEPT);
    }
}
