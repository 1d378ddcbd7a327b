//! Finds a small part of a failing plan that still fails.
//!
//! A failure that shows in some runs only can make a fault look needless that is needed, or the other way round.

use super::plan::{PlannedFault, SoakPlan};

/// Result of shrinking.
#[derive(Debug, Clone, PartialEq)]
pub struct ShrunkPlan {
    /// The smallest plan that failed; the given one if no part of it did.
    pub plan: SoakPlan,
    /// Number of plans that were tried.
    pub tries: usize,
    /// Whether each part with one fault less was tried and did not fail.
    pub complete: bool,
}

/// Drops faults of a failing plan, first many at a time, then one by one, while the rest still `fails`. Tries at most
/// `most_tries` plans.
pub fn shrink(plan: &SoakPlan, most_tries: usize, mut fails: impl FnMut(&SoakPlan) -> bool) -> ShrunkPlan {
    let mut faults = plan.faults.clone();
    let mut dropped = faults.len().div_ceil(2).max(1);
    let mut from = 0;
    let mut tries = 0;
    // Faults, dropped one at a time, without which the present plan did not fail.
    let mut needed = 0;
    while needed < faults.len() && tries < most_tries {
        let smaller = without(&faults, from, dropped);
        tries += 1;
        if fails(&SoakPlan { faults: smaller.clone(), ..plan.clone() }) {
            faults = smaller;
            needed = 0;
            dropped = dropped.min(faults.len()).max(1);
        } else {
            from += dropped;
            needed += usize::from(dropped == 1);
        }
        if from >= faults.len() {
            from = 0;
            dropped = dropped.div_ceil(2);
        }
    }
    let complete = needed >= faults.len();
    ShrunkPlan { plan: SoakPlan { faults, ..plan.clone() }, tries, complete }
}

fn without(faults: &[PlannedFault], from: usize, dropped: usize) -> Vec<PlannedFault> {
    let to = (from + dropped).min(faults.len());
    [&faults[..from], &faults[to..]].concat()
}
