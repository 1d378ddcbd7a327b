//! Charges a request to its tenant's quota: with a token from this daemon's cache, or else with a
//! token granted by a quota shard.
//!
//! The rules are in [`seamhatch_core::quota`]. The listeners call this before the body is read.

use super::holder::grant;
use super::{Quota, limit_of};
use crate::base::clock;
use crate::peer::PeerPool;
use crate::snapshot::Snapshot;
use arc_swap::ArcSwap;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::identity::Address;
use seamhatch_core::outcome::Reason;
use seamhatch_core::quota::{QuotaGrant, QuotaToken, ShardHolder, ShardNumber, refusal_without_token};
use seamhatch_core::return_time;
use seamhatch_policy::Tenant;
use seamhatch_wire::{ControlReply, ControlRequest};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a shard's answer: two hundred times the latency between zones of one region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// A charged request. Its token is refunded if the request does not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaPermit {
    tenant: String,
    token: QuotaToken,
}

impl QuotaPermit {
    /// Returns the token to the cache, as the request did not run.
    pub fn refund(self, quota: &Quota) {
        if let Some(cache) = quota.caches().get_mut(&self.tenant) {
            cache.put_back(self.token, clock::now());
        }
    }
}

/// Why a request was not charged; it was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaRefusal {
    /// The tenant is at its limit.
    AtLimit {
        /// Time after which the caller should return, in microseconds before jitter.
        return_after: Microseconds,
    },
    /// No shard of the limit could be asked.
    NoShard,
}

/// The parts of the daemon that are used to charge a request.
#[derive(Debug, Clone, Copy)]
pub struct QuotaContext<'a> {
    /// State of the limits at this daemon.
    pub quota: &'a Quota,
    /// Connections to the holders of shards.
    pub pool: &'a Arc<PeerPool>,
    /// The published configuration, for shards that are held here.
    pub published: &'a ArcSwap<Snapshot>,
    /// Zone of this daemon.
    pub zone: &'a str,
    /// Peer address of this daemon.
    pub own_peer: Address,
}

impl QuotaContext<'_> {
    /// Charges a request to the limit of its tenant, if the tenant has one. A call of a chain has
    /// no tenant of its own.
    ///
    /// # Errors
    /// Returns a [`QuotaRefusal`] if the tenant is at its limit or no shard could be asked.
    pub async fn admit(&self, tenant: Option<&Arc<Tenant>>) -> Result<Option<QuotaPermit>, QuotaRefusal> {
        let limited = |tenant: &&Arc<Tenant>| self.quota.is_needed() && limit_of(tenant).is_some();
        let Some(tenant) = tenant.filter(limited) else { return Ok(None) };
        let charge = Charge { context: self, tenant: &tenant.name };
        charge.note_request();
        if let Some(permit) = charge.take() {
            return Ok(Some(permit));
        }
        let mut any_known = false;
        for (shard, holder) in self.quota.directory.shards_to_ask(self.zone) {
            if !charge.may_ask(shard) {
                any_known = true;
                continue;
            }
            any_known |= charge.ask(shard, holder).await;
            if let Some(permit) = charge.take() {
                return Ok(Some(permit));
            }
        }
        Err(charge.refusal(any_known))
    }
}

/// A request that is being charged.
struct Charge<'a> {
    context: &'a QuotaContext<'a>,
    tenant: &'a str,
}

impl Charge<'_> {
    fn note_request(&self) {
        let mut caches = self.context.quota.caches();
        if !caches.contains_key(self.tenant) {
            caches.insert(self.tenant.to_owned(), Default::default());
        }
        if let Some(cache) = caches.get_mut(self.tenant) {
            cache.note_request(clock::now());
        }
    }

    fn take(&self) -> Option<QuotaPermit> {
        let token = self.context.quota.caches().get_mut(self.tenant)?.take(clock::now())?;
        Some(QuotaPermit { tenant: self.tenant.to_owned(), token })
    }

    fn may_ask(&self, shard: ShardNumber) -> bool {
        let caches = self.context.quota.caches();
        caches.get(self.tenant).is_none_or(|cache| cache.may_ask(shard, clock::now()))
    }

    /// Requests tokens from a shard. Returns false if its holder did not answer.
    async fn ask(&self, shard: ShardNumber, holder: ShardHolder) -> bool {
        let quota = &self.context.quota;
        let asked = clock::now();
        let lifetime = quota.policy.token_lifetime();
        let wanted = quota.caches().get(self.tenant).map_or(1, |cache| cache.wanted(lifetime));
        let Some(grant) = self.grant_of(shard, holder, wanted).await else {
            quota.directory.mark_unavailable(shard);
            return false;
        };
        if let Some(cache) = quota.caches().get_mut(self.tenant) {
            cache.add(shard, grant, asked, lifetime, clock::now());
        }
        true
    }

    async fn grant_of(&self, shard: ShardNumber, holder: ShardHolder, wanted: u32) -> Option<QuotaGrant> {
        if holder.peer == self.context.own_peer {
            let snapshot = self.context.published.load();
            return grant(self.context.quota, &snapshot, shard, self.tenant, wanted);
        }
        let request = ControlRequest::GetTokens { shard, tenant: self.tenant.to_owned(), wanted };
        let asking = async {
            let connection = self.context.pool.get(holder.peer).await.ok()?;
            connection.control(request).await
        };
        match tokio::time::timeout(ANSWER_TIMEOUT, asking).await {
            Ok(Some(ControlReply::Tokens { tokens, pause })) => Some(QuotaGrant { tokens, pause }),
            _ => None,
        }
    }

    /// Returns the refusal of a request that got no token. `any_known` is true if a shard answered,
    /// or had no token a moment ago.
    fn refusal(&self, any_known: bool) -> QuotaRefusal {
        if refusal_without_token(any_known) != Reason::OverQuota {
            return QuotaRefusal::NoShard;
        }
        let now = clock::now();
        let caches = self.context.quota.caches();
        let next_ask_at = caches.get(self.tenant).and_then(|cache| cache.next_ask_at(now));
        QuotaRefusal::AtLimit { return_after: return_time::at_limit(next_ask_at.map(|at| at.since(now))) }
    }
}
