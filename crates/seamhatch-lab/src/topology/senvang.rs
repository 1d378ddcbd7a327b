//! The Sen Vàng photo agency in numbers: services, servers and slots are theirs; call graph, work times and answer sizes are
//! chosen, not measured.

use super::{RequestKind, ServiceTopology, Topology, call, endpoint, kind, service};

/// The configuration that a deployment starts with.
const DOCUMENT: &str = include_str!("../../documents/senvang.toml");

impl Topology {
    /// A purchase passes license-desk, hires-desk and caption-desk.
    #[must_use]
    pub fn senvang() -> Self {
        Self {
            cluster: "senvang",
            region: "hanoi",
            zones: vec!["hn-a", "hn-b", "hn-c"],
            services: services(),
            kinds: kinds(),
            document: DOCUMENT.to_owned(),
        }
    }
}

fn services() -> Vec<ServiceTopology> {
    vec![
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
    ]
}

fn kinds() -> Vec<RequestKind> {
    vec![
        kind("search", "GET", "/search/find", 0.60, false),
        kind("caption", "GET", "/captions/captions", 0.20, false),
        kind("licence sale", "POST", "/licenses/purchase", 0.08, true),
        kind("file download", "GET", "/files/file", 0.12, false),
    ]
}
