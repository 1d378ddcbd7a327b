//! A checked configuration in the form that a daemon decides with.

use crate::document::{Document, Sample, ServiceSettings};
use crate::error::ConfigurationError;
use crate::program::{PolicyProgram, PolicyRequest};
use std::collections::BTreeMap;

/// Paths that every policy is tried on, besides its own samples.
const BUILT_IN_SAMPLES: [(&str, &str); 2] = [("GET", "/"), ("POST", "/")];

/// A path prefix and the service it leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Absolute path without a slash at its end.
    pub prefix: String,
    /// Name of a service.
    pub service: String,
}

impl Route {
    fn matches(&self, path: &str) -> bool {
        path.strip_prefix(self.prefix.as_str()).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

/// A checked and compiled configuration.
#[derive(Debug)]
pub struct Configuration {
    services: BTreeMap<String, ServiceSettings>,
    routes: Vec<Route>,
    policy: PolicyProgram,
}

impl Configuration {
    /// Checks and compiles a document, and tries its policy on the samples.
    ///
    /// # Errors
    /// The first [`ConfigurationError`] found.
    pub fn compile(text: &str) -> Result<Self, ConfigurationError> {
        let document = Document::parse(text)?;
        let policy = PolicyProgram::compile(&document.policy)?;
        let mut routes: Vec<Route> = document
            .routes
            .iter()
            .map(|route| Route {
                prefix: route.prefix.trim_end_matches('/').to_owned(),
                service: route.service.clone(),
            })
            .collect();
        // The longest prefix wins.
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        let configuration = Self { services: document.services.clone(), routes, policy };
        configuration.try_samples(&document)?;
        Ok(configuration)
    }

    /// The policy program.
    #[must_use]
    pub fn policy(&self) -> &PolicyProgram {
        &self.policy
    }

    /// The service that a path from outside leads to.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<&str> {
        self.routes.iter().find(|route| route.matches(path)).map(|route| route.service.as_str())
    }

    /// Settings of a service, or none when it isn't defined.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSettings> {
        self.services.get(name)
    }

    /// Names of the services.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    fn try_samples(&self, document: &Document) -> Result<(), ConfigurationError> {
        for (method, path) in BUILT_IN_SAMPLES {
            self.policy.try_on(&self.request(method, path, BTreeMap::new()))?;
        }
        for route in &document.routes {
            self.policy.try_on(&self.request("GET", &route.prefix, BTreeMap::new()))?;
            self.policy.try_on(&self.request("POST", &route.prefix, BTreeMap::new()))?;
        }
        self.policy.try_stop_sending()?;
        document.samples.iter().try_for_each(|sample| self.try_sample(sample))
    }

    fn try_sample(&self, sample: &Sample) -> Result<(), ConfigurationError> {
        let request = self.request(&sample.method, &sample.path, sample.headers.clone());
        let decision = self.policy.try_on(&request)?;
        match &sample.expect_class {
            Some(expected) if expected != decision.class.name() => Err(ConfigurationError::SampleClass {
                sample: format!("{} {}", sample.method, sample.path),
                expected: expected.clone(),
                actual: decision.class.name().to_owned(),
            }),
            _ => Ok(()),
        }
    }

    /// The policy's view of a request from outside.
    #[must_use]
    pub fn request(
        &self,
        method: &str,
        path_and_query: &str,
        headers: BTreeMap<String, String>,
    ) -> PolicyRequest {
        let (path, query) = path_and_query.split_once('?').unwrap_or((path_and_query, ""));
        PolicyRequest {
            method: method.to_owned(),
            path: path.to_owned(),
            query: query.to_owned(),
            service: self.route(path).unwrap_or_default().to_owned(),
            headers,
        }
    }
}
