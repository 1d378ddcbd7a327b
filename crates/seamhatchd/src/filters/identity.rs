//! Determines the tenant of a request, by its API key or by the call that causes it.
//!
//! A key goes no further than this filter: the policy, other daemons, back ends, claims and
//! recorded answers receive the tenant's name instead. Keys are accepted only while the freshness
//! proof of the configuration is recent enough.

use crate::conventions::{CallerCredential, field};
use crate::filters::context::parent_unknown;
use crate::filters::{Rejection, RequestFilter, RequestState};
use crate::server::running::MissingParent;
use crate::shared::Shared;
use seamhatch_core::outcome::Reason;
use seamhatch_policy::{Configuration, KeyDigest, Tenant};
use std::sync::Arc;

/// Field that carries a caller's key.
const AUTHORIZATION: &str = "authorization";

/// Finds the tenant by its key and replaces the key by the tenant's name.
///
/// A call made for a request that runs here belongs to that request's tenant and needs no key. A
/// call that carries a key is handled as a caller's own request. If the configuration has no
/// tenants, keys are not checked and pass through.
pub struct Identity;

impl RequestFilter for Identity {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        let configuration = request.configuration()?;
        if configuration.tenants().is_empty() {
            return Ok(());
        }
        let tenant_field = shared.conventions.tenant_field();
        request.headers.retain(|field| field.name != AUTHORIZATION && field.name != tenant_field);
        let credential = std::mem::take(&mut request.terms.credential);
        let tenant = match credential {
            CallerCredential::Key(key) => Some(tenant_of_key(shared, &configuration, key)?),
            CallerCredential::Unusable => return Err(unknown_key()),
            CallerCredential::None => None,
        };
        if let Some(tenant) = &tenant {
            request.detach_from_parent();
            request.headers.push(field(tenant_field, tenant.name.clone()));
        } else if let Some(parent) = &request.parent {
            request.headers.extend(parent.tenant().map(|name| field(tenant_field, name)));
        } else if !request.anonymous {
            return Err(without_key(request.missing_parent));
        }
        request.tenant = tenant;
        Ok(())
    }
}

/// Gives a call of the back end the tenant of the running call that it belongs to.
pub struct InheritedTenant;

impl RequestFilter for InheritedTenant {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        let tenant_field = shared.conventions.tenant_field();
        let Some(parent) = &request.parent else { return Ok(()) };
        let Some(name) = parent.tenant() else { return Ok(()) };
        let inherited = field(tenant_field, name);
        request.headers.retain(|field| field.name != tenant_field);
        request.headers.push(inherited);
        Ok(())
    }
}

fn tenant_of_key(
    shared: &Shared,
    configuration: &Configuration,
    key: KeyDigest,
) -> Result<Arc<Tenant>, Rejection> {
    // Checked before the key is looked up: an outdated configuration may still hold the key, or not
    // hold it yet.
    if !shared.limits.freshness.is_fresh() {
        let detail = "this daemon can't show that its keys are the newest; come back after Retry-After";
        return Err(Rejection::not_run(Reason::NoProof, detail));
    }
    configuration.tenants().holder(key).cloned().ok_or_else(unknown_key)
}

/// The rejection of a request without a key and without a known parent. It is final only if the daemon knows that the
/// request has no parent that needs none.
fn without_key(missing: Option<MissingParent>) -> Rejection {
    match missing {
        Some(missing @ (MissingParent::Abandoned | MissingParent::MayBeEarlier)) => parent_unknown(missing),
        Some(MissingParent::Unknown) | None => {
            let detail = "the request needs a key; send it as `Authorization: Bearer KEY`";
            Rejection::not_run(Reason::NoKey, detail)
        }
    }
}

fn unknown_key() -> Rejection {
    Rejection::not_run(Reason::UnknownKey, "no tenant has this key; check it, or ask for a new one")
}
