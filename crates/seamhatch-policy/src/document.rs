//! The document as operators write it, and the checks that need no run of its policy.
//!
//! Each type here is a table of the TOML document; docs/OPERATIONS.md has the same keys. Adapters that read another
//! form of document build a [`Document`] and call [`Document::check`].

use crate::error::ConfigurationError;
use crate::host::host_name;
use crate::tenant::TenantSettings;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Largest document, in bytes. It has to fit into a frame between daemons.
const LARGEST_DOCUMENT: usize = 256 * 1024;
/// Largest sum of the weights of a route: a number below it is drawn for each request.
const LARGEST_WEIGHTS: f64 = u32::MAX as f64;
/// Longest span that a document may name, in milliseconds.
const LONGEST_SPAN_MS: f64 = 86_400_000.0;
/// [`LONGEST_SPAN_MS`] as errors show it.
const SPAN_RANGE: &str = "1 to 86400000";
/// Largest head of a request that a document may allow, in bytes.
const LARGEST_HEAD: f64 = 1_073_741_824.0;
/// [`LARGEST_HEAD`] as errors show it.
const HEAD_RANGE: &str = "1 to 1073741824";

/// One configuration as written in TOML.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The policy program.
    pub policy: String,
    /// Services by name.
    pub services: BTreeMap<String, ServiceSettings>,
    /// Paths from outside and the services they lead to.
    #[serde(default)]
    pub routes: Vec<RouteSettings>,
    /// Who may send requests. Where there are any, a request needs the key of one.
    #[serde(default)]
    pub tenants: Vec<TenantSettings>,
    /// Requests that the policy is tried on before it is accepted.
    #[serde(default)]
    pub samples: Vec<Sample>,
    /// Bounds on what a caller may send.
    #[serde(default)]
    pub limits: LimitSettings,
    /// How requests that crash servers are treated.
    #[serde(default)]
    pub crashes: CrashSettings,
    /// How requests are ordered where a service sheds.
    #[serde(default)]
    pub admission: AdmissionSettings,
}

/// How requests are ordered where a service sheds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// Whether, within a class, requests that use more of the service are shed earlier, and calls of begun chains go before
    /// first calls. It takes effect where servers report their pace.
    pub by_cost: bool,
}

/// How requests that crash servers are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CrashSettings {
    /// Whether such requests are refused. Crashes are recorded all the same.
    pub turn_away: bool,
    /// Crashes after which a request is refused, 3 to 16: the third is the first that can happen on a trial run.
    pub limit: u32,
    /// Time before one copy of a refused request is tried again, in milliseconds; doubled by each further crash.
    pub pause_ms: u64,
}

impl Default for CrashSettings {
    fn default() -> Self {
        // As `CrashPolicy` of the core: a trial run costs a server that is away for seconds, once in half a minute.
        Self { turn_away: true, limit: 3, pause_ms: 30_000 }
    }
}

/// Bounds on what a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Path, query and header fields together, in bytes.
    pub head_bytes: usize,
    /// Path and query alone, in bytes.
    pub path_bytes: usize,
    /// Request body, in bytes.
    pub body_bytes: u64,
    /// Longest wait for a request's head, in milliseconds.
    pub head_timeout_ms: u64,
    /// How long an idle connection of a caller is kept, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1024,
            path_bytes: 8 * 1024,
            body_bytes: 1024 * 1024 * 1024,
            head_timeout_ms: 10_000,
            idle_timeout_ms: 30_000,
        }
    }
}

/// Settings of one service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSettings {
    /// Calls that may wait at a server, for each of its slots.
    pub queue_per_slot: u32,
    /// Retries earned by each first try, 0 to 1.
    pub retry_ratio: f64,
    /// Retries that may be saved up.
    pub retry_burst: f64,
    /// Connections that each of its servers takes; none where it takes any number.
    pub connections: Option<u32>,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self { queue_per_slot: 4, retry_ratio: 0.1, retry_burst: 10.0, connections: None }
    }
}

