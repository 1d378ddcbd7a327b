//! Quota: limits on the requests of a tenant over all daemons together, kept without agreement on each request.
//!
//! Decides whether a request of a tenant is admitted. A tenant's limit is divided into a fixed number of *shards*. The
//! daemon that holds a shard fills a token bucket for each tenant with the shard's part of the rate and hands out tokens on
//! demand. A daemon admits a request with a token, which counts only for its lifetime from when it was *asked for*. So the
//! tokens used in a window were granted in that window or one lifetime before it, and a bucket that is smaller by what its
//! rate fills in a lifetime keeps the bound whatever is lost, delayed, cut off or restarted:
//!
//! - A token that is lost on its way, or with a daemon, was granted and is never used.
//! - A shard has one holder at a time, by a lease in the store that its holder takes to end no later than the store does
//!   ([`ShardLease`]). A new holder begins with empty buckets.
//! - What a shard's part allows is allowed at that shard only, so a shard that nobody holds, or that can't be reached, takes
//!   its part of the limit away and nothing else.
//!
//! Each daemon alone with its share of the limit is exact too, but refuses where a tenant's requests arrive at few daemons
//! (0.02 of a load of 0.7 of the limit admitted at one of 70 daemons; 1.00 with tokens on demand). Tokens handed out by
//! demand are K. Raghavan et al., "Cloud Control with Distributed Rate Limiting" (2007), and the capacity leases of Doorman,
//! with expiry in place of trust. Alternatives: docs/design/quotas.md. The daemon's part is `seamhatchd::limits::quota`.

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

/// Number of one part of all limits.
pub type ShardNumber = u32;

/// Shortest time after which a daemon that got no token asks the same shard again, and shortest lifetime of a token: a few
/// round trips within a region. Chosen, not measured.
const SHORTEST_PAUSE: Microseconds = 50 * MILLISECOND;

/// A tenant's limit over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests on top of these, in any span.
    pub burst: f64,
}

/// How exactly limits are kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaPolicy {
    /// Span in which a limit is judged, in microseconds.
    pub window: Microseconds,
    /// Part of the limit that may be exceeded in a window.
    pub overage: f64,
    /// Requests by which it may be exceeded besides.
    pub slack: f64,
    /// Parts that each limit is divided into.
    pub shards: ShardNumber,
}

impl QuotaPolicy {
    /// How long a token counts from when it was asked for: what is filled meanwhile is the allowed excess of the rate, so
    /// that a tenant's whole burst is left for its bucket.
    #[must_use]
    pub fn token_lifetime(&self) -> Microseconds {
        ((self.window as f64 * self.overage) as Microseconds).clamp(SHORTEST_PAUSE, SECOND)
    }

    /// What one shard may hand out of a limit. A bucket holds one token at least.
    #[must_use]
    pub fn shard_limit(&self, limit: TenantLimit) -> TenantLimit {
        let seconds = |span: Microseconds| span as f64 / SECOND as f64;
        let excess = self.overage * (limit.rate * seconds(self.window) + limit.burst) + self.slack;
        let burst = limit.burst + excess - limit.rate * seconds(self.token_lifetime());
        let shards = f64::from(self.shards);
        TenantLimit { rate: limit.rate / shards, burst: (burst / shards).max(1.0) }
    }
}

/// Why a request without a token is refused after all shards were asked; `any_known` says that a shard answered, or had no
/// token a moment ago.
#[must_use]
pub fn refusal_without_token(any_known: bool) -> Reason {
    if any_known { Reason::OverQuota } else { Reason::NoQuotaShard }
}
