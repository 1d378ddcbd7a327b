//! A checked configuration in the form that a daemon decides with: routes by host and prefix, the compiled policy,
//! tenants and limits.
//!
//! It is made once per generation ([`Configuration::compile`], [`Configuration::from_document`]) and never changed,
//! so that one configuration decides a whole request. Where the policy reads nothing but the route and the tenant's
//! rank, its decisions are made here, ahead of the requests.

use crate::document::{
    AdmissionSettings, CrashSettings, Document, LimitSettings, RouteSettings, Sample, ServiceSettings,
    WeightedService,
};
use crate::error::ConfigurationError;
use crate::host::host_name;
use crate::program::{Decision, PolicyProgram, PolicyRequest, RouteView, TenantView};
use crate::tenant::{Tenant, TenantTable};
use seamhatch_core::claims::MAX_REQUEST_LIFETIME;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Requests that every policy is tried on, besides the document's samples.
const BUILT_IN_SAMPLES: [(&str, &str); 2] = [("GET", "/"), ("POST", "/")];

/// A path prefix, where it leads to, and what is decided for its requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Absolute path; one with a slash at its end matches only what lies below.
    pub prefix: String,
    /// Services that share its requests; never empty.
    pub targets: Vec<WeightedService>,
    /// What the policy sees of it.
    pub view: RouteView,
    /// Whether its requests need no key where there are tenants.
    pub anonymous: bool,
    /// The policy's decisions by the rank of the tenant that sends, where they depend on nothing else.
    decisions: Vec<(Option<u8>, Decision)>,
}

impl Route {
    fn new(settings: &RouteSettings) -> Self {
        Self {
            prefix: settings.prefix.clone(),
            targets: settings.targets().collect(),
            view: RouteView { name: settings.name.clone(), attributes: settings.attributes() },
            anonymous: settings.anonymous,
            decisions: Vec::new(),
        }
    }

    /// Runs the policy for requests of tenants of each rank.
    fn decide(&mut self, policy: &mut PolicyProgram, ranks: &BTreeSet<Option<u8>>) {
        let first = self.first_service().to_owned();
        for rank in ranks {
            let decision = policy.decide_route(&self.view, &first, *rank);
            self.decisions.extend(decision.map(|decision| (*rank, decision)));
        }
    }

    /// The policy's decision for a request of this tenant, or of none, where it depends on the route and the
    /// tenant's rank alone.
    #[must_use]
    pub fn decision(&self, tenant: Option<&Tenant>) -> Option<&Decision> {
        let rank = tenant.and_then(|tenant| tenant.rank);
        self.decisions.iter().find(|(of, _)| *of == rank).map(|(_, decision)| decision)
    }

    fn matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.prefix.as_str()) else { return false };
        self.prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/')
    }

    /// The service that a request goes to. `random` draws a number below its argument.
    #[must_use]
    pub fn service(&self, random: impl FnOnce(u32) -> u32) -> &str {
        if let [only] = self.targets.as_slice() {
            return &only.service;
        }
        let total = self.targets.iter().map(|target| target.weight).sum();
        let mut drawn = random(total);
        for target in &self.targets {
            if drawn < target.weight {
                return &target.service;
            }
            drawn -= target.weight;
        }
        self.first_service()
    }

    /// Names the requests of this route that go to `service`. Those of the other services that share it
    /// meet other bottlenecks, and are admitted by themselves.
    #[must_use]
    pub fn kind(&self, service: &str) -> String {
        match self.targets.as_slice() {
            [] | [_] => self.view.name.clone(),
            _ => format!("{} to {service}", self.view.name),
        }
    }

    /// The service that it names first; the only one unless several share its requests.
    #[must_use]
    pub fn first_service(&self) -> &str {
        self.targets.first().map_or("", |target| target.service.as_str())
    }
}

/// The routes of each host, the longest prefix first; those of any host under none.
type RoutesByHost = HashMap<Option<String>, Vec<Route>>;

/// A checked and compiled configuration.
#[derive(Debug)]
pub struct Configuration {
    services: BTreeMap<String, ServiceSettings>,
    routes: RoutesByHost,
    policy: PolicyProgram,
    limits: LimitSettings,
    crashes: CrashSettings,
    admission: AdmissionSettings,
    tenants: TenantTable,
}

impl Configuration {
    /// Checks and compiles a document, and tries its policy on the samples.
    ///
    /// # Errors
    /// The first [`ConfigurationError`] found.
    pub fn compile(text: &str) -> Result<Self, ConfigurationError> {
        let document = Document::parse(text)?;
        let configuration = Self::from_document(&document)?;
        configuration.try_samples(&document)?;
        Ok(configuration)
    }

