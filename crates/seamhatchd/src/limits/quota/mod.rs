//! Tenant limits: the shards that this daemon holds, the tokens in its cache, and the holders that
//! it asks for more.
//!
//! [`seamhatch_core::quota`] makes the decisions; shards are taken in
//! `controllers::follow::quota_shards`.

mod admission;
mod directory;
mod holder;

pub use admission::{QuotaContext, QuotaPermit, QuotaRefusal};
pub use directory::SharedShardDirectory;
pub use holder::{HeldShards, grant};

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::quota::{QuotaPolicy, TenantLimit, TokenCache};
use seamhatch_policy::Tenant;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

/// Time without a request after which a tenant's cache is evicted. No token in it is still valid by
/// then.
const IDLE_CACHE_RETENTION: Microseconds = 60 * SECOND;

/// State of the tenants' limits at this daemon.
#[derive(Debug)]
pub struct Quota {
    /// How exactly limits are enforced.
    pub policy: QuotaPolicy,
    /// Holders of the shards, this daemon included.
    pub directory: SharedShardDirectory,
    /// Shards held here.
    pub held: HeldShards,
    caches: Mutex<HashMap<String, TokenCache>>,
    /// Whether any tenant has a limit that can be enforced.
    needed: AtomicBool,
    /// Whether this daemon stops and hands over its shards.
    handing_over: AtomicBool,
}

impl Quota {
    /// Creates the state of a daemon that holds no shards and knows no holders.
    #[must_use]
    pub fn new(policy: QuotaPolicy) -> Self {
        Self {
            policy,
            directory: SharedShardDirectory::default(),
            held: HeldShards::default(),
            caches: Mutex::default(),
            needed: AtomicBool::new(false),
            handing_over: AtomicBool::new(false),
        }
    }

    /// Sets whether any tenant has a limit that can be enforced.
    pub fn set_needed(&self, needed: bool) {
        self.needed.store(needed, Ordering::Relaxed);
    }

    /// Whether any tenant has a limit that can be enforced.
    #[must_use]
    pub fn is_needed(&self) -> bool {
        self.needed.load(Ordering::Relaxed)
    }

    /// Makes this daemon hand over its shards and take none for the rest of the process.
    pub fn start_handover(&self) {
        self.handing_over.store(true, Ordering::Relaxed);
    }

    /// Whether this daemon hands over its shards.
    #[must_use]
    pub fn is_handing_over(&self) -> bool {
        self.handing_over.load(Ordering::Relaxed)
    }

    /// Evicts the caches of tenants without recent requests.
    pub fn forget_old(&self) {
        let now = clock::now();
        self.caches().retain(|_, cache| now.since(cache.last_used()) < IDLE_CACHE_RETENTION);
    }

    fn caches(&self) -> MutexGuard<'_, HashMap<String, TokenCache>> {
        lock(&self.caches)
    }
}

/// Returns the limit of a tenant, if it has one.
fn limit_of(tenant: &Tenant) -> Option<TenantLimit> {
    tenant.limit.map(|limit| TenantLimit { rate: limit.rate, burst: limit.burst })
}
