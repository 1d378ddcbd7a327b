//! Names that operators, metrics collectors and callers depend on: settings, flags, metrics, the status and crash pages, and the
//! product's own header fields.

use http::{HeaderMap, StatusCode};
use seamhatch_core::Instant;
use seamhatch_core::clock::MILLISECOND;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::RootId;
use seamhatch_core::membership::{Lifecycle, Liveness};
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::priority::PriorityClass;
use seamhatchd::base::metrics::{BadInput, Metrics};
use seamhatchd::control::{CostStatus, MemberStatus, ProofStatus, ShardStatus, StatusReport};
use seamhatchd::conventions::headers;
use seamhatchd::conventions::{AnswerMark, BackEndCall, HttpConventions, OwnAnswer, OwnConventions};
use seamhatchd::server::crashes::{CrashReport, SuspectStatus};
use seamhatchd::settings::{HELP, Invocation, Settings, from_arguments};
use serde::Serialize;

const MINIMAL: &str = "\
cluster = \"c\"
region = \"r\"
zone = \"z\"
service = \"s\"
[listen]
ingress = \"127.0.0.1:1\"
egress = \"127.0.0.1:2\"
peer = \"127.0.0.1:3\"
gossip = \"127.0.0.1:3\"
admin = \"127.0.0.1:4\"
[backend]
address = \"127.0.0.1:5\"
slots = 6
[platform]
store = \"127.0.0.1:7\"
";

fn load(text: &str) -> Result<Settings, String> {
    let file = tempfile::NamedTempFile::new().expect("creates");
    std::fs::write(file.path(), text).expect("writes");
    let arguments = vec!["--config".into(), file.path().into()];
    match from_arguments(arguments) {
        Ok(Invocation::Run(settings)) => Ok(*settings),
        Ok(other) => panic!("{other:?}"),
        Err(error) => Err(error.to_string()),
    }
}

/// The part of the error for an unknown key that lists the valid keys of the table.
fn known_keys(table: &str) -> String {
    let section = if table.is_empty() { String::new() } else { format!("[{table}]\n") };
    let error = load(&format!("{section}no-such-key = 1\n")).expect_err("unknown key");
    let line = error.lines().find(|line| line.contains("expected")).expect("a list of the keys");
    line.split("; correct").next().unwrap_or_default().to_owned()
}

#[test]
fn settings_keep_their_keys_defaults_and_flags() {
    let tables = [
        "",
        "listen",
        "advertise",
        "backend",
        "platform",
        "membership",
        "log",
        "threads",
        "stop",
        "retries",
        "tenants",
        "quotas",
    ];
    let keys: String = tables.iter().map(|table| format!("[{table}] {}\n", known_keys(table))).collect();
    let settings = load(MINIMAL).expect("valid");
    let defaults = format!(
        "machines {:?}\nseeds {:?}\nfirst start {}\ngrace {:?}\nretries {}\nrevocation {:?}\nquota window {}\n\
         quota overage {}\nquota slack {}\nquota shards {}\nlog level {}\nlog format {:?}\ntraffic threads {}\n",
        settings.machines,
        settings.seeds,
        settings.first_start,
        settings.grace,
        settings.retries.is_some(),
        settings.revocation,
        settings.quota.window,
        settings.quota.overage,
        settings.quota.slack,
        settings.quota.shards,
        settings.log.level,
        settings.log.format,
        settings.traffic_threads,
    );
    insta::assert_snapshot!(format!("{keys}\n{defaults}\n{HELP}"));
}

#[test]
fn metrics_keep_their_names_types_and_labels() {
    let metrics = Metrics::new();
    let class = PriorityClass::Normal;
    metrics.request(class);
    metrics.request_ended(Outcome::Answered, class, 700 * MILLISECOND);
    metrics.execution(class);
    metrics.refusal(Outcome::NotRun, Reason::QueueFull, class);
    let kinds = [
        BadInput::Datagram,
        BadInput::PeerConnection,
        BadInput::Request,
        BadInput::Heartbeat,
        BadInput::Context,
        BadInput::Policy,
        BadInput::LateAnswer,
    ];
    kinds.into_iter().for_each(|kind| metrics.bad_input(kind));
    // The order of the samples within a family is not fixed.
    let text = metrics.to_text();
    let mut lines: Vec<&str> = text.lines().collect();
    lines.sort_unstable();
    insta::assert_snapshot!(lines.join("\n"));
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).expect("JSON")
}

#[test]
fn the_status_and_crash_pages_keep_their_form() {
    let member = MemberStatus {
        member: "10.1.2.3:7002".into(),
        zone: "z".into(),
        service: "s".into(),
        slots: 1,
        lifecycle: Lifecycle::Ready,
        liveness: Liveness::Alive,
        leaving: true,
        generation: Some(2),
        rate_millis: Some(1_500),
    };
    let shard = ShardStatus { shard: 3, epoch: 4, witnesses: vec!["10.1.2.3:7001".into()], serving: 5 };
    let status = StatusReport {
        member: "10.1.2.3:7002".into(),
        ready: true,
        draining: false,
        in_flight: 6,
        generation: 7,
        proof: Some(ProofStatus { age_ms: 12, source: "store".into() }),
        floor: 8,
        members: vec![member],
        shards: vec![shard],
        costs: vec![CostStatus { kind: "GET search".into(), service: "s".into(), slot_ms: 9 }],
    };
    let suspect = SuspectStatus {
        digest: "0a0b".into(),
        crashes: 9,
        turned_away_for_ms: Some(10),
        until_cleared: false,
    };
    let until_cleared = SuspectStatus { digest: "0c0d".into(), until_cleared: true, ..suspect.clone() };
    let crashes = CrashReport { crashes_here: 11, suspects: vec![suspect, until_cleared] };
    insta::assert_snapshot!(format!("{}\n{}", json(&status), json(&crashes)));
}

#[test]
fn the_products_own_header_fields_keep_their_names() {
    let names = [
        headers::PREFIX,
        headers::CONTEXT,
        headers::DEADLINE,
        headers::OUTCOME,
        headers::REASON,
        headers::GENERATION,
        headers::REQUEST_ID,
        headers::TENANT,
        headers::BACKEND_RATE,
        headers::BACKEND_LEAVING,
        headers::BACKEND_PACE,
        headers::IDEMPOTENCY_KEY,
    ];
    let call =
        BackEndCall { fields: &[], context: "reference", expiry: Instant(5), remaining: 4, instance: None };
    let to_back_end = OwnConventions.back_end_fields(&call);
    let to_back_end: Vec<(String, String)> = to_back_end
        .into_iter()
        .map(|field| (field.name, String::from_utf8_lossy(&field.value).into_owned()))
        .collect();
    let answer = OwnAnswer {
        outcome: Outcome::NotRun,
        reason: Reason::QueueFull,
        status: StatusCode::SERVICE_UNAVAILABLE,
        retry_after: Some(1_200 * MILLISECOND),
        detail: "come back",
    };
    let response = OwnConventions.own_answer(&answer);
    let mut marked = HeaderMap::new();
    let mark = AnswerMark { outcome: Outcome::Answered, root: RootId(6), generation: Generation(7) };
    OwnConventions.mark(&mut marked, &mark);
    let body = String::from_utf8_lossy(response.body()).into_owned();
    insta::assert_snapshot!(format!(
        "{names:#?}\n{to_back_end:?}\n{:#?}\n{body}\n{marked:#?}",
        response.headers()
    ));
}