    /// Checks and compiles a document, without trying its policy on samples.
    ///
    /// # Errors
    /// The first [`ConfigurationError`] found.
    pub fn from_document(document: &Document) -> Result<Self, ConfigurationError> {
        document.check()?;
        let mut policy = PolicyProgram::compile(&document.policy)?;
        let tenants = TenantTable::new(&document.tenants)?;
        let ranks = tenants.iter().map(|tenant| tenant.rank).chain([None]).collect();
        let mut routes = RoutesByHost::new();
        for settings in &document.routes {
            let mut route = Route::new(settings);
            route.decide(&mut policy, &ranks);
            routes.entry(settings.host.as_deref().map(host_name)).or_default().push(route);
        }
        for of_host in routes.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let Document { services, limits, crashes, admission, .. } = document;
        Ok(Self {
            services: services.clone(),
            routes,
            policy,
            limits: *limits,
            crashes: *crashes,
            admission: *admission,
            tenants,
        })
    }

    /// The policy program.
    #[must_use]
    pub fn policy(&self) -> &PolicyProgram {
        &self.policy
    }

    /// Bounds on what a caller may send.
    #[must_use]
    pub fn limits(&self) -> &LimitSettings {
        &self.limits
    }

    /// How requests that crash servers are treated.
    #[must_use]
    pub fn crashes(&self) -> &CrashSettings {
        &self.crashes
    }

    /// How requests are ordered where a service sheds.
    #[must_use]
    pub fn admission(&self) -> &AdmissionSettings {
        &self.admission
    }

    /// Who may send requests.
    #[must_use]
    pub fn tenants(&self) -> &TenantTable {
        &self.tenants
    }

    /// The longest time-out that a request can have, in microseconds.
    #[must_use]
    pub fn longest_timeout(&self) -> Microseconds {
        let timeouts = self.routes.values().flatten().map(|route| route.view.attributes.timeout_ms);
        let longest = timeouts.map(|timeout| {
            timeout.map_or(MAX_REQUEST_LIFETIME, |timeout| timeout.saturating_mul(MILLISECOND))
        });
        longest.max().unwrap_or(MAX_REQUEST_LIFETIME)
    }

    /// The route of a request to a host, as [`host_name`] spells it: the longest prefix among those of its
    /// host, else among those of any host.
    #[must_use]
    pub fn find(&self, host: Option<&str>, path: &str) -> Option<&Route> {
        let of_host = host.and_then(|host| self.routes.get(&Some(host.to_owned())));
        let of_any = self.routes.get(&None);
        let search = |routes: &'_ Vec<Route>| routes.iter().position(|route| route.matches(path));
        of_host
            .and_then(|routes| Some(&routes[search(routes)?]))
            .or_else(|| of_any.and_then(|routes| Some(&routes[search(routes)?])))
    }

    /// The service that a path from outside leads to, whatever its host.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<&str> {
        self.find(None, path).map(Route::first_service)
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
        let mut request = self.request(&sample.method, &sample.path, sample.headers.clone());
        request.tenant = self.tenant_of(sample)?;
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

    /// The policy's view of the tenant that sends a sample.
    ///
    /// # Errors
    /// [`ConfigurationError::UnknownTenant`].
    pub fn tenant_of(&self, sample: &Sample) -> Result<TenantView, ConfigurationError> {
        let Some(name) = &sample.tenant else { return Ok(TenantView::default()) };
        let tenant = self.tenants.named(name);
        let unknown = || ConfigurationError::UnknownTenant { name: name.clone() };
        tenant.map(|tenant| TenantView::of(Some(tenant))).ok_or_else(unknown)
    }

    /// The policy's view of a request from outside, without a tenant.
    #[must_use]
    pub fn request(
        &self,
        method: &str,
        path_and_query: &str,
        headers: BTreeMap<String, String>,
    ) -> PolicyRequest {
        let (path, query) = path_and_query.split_once('?').unwrap_or((path_and_query, ""));
        let host = headers.get("host").map(|host| host_name(host));
        let route = self.find(host.as_deref(), path);
        PolicyRequest {
            method: method.to_owned(),
            path: path.to_owned(),
            query: query.to_owned(),
            service: route.map(Route::first_service).unwrap_or_default().to_owned(),
            headers,
            route: route.map(|route| route.view.clone()).unwrap_or_default(),
            tenant: TenantView::default(),
        }
    }
}
