//! The filters that a request passes before it is dispatched.
//!
//! Each filter reads the request and the shared state, and either adds its decision to [`RequestState`]
//! or rejects the request before it runs. Filters don't wait. [`ingress_chain`], [`egress_chain`] and
//! [`shared_chain`] list the filters in order, with the reason for each position; each traffic listener
//! runs the chain of its entry. Claims, quotas and retry limits come later, since they wait for other
//! daemons or are charged for each attempt: see `listeners::proxy` and `dispatch`.

mod classification;
mod context;
mod entry_floor;
mod idempotency;
mod identity;
mod limits;
mod outdated;
mod readiness;
mod rejection;
mod request;
mod request_name;
mod routing;

pub use entry_floor::check_entry_floor;
pub use readiness::stopping_rejection;
pub use rejection::Rejection;
pub use request::{ClaimText, Entry, RequestState};

use crate::base::clock;
use crate::shared::Shared;
use seamhatch_core::outcome::Reason;

/// A step of the request path.
pub trait RequestFilter: Send + Sync {
    /// Checks a request and adds the filter's decision.
    ///
    /// # Errors
    /// Returns the [`Rejection`] that ends the request; the request has not run.
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection>;
}

/// Filters in the order in which they are applied.
pub type FilterChain = Vec<Box<dyn RequestFilter>>;

/// Returns the filters for a request from outside.
#[must_use]
pub fn ingress_chain() -> FilterChain {
    vec![
        // The cheapest filter is first: a daemon that drains or has no configuration decides
        // nothing.
        Box::new(readiness::Readiness),
        // One configuration decides the whole request. Without a configuration, no request can be
        // called wrong.
        Box::new(readiness::PinConfiguration),
        // Comes before anything reads the fields, so that later filters see bounded input.
        Box::new(limits::RequestLimits),
        // Callers can't set trusted fields, and the policy must not see forged ones.
        Box::new(context::RemoveTrustedFields),
        // The policy's decision may depend on the service.
        Box::new(routing::RouteByPath),
        // Comes after the route, since some routes need no key. The policy sees the tenant; later
        // filters see no key.
        Box::new(identity::Identity),
        // Sets class, retry tokens, deadline and whether the request is repeatable.
        Box::new(classification::Classification),
        // Depends on whether the request is repeatable.
        Box::new(idempotency::CallerKey),
        // Comes last, as it depends on the class and the route: refuses what a service down the
        // chain would refuse.
        Box::new(entry_floor::EntryFloorCheck),
    ]
}

/// Returns the filters for a call that the local back end makes.
#[must_use]
pub fn egress_chain() -> FilterChain {
    vec![
        // One configuration decides the whole request. Without a configuration, no request can be
        // called wrong.
        Box::new(readiness::PinConfiguration),
        // There is no readiness check, since a draining daemon lets its running calls finish.
        Box::new(limits::RequestLimits),
        // Finds the running call that causes this one; everything else is inherited from it.
        Box::new(context::ParentFromContext),
        // Takes the tenant of the parent call: a back end does not have the tenant's key.
        Box::new(identity::InheritedTenant),
        // The first segment of the path names the service.
        Box::new(routing::ServiceFromPath),
        // Comes after the parent and the service are known: running calls must be able to finish.
        Box::new(readiness::BeforeShutdown),
        // Decides only whether the call is repeatable; the class is the parent's.
        Box::new(classification::InheritedClass),
        // Comes after the service is known, since keys are scoped to a service.
        Box::new(idempotency::ChainKey),
    ]
}

/// Returns the filters for a request at a listener that callers and the back end share.
#[must_use]
pub fn shared_chain() -> FilterChain {
    vec![
        // One configuration decides the whole request. Without a configuration, no request can be
        // called wrong. A draining daemon still serves callers.
        Box::new(readiness::PinConfiguration),
        // Comes before anything reads the fields, so that later filters see bounded input.
        Box::new(limits::RequestLimits),
        // Nothing can be decided without a route.
        Box::new(routing::RouteByHostAndPath),
        // Back ends would refuse a request without a name.
        Box::new(request_name::RequiredName),
        // A call made for a request that runs here keeps the priority of that request.
        Box::new(context::ParentFromName),
        // Calls made for a request that runs here need no key, nor do some routes. Later filters
        // see no key.
        Box::new(identity::Identity),
        // Comes after the parent is known: running calls must be able to finish.
        Box::new(readiness::BeforeShutdown),
        // Sets class, attempts, deadline and objective; the values of a parent take precedence.
        Box::new(classification::RouteDecision),
        // Comes last, as it depends on the class and the route: refuses what a service down the
        // chain would refuse.
        Box::new(entry_floor::EntryFloorCheck),
    ]
}

/// Runs a chain.
///
/// # Errors
/// Returns the [`Rejection`] by the first filter that rejects the request. A daemon that does not
/// know whether it has the newest configuration, or knows that it does not, gives no final
/// rejection that depends on its configuration.
pub fn run_chain(chain: &FilterChain, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
    // Checked before the chain pins a configuration, since a newer one may come into force
    // meanwhile.
    let has_newest = shared.lifecycle.is_ready() && !shared.control.is_behind(clock::now());
    let rejected = chain.iter().try_for_each(|filter| filter.apply(shared, request));
    outdated::report(shared, request);
    rejected.map_err(|rejection| {
        if has_newest || !rejection.depends_on_configuration() {
            return rejection;
        }
        let detail = "this daemon's configuration may be out of date; come back after Retry-After";
        Rejection::not_run(Reason::NotReady, detail)
    })
}
