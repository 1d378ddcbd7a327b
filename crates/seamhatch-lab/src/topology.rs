//! The users' deployments in numbers: services, servers, slots, zones and call graphs.

use std::time::Duration;

/// A call that a back end makes while it answers.
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

const HARVEST_DOCUMENT: &str = include_str!("../documents/harvest.toml");
const SENVANG_DOCUMENT: &str = include_str!("../documents/senvang.toml");

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
    /// The Harvest Claims Platform: a status lookup passes claimstatus,
    /// evidence and fieldbook; a payout passes settlement, evidence and fieldbook.
    #[must_use]
    pub fn harvest() -> Self {
        Self {
            cluster: "harvest",
            region: "mellansverige",
            zones: vec!["hall-a", "hall-b", "hall-c", "hall-d"],
            services: vec![
                service(
                    "claimstatus",
                    5,
                    6,
                    vec![endpoint("lookup", 4, 600, vec![call("GET", "evidence", "summary")])],
                ),
                service(
                    "settlement",
                    4,
                    8,
                    vec![endpoint(
                        "payouts",
                        6,
                        300,
                        vec![call("GET", "evidence", "summary"), call("POST", "fieldbook", "entries")],
                    )],
                ),
                service(
                    "evidence",
                    4,
                    9,
                    vec![
                        endpoint("summary", 4, 800, vec![call("GET", "fieldbook", "record")]),
                        endpoint("packet", 20, 200_000, vec![call("GET", "fieldbook", "record")]),
                    ],
                ),
                service(
                    "fieldbook",
                    4,
                    10,
                    vec![endpoint("record", 5, 500, vec![]), endpoint("entries", 5, 100, vec![])],
                ),
            ],
            kinds: vec![
                kind("status lookup", "GET", "/status/lookup", 0.62, false),
                kind("field record", "GET", "/records/record", 0.18, false),
                kind("payout decision", "POST", "/payouts/payouts", 0.08, true),
                kind("packet download", "GET", "/packets/packet", 0.12, false),
            ],
            document: HARVEST_DOCUMENT.to_owned(),
        }
    }

    /// The Sen Vàng photo agency: a purchase passes license-desk, hires-desk
    /// and caption-desk.
    #[must_use]
    pub fn senvang() -> Self {
        Self {
            cluster: "senvang",
            region: "hanoi",
            zones: vec!["hn-a", "hn-b", "hn-c"],
            services: vec![
                service(
                    "search-desk",
                    6,
                    13,
                    vec![endpoint("find", 6, 2_000, vec![call("GET", "caption-desk", "captions")])],
                ),
                service(
                    "license-desk",
                    4,
                    16,
                    vec![endpoint(
                        "purchase",
                        8,
                        300,
                        vec![call("POST", "hires-desk", "grants"), call("GET", "caption-desk", "captions")],
                    )],
                ),
                service(
                    "hires-desk",
                    3,
                    20,
                    vec![
                        endpoint("grants", 6, 100, vec![call("POST", "caption-desk", "credits")]),
                        endpoint("file", 25, 400_000, vec![]),
                    ],
                ),
                service(
                    "caption-desk",
                    3,
                    23,
                    vec![endpoint("captions", 5, 700, vec![]), endpoint("credits", 5, 100, vec![])],
                ),
            ],
            kinds: vec![
                kind("search", "GET", "/search/find", 0.60, false),
                kind("caption", "GET", "/captions/captions", 0.20, false),
                kind("licence sale", "POST", "/licenses/purchase", 0.08, true),
                kind("file download", "GET", "/files/file", 0.12, false),
            ],
            document: SENVANG_DOCUMENT.to_owned(),
        }
    }

    /// Services `s1` to `sN`, each calling the next one `fan_out` times under
    /// different paths: one request becomes `fan_out` to the power of `depth - 1`
    /// calls at the end. Every method may be repeated but POST.
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

    /// The same with at most `servers` servers a service.
    #[must_use]
    pub fn in_small(mut self, servers: u8) -> Self {
        for service in &mut self.services {
            service.servers = service.servers.min(servers);
        }
        self
    }

    /// The same with `servers` servers a service, no more and no fewer.
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

    /// The same with each back end's own work taking `factor` times as long, so
    /// that slots and not this machine's processors are the limit.
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
