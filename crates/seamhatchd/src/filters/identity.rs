//! Which tenant a request belongs to: by its key, or by the call that causes it.
//!
//! A key goes no further than this filter: the policy, other daemons, back ends, claims and recorded answers don't get it. The
//! tenant's name takes its place. Keys count only while a freshness proof is young enough.

use crate::conventions::{CallerCredential, field};
use crate::filters::{Rejection, RequestFilter, RequestState};
use crate::shared::Shared;
use seamhatch_core::outcome::Reason;
use seamhatch_policy::{Configuration, KeyDigest, Tenant};
use std::sync::Arc;

/// Field in which callers send their key.
const AUTHORIZATION: &str = "authorization";

/// Finds the tenant by the key and puts its name in the key's place.
///
/// A call made for a request that runs here belongs to that request's tenant and needs no key. One that brings a key counts as
/// a caller's own request. Where the configuration has no tenants, keys are not checked and pass through.
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
            CallerCredential::Key(key) => Some(holder(shared, &configuration, key)?),
            CallerCredential::Unusable => return Err(unknown_key()),
            CallerCredential::None => None,
        };
        if let Some(tenant) = &tenant {
            request.stand_alone();
            request.headers.push(field(tenant_field, tenant.name.clone()));
        } else if let Some(parent) = &request.parent {
            request.headers.extend(parent.tenant().map(|name| field(tenant_field, name)));
        } else if !request.anonymous {
            let detail = "the request needs a key; send it as `Authorization: Bearer KEY`";
            return Err(Rejection::not_run(Reason::NoKey, detail));
        }
        request.tenant = tenant;
        Ok(())
    }
}

/// Gives a back end's own call the tenant of the call that runs.
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

fn holder(shared: &Shared, configuration: &Configuration, key: KeyDigest) -> Result<Arc<Tenant>, Rejection> {
    // Before the key is looked up: an outdated configuration may still hold it, or not hold it yet.
    if !shared.limits.freshness.is_fresh() {
        let detail = "this daemon can't show that its keys are the newest; come back after Retry-After";
        return Err(Rejection::not_run(Reason::NoProof, detail));
    }
    configuration.tenants().holder(key).cloned().ok_or_else(unknown_key)
}

fn unknown_key() -> Rejection {
    Rejection::not_run(Reason::UnknownKey, "no tenant has this key; check it, or ask for a new one")
}
