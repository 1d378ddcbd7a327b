//! What a deployment consists of: services with their servers and slots, zones, call graphs, and the requests from outside.
//!
//! [`Topology`] is plain data. The two users' deployments are in `harvest` and `senvang`; tests build others with
//! [`service`], [`endpoint`] and [`call`].

mod harvest;
mod senvang;

use std::time::Duration;

/// A call that a back end makes before it answers.
#[derive(Debug, Clone)]
pub struct ChildCall {
    /// HTTP method.
    pub method: String,
    /// Service.
    pub service: String,
    /// First segment of the path; the request's number follows.
    pub endpoint: String,
}

/// What a back end does for one kind of request.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// First segment of the path.
    pub name: String,
    /// Mean time of its own work.
    pub work: Duration,
    /// Bytes of the answer.
    pub answer_bytes: usize,
    /// Calls made one after the other, after its own work.
    pub calls: Vec<ChildCall>,
}

/// One service.
#[derive(Debug, Clone)]
pub struct ServiceTopology {
    /// Name.
    pub name: String,
    /// Servers.
    pub servers: u8,
    /// Slots of each.
    pub slots: u32,
    /// Kinds of requests.
    pub endpoints: Vec<Endpoint>,
}

/// A kind of request from outside.
#[derive(Debug, Clone)]
pub struct RequestKind {
    /// Name in reports.
    pub name: &'static str,
    /// HTTP method.
    pub method: &'static str,
    /// Path before the request's number.
    pub path: &'static str,
    /// Share of all requests.
    pub share: f64,
    /// Sends an idempotency key.
    pub keyed: bool,
}

/// One deployment.
#[derive(Debug, Clone)]
pub struct Topology {
    /// Name of the deployment.
    pub cluster: &'static str,
    /// Region.
    pub region: &'static str,
    /// Zones.
    pub zones: Vec<&'static str>,
    /// Services.
    pub services: Vec<ServiceTopology>,
    /// Requests from outside.
    pub kinds: Vec<RequestKind>,
    /// Configuration to submit.
    pub document: String,
}

/// A call to a service.
#[must_use]
pub fn call(method: &str, service: &str, endpoint: &str) -> ChildCall {
    ChildCall { method: method.into(), service: service.into(), endpoint: endpoint.into() }
}

/// An endpoint with this much work and this large an answer.
#[must_use]
pub fn endpoint(name: &str, work_ms: u64, answer_bytes: usize, calls: Vec<ChildCall>) -> Endpoint {
    Endpoint { name: name.into(), work: Duration::from_millis(work_ms), answer_bytes, calls }
}

/// A service of this size.
#[must_use]
pub fn service(name: &str, servers: u8, slots: u32, endpoints: Vec<Endpoint>) -> ServiceTopology {
    ServiceTopology { name: name.into(), servers, slots, endpoints }
}

fn kind(
    name: &'static str,
    method: &'static str,
    path: &'static str,
    share: f64,
    keyed: bool,
) -> RequestKind {
    RequestKind { name, method, path, share, keyed }
}

impl Topology {
    /// Services `s1` to `sN`, each calling the next one `fan_out` times under different paths: one request becomes `fan_out` to
    /// the power of `depth - 1` calls at the end. All requests but POST may be repeated, with `retries` tokens each.
    #[must_use]
    pub fn chain(depth: usize, fan_out: usize, servers: u8, retries: u32) -> Self {
        let endpoints = |level: usize| {
            let ways = if level < depth { fan_out } else { 0 };
            let next = format!("s{}", level + 1);
            let children: Vec<ChildCall> =
                (0..ways).map(|way| call("GET", &next, &format!("way{way}"))).collect();
            (0..fan_out).map(|way| endpoint(&format!("way{way}"), 1, 100, children.clone())).collect()
        };
        let services = (1..=depth).map(|level| service(&format!("s{level}"), servers, 16, endpoints(level)));
        let names = (1..=depth)
            .map(|level| format!("[services.s{level}]\nretry_ratio = 1.0\nretry_burst = 1000.0\n"));
        let policy = format!("fn retries(request) {{ {retries} }}\nfn deadline_ms(request) {{ 20000 }}\n");
        let document = format!(
            "policy = \"\"\"\n{policy}\"\"\"\n{}[[routes]]\nprefix = \"/in\"\nservice = \"s1\"\n",
            names.collect::<String>()
        );
        Self {
            cluster: "chain",
            region: "region",
            zones: vec!["a", "b", "c"],
            services: services.collect(),
            kinds: vec![kind("request", "GET", "/in/way0", 1.0, false)],
            document,
        }
    }

    /// The same with at most this many servers for each service.
    #[must_use]
    pub fn in_small(mut self, servers: u8) -> Self {
        for service in &mut self.services {
            service.servers = service.servers.min(servers);
        }
        self
    }

    /// The same with exactly this many servers for each service.
    #[must_use]
    pub fn with_servers(mut self, servers: u8) -> Self {
        for service in &mut self.services {
            service.servers = servers;
        }
        self
    }

    /// The service that a kind of request from outside goes to.
    #[must_use]
    pub fn entry_service(&self, kind: &RequestKind) -> Option<&str> {
        let endpoint = kind.path.rsplit('/').next()?;
        let serves = |service: &&ServiceTopology| service.endpoints.iter().any(|own| own.name == endpoint);
        self.services.iter().find(serves).map(|service| service.name.as_str())
    }

    /// The same with each back end's own work taking `factor` times as long, so that slots are the limit and not this
    /// machine's processors.
    #[must_use]
    pub fn with_work_times(mut self, factor: u32) -> Self {
        let endpoints = self.services.iter_mut().flat_map(|service| &mut service.endpoints);
        endpoints.for_each(|endpoint| endpoint.work *= factor);
        self
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceTopology> {
        self.services.iter().find(|service| service.name == name)
    }
}
