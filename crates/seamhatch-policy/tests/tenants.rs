//! Tenants of a document: what is accepted, whose a key is, which rank counts, and that no key is ever shown.

use seamhatch_core::priority::PriorityClass;
use seamhatch_policy::{Configuration, ConfigurationError, Document, KeyDigest, RateLimit};

const SECRET: &str = "a-secret-key";

fn document(tenants: &str) -> String {
    format!("policy = \"\"\n[services.s]\n[[routes]]\nprefix = \"/\"\nservice = \"s\"\nrank = 2\n{tenants}")
}

fn compile(tenants: &str) -> Result<Configuration, ConfigurationError> {
    Configuration::compile(&document(tenants))
}

/// Tenants, and a part of what is said of them; none where they are accepted.
struct TenantCase {
    tenants: &'static str,
    problem: Option<&'static str>,
}

const CASES: [TenantCase; 11] = [
    TenantCase {
        tenants: "[[tenants]]\nname = \"a\"\nkeys = [\"a-secret-key\", \"b\"]\nrate = 1.5\nburst = 2",
        problem: None,
    },
    TenantCase {
        tenants: "[[tenants]]\nname = \"a\"\nkeys = [\"a-secret-key\", \"a-secret-key\"]",
        problem: None,
    },
    TenantCase { tenants: "[[tenants]]\nname = \"a\"", problem: None },
    TenantCase { tenants: "[[tenants]]\nkeys = [\"a-secret-key\"]", problem: Some("tenant name") },
    TenantCase { tenants: "[[tenants]]\nname = \"a b\"", problem: Some("tenant name") },
    TenantCase {
        tenants: "[[tenants]]\nname = \"a\"\n[[tenants]]\nname = \"a\"",
        problem: Some("two tenants have the name"),
    },
    TenantCase {
        tenants: "[[tenants]]\nname = \"a\"\nkeys = [\"a-secret-key\"]\n[[tenants]]\nname = \"b\"\nkeys = [\"a-secret-key\"]",
        problem: Some("have a key in common"),
    },
    TenantCase {
        tenants: "[[tenants]]\nname = \"a\"\nkeys = [\"a-secret-key and more\"]",
        problem: Some("a key of the tenant \"a\""),
    },
    TenantCase {
        tenants: "[[tenants]]\nname = \"a\"\nkey_digests = [\"a-secret-key\"]",
        problem: Some("a key of the tenant \"a\""),
    },
    TenantCase { tenants: "[[tenants]]\nname = \"a\"\nrate = -1", problem: Some("`tenants.a.rate` is -1") },
    TenantCase {
        tenants: "[[tenants]]\nname = \"a\"\nburst = nan",
        problem: Some("`tenants.a.burst` is NaN"),
    },
];

#[test]
fn a_bad_tenant_is_refused_with_its_remedy_and_without_its_key() {
    for case in CASES {
        let problem = compile(case.tenants).err().map(|error| error.to_string());
        match (case.problem, &problem) {
            (None, None) => {}
            (Some(part), Some(told)) if told.contains(part) => {}
            _ => panic!("{}: {problem:?}", case.tenants),
        }
        assert!(!problem.unwrap_or_default().contains(SECRET));
    }
}

#[test]
fn a_key_and_its_digest_are_the_same_key() {
    let digest: String = sha256_hex(SECRET);
    let configuration =
        compile(&format!("[[tenants]]\nname = \"a\"\nkey_digests = [\"{digest}\"]\nrate = 3"))
            .expect("valid");
    let tenant = configuration.tenants().holder(KeyDigest::of(SECRET.as_bytes())).expect("holds it");
    assert_eq!(tenant.limit, Some(RateLimit { rate: 3.0, burst: 0.0 }));
    assert!(configuration.tenants().holder(KeyDigest::of(b"another")).is_none());
}

#[test]
fn a_key_is_in_no_debug_output() {
    let text = document("[[tenants]]\nname = \"a\"\nkeys = [\"a-secret-key\"]");
    let document = Document::parse(&text).expect("valid");
    let configuration = Configuration::from_document(&document).expect("valid");
    for shown in [
        format!("{document:?}"),
        format!("{configuration:?}"),
        format!("{:?}", KeyDigest::of(SECRET.as_bytes())),
    ] {
        assert!(!shown.contains(SECRET), "{shown}");
    }
}

#[test]
fn the_rank_of_a_tenant_goes_before_that_of_the_route() {
    let configuration =
        compile("[[tenants]]\nname = \"a\"\nrank = 0\n[[tenants]]\nname = \"b\"").expect("valid");
    let route = configuration.find(None, "/x").expect("a route");
    let class_of = |name: &str| {
        let tenant = configuration.tenants().named(name).map(AsRef::as_ref);
        route.decision(tenant).map(|decision| decision.class)
    };
    // The method decides whether these may run again, so each request is decided by itself.
    assert_eq!((class_of("a"), class_of("b")), (None, None));
    let by_route = document("").replace("rank = 2", "rank = 2\nrepeatable = true");
    let by_route = by_route.replace("policy = \"\"", "policy = '''fn classify(request) { if request.tenant.rank == 0 { \"critical\" } else { \"bulk\" } }'''");
    let configuration = Configuration::compile(&format!(
        "{by_route}[[tenants]]\nname = \"a\"\nrank = 0\n[[tenants]]\nname = \"b\""
    ))
    .expect("valid");
    let route = configuration.find(None, "/x").expect("a route");
    for (name, class) in
        [("a", PriorityClass::Critical), ("b", PriorityClass::Bulk), ("nobody", PriorityClass::Bulk)]
    {
        let tenant = configuration.tenants().named(name).map(AsRef::as_ref);
        assert_eq!(route.decision(tenant).map(|decision| decision.class), Some(class), "{name}");
    }
}

fn sha256_hex(text: &str) -> String {
    use sha2::{Digest as _, Sha256};
    Sha256::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}
