//! Policy programs: compiled once, run for each request within hard limits.
//!
//! A program may define any of these functions, each with one parameter:
//!
//! | function | gets | returns | when absent |
//! | --- | --- | --- | --- |
//! | `classify` | request | `"critical"`, `"normal"`, `"bulk"`, `"background"` | by rank, else `"normal"` |
//! | `retries` | request | 0 to 100 | 2 |
//! | `deadline_ms` | request | 1 to 120000 | 10000 |
//! | `repeatable` | request | bool | method is GET, HEAD or OPTIONS |
//! | `stop_sending` | server | bool | false |
//!
//! `view` has what a program sees, `script` runs its functions within the limits, and `decision` applies the
//! defaults and the bounds of the route. The daemon's filters call [`PolicyProgram::decide`] for a request whose
//! route has no decision yet; nothing here keeps state between two runs.

mod decision;
mod script;
mod view;

pub use decision::Decision;
pub use view::{PolicyRequest, RouteView, ServerView, TenantView};

use crate::document::RouteAttributes;
use crate::error::ConfigurationError;
use decision::DEFAULT_DEADLINE;
use rhai::Map;
use script::{CLASSIFY, DEADLINE, FunctionFailure, PolicyScript, REPEATABLE, RETRIES, STOP_SENDING};
use seamhatch_core::priority::PriorityClass;

/// A compiled policy program.
#[derive(Debug)]
pub struct PolicyProgram {
    script: PolicyScript,
}

impl PolicyProgram {
    /// Compiles a program and checks the functions that it defines.
    ///
    /// # Errors
    /// [`ConfigurationError::Compile`] or [`ConfigurationError::Signature`].
    pub fn compile(source: &str) -> Result<Self, ConfigurationError> {
        Ok(Self { script: PolicyScript::compile(source)? })
    }

    /// Decides a request. A function that fails is named in `failed`, and its
    /// safe default stands: the caller's class isn't raised, no retries, and
    /// not repeatable.
    #[must_use]
    pub fn decide(&self, request: &PolicyRequest) -> Decision {
        let mut failed = Vec::new();
        let argument = request.to_map();
        let attributes = &request.route.attributes;
        let class = decision::class(&self.script, &argument, request.rank()).unwrap_or_else(|_| {
            failed.push(CLASSIFY);
            PriorityClass::Normal
        });
        let retries = decision::retries(&self.script, &argument, attributes).unwrap_or_else(|_| {
            failed.push(RETRIES);
            0
        });
        let deadline = decision::deadline(&self.script, &argument, attributes).unwrap_or_else(|_| {
            failed.push(DEADLINE);
            decision::bounded_deadline(DEFAULT_DEADLINE, attributes)
        });
        let repeatable =
            decision::repeatable(&self.script, &argument, attributes, || is_safe(&request.method))
                .unwrap_or_else(|_| {
                    failed.push(REPEATABLE);
                    false
                });
        Decision { class, retries, deadline, repeatable, failed }
    }

    /// The decision for every request of a route from tenants of this rank, where it depends on nothing else.
    ///
    /// The functions run on the route, its service and that rank alone, and reading anything else of the
    /// request fails. None when one of them failed: then each request is decided by itself. A
    /// program that only looks whether a field is there (`"method" in request`) is not recognised.
    #[must_use]
    pub fn decide_route(
        &mut self,
        route: &RouteView,
        service: &str,
        tenant_rank: Option<u8>,
    ) -> Option<Decision> {
        // Where the route does not say, the method decides.
        if route.attributes.repeatable.is_none() && !self.script.defines(REPEATABLE) {
            return None;
        }
        let argument = view::route_map(route, service, tenant_rank);
        let rank = tenant_rank.or(route.attributes.rank);
        self.script.fail_on_missing_fields(true);
        let decision = self.decide_all(&argument, &route.attributes, rank);
        self.script.fail_on_missing_fields(false);
        decision.ok()
    }

    fn decide_all(
        &self,
        argument: &Map,
        attributes: &RouteAttributes,
        rank: Option<u8>,
    ) -> Result<Decision, FunctionFailure> {
        Ok(Decision {
            class: decision::class(&self.script, argument, rank)?,
            retries: decision::retries(&self.script, argument, attributes)?,
            deadline: decision::deadline(&self.script, argument, attributes)?,
            repeatable: decision::repeatable(&self.script, argument, attributes, || false)?,
            failed: Vec::new(),
        })
    }

    /// Whether a request may run more than once; false when the function fails.
    #[must_use]
    pub fn repeatable(&self, request: &PolicyRequest) -> bool {
        let otherwise = || is_safe(&request.method);
        decision::repeatable(&self.script, &request.to_map(), &request.route.attributes, otherwise)
            .unwrap_or(false)
    }

    /// Whether a server should get no work; false when the function is absent or fails.
    #[must_use]
    pub fn stop_sending(&self, server: &ServerView) -> bool {
        decision::stop_sending(&self.script, server).unwrap_or(false)
    }

    /// Runs every function on a request and reports the first failure.
    ///
    /// # Errors
    /// [`ConfigurationError::Run`] or [`ConfigurationError::Result`].
    pub fn try_on(&self, request: &PolicyRequest) -> Result<Decision, ConfigurationError> {
        let sample = format!("{} {}", request.method, request.path);
        let name = |function: &'static str| {
            let sample = sample.clone();
            move |failure: FunctionFailure| failure.into_error(function, sample)
        };
        let argument = request.to_map();
        let attributes = &request.route.attributes;
        let otherwise = || is_safe(&request.method);
        Ok(Decision {
            class: decision::class(&self.script, &argument, request.rank()).map_err(name(CLASSIFY))?,
            retries: decision::retries(&self.script, &argument, attributes).map_err(name(RETRIES))?,
            deadline: decision::deadline(&self.script, &argument, attributes).map_err(name(DEADLINE))?,
            repeatable: decision::repeatable(&self.script, &argument, attributes, otherwise)
                .map_err(name(REPEATABLE))?,
            failed: Vec::new(),
        })
    }

    /// Runs `stop_sending` on an idle server and reports a failure.
    ///
    /// # Errors
    /// [`ConfigurationError::Run`] or [`ConfigurationError::Result`].
    pub fn try_stop_sending(&self) -> Result<bool, ConfigurationError> {
        let server =
            ServerView { service: "sample".into(), zone: "sample".into(), slots: 8, load: 0, losses: 0 };
        decision::stop_sending(&self.script, &server)
            .map_err(|failure| failure.into_error(STOP_SENDING, "an idle server".into()))
    }
}

/// Whether a method may run more than once by its own meaning (RFC 9110, section 9.2.1).
fn is_safe(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS")
}