/// A path prefix, where it leads to, and what holds for its requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteSettings {
    /// Name, for policies and logs.
    pub name: String,
    /// Host that it belongs to; any other host when it is left out.
    pub host: Option<String>,
    /// Absolute path; matches itself and what lies below. One that ends with a slash matches only
    /// what lies below.
    pub prefix: String,
    /// Name of a service. Either this or `weighted`.
    pub service: Option<String>,
    /// Services that share its requests.
    pub weighted: Vec<WeightedService>,
    /// Whether its requests may run more than once; the policy or the method decides when left out.
    pub repeatable: Option<bool>,
    /// Order of importance, 0 first.
    pub rank: Option<u8>,
    /// Time within which an answer is worth most, in milliseconds.
    pub objective_ms: Option<u64>,
    /// Longest time that a request is held, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Servers that one request may be sent to, at most.
    pub dispatches: Option<u32>,
    /// Whether its requests need no key where there are tenants.
    pub anonymous: bool,
}

/// A service's share of the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Name of a service.
    pub service: String,
    /// Its share, relative to the sum of all.
    pub weight: u32,
}

/// What an operator says of a route's requests. The policy program sees it and decides within it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouteAttributes {
    /// Whether its requests may run more than once; the policy or the method decides when left out.
    pub repeatable: Option<bool>,
    /// Order of importance, 0 first.
    pub rank: Option<u8>,
    /// Time within which an answer is worth most, in milliseconds.
    pub objective_ms: Option<u64>,
    /// Longest time that a request is held, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Servers that one request may be sent to, at most.
    pub dispatches: Option<u32>,
}

impl RouteSettings {
    /// What holds for its requests.
    #[must_use]
    pub fn attributes(&self) -> RouteAttributes {
        RouteAttributes {
            repeatable: self.repeatable,
            rank: self.rank,
            objective_ms: self.objective_ms,
            timeout_ms: self.timeout_ms,
            dispatches: self.dispatches,
        }
    }

    /// The services that it leads to, with their weights.
    pub fn targets(&self) -> impl Iterator<Item = WeightedService> {
        let single = self.service.clone().map(|service| WeightedService { service, weight: 1 });
        single.into_iter().chain(self.weighted.iter().cloned())
    }

    fn check_numbers(&self) -> Result<(), ConfigurationError> {
        let key = |field: &str| format!("routes.{}.{field}", self.place());
        self.timeout_ms.map_or(Ok(()), |span| check_span(key("timeout_ms"), span))?;
        self.objective_ms.map_or(Ok(()), |span| check_span(key("objective_ms"), span))?;
        match self.dispatches {
            Some(0) => Err(out_of_range(key("dispatches"), 0, "1 to 4294967295")),
            _ => Ok(()),
        }
    }

    /// Host and prefix, as errors show them.
    fn place(&self) -> String {
        format!("{}{}", self.host.as_deref().unwrap_or_default(), self.prefix)
    }
}

/// A request that the policy is tried on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Header fields, names in lower case.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// Name of the tenant that sends it; none for a request without a key.
    #[serde(default)]
    pub tenant: Option<String>,
    /// Class that the policy must choose.
    #[serde(default)]
    pub expect_class: Option<String>,
}

impl Document {
    /// Reads a document and checks all that needs no policy run.
    ///
    /// # Errors
    /// The first [`ConfigurationError`] found.
    pub fn parse(text: &str) -> Result<Self, ConfigurationError> {
        if text.len() > LARGEST_DOCUMENT {
            return Err(ConfigurationError::TooLarge { size: text.len(), limit: LARGEST_DOCUMENT });
        }
        let document: Self = toml::from_str(text)
            .map_err(|error| ConfigurationError::Syntax { detail: error.to_string().trim().to_owned() })?;
        document.check()?;
        Ok(document)
    }

