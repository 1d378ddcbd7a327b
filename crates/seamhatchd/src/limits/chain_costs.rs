//! Costs of requests by kind, shared by all threads.
//!
//! Wraps the table in [`seamhatch_core::chain_cost`], which makes the decisions, in a lock. The request
//! path writes it from answers; the classification of external requests reads it, and the status page
//! shows it.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::chain_cost::{ChainCostTable, KindCost, ServiceUsage};
use seamhatch_core::identity::RootId;
use seamhatch_core::priority::{Priority, PriorityClass};
use std::sync::{Mutex, MutexGuard};

/// Slot time that requests of each kind use at the services behind the entry.
#[derive(Debug, Default)]
pub struct ChainCosts(Mutex<ChainCostTable>);

impl ChainCosts {
    /// Records the usage of an answered request of this kind.
    pub fn learn(&self, kind: &str, usage: &[ServiceUsage]) {
        if !usage.is_empty() {
            self.lock().learn(kind, usage, clock::now());
        }
    }

    /// Returns the priority of a request from outside if a service in its chain sheds load;
    /// `bottleneck` is the service with the lowest floor.
    #[must_use]
    pub fn priority(&self, kind: &str, class: PriorityClass, root: RootId, bottleneck: &str) -> Priority {
        self.lock().priority(kind, class, root, Some(bottleneck), clock::now())
    }

    /// Returns the `most` highest costs, in descending order.
    #[must_use]
    pub fn costs(&self, most: usize) -> Vec<KindCost> {
        self.lock().costs(most, clock::now())
    }

    fn lock(&self) -> MutexGuard<'_, ChainCostTable> {
        lock(&self.0)
    }
}
