//! The document as operators write it.

use crate::error::ConfigurationError;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Largest document, in bytes.
const LARGEST_DOCUMENT: usize = 256 * 1024;

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
    /// Requests that the policy is tried on before it is accepted.
    #[serde(default)]
    pub samples: Vec<Sample>,
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
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self { queue_per_slot: 4, retry_ratio: 0.1, retry_burst: 10.0 }
    }
}

/// A path prefix and the service it leads to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSettings {
    /// Absolute path; matches itself and what lies below.
    pub prefix: String,
    /// Name of a service.
    pub service: String,
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
        document.check_services()?;
        document.check_routes()?;
        Ok(document)
    }

    fn check_services(&self) -> Result<(), ConfigurationError> {
        for (name, service) in &self.services {
            let key = |field: &str| format!("services.{name}.{field}");
            check_range(key("queue_per_slot"), f64::from(service.queue_per_slot), 0.0, 1000.0, "0 to 1000")?;
            check_range(key("retry_ratio"), service.retry_ratio, 0.0, 1.0, "0 to 1")?;
            check_range(key("retry_burst"), service.retry_burst, 0.0, 10_000.0, "0 to 10000")?;
        }
        Ok(())
    }

    fn check_routes(&self) -> Result<(), ConfigurationError> {
        let mut prefixes = BTreeSet::new();
        for route in &self.routes {
            if !route.prefix.starts_with('/') {
                return Err(ConfigurationError::BadPrefix { prefix: route.prefix.clone() });
            }
            if !prefixes.insert(&route.prefix) {
                return Err(ConfigurationError::DuplicateRoute { prefix: route.prefix.clone() });
            }
            if !self.services.contains_key(&route.service) {
                return Err(ConfigurationError::UnknownService {
                    prefix: route.prefix.clone(),
                    service: route.service.clone(),
                });
            }
        }
        Ok(())
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
    Err(ConfigurationError::OutOfRange { key, value: value.to_string(), range })
}
