//! The request path: filters that look at a request before it is dispatched.
//!
//! [`ingress_chain`] and [`egress_chain`] show the whole order in one place.

mod classification;
mod context;
mod entry_floor;
mod idempotency;
mod identity;
mod limits;
mod naming;
mod readiness;
mod rejection;
mod request;
mod routing;

pub use entry_floor::{EntryFloors, RETURN_JITTER, check_entry_floor};
pub use rejection::{Rejection, VerdictSource};
pub use request::{Entry, RequestState};

use crate::base::clock;
use crate::shared::Shared;
use seamhatch_core::outcome::Reason;

/// One step of the request path.
pub trait RequestFilter: Send + Sync {
    /// Looks at a request and adds what it decides.
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
        // Cheapest first: a daemon that is leaving or has no configuration decides nothing.
        Box::new(readiness::Readiness),
        // One configuration decides the whole request. Without one, nothing is known to be wrong with it.
        Box::new(readiness::PinConfiguration),
        // Before anything reads the fields, so that later filters see bounded input.
        Box::new(limits::RequestLimits),
        // Callers can't set trusted fields; the policy must not see forged ones either.
        Box::new(context::RemoveTrustedFields),
        // The policy's decision may depend on the service.
        Box::new(routing::RouteByPath),
        // Some routes need no key. The policy sees the tenant, and what comes later no key.
        Box::new(identity::Identity),
        // Sets class, retry tokens, deadline and whether the request may run again.
        Box::new(classification::Classification),
        // Needs to know whether the request may run again.
        Box::new(idempotency::CallerKey),
        // Last, as it needs the class and the route: refuse what a service below would refuse.
        Box::new(entry_floor::EntryFloorCheck),
    ]
}

/// The path of a call that the back end beside this daemon makes.
#[must_use]
pub fn egress_chain() -> FilterChain {
    vec![
        // One configuration decides the whole request. Without one, nothing is known to be wrong with it.
        Box::new(readiness::PinConfiguration),
        // A draining daemon still lets its running calls finish, so there is no readiness check.
        Box::new(limits::RequestLimits),
        // Finds the running call that causes this one; all else is inherited from it.
        Box::new(context::ParentFromContext),
        // From the call just found: a back end has no key of the tenant's.
        Box::new(identity::InheritedTenant),
        // The first segment of the path names the service.
        Box::new(routing::ServiceFromPath),
        // Only asks whether the call may run again; the class is the parent's.
        Box::new(classification::InheritedClass),
        // After the service is known, since keys count within a service.
        Box::new(idempotency::ChainKey),
    ]
}

/// The path of a request at a listener that callers and the back end share.
#[must_use]
pub fn shared_chain() -> FilterChain {
    vec![
        // One configuration decides the whole request. Without one, nothing is known to be wrong with it. A
        // daemon that is leaving still serves callers.
        Box::new(readiness::PinConfiguration),
        // Before anything reads the fields, so that later filters see bounded input.
        Box::new(limits::RequestLimits),
        // With no route, nothing can be decided.
        Box::new(routing::RouteByHostAndPath),
        // What no back end takes is not sent to any.
        Box::new(naming::RequiredName),
        // A call of work that runs here keeps its request's place in the order of shedding.
        Box::new(context::ParentFromName),
        // Calls of work that runs here need no key, and some routes need none. What comes later sees no key.
        Box::new(identity::Identity),
        // After it is known whose call it is: what runs here must be able to finish.
        Box::new(readiness::BeforeTheEnd),
        // Sets class, attempts, deadline and objective; a parent found before takes precedence.
        Box::new(classification::RouteDecision),
        // Last, as it needs the class and the route: refuse what a service below would refuse.
        Box::new(entry_floor::EntryFloorCheck),
    ]
}

/// Runs a chain.
///
/// # Errors
/// The first filter's [`Rejection`]. A daemon that does not know yet whether it has the newest configuration,
/// or knows that it has not, turns down nothing for good by the one that it has.
pub fn run_chain(chain: &FilterChain, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
    // Before the chain takes hold of a configuration: a newer one may come into force meanwhile.
    let newest = shared.lifecycle.is_ready() && !shared.control.is_behind(clock::now());
    let rejected = chain.iter().try_for_each(|filter| filter.apply(shared, request));
    rejected.map_err(|rejection| {
        if newest || !rejection.rests_on_configuration() {
            return rejection;
        }
        let detail = "this daemon's configuration may be out of date; come back after Retry-After";
        Rejection::not_run(Reason::NotReady, detail)
    })
}
