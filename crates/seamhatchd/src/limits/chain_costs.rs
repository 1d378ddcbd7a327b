//! What requests of each kind cost, shared by all threads.
//!
//! Locks the table of [`seamhatch_core::chain_cost`], which decides. Answers of the request path write it; the classification of
//! requests from outside reads it, and the status page shows it.

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
    /// Records what an answered request of this kind used.
    pub fn learn(&self, kind: &str, usage: &[ServiceUsage]) {
        if !usage.is_empty() {
            self.lock().learn(kind, usage, clock::now());
        }
    }

    /// The priority of a request from outside on whose way a service sheds; `bottleneck` is the one with the lowest floor.
    #[must_use]
    pub fn priority(&self, kind: &str, class: PriorityClass, root: RootId, bottleneck: &str) -> Priority {
        self.lock().priority(kind, class, root, Some(bottleneck), clock::now())
    }

    /// The `most` dearest of the known costs, the dearest first.
    #[must_use]
    pub fn costs(&self, most: usize) -> Vec<KindCost> {
        self.lock().costs(most, clock::now())
    }

    fn lock(&self) -> MutexGuard<'_, ChainCostTable> {
        lock(&self.0)
    }
}
