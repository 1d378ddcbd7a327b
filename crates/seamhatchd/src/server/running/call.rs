//! A call that runs on the local back end, or a request from outside: the parent of further calls.

use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::chain_cost::{ChainUsage, ServiceUsage};
use seamhatch_core::identity::RootId;
use seamhatch_core::priority::Priority;
use seamhatch_core::retry::RetryLedger;
use seamhatch_wire::ChainFloor;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// A call that runs here, or a request from outside. It holds what its child calls inherit (priority, deadline, retry
/// tokens and tenant) and sums up their usage.
#[derive(Debug)]
pub struct RunningCall {
    /// Root request that the call belongs to.
    pub root: RootId,
    /// Priority, the same in every service of the request's chain.
    pub priority: Priority,
    /// When the root request was admitted, in the local clock.
    pub root_admitted: Instant,
    /// Deadline, in the local clock.
    pub expiry: Instant,
    /// Number of services above this call in the chain.
    pub depth: u32,
    /// Whether the call is made by a run that may repeat an earlier one, and may therefore repeat
    /// an earlier call.
    pub repeats: bool,
    ledger: Mutex<RetryLedger>,
    chain_floor: Mutex<Option<ChainFloor>>,
    /// Usage of the child calls.
    usage: Mutex<ChainUsage>,
    parent: Option<Arc<RunningCall>>,
    /// Name of the tenant whose request the call belongs to.
    tenant: Option<String>,
    /// Whether the call has made calls of its own.
    has_calls: AtomicBool,
}

impl RunningCall {
    /// Creates a call with this retry ledger.
    #[must_use]
    pub fn new(
        root: RootId,
        priority: Priority,
        root_admitted: Instant,
        expiry: Instant,
        depth: u32,
        ledger: RetryLedger,
    ) -> Self {
        let ledger = Mutex::new(ledger);
        Self {
            root,
            priority,
            root_admitted,
            expiry,
            depth,
            ledger,
            chain_floor: Mutex::default(),
            usage: Mutex::default(),
            parent: None,
            tenant: None,
            repeats: false,
            has_calls: AtomicBool::new(false),
        }
    }

    /// Creates a call that the running call `parent` makes, with its own deadline and retries. It
    /// has the priority of its parent and reports to it the admission floors that it meets.
    #[must_use]
    pub fn child_of(parent: Arc<RunningCall>, expiry: Instant, ledger: RetryLedger) -> Self {
        let expiry = parent.expiry.min(expiry);
        let depth = parent.depth.max(1);
        let call = Self::new(parent.root, parent.priority, parent.root_admitted, expiry, depth, ledger);
        let repeats = parent.ledger().is_repeat();
        parent.has_calls.store(true, Ordering::Relaxed);
        let tenant = parent.tenant.clone();
        Self { parent: Some(parent), repeats, tenant, ..call }
    }

    /// Assigns the call to the request of a tenant.
    #[must_use]
    pub fn of_tenant(self, tenant: Option<&str>) -> Self {
        Self { tenant: tenant.map(str::to_owned), ..self }
    }

    /// Returns the name of the tenant whose request the call belongs to.
    #[must_use]
    pub fn tenant(&self) -> Option<&str> {
        self.tenant.as_deref()
    }

    /// Returns the retry ledger, which holds the tokens and the child calls.
    pub fn ledger(&self) -> MutexGuard<'_, RetryLedger> {
        lock(&self.ledger)
    }

    /// Whether the call has made calls of its own.
    #[must_use]
    pub fn has_calls(&self) -> bool {
        self.has_calls.load(Ordering::Relaxed) || self.ledger().has_children()
    }

    /// Returns the lowest admission floor met so far by calls further down the chain; `None` if all
    /// were open.
    #[must_use]
    pub fn chain_floor(&self) -> Option<ChainFloor> {
        lock(&self.chain_floor).clone()
    }

    /// Returns the usage of the child calls so far, as reported in their answers.
    #[must_use]
    pub fn usage(&self) -> ChainUsage {
        lock(&self.usage).clone()
    }

    /// Adds the usage of a child call to this call and to its parent.
    pub fn add_usage(&self, reported: &[ServiceUsage]) {
        if reported.is_empty() {
            return;
        }
        if let Some(parent) = &self.parent {
            parent.add_usage(reported);
        }
        lock(&self.usage).add(reported);
    }

    /// Records an admission floor met further down the chain, for this call and for its parent.
    pub fn lower_chain_floor(&self, floor: &ChainFloor) {
        if let Some(parent) = &self.parent {
            parent.lower_chain_floor(floor);
        }
        let mut lowest = lock(&self.chain_floor);
        if lowest.as_ref().is_none_or(|lowest| floor.floor < lowest.floor) {
            *lowest = Some(floor.clone());
        }
    }
}
