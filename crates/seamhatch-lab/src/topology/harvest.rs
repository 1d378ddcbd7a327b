//! The Harvest Claims Platform in numbers: services, servers and slots are theirs; call graph, work times and answer sizes are
//! chosen, not measured.

use super::{RequestKind, ServiceTopology, Topology, call, endpoint, kind, service};

/// The configuration that a deployment starts with.
const DOCUMENT: &str = include_str!("../../documents/harvest.toml");

impl Topology {
    /// A status lookup passes claimstatus, evidence and fieldbook; a payout passes settlement, evidence and fieldbook.
    #[must_use]
    pub fn harvest() -> Self {
        Self {
            cluster: "harvest",
            region: "mellansverige",
            zones: vec!["hall-a", "hall-b", "hall-c", "hall-d"],
            services: services(),
            kinds: kinds(),
            document: DOCUMENT.to_owned(),
        }
    }
}

fn services() -> Vec<ServiceTopology> {
    vec![
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
    ]
}

fn kinds() -> Vec<RequestKind> {
    vec![
        kind("status lookup", "GET", "/status/lookup", 0.62, false),
        kind("field record", "GET", "/records/record", 0.18, false),
        kind("payout decision", "POST", "/payouts/payouts", 0.08, true),
        kind("packet download", "GET", "/packets/packet", 0.12, false),
    ]
}
