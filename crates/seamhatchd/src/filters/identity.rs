//! Whose request it is: by its key, or by the call that causes it.
//!
//! A key is looked at here and goes no further: neither the policy nor other daemons, back ends, claims or
//! records of answers get it. The tenant's name takes its place.

use crate::conventions::{CallerCredential, field};
use crate::filters::{Rejection, RequestFilter, RequestState};
use crate::shared::Shared;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::outcome::Reason;
use seamhatch_policy::{Configuration, KeyDigest, Tenant};
use std::sync::Arc;

/// Field in which callers send their key.
const AUTHORIZATION: &str = "authorization";
/// A daemon that could not show that its configuration is the newest asks the store again within this time.
const PROOF_RETURN: Microseconds = 500 * MILLISECOND;

/// Finds the tenant by the key and puts its name in the key's place.
///
/// A call of work that runs here has its request's tenant and needs no key. One that brings a key is a
/// caller's all the same. Without tenants, the configuration says nothing of keys, and what callers
/// send passes through.
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
    // Before anything is said of the key: what is in force here may be out of date either way.
    if !shared.limits.freshness.is_proved() {
        let detail = "this daemon can't show that its keys are the newest; come back after Retry-After";
        return Err(Rejection::not_run(Reason::NoProof, detail).retry_after(PROOF_RETURN));
    }
    configuration.tenants().holder(key).cloned().ok_or_else(unknown_key)
}

fn unknown_key() -> Rejection {
    Rejection::not_run(Reason::UnknownKey, "no tenant has this key; check it, or ask for a new one")
}
