//! Calls that run on the local back end, and the context header that identifies them.
//!
//! [`RunningCalls`] owns the table of running calls, in which the filters look up the parent of a
//! call that the back end makes. A [`RunningCall`] holds what its child calls inherit (priority,
//! deadline, retry tokens and tenant) and sums up their usage.

use crate::base::lock::lock;
use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use seamhatch_core::Instant;
use seamhatch_core::chain_cost::{ChainUsage, ServiceUsage};
use seamhatch_core::identity::{Incarnation, RootId};
use seamhatch_core::priority::Priority;
use seamhatch_core::retry::RetryLedger;
use seamhatch_wire::ChainFloor;
use speedy::{Readable, Writable};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// A call that runs here, or a request from outside: the parent of further calls.
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

/// Content of the context header. It only identifies a running call, whose rights stay in the
/// daemon, so that a forged or copied header gains nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
struct ContextToken {
    incarnation: Incarnation,
    handle: u64,
    nonce: u64,
}

/// The calls that run on the local back end.
#[derive(Debug)]
pub struct RunningCalls {
    incarnation: Incarnation,
    next_handle: AtomicU64,
    calls: Mutex<CallTable>,
}

#[derive(Debug, Default)]
struct CallTable {
    by_handle: HashMap<u64, Entry>,
    handle_by_name: HashMap<String, u64>,
}

#[derive(Debug)]
struct Entry {
    nonce: u64,
    call: Arc<RunningCall>,
    name: Option<String>,
}

/// Keeps a call registered until it is dropped.
#[derive(Debug)]
pub struct Registration {
    registry: Arc<RunningCalls>,
    handle: u64,
    header: String,
}

impl Registration {
    /// Returns the value of the context header.
    #[must_use]
    pub fn header(&self) -> &str {
        &self.header
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut calls = self.registry.lock();
        let Some(entry) = calls.by_handle.remove(&self.handle) else { return };
        let Some(name) = entry.name else { return };
        // A repeat with the same name may have been registered since.
        if calls.handle_by_name.get(&name) == Some(&self.handle) {
            calls.handle_by_name.remove(&name);
        }
    }
}

impl RunningCalls {
    /// Creates an empty table.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Arc<Self> {
        Arc::new(Self { incarnation, next_handle: AtomicU64::new(1), calls: Mutex::default() })
    }

    /// Registers a call that is about to run, also under the name of its request if it has one.
    #[must_use]
    pub fn register(self: &Arc<Self>, call: Arc<RunningCall>, name: Option<&str>) -> Registration {
        let handle = self.next_handle.fetch_add(1, Ordering::Relaxed);
        let nonce = rand::random::<u64>();
        let name = name.map(str::to_owned);
        let mut calls = self.lock();
        if let Some(name) = &name {
            calls.handle_by_name.insert(name.clone(), handle);
        }
        calls.by_handle.insert(handle, Entry { nonce, call, name });
        drop(calls);
        let token = ContextToken { incarnation: self.incarnation, handle, nonce };
        let bytes = token.write_to_vec().expect("writing to memory does not fail");
        Registration { registry: self.clone(), handle, header: URL_SAFE_NO_PAD.encode(bytes) }
    }

    /// Returns the running call that a context header identifies.
    ///
    /// Returns `None` if the header is forged or unreadable, comes from an earlier incarnation of
    /// this daemon, or identifies a call that has ended or was given up.
    #[must_use]
    pub fn find(&self, header: &str) -> Option<Arc<RunningCall>> {
        let bytes = URL_SAFE_NO_PAD.decode(header).ok()?;
        let token = ContextToken::read_from_buffer(&bytes).ok()?;
        if token.incarnation != self.incarnation {
            return None;
        }
        let calls = self.lock();
        let entry = calls.by_handle.get(&token.handle)?;
        (entry.nonce == token.nonce).then(|| entry.call.clone())
    }

    /// Returns the running call with this name.
    #[must_use]
    pub fn find_by_name(&self, name: &str) -> Option<Arc<RunningCall>> {
        let calls = self.lock();
        let handle = calls.handle_by_name.get(name)?;
        calls.by_handle.get(handle).map(|entry| entry.call.clone())
    }

    /// Returns the number of running calls.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().by_handle.len()
    }

    fn lock(&self) -> MutexGuard<'_, CallTable> {
        lock(&self.calls)
    }
}
