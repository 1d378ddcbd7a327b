//! Applies the operator's policy to a request: class, retry tokens, deadline, objective, and
//! whether the request is repeatable.
//!
//! The filters here create the [`RunningCall`] that is the parent of the request's calls.

use crate::base::clock;
use crate::base::metrics::BadInput;
use crate::filters::{Rejection, RequestFilter, RequestState};
use crate::server::running::RunningCall;
use crate::shared::Shared;
use log::warn;
use seamhatch_core::clock::{MILLISECOND, SECOND};
use seamhatch_core::outcome::Reason;
use seamhatch_core::priority::{Priority, PriorityClass};
use seamhatch_core::retry::RetryLedger;
use seamhatch_policy::{Configuration, PolicyRequest, TenantView};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Evaluates the policy for a request from outside and makes the request the root of its calls.
pub struct Classification;

impl RequestFilter for Classification {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        let configuration = request.configuration()?;
        let decision = configuration.policy().decide(&policy_request(&configuration, request));
        if !decision.failed.is_empty() {
            shared.metrics.bad_input(BadInput::Policy);
            warn!(
                root = request.root.to_string().as_str(),
                path = request.path.as_str(),
                functions = decision.failed.join(",").as_str();
                "policy functions failed; safe defaults are used"
            );
        }
        let now = clock::now();
        request.class = decision.class;
        request.repeatable = decision.repeatable;
        request.parent = Some(Arc::new(RunningCall::new(
            request.root,
            root_priority(shared, &configuration, request),
            now,
            now.plus(decision.deadline),
            0,
            RetryLedger::new(decision.retries, false),
        )));
        shared.metrics.request(decision.class);
        Ok(())
    }
}

/// Uses the precomputed decision of the route, or evaluates the policy if the decision depends on
/// more than the route. The deadline is at most the time that the caller waits.
pub struct RouteDecision;

impl RequestFilter for RouteDecision {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        let configuration = request.configuration()?;
        let path = request.path.split('?').next().unwrap_or_default();
        let Some(route) = configuration.find(request.host.as_deref(), path) else {
            return Err(Rejection::not_run(Reason::NoRoute, "the request was not routed"));
        };
        let decision = match route.decision(request.tenant.as_deref()) {
            Some(decision) => decision.clone(),
            None => configuration.policy().decide(&policy_request(&configuration, request)),
        };
        let now = clock::now();
        let deadline = request.terms.remaining.map_or(decision.deadline, |left| left.min(decision.deadline));
        request.repeatable = decision.repeatable;
        let ledger = RetryLedger::new(decision.retries, false);
        let call = match request.parent.take() {
            Some(parent) => {
                request.class = parent.priority.class;
                RunningCall::child_of(parent, now.plus(deadline), ledger)
            }
            None => {
                request.class = decision.class;
                if let Some(objective) = route.view.attributes.objective_ms {
                    let objective = objective * MILLISECOND;
                    request.objective_left = objective.saturating_sub(now.since(request.arrived));
                    request.objective = objective;
                }
                let priority = root_priority(shared, &configuration, request);
                RunningCall::new(request.root, priority, now, now.plus(deadline), 0, ledger)
            }
        };
        request.parent = Some(Arc::new(call));
        shared.metrics.request(request.class);
        Ok(())
    }
}

/// Gives a call of the back end the class of its parent, and evaluates the policy only for whether
/// the call is repeatable.
pub struct InheritedClass;

/// Deadline of a call of the back end that has no parent request, in microseconds.
const ORPHAN_DEADLINE_US: u64 = 10 * SECOND;

impl RequestFilter for InheritedClass {
    fn apply(&self, _shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        let configuration = request.configuration()?;
        request.repeatable = configuration.policy().repeatable(&policy_request(&configuration, request));
        if request.parent.is_none() {
            let now = clock::now();
            request.class = PriorityClass::Background;
            request.parent = Some(Arc::new(RunningCall::new(
                request.root,
                Priority::new(request.class, request.root),
                now,
                now.plus(ORPHAN_DEADLINE_US),
                0,
                RetryLedger::new(0, false),
            )));
        }
        Ok(())
    }
}

/// Returns the priority of a request from outside. If the operator orders requests by cost and a
/// service in the request's chain sheds load, the bucket depends on what requests of this kind use
/// at that service.
fn root_priority(shared: &Shared, configuration: &Configuration, request: &RequestState) -> Priority {
    if !configuration.admission().by_cost {
        return Priority::new(request.class, request.root);
    }
    let Some(bottleneck) = shared.entry_floors.bottleneck(&request.entry_kind) else {
        return Priority::new(request.class, request.root);
    };
    shared.chain_costs.priority(&request.entry_kind, request.class, request.root, &bottleneck)
}

/// Returns the request as the policy sees it. Header fields that are not UTF-8 are left out.
fn policy_request(configuration: &Configuration, request: &RequestState) -> PolicyRequest {
    let headers: BTreeMap<String, String> = request
        .headers
        .iter()
        .filter_map(|field| Some((field.name.clone(), String::from_utf8(field.value.clone()).ok()?)))
        .collect();
    let mut view = configuration.request(&request.method, &request.path, headers);
    view.service.clone_from(&request.service);
    view.tenant = TenantView::of(request.tenant.as_deref());
    view
}
