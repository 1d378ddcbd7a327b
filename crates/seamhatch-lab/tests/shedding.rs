//! Under overload critical work is shed last, bulk and background first, also
//! as calls deep in a chain and while the policy changes.

mod common;

use common::start;
use seamhatch_lab::load::{self, CallerRetries, KindResult, LoadPlan, LoadResult};
use seamhatch_lab::report;
use seamhatch_lab::topology::{RequestKind, Topology, call, endpoint, service};
use std::time::Duration;

const POLICY: &str = r#"
fn classify(request) {
    if request.path.contains("critical") { return "critical"; }
    if request.path.contains("bulk") { return "bulk"; }
    if request.path.contains("background") { return "background"; }
    "normal"
}
fn retries(request) { 1 }
fn deadline_ms(request) { 1500 }
fn repeatable(request) { request.method == "GET" }
"#;

/// The deep service has four slots of 40 ms: 100 calls a second.
fn deep_bottleneck() -> Topology {
    let mut topology = Topology::chain(2, 1, 2, 1);
    let entry = |name: &str, method: &str| endpoint(name, 1, 200, vec![call(method, "s2", name)]);
    let kinds = [("critical", "POST"), ("normal", "GET"), ("bulk", "GET"), ("background", "GET")];
    topology.services = vec![
        service("s1", 2, 64, kinds.iter().map(|(name, method)| entry(name, method)).collect()),
        service("s2", 1, 4, kinds.iter().map(|(name, _)| endpoint(name, 40, 200, vec![])).collect()),
    ];
    topology.document = format!(
        "policy = '''{POLICY}'''\n[services.s1]\n[services.s2]\n[[routes]]\nprefix = \"/in\"\nservice = \"s1\"\n"
    );
    topology
}

fn kind(name: &'static str, method: &'static str, path: &'static str, share: f64) -> RequestKind {
    RequestKind { name, method, path, share, keyed: method == "POST" }
}

/// About four times what the deep service can do, a tenth of it critical.
fn plan(ingresses: Vec<seamhatch_core::identity::Address>) -> LoadPlan {
    LoadPlan {
        rate: 400.0,
        duration: Duration::from_secs(8),
        kinds: vec![
            kind("critical", "POST", "/in/critical", 0.1),
            kind("normal", "GET", "/in/normal", 0.3),
            kind("bulk", "GET", "/in/bulk", 0.3),
            kind("background", "GET", "/in/background", 0.3),
        ],
        targets: vec![ingresses],
        surge: None,
        retries: CallerRetries { most: 0, honour_retry_after: false },
        name: "shed".into(),
    }
}

fn share(result: &LoadResult, name: &str) -> f64 {
    let found: Vec<&KindResult> =
        result.iter().filter(|(kind, _)| *kind == name).map(|(_, result)| result).collect();
    found[0].good as f64 / found[0].sent as f64
}

fn assert_order(result: &LoadResult) {
    let shares: Vec<f64> =
        ["critical", "normal", "bulk", "background"].iter().map(|name| share(result, name)).collect();
    println!("{}", report::load_table(result, Duration::from_secs(8)));
    println!(
        "answered: critical {:.3} normal {:.3} bulk {:.3} background {:.3}",
        shares[0], shares[1], shares[2], shares[3]
    );
    assert!(shares[0] > 0.95, "critical work was shed: {shares:?}");
    assert!(shares[0] > shares[1] && shares[1] > shares[2], "{shares:?}");
    assert!(shares[2] < 0.2 && shares[3] < 0.2, "bulk or background went before others: {shares:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn at_four_times_the_deep_services_capacity() {
    let (deployment, _turn) = start(deep_bottleneck(), false).await;
    let result = load::run(plan(deployment.ingresses())).await;
    assert_order(&result);
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_policy_changes() {
    let (deployment, _turn) = start(deep_bottleneck(), false).await;
    let changing = async {
        for number in 0..4 {
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            let document = format!("# version {number}\n{}", deployment.topology.document);
            tokio::task::block_in_place(|| deployment.submit(0, &document, &[])).expect("accepted");
        }
    };
    let (result, ()) = tokio::join!(load::run(plan(deployment.ingresses())), changing);
    assert_order(&result);
}
