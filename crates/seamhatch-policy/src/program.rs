//! Policy programs: compiled once, run for each request within hard limits.
//!
//! A program may define any of these functions, each with one parameter:
//!
//! | function | gets | returns | when absent |
//! | --- | --- | --- | --- |
//! | `classify` | request | `"critical"`, `"normal"`, `"bulk"`, `"background"` | `"normal"` |
//! | `retries` | request | 0 to 100 | 2 |
//! | `deadline_ms` | request | 1 to 120000 | 10000 |
//! | `repeatable` | request | bool | method is GET, HEAD or OPTIONS |
//! | `stop_sending` | server | bool | false |

use crate::document::RouteAttributes;
use crate::error::ConfigurationError;
use crate::tenant::Tenant;
use rhai::{AST, Dynamic, Engine, Map, Scope};
use seamhatch_core::claims::LONGEST_REQUEST;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::priority::PriorityClass;
use serde::Serialize;
use std::collections::BTreeMap;

/// Operations of one function run.
const MAX_OPERATIONS: u64 = 20_000;
/// Nested calls.
const MAX_CALL_LEVELS: usize = 16;
/// Nesting of expressions.
const MAX_EXPRESSION_DEPTH: usize = 48;
/// Bytes of a string.
const MAX_STRING: usize = 16 * 1024;
/// Elements of an array or a map.
const MAX_ELEMENTS: usize = 512;
/// Retries that a policy may allow.
const MAX_RETRIES: i64 = 100;
/// Retries without a `retries` function.
const DEFAULT_RETRIES: u32 = 2;
/// Deadline without a `deadline_ms` function.
const DEFAULT_DEADLINE: Microseconds = 10_000 * MILLISECOND;
/// Longest deadline, in milliseconds.
const MAX_DEADLINE_MS: i64 = (LONGEST_REQUEST / MILLISECOND) as i64;

const CLASSIFY: &str = "classify";
const RETRIES: &str = "retries";
const DEADLINE: &str = "deadline_ms";
const REPEATABLE: &str = "repeatable";
const STOP_SENDING: &str = "stop_sending";
const FUNCTIONS: [&str; 5] = [CLASSIFY, RETRIES, DEADLINE, REPEATABLE, STOP_SENDING];

/// What a policy sees of a request.
#[derive(Debug, Clone, Default)]
pub struct PolicyRequest {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Service that it is routed to.
    pub service: String,
    /// Header fields from outside, names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The route that it takes.
    pub route: RouteView,
    /// The tenant that sends it.
    pub tenant: TenantView,
}

/// What a policy sees of a tenant.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TenantView {
    /// Its name; empty for a request without a key.
    pub name: String,
    /// Order of importance of its requests; that of their route where there is none.
    pub rank: Option<u8>,
}

impl TenantView {
    /// What a policy sees of a request's tenant.
    #[must_use]
    pub fn of(tenant: Option<&Tenant>) -> Self {
        tenant.map_or_else(Self::default, |tenant| Self { name: tenant.name.clone(), rank: tenant.rank })
    }

    fn to_map(&self) -> Map {
        let mut map = rank_map(self.rank);
        map.insert("name".into(), self.name.clone().into());
        map
    }
}

/// What depends on a tenant's rank alone.
fn rank_map(rank: Option<u8>) -> Map {
    let mut map = Map::new();
    map.insert("rank".into(), rank.map_or(Dynamic::UNIT, |rank| Dynamic::from(i64::from(rank))));
    map
}

/// What a policy sees of a route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteView {
    /// Its name; empty where it has none.
    pub name: String,
    /// What the operator says of its requests.
    pub attributes: RouteAttributes,
}

impl RouteView {
    fn to_map(&self) -> Map {
        fn optional(value: Option<u64>) -> Dynamic {
            value.map_or(Dynamic::UNIT, |value| Dynamic::from(value as i64))
        }
        let attributes = self.attributes;
        let mut map = Map::new();
        map.insert("name".into(), self.name.clone().into());
        map.insert("repeatable".into(), attributes.repeatable.map_or(Dynamic::UNIT, Dynamic::from));
        map.insert("rank".into(), optional(attributes.rank.map(u64::from)));
        map.insert("objective_ms".into(), optional(attributes.objective_ms));
        map.insert("timeout_ms".into(), optional(attributes.timeout_ms));
        map.insert("dispatches".into(), optional(attributes.dispatches.map(u64::from)));
        map
    }
}

