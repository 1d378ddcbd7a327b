//! Routes with attributes: which one a request takes, and what the operator's word bounds.

use seamhatch_core::clock::MILLISECOND;
use seamhatch_core::priority::PriorityClass;
use seamhatch_policy::{Configuration, host_name};
use std::collections::BTreeMap;

const DOCUMENT: &str = r#"
policy = '''POLICY'''
[services.orders]
[services.stock]
[[routes]]
name = "all"
host = "shop.example"
prefix = "/a/"
service = "orders"
rank = 0
repeatable = false
timeout_ms = 1200
dispatches = 3
[[routes]]
host = "shop.example"
prefix = "/a/b/"
service = "stock"
repeatable = true
rank = 2
[[routes]]
host = "other.example"
prefix = "/a/"
weighted = [{ service = "orders", weight = 90 }, { service = "stock", weight = 10 }]
[[routes]]
prefix = "/any"
service = "stock"
"#;

fn compile(policy: &str) -> Configuration {
    Configuration::compile(&DOCUMENT.replace("POLICY", policy)).expect("valid")
}

fn service<'a>(configuration: &'a Configuration, host: &str, path: &str) -> Option<&'a str> {
    Some(configuration.find(Some(host), path)?.service(|_| 0))
}

#[test]
fn the_longest_prefix_of_the_host_wins_and_a_final_slash_asks_for_more() {
    let configuration = compile("");
    assert_eq!(service(&configuration, "shop.example", "/a/1"), Some("orders"));
    assert_eq!(service(&configuration, "shop.example", "/a/b/1"), Some("stock"));
    assert_eq!(service(&configuration, "shop.example", "/a/b"), Some("orders"));
    assert_eq!(service(&configuration, "shop.example", "/a"), None);
    assert_eq!(service(&configuration, "unknown.example", "/a/1"), None);
    assert_eq!(service(&configuration, "unknown.example", "/any"), Some("stock"));
}

#[test]
fn services_share_a_route_by_weight() {
    let configuration = compile("");
    let route = configuration.find(Some("other.example"), "/a/1").expect("known");
    let drawn: Vec<&str> = [0, 89, 90, 99].map(|number| route.service(|_| number)).to_vec();
    assert_eq!(drawn, ["orders", "orders", "stock", "stock"]);
}

#[test]
fn the_attributes_decide_without_a_policy() {
    let configuration = compile("");
    let decision = configuration.find(Some("shop.example"), "/a/1").expect("known").decision(None).cloned();
    let decision = decision.expect("depends on the route alone");
    assert_eq!((decision.class, decision.repeatable), (PriorityClass::Critical, false));
    assert_eq!((decision.retries, decision.deadline), (2, 1_200 * MILLISECOND));
}

#[test]
fn a_policy_decides_within_the_operators_bounds() {
    let configuration = compile(
        "fn repeatable(request) { true } fn retries(request) { 9 } fn deadline_ms(request) { 60000 }\n\
         fn classify(request) { if request.route.rank == 0 { \"bulk\" } else { \"normal\" } }",
    );
    let route = configuration.find(Some("shop.example"), "/a/1").expect("known");
    let decision = route.decision(None).cloned().expect("depends on the route alone");
    assert_eq!((decision.class, decision.repeatable), (PriorityClass::Bulk, false));
    assert_eq!((decision.retries, decision.deadline), (2, 1_200 * MILLISECOND));
}

#[test]
fn a_policy_that_reads_the_request_is_not_decided_by_route() {
    let configuration =
        compile("fn classify(request) { if request.method == \"GET\" { \"bulk\" } else { \"normal\" } }");
    assert_eq!(configuration.find(Some("shop.example"), "/a/1").expect("known").decision(None), None);
    let headers = BTreeMap::from([("host".to_owned(), "shop.example".to_owned())]);
    let decision = configuration.policy().decide(&configuration.request("GET", "/a/1", headers));
    assert_eq!((decision.class, decision.repeatable), (PriorityClass::Bulk, false));
}

/// A floor of one service closed the whole route, so that the others got less than their shares.
#[test]
fn services_that_share_a_route_are_told_apart() {
    struct KindCase {
        host: &'static str,
        path: &'static str,
        same: bool,
    }
    let cases = [
        KindCase { host: "other.example", path: "/a/1", same: false },
        KindCase { host: "shop.example", path: "/a/1", same: true },
    ];
    let configuration = compile("");
    for case in cases {
        let route = configuration.find(Some(case.host), case.path).expect("known");
        assert_eq!(route.kind("orders") == route.kind("stock"), case.same, "{}", case.host);
    }
}

#[test]
fn a_route_needs_one_way_to_say_where_it_leads() {
    let neither = "policy = ''\n[services.a]\n[[routes]]\nprefix = \"/a\"\n";
    let both = format!("{neither}service = \"a\"\nweighted = [{{ service = \"a\", weight = 1 }}]\n");
    for text in [neither, &both] {
        let error = Configuration::compile(text).expect_err("refused").to_string();
        assert!(error.contains("either `service` or `weighted`"), "{error}");
    }
}

#[test]
fn an_unknown_key_of_a_route_is_refused() {
    let text = "policy = ''\n[services.a]\n[[routes]]\nprefix = \"/a\"\nservice = \"a\"\nretries = 3\n";
    let error = Configuration::compile(text).expect_err("refused").to_string();
    assert!(error.contains("unknown field `retries`"), "{error}");
}

/// One host can be written in several ways, in requests and in documents.
#[test]
fn a_host_is_the_same_however_it_is_written() {
    let cases = [
        ("shop.example", "shop.example"),
        ("Shop.EXAMPLE", "shop.example"),
        ("shop.example:8080", "shop.example"),
        ("shop.example.", "shop.example"),
        (" shop.example.:80 ", "shop.example"),
        ("10.0.0.7:80", "10.0.0.7"),
        ("[FD00::7]:80", "[fd00::7]"),
        ("[fd00::7]", "[fd00::7]"),
    ];
    for (written, name) in cases {
        assert_eq!(host_name(written), name, "{written:?}");
    }
    let document = DOCUMENT.replace("POLICY", "").replace("\"shop.example\"", "\"Shop.Example.\"");
    let configuration = Configuration::compile(&document).expect("valid");
    assert_eq!(service(&configuration, "shop.example", "/a/1"), Some("orders"));
}
