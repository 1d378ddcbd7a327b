//! The checks of a document that need no run of its policy: names, ranges, and that each route leads somewhere.
//!
//! A value outside its range is refused with its key; none is made to fit.

use crate::document::{CrashSettings, Document, LimitSettings, RouteSettings};
use crate::error::ConfigurationError;
use crate::host::host_name;
use std::collections::BTreeSet;

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

impl RouteSettings {
    fn check_numbers(&self) -> Result<(), ConfigurationError> {
        let key = |field: &str| format!("routes.{}.{field}", self.place());
        self.timeout_ms.map_or(Ok(()), |span| check_span(key("timeout_ms"), span))?;
        self.objective_ms.map_or(Ok(()), |span| check_span(key("objective_ms"), span))?;
        match self.dispatches {
            Some(0) => Err(out_of_range(key("dispatches"), 0, "1 to 4294967295")),
            _ => Ok(()),
        }
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
