//! Charging a request to its tenant's limit.

use super::holder::grant;
use super::{Quota, limit_of};
use crate::base::clock;
use crate::filters::{Rejection, RequestState};
use crate::shared::Shared;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::outcome::Reason;
use seamhatch_core::quota::{QuotaGrant, QuotaToken, ShardHolder, ShardNumber, refusal_without_token};
use seamhatch_core::return_time;
use seamhatch_policy::Tenant;
use seamhatch_wire::{ControlReply, ControlRequest};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a shard's answer: two hundred times the way between zones of one region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// A request that was charged. What didn't run is given back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaPermit {
    tenant: String,
    token: QuotaToken,
}

impl QuotaPermit {
    /// Gives the token back, as the request did not run.
    pub fn give_back(self, quota: &Quota) {
        if let Some(cache) = quota.caches().get_mut(&self.tenant) {
            cache.put_back(self.token, clock::now());
        }
    }
}

/// Charges a request to the limit of its tenant, if that has one. A call of a chain has no tenant of its own.
///
/// # Errors
/// [`Reason::OverQuota`] at the limit, [`Reason::NoQuotaShard`] where nobody can tell. Not run.
pub async fn admit(shared: &Arc<Shared>, request: &RequestState) -> Result<Option<QuotaPermit>, Rejection> {
    let limited = |tenant: &&Arc<Tenant>| shared.limits.quota.is_needed() && limit_of(tenant).is_some();
    let Some(tenant) = request.tenant.as_ref().filter(limited) else { return Ok(None) };
    let charge = Charge { shared, tenant: &tenant.name };
    charge.note_request();
    if let Some(permit) = charge.take() {
        return Ok(Some(permit));
    }
    let mut answered = false;
    for (shard, holder) in shared.limits.quota.directory.in_order(&shared.settings.zone) {
        if !charge.may_ask(shard) {
            answered = true;
            continue;
        }
        answered |= charge.ask(shard, holder).await;
        if let Some(permit) = charge.take() {
            return Ok(Some(permit));
        }
    }
    Err(charge.refusal(answered))
}

/// One request that is being charged.
struct Charge<'a> {
    shared: &'a Arc<Shared>,
    tenant: &'a str,
}

impl Charge<'_> {
    fn note_request(&self) {
        let mut caches = self.shared.limits.quota.caches();
        if !caches.contains_key(self.tenant) {
            caches.insert(self.tenant.to_owned(), Default::default());
        }
        if let Some(cache) = caches.get_mut(self.tenant) {
            cache.note_request(clock::now());
        }
    }

    fn take(&self) -> Option<QuotaPermit> {
        let token = self.shared.limits.quota.caches().get_mut(self.tenant)?.take(clock::now())?;
        Some(QuotaPermit { tenant: self.tenant.to_owned(), token })
    }

    fn may_ask(&self, shard: ShardNumber) -> bool {
        let caches = self.shared.limits.quota.caches();
        caches.get(self.tenant).is_none_or(|cache| cache.may_ask(shard, clock::now()))
    }

    /// Asks a shard for tokens. False when its holder did not answer.
    async fn ask(&self, shard: ShardNumber, holder: ShardHolder) -> bool {
        let quota = &self.shared.limits.quota;
        let asked = clock::now();
        let lifetime = quota.policy.token_lifetime();
        let wanted = quota.caches().get(self.tenant).map_or(1, |cache| cache.wanted(lifetime));
        let Some(grant) = self.grant_of(shard, holder, wanted).await else {
            quota.directory.note_silent(shard);
            return false;
        };
        if let Some(cache) = quota.caches().get_mut(self.tenant) {
            cache.add(shard, grant, asked, lifetime, clock::now());
        }
        true
    }

    async fn grant_of(&self, shard: ShardNumber, holder: ShardHolder, wanted: u32) -> Option<QuotaGrant> {
        if holder.peer == self.shared.settings.advertise.peer {
            return grant(self.shared, shard, self.tenant, wanted);
        }
        let request = ControlRequest::GetTokens { shard, tenant: self.tenant.to_owned(), wanted };
        let asking = async {
            let connection = self.shared.pool.get(holder.peer).await.ok()?;
            connection.control(request).await
        };
        match tokio::time::timeout(ANSWER_TIMEOUT, asking).await {
            Ok(Some(ControlReply::Tokens { tokens, pause })) => Some(QuotaGrant { tokens, pause }),
            _ => None,
        }
    }

    /// The refusal of a request that got no token; `any_known` says that a shard answered, or had no token a moment ago.
    fn refusal(&self, any_known: bool) -> Rejection {
        let reason = refusal_without_token(any_known);
        if reason == Reason::OverQuota {
            let detail = "the tenant is at its limit; come back after Retry-After, or ask for a higher one";
            return Rejection::not_run(reason, detail).retry_after(self.return_time());
        }
        let detail =
            "nobody can tell at present what is left of the tenant's limit; come back after Retry-After";
        Rejection::not_run(reason, detail)
    }

    fn return_time(&self) -> Microseconds {
        let now = clock::now();
        let caches = self.shared.limits.quota.caches();
        let room_at = caches.get(self.tenant).and_then(|cache| cache.room_at(now));
        return_time::at_limit(room_at.map(|at| at.since(now)))
    }
}
