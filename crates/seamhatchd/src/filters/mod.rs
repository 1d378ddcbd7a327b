//! The filters that a request passes before it is dispatched.
//!
//! Each filter reads the request and the shared state, adds its decision to [`RequestState`], or rejects the request, which has
//! not run then. Filters don't wait. [`ingress_chain`], [`egress_chain`] and [`shared_chain`] show the order, with the reason for
//! each place; `listeners` runs the chain of its entry. Claims, quotas and the limits on retries come later, as they wait for
//! other daemons or are charged for each attempt: see `listeners::proxy` and `dispatch`.

mod classification;
mod context;
mod entry_floor;
mod idempotency;
mod identity;
mod limits;
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

/// One step of the request path.
pub trait RequestFilter: Send + Sync {
    /// Checks a request and adds what the filter decides.
    ///
    /// # Errors
    /// The [`Rejection`] that ends the request; it has not run then.
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection>;
}

/// Filters in the order in which they see a request.
pub type FilterChain = Vec<Box<dyn RequestFilter>>;

/// The path of a request from outside.
#[must_use]
pub fn ingress_chain() -> FilterChain {
    vec![
        // Cheapest first: a draining daemon, or one without a configuration, decides nothing.
        Box::new(readiness::Readiness),
        // One configuration decides the whole request. Without one, no request can be called wrong.
        Box::new(readiness::PinConfiguration),
        // Before anything reads the fields, so that later filters see bounded input.
        Box::new(limits::RequestLimits),
        // Callers can't set trusted fields; the policy must not see forged ones either.
        Box::new(context::RemoveTrustedFields),
        // The policy's decision may depend on the service.
        Box::new(routing::RouteByPath),
        // After the route, as some need no key. The policy sees the tenant; what comes later sees no key.
        Box::new(identity::Identity),
        // Sets class, retry tokens, deadline and whether the request is repeatable.
        Box::new(classification::Classification),
        // Needs to know whether the request is repeatable.
        Box::new(idempotency::CallerKey),
        // Last, as it needs the class and the route: refuses what a service below would refuse.
        Box::new(entry_floor::EntryFloorCheck),
    ]
}

/// The path of a call that the back end beside this daemon makes.
#[must_use]
pub fn egress_chain() -> FilterChain {
    vec![
        // One configuration decides the whole request. Without one, no request can be called wrong.
        Box::new(readiness::PinConfiguration),
        // A draining daemon still lets its running calls finish, so there is no readiness check.
        Box::new(limits::RequestLimits),
        // Finds the running call that causes this one; all else is inherited from it.
        Box::new(context::ParentFromContext),
        // From the call just found: a back end has no key of the tenant's.
        Box::new(identity::InheritedTenant),
        // The first segment of the path names the service.
        Box::new(routing::ServiceFromPath),
        // After the parent and the service are known: what runs here must be able to finish.
        Box::new(readiness::BeforeTheEnd),
        // Only decides whether the call is repeatable; the class is the parent's.
        Box::new(classification::InheritedClass),
        // After the service is known, since keys count within a service.
        Box::new(idempotency::ChainKey),
    ]
}

/// The path of a request at a listener that callers and the back end share.
#[must_use]
pub fn shared_chain() -> FilterChain {
    vec![
        // One configuration decides the whole request. Without one, no request can be called wrong. A draining
        // daemon still serves callers.
        Box::new(readiness::PinConfiguration),
        // Before anything reads the fields, so that later filters see bounded input.
        Box::new(limits::RequestLimits),
        // With no route, nothing can be decided.
        Box::new(routing::RouteByHostAndPath),
        // Back ends would refuse a request without a name.
        Box::new(request_name::RequiredName),
        // A call made for a request that runs here keeps the priority of that request.
        Box::new(context::ParentFromName),
        // Calls made for a request that runs here need no key, and some routes need none. What comes later sees no key.
        Box::new(identity::Identity),
        // After the parent is known: what runs here must be able to finish.
        Box::new(readiness::BeforeTheEnd),
        // Sets class, attempts, deadline and objective; a parent found before takes precedence.
        Box::new(classification::RouteDecision),
        // Last, as it needs the class and the route: refuses what a service below would refuse.
        Box::new(entry_floor::EntryFloorCheck),
    ]
}

/// Runs a chain.
///
/// # Errors
/// The first filter's [`Rejection`]. A daemon that doesn't know yet whether it has the newest configuration, or knows that it
/// hasn't, rejects nothing for good on the strength of the one that it has.
pub fn run_chain(chain: &FilterChain, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
    // Checked before the chain pins a configuration, as a newer one may come into force meanwhile.
    let has_newest = shared.lifecycle.is_ready() && !shared.control.is_behind(clock::now());
    let rejected = chain.iter().try_for_each(|filter| filter.apply(shared, request));
    rejected.map_err(|rejection| {
        if has_newest || !rejection.depends_on_configuration() {
            return rejection;
        }
        let detail = "this daemon's configuration may be out of date; come back after Retry-After";
        Rejection::not_run(Reason::NotReady, detail)
    })
}
