//! Order by cost, switched on by the document: of two kinds of one class at a full service, the cheaper one is shed less.

mod common;

use common::start;
use seamhatch_lab::backends::{Behaviour, NO_PACE};
use seamhatch_lab::load::{self, CallerRetries, KindResult, LoadPlan};
use seamhatch_lab::report;
use seamhatch_lab::topology::{RequestKind, Topology, call, endpoint, service};
use seamhatchd::control::StatusReport;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Length of the load where shares are compared.
const LONG: Duration = Duration::from_secs(10);
/// Length of the load where only what is learnt matters.
const SHORT: Duration = Duration::from_secs(3);

/// The deep service has four slots of 40 ms: 100 calls a second. One kind of request makes one call there, the other three.
fn topology(by_cost: bool) -> Topology {
    let mut topology = Topology::chain(2, 1, 2, 0);
    let steps = || ["first", "second", "third"].iter().map(|step| call("GET", "deep", step)).collect();
    topology.services = vec![
        service(
            "front",
            2,
            64,
            vec![
                endpoint("single", 1, 200, vec![call("GET", "deep", "first")]),
                endpoint("triple", 1, 200, steps()),
            ],
        ),
        service(
            "deep",
            1,
            4,
            ["first", "second", "third"].iter().map(|step| endpoint(step, 40, 200, vec![])).collect(),
        ),
    ];
    topology.document = format!(
        "policy = '''fn retries(request) {{ 0 }}\nfn deadline_ms(request) {{ 1500 }}'''\n[services.front]\n\
         [services.deep]\n[admission]\nby_cost = {by_cost}\n[[routes]]\nprefix = \"/in\"\nservice = \"front\"\n"
    );
    topology
}

/// What became of the two kinds, and what the asked entry has learnt.
struct Outcome {
    single: KindResult,
    triple: KindResult,
    status: StatusReport,
}

impl Outcome {
    fn shares(&self) -> [f64; 2] {
        [&self.single, &self.triple].map(|kind| kind.good as f64 / kind.sent as f64)
    }
}

/// 55 requests a second of each kind, 220 calls at a service that does 100. Servers report this pace in percent.
async fn run(by_cost: bool, pace: u32, duration: Duration) -> Outcome {
    let (deployment, _turn) = start(topology(by_cost), false).await;
    for service in ["front", "deep"] {
        let change = |behaviour: &Behaviour| behaviour.pace_percent.store(pace, Ordering::Relaxed);
        deployment.backends.change(service, change);
    }
    let kind = |name, path| RequestKind { name, method: "GET", path, share: 0.5, keyed: false };
    let plan = LoadPlan {
        rate: 110.0,
        duration,
        kinds: vec![kind("single", "/in/single"), kind("triple", "/in/triple")],
        targets: vec![deployment.ingresses()],
        surge: None,
        retries: CallerRetries { most: 0, honour_retry_after: false },
        name: "cost".into(),
    };
    let result = load::run(plan).await;
    println!("by cost: {by_cost}, pace {pace}\n{}", report::load_table(&result, duration));
    let status = deployment.client(0, &["--json", "status"]).expect("client starts");
    let status = serde_json::from_slice(&status.stdout).expect("a status report");
    let [(_, single), (_, triple)] = result.try_into().expect("two kinds");
    Outcome { single, triple, status }
}

/// Guards against a full service that answers few requests, as a dear kind takes the place of several cheap ones; and
/// against a kind that is starved.
#[tokio::test(flavor = "multi_thread")]
async fn the_cheaper_of_two_kinds_is_shed_less_where_the_document_says_so() {
    let before = run(false, 100, LONG).await;
    let by_cost = run(true, 100, LONG).await;
    let ([single_before, triple_before], [single, triple]) = (before.shares(), by_cost.shares());
    println!(
        "answered before: single {single_before:.3} triple {triple_before:.3}, by cost: {single:.3} {triple:.3}"
    );
    assert!(single > single_before + 0.1, "the cheaper kind is not shed less");
    assert!(triple > single / 4.0, "the dear kind is starved");
    assert!(before.status.costs.is_empty(), "{:?}", before.status.costs);
    let costs: Vec<&str> = by_cost.status.costs.iter().map(|cost| cost.service.as_str()).collect();
    assert!(costs.contains(&"deep") && costs.contains(&"front"), "{:?}", by_cost.status.costs);
}

/// Guards against order by cost on deployments whose servers report no pace.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_learnt_where_servers_report_no_pace() {
    let outcome = run(true, NO_PACE, SHORT).await;
    assert!(outcome.single.good > 0 && outcome.triple.good > 0, "nothing was answered");
    assert!(outcome.status.costs.is_empty(), "{:?}", outcome.status.costs);
}