impl PolicyRequest {
    fn to_map(&self) -> Map {
        let headers: Map =
            self.headers.iter().map(|(name, value)| (name.into(), Dynamic::from(value.clone()))).collect();
        let mut map = Map::new();
        map.insert("method".into(), self.method.clone().into());
        map.insert("path".into(), self.path.clone().into());
        map.insert("query".into(), self.query.clone().into());
        map.insert("service".into(), self.service.clone().into());
        map.insert("headers".into(), headers.into());
        map.insert("route".into(), self.route.to_map().into());
        map.insert("tenant".into(), self.tenant.to_map().into());
        map
    }

    /// The order of importance that the operators' document gives it: a tenant's goes before its route's.
    fn rank(&self) -> Option<u8> {
        self.tenant.rank.or(self.route.attributes.rank)
    }
}

/// What a policy sees of a server when it decides whether to stop sending.
#[derive(Debug, Clone, Default)]
pub struct ServerView {
    /// Service of the server.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Slots it reports.
    pub slots: u32,
    /// Work it has, running and waiting, as last told.
    pub load: u32,
    /// Calls to it lost in a row.
    pub losses: u32,
}

/// What the policy decided for a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Decision {
    /// Order of shedding.
    pub class: PriorityClass,
    /// Retry tokens of the whole request.
    pub retries: u32,
    /// Time from admission to expiry.
    pub deadline: Microseconds,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Functions that failed, for which the safe default stands.
    pub failed: Vec<&'static str>,
}

/// A compiled policy program.
#[derive(Debug)]
pub struct PolicyProgram {
    engine: Engine,
    ast: AST,
    defined: Vec<&'static str>,
}

enum Failure {
    Run(String),
    Result { value: String, wanted: &'static str },
}

impl PolicyProgram {
    /// Compiles a program and checks the functions it defines.
    ///
    /// # Errors
    /// [`ConfigurationError::Compile`] or [`ConfigurationError::Signature`].
    pub fn compile(source: &str) -> Result<Self, ConfigurationError> {
        let engine = limited_engine();
        let ast = engine
            .compile(source)
            .map_err(|error| ConfigurationError::Compile { detail: error.to_string() })?;
        let mut defined = Vec::new();
        for function in FUNCTIONS {
            let parameters: Vec<usize> = ast
                .iter_functions()
                .filter(|known| known.name == function)
                .map(|known| known.params.len())
                .collect();
            if parameters.iter().any(|count| *count != 1) {
                return Err(ConfigurationError::Signature { function });
            }
            if !parameters.is_empty() {
                defined.push(function);
            }
        }
        Ok(Self { engine, ast, defined })
    }