    /// Checks all that needs no policy run.
    ///
    /// # Errors
    /// The first [`ConfigurationError`] found.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        self.check_services()?;
        self.check_crashes()?;
        self.check_limits()?;
        self.check_routes()
    }

    fn check_limits(&self) -> Result<(), ConfigurationError> {
        let LimitSettings { head_bytes, path_bytes, body_bytes: _, head_timeout_ms, idle_timeout_ms } =
            self.limits;
        check_range("limits.head_bytes".into(), head_bytes as f64, 1.0, LARGEST_HEAD, HEAD_RANGE)?;
        check_range("limits.path_bytes".into(), path_bytes as f64, 1.0, LARGEST_HEAD, HEAD_RANGE)?;
        check_span("limits.head_timeout_ms".into(), head_timeout_ms)?;
        check_span("limits.idle_timeout_ms".into(), idle_timeout_ms)
    }

    fn check_crashes(&self) -> Result<(), ConfigurationError> {
        let CrashSettings { limit, pause_ms, .. } = self.crashes;
        check_range("crashes.limit".into(), f64::from(limit), 3.0, 16.0, "3 to 16")?;
        check_range("crashes.pause_ms".into(), pause_ms as f64, 1000.0, 3_600_000.0, "1000 to 3600000")
    }

    fn check_services(&self) -> Result<(), ConfigurationError> {
        for (name, service) in &self.services {
            let key = |field: &str| format!("services.{name}.{field}");
            check_range(key("queue_per_slot"), f64::from(service.queue_per_slot), 0.0, 1000.0, "0 to 1000")?;
            check_range(key("retry_ratio"), service.retry_ratio, 0.0, 1.0, "0 to 1")?;
            check_range(key("retry_burst"), service.retry_burst, 0.0, 10_000.0, "0 to 10000")?;
            if service.connections == Some(0) {
                return Err(out_of_range(key("connections"), 0, "1 to 4294967295"));
            }
        }
        Ok(())
    }

    fn check_routes(&self) -> Result<(), ConfigurationError> {
        let mut prefixes = BTreeSet::new();
        for route in &self.routes {
            if !route.prefix.starts_with('/') {
                return Err(ConfigurationError::BadPrefix { prefix: route.prefix.clone() });
            }
            if !prefixes.insert((route.host.as_deref().map(host_name), &route.prefix)) {
                return Err(ConfigurationError::DuplicateRoute { prefix: route.place() });
            }
            self.check_targets(route)?;
            route.check_numbers()?;
        }
        Ok(())
    }

    fn check_targets(&self, route: &RouteSettings) -> Result<(), ConfigurationError> {
        let mut weights = 0_u64;
        for target in route.targets() {
            weights += u64::from(target.weight);
            if !self.services.contains_key(&target.service) {
                return Err(ConfigurationError::UnknownService {
                    prefix: route.place(),
                    service: target.service,
                });
            }
        }
        let both = route.service.is_some() && !route.weighted.is_empty();
        if both || weights == 0 {
            return Err(ConfigurationError::NoTarget { prefix: route.place() });
        }
        let key = format!("routes.{}.weighted", route.place());
        check_range(key, weights as f64, 1.0, LARGEST_WEIGHTS, "weights that sum to 1 to 4294967295")
    }
}

fn check_range(
    key: String,
    value: f64,
    low: f64,
    high: f64,
    range: &'static str,
) -> Result<(), ConfigurationError> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(out_of_range(key, value, range))
}

fn check_span(key: String, milliseconds: u64) -> Result<(), ConfigurationError> {
    check_range(key, milliseconds as f64, 1.0, LONGEST_SPAN_MS, SPAN_RANGE)
}

fn out_of_range(key: String, value: impl ToString, range: &'static str) -> ConfigurationError {
    ConfigurationError::OutOfRange { key, value: value.to_string(), range }
}
