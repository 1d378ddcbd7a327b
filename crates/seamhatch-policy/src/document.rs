//! The document as operators write it.
//!
//! Each type here is a table of the TOML document; docs/OPERATIONS.md has the same keys. Adapters that read another
//! form of document build a [`Document`] and call [`Document::check`].

use crate::tenant::TenantSettings;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

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

    /// Host and prefix, as errors show them.
    pub(crate) fn place(&self) -> String {
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