    /// Decides a request. A function that fails is named in `failed`, and its
    /// safe default stands: the caller's class isn't raised, no retries, and
    /// not repeatable.
    #[must_use]
    pub fn decide(&self, request: &PolicyRequest) -> Decision {
        let mut failed = Vec::new();
        let argument = request.to_map();
        let attributes = &request.route.attributes;
        let class = self.class(&argument, request.rank()).unwrap_or_else(|_| {
            failed.push(CLASSIFY);
            PriorityClass::Normal
        });
        let retries = self.retries(&argument, attributes).unwrap_or_else(|_| {
            failed.push(RETRIES);
            0
        });
        let deadline = self.deadline(&argument, attributes).unwrap_or_else(|_| {
            failed.push(DEADLINE);
            bounded_deadline(DEFAULT_DEADLINE, attributes)
        });
        let repeatable =
            self.repeatable_map(&argument, attributes, || is_safe(&request.method)).unwrap_or_else(|_| {
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
        // Without the operator's word, the method decides.
        if route.attributes.repeatable.is_none() && !self.defined.contains(&REPEATABLE) {
            return None;
        }
        let mut argument = Map::new();
        argument.insert("service".into(), service.into());
        argument.insert("route".into(), route.to_map().into());
        argument.insert("tenant".into(), rank_map(tenant_rank).into());
        self.engine.set_fail_on_invalid_map_property(true);
        let rank = tenant_rank.or(route.attributes.rank);
        let decision = self.decide_all(&argument, &route.attributes, rank);
        self.engine.set_fail_on_invalid_map_property(false);
        decision.ok()
    }

    fn decide_all(
        &self,
        argument: &Map,
        attributes: &RouteAttributes,
        rank: Option<u8>,
    ) -> Result<Decision, Failure> {
        Ok(Decision {
            class: self.class(argument, rank)?,
            retries: self.retries(argument, attributes)?,
            deadline: self.deadline(argument, attributes)?,
            repeatable: self.repeatable_map(argument, attributes, || false)?,
            failed: Vec::new(),
        })
    }

    /// Whether a request may run more than once; false when the function fails.
    #[must_use]
    pub fn repeatable(&self, request: &PolicyRequest) -> bool {
        let otherwise = || is_safe(&request.method);
        self.repeatable_map(&request.to_map(), &request.route.attributes, otherwise).unwrap_or(false)
    }

    /// Whether a server should get no work; false when the function is absent or fails.
    #[must_use]
    pub fn stop_sending(&self, server: &ServerView) -> bool {
        self.stop_sending_result(server).unwrap_or(false)
    }

    /// Runs every function on a request and reports the first failure.
    ///
    /// # Errors
    /// [`ConfigurationError::Run`] or [`ConfigurationError::Result`].
    pub fn try_on(&self, request: &PolicyRequest) -> Result<Decision, ConfigurationError> {
        let sample = format!("{} {}", request.method, request.path);
        let name = |function: &'static str| {
            let sample = sample.clone();
            move |failure| to_error(function, sample, failure)
        };
        let argument = request.to_map();
        let attributes = &request.route.attributes;
        let otherwise = || is_safe(&request.method);
        Ok(Decision {
            class: self.class(&argument, request.rank()).map_err(name(CLASSIFY))?,
            retries: self.retries(&argument, attributes).map_err(name(RETRIES))?,
            deadline: self.deadline(&argument, attributes).map_err(name(DEADLINE))?,
            repeatable: self.repeatable_map(&argument, attributes, otherwise).map_err(name(REPEATABLE))?,
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
        self.stop_sending_result(&server)
            .map_err(|failure| to_error(STOP_SENDING, "an idle server".into(), failure))
    }

    fn class(&self, argument: &Map, rank: Option<u8>) -> Result<PriorityClass, Failure> {
        const WANTED: &str = "\"critical\", \"normal\", \"bulk\" or \"background\"";
        let Some(value) = self.run(CLASSIFY, argument.clone())? else {
            return Ok(class_of_rank(rank));
        };
        let shown = show(&value);
        let name =
            value.into_string().map_err(|_| Failure::Result { value: shown.clone(), wanted: WANTED })?;
        name.parse().map_err(|_| Failure::Result { value: shown, wanted: WANTED })
    }

    fn retries(&self, argument: &Map, attributes: &RouteAttributes) -> Result<u32, Failure> {
        let value = self.integer(RETRIES, argument, 0..=MAX_RETRIES, "an integer from 0 to 100")?;
        let most = attributes.dispatches.map(|dispatches| dispatches.saturating_sub(1));
        let retries = value.map_or(most.unwrap_or(DEFAULT_RETRIES), |retries| retries as u32);
        Ok(retries.min(most.unwrap_or(u32::MAX)))
    }

    fn deadline(&self, argument: &Map, attributes: &RouteAttributes) -> Result<Microseconds, Failure> {
        let value = self.integer(DEADLINE, argument, 1..=MAX_DEADLINE_MS, "an integer from 1 to 120000")?;
        let deadline = value.map_or(MAX_DEADLINE_MS as u64, |milliseconds| milliseconds as u64);
        let unbounded = value.is_none() && attributes.timeout_ms.is_none();
        let deadline = if unbounded { DEFAULT_DEADLINE } else { deadline * MILLISECOND };
        Ok(bounded_deadline(deadline, attributes))
    }

    /// The operator's word on the route bounds the policy's: it may forbid a repeat, not allow one.
    fn repeatable_map(
        &self,
        argument: &Map,
        attributes: &RouteAttributes,
        otherwise: impl Fn() -> bool,
    ) -> Result<bool, Failure> {
        let allowed = attributes.repeatable;
        let wanted = self.boolean(REPEATABLE, argument.clone())?;
        Ok(match (allowed, wanted) {
            (Some(allowed), Some(wanted)) => allowed && wanted,
            (Some(allowed), None) => allowed,
            (None, Some(wanted)) => wanted,
            (None, None) => otherwise(),
        })
    }

    fn stop_sending_result(&self, server: &ServerView) -> Result<bool, Failure> {
        let mut map = Map::new();
        map.insert("service".into(), server.service.clone().into());
        map.insert("zone".into(), server.zone.clone().into());
        map.insert("slots".into(), i64::from(server.slots).into());
        map.insert("load".into(), i64::from(server.load).into());
        map.insert("losses".into(), i64::from(server.losses).into());
        Ok(self.boolean(STOP_SENDING, map)?.unwrap_or(false))
    }

    fn integer(
        &self,
        function: &'static str,
        argument: &Map,
        range: std::ops::RangeInclusive<i64>,
        wanted: &'static str,
    ) -> Result<Option<i64>, Failure> {
        let Some(value) = self.run(function, argument.clone())? else { return Ok(None) };
        match value.as_int() {
            Ok(number) if range.contains(&number) => Ok(Some(number)),
            _ => Err(Failure::Result { value: show(&value), wanted }),
        }
    }

    fn boolean(&self, function: &'static str, argument: Map) -> Result<Option<bool>, Failure> {
        let Some(value) = self.run(function, argument)? else { return Ok(None) };
        match value.as_bool() {
            Ok(flag) => Ok(Some(flag)),
            Err(_) => Err(Failure::Result { value: show(&value), wanted: "true or false" }),
        }
    }

    fn run(&self, function: &'static str, argument: Map) -> Result<Option<Dynamic>, Failure> {
        if !self.defined.contains(&function) {
            return Ok(None);
        }
        self.engine
            .call_fn::<Dynamic>(&mut Scope::new(), &self.ast, function, (argument,))
            .map(Some)
            .map_err(|error| Failure::Run(error.to_string()))
    }
}

/// Whether a method may run more than once by its own meaning.
fn is_safe(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS")
}

/// The class of a rank where the policy does not say.
fn class_of_rank(rank: Option<u8>) -> PriorityClass {
    let Some(rank) = rank else { return PriorityClass::Normal };
    PriorityClass::ALL.get(usize::from(rank)).copied().unwrap_or(PriorityClass::Background)
}

fn bounded_deadline(deadline: Microseconds, attributes: &RouteAttributes) -> Microseconds {
    attributes.timeout_ms.map_or(deadline, |timeout| deadline.min(timeout * MILLISECOND))
}

fn limited_engine() -> Engine {
    let mut engine = Engine::new();
    engine.set_max_operations(MAX_OPERATIONS);
    engine.set_max_call_levels(MAX_CALL_LEVELS);
    engine.set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_EXPRESSION_DEPTH);
    engine.set_max_string_size(MAX_STRING);
    engine.set_max_array_size(MAX_ELEMENTS);
    engine.set_max_map_size(MAX_ELEMENTS);
    engine.disable_symbol("eval");
    engine.on_print(|_| {});
    engine.on_debug(|_, _, _| {});
    engine
}

fn show(value: &Dynamic) -> String {
    const LONGEST: usize = 80;
    let text = format!("{value:?}");
    text.chars().take(LONGEST).collect()
}

fn to_error(function: &'static str, sample: String, failure: Failure) -> ConfigurationError {
    match failure {
        Failure::Run(detail) => ConfigurationError::Run { function, sample, detail },
        Failure::Result { value, wanted } => ConfigurationError::Result { function, sample, value, wanted },
    }
}
