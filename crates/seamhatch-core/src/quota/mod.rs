//! Tenant quotas: limits on the requests of a tenant over all daemons, without agreement on each request.
//!
//! Decides whether a request of a tenant is admitted. A tenant's limit is divided into a fixed number of *shards*.
//! The daemon that holds a shard fills a token bucket per tenant at the shard's part of the rate and grants tokens
//! on demand. A daemon admits a request with a token, which is valid for its lifetime counted from when it was
//! *asked for*. So the tokens used in a window were granted in that window or in the lifetime before it. Each
//! bucket is therefore smaller by the tokens that its rate adds in one lifetime. This keeps the bound through
//! losses, delays, partitions and restarts:
//!
//! - A token that is lost in transit, or with a daemon, was granted and is never used.
//! - A shard has one holder at a time, by a lease in the store. The holder takes the lease to end no later
//!   than the store does ([`ShardLease`]). A new holder starts with empty buckets.
//! - A shard's part of the limit is granted only at that shard, so a shard without a holder, or one that
//!   cannot be reached, reduces the limit by its part and has no other effect.
//!
//! A fixed share of the limit per daemon is exact too, but refuses requests when a tenant's requests arrive
//! at few daemons: of a load of 0.7 of the limit at one of 70 daemons, it admits 0.02, and tokens on demand
//! admit 1.00. Tokens on demand follow K. Raghavan et al., "Cloud Control with Distributed Rate Limiting"
//! (2007), and the capacity leases of Doorman, with expiry in place of trust. Alternatives:
//! docs/design/quotas.md. The daemon's part is `seamhatchd::limits::quota`.

mod bucket;
mod cache;
mod directory;
mod lease;

pub use bucket::{QuotaBucket, QuotaGrant};
pub use cache::{QuotaToken, TokenCache};
pub use directory::{ShardDirectory, ShardHolder};
pub use lease::ShardLease;

use crate::clock::{MILLISECOND, Microseconds, SECOND};
use crate::outcome::Reason;

/// Number of a shard; the same shards divide the limits of all tenants.
pub type ShardNumber = u32;

/// Minimum time before a daemon that got no token asks the same shard again, and minimum lifetime of a
/// token: a few round trips within a region.
const MIN_PAUSE: Microseconds = 50 * MILLISECOND;

/// Limit of a tenant over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantLimit {
    /// Requests per second.
    pub rate: f64,
    /// Requests beyond the rate, in any span.
    pub burst: f64,
}

/// Precision with which limits are kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaPolicy {
    /// Span over which a limit is judged, in microseconds.
    pub window: Microseconds,
    /// Fraction of the limit that may be exceeded in a window.
    pub overage: f64,
    /// Number of requests by which the limit may be exceeded in addition.
    pub slack: f64,
    /// Number of shards that each limit is divided into.
    pub shards: ShardNumber,
}

impl QuotaPolicy {
    /// Lifetime of a token, counted from when it was asked for. Between its bounds, the tokens that a bucket
    /// gains in one lifetime equal the excess over the rate that is allowed in a window, so a tenant's bucket can
    /// hold its whole burst.
    #[must_use]
    pub fn token_lifetime(&self) -> Microseconds {
        ((self.window as f64 * self.overage) as Microseconds).clamp(MIN_PAUSE, SECOND)
    }

    /// Part of a limit that one shard may grant. Its bucket holds at least one token.
    #[must_use]
    pub fn shard_limit(&self, limit: TenantLimit) -> TenantLimit {
        let seconds = |span: Microseconds| span as f64 / SECOND as f64;
        let excess = self.overage * (limit.rate * seconds(self.window) + limit.burst) + self.slack;
        let burst = limit.burst + excess - limit.rate * seconds(self.token_lifetime());
        let shards = f64::from(self.shards);
        TenantLimit { rate: limit.rate / shards, burst: (burst / shards).max(1.0) }
    }
}

/// Reason for refusing a request that got no token from any shard. `any_known` tells whether a shard
/// answered, or had no token shortly before.
#[must_use]
pub fn refusal_without_token(any_known: bool) -> Reason {
    if any_known { Reason::OverQuota } else { Reason::NoQuotaShard }
}
