//! Limits of tenants: the shards that this daemon holds, the tokens that it holds, and where it asks for more.
//!
//! [`seamhatch_core::quota`] decides; shards are taken in `controllers::follow::quota_shards`.

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

/// A tenant without a request for this long has no token left here that counts. Chosen, not measured.
const FORGOTTEN_AFTER: Microseconds = 60 * SECOND;

/// What this daemon knows of the tenants' limits.
#[derive(Debug)]
pub struct Quota {
    /// How exactly limits are kept.
    pub policy: QuotaPolicy,
    /// Shards of other daemons and this one, as far as is known.
    pub directory: SharedShardDirectory,
    /// Shards held here.
    pub held: HeldShards,
    caches: Mutex<HashMap<String, TokenCache>>,
    /// Whether any tenant has a limit that can be kept.
    needed: AtomicBool,
    /// This daemon stops, and leaves its shards to others.
    handing_over: AtomicBool,
}

impl Quota {
    /// Nothing held, nothing known.
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

    /// Sets whether any tenant has a limit that can be kept.
    pub fn set_needed(&self, needed: bool) {
        self.needed.store(needed, Ordering::Relaxed);
    }

    /// Whether any tenant has a limit that can be kept.
    #[must_use]
    pub fn is_needed(&self) -> bool {
        self.needed.load(Ordering::Relaxed)
    }

    /// Has this daemon leave its shards to others, and take none, for the rest of the process.
    pub fn start_handover(&self) {
        self.handing_over.store(true, Ordering::Relaxed);
    }

    /// Whether this daemon leaves its shards to others.
    #[must_use]
    pub fn is_handing_over(&self) -> bool {
        self.handing_over.load(Ordering::Relaxed)
    }

    /// Forgets the tenants without recent requests.
    pub fn forget_old(&self) {
        let now = clock::now();
        self.caches().retain(|_, cache| now.since(cache.last_used()) < FORGOTTEN_AFTER);
    }

    fn caches(&self) -> MutexGuard<'_, HashMap<String, TokenCache>> {
        lock(&self.caches)
    }
}

/// The limit of a tenant, if it has one.
fn limit_of(tenant: &Tenant) -> Option<TenantLimit> {
    tenant.limit.map(|limit| TenantLimit { rate: limit.rate, burst: limit.burst })
}
