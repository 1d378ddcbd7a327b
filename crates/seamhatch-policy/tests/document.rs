//! Bad configurations: each gets a typed error that names the remedy.

use proptest::prelude::*;
use seamhatch_core::priority::PriorityClass;
use seamhatch_policy::{Configuration, PolicyProgram, PolicyRequest};
use std::collections::BTreeMap;

fn document(policy: &str, rest: &str) -> String {
    format!("policy = '''{policy}'''\n{rest}\n[services.a]\n")
}

fn error(text: &str) -> String {
    Configuration::compile(text).expect_err("refused").to_string()
}

#[test]
fn errors_name_the_remedy() {
    let route = "[[routes]]\nprefix = \"/a\"\nservice = \"b\"";
    let weights = "[[routes]]\nprefix = \"/a\"\nweighted = [{ service = \"a\", weight = 4294967295 }, { service = \"a\", weight = 1 }]";
    let cases = [
        ("unknown key", document("", "colour = 3")),
        ("no services", "policy = ''".into()),
        ("route to nowhere", document("", route)),
        ("relative prefix", document("", "[[routes]]\nprefix = \"a\"\nservice = \"a\"")),
        ("range", "policy = ''\n[services.a]\nretry_ratio = 7.5\n".into()),
        ("time-out", document("", "[[routes]]\nprefix = \"/a\"\nservice = \"a\"\ntimeout_ms = 0")),
        ("objective", document("", "[[routes]]\nprefix = \"/a\"\nservice = \"a\"\nobjective_ms = 0")),
        (
            "time-out beyond a day",
            document("", "[[routes]]\nprefix = \"/a\"\nservice = \"a\"\ntimeout_ms = 9000000000000000000"),
        ),
        ("dispatches", document("", "[[routes]]\nprefix = \"/a\"\nservice = \"a\"\ndispatches = 0")),
        ("connections", "policy = ''\n[services.a]\nconnections = 0\n".into()),
        ("head", "policy = ''\n[services]\n[limits]\nhead_bytes = 0\n".into()),
        ("path", "policy = ''\n[services]\n[limits]\npath_bytes = 0\n".into()),
        ("head time-out", "policy = ''\n[services]\n[limits]\nhead_timeout_ms = 0\n".into()),
        ("idle time-out", "policy = ''\n[services]\n[limits]\nidle_timeout_ms = 0\n".into()),
        ("crash limit", "policy = ''\n[services]\n[crashes]\nlimit = 2\n".into()),
        ("crash pause", "policy = ''\n[services]\n[crashes]\npause_ms = 10\n".into()),
        ("weights beyond what is drawn", document("", weights)),
        ("does not compile", document("fn classify(request) { if }", "")),
        ("two parameters", document("fn classify(a, b) { \"normal\" }", "")),
        ("nonsense class", document("fn classify(request) { \"urgent\" }", "")),
        ("class of the wrong type", document("fn classify(request) { 7 }", "")),
        ("too many retries", document("fn retries(request) { 1000 }", "")),
        ("endless loop", document("fn classify(request) { loop {} }", "")),
        ("endless recursion", document("fn classify(request) { classify(request) }", "")),
        ("memory", document("fn classify(request) { let s = \"x\"; loop { s += s; } }", "")),
        ("unknown function", document("fn classify(request) { magic() }", "")),
        ("sample", document("", "[[samples]]\nmethod = \"GET\"\npath = \"/\"\nexpect_class = \"critical\"")),
    ];
    let report: String = cases.iter().map(|(name, text)| format!("{name}: {}\n", error(text))).collect();
    insta::assert_snapshot!(report);
}

/// Guards against a deployment whose requests are ordered by cost though its operator never asked for that.
#[test]
fn requests_are_ordered_by_cost_only_where_the_document_says_so() {
    let cases = [
        ("", false),
        ("[admission]", false),
        ("[admission]\nby_cost = false", false),
        ("[admission]\nby_cost = true", true),
    ];
    for (rest, by_cost) in cases {
        let configuration = Configuration::compile(&document("", rest)).expect("valid");
        assert_eq!(configuration.admission().by_cost, by_cost, "{rest}");
    }
    assert!(error(&document("", "[admission]\ncost = true")).contains("cost"));
}

#[test]
fn a_function_that_fails_at_run_time_leaves_its_safe_default() {
    let program = PolicyProgram::compile(
        "fn classify(request) { request.headers.missing.length }\n\
         fn retries(request) { if request.path == \"/odd\" { -1 } else { 5 } }\n\
         fn repeatable(request) { throw \"no\" }",
    )
    .expect("compiles");
    let request = PolicyRequest { method: "GET".into(), path: "/odd".into(), ..PolicyRequest::default() };
    let decision = program.decide(&request);
    assert_eq!(decision.class, PriorityClass::Normal);
    assert_eq!((decision.retries, decision.repeatable), (0, false));
    assert_eq!(decision.failed, ["classify", "retries", "repeatable"]);
}

#[test]
fn the_longest_route_wins_at_segment_borders() {
    let rest = "[[routes]]\nprefix = \"/a\"\nservice = \"a\"\n[[routes]]\nprefix = \"/a/b\"\nservice = \"b\"\n[services.b]";
    let configuration = Configuration::compile(&document("", rest)).expect("valid");
    assert_eq!(configuration.route("/a/b/1"), Some("b"));
    assert_eq!(configuration.route("/a/bc"), Some("a"));
    assert_eq!(configuration.route("/ab"), None);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Whatever is submitted, loading it ends and does not panic.
    #[test]
    fn any_text_is_accepted_or_refused(policy in ".{0,200}", more in ".{0,100}") {
        let _ = Configuration::compile(&document(&policy.replace('\'', "\""), &more));
        let _ = Configuration::compile(&more);
    }

    #[test]
    fn any_request_is_decided(method in "[A-Z]{1,8}", path in "/.{0,80}", value in ".{0,40}") {
        let program = PolicyProgram::compile("fn classify(request) { request.headers.name }").expect("compiles");
        let headers = BTreeMap::from([("name".to_owned(), value)]);
        let request = PolicyRequest { method, path, headers, ..PolicyRequest::default() };
        let _ = program.decide(&request);
    }
}
