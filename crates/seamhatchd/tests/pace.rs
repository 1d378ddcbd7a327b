//! The pace of a back end, from its answers to what the daemon beside it reports.

use http::{HeaderMap, HeaderValue};
use seamhatch_core::admission::{AdmissionPolicy, BackEndLoad, CallKind};
use seamhatch_core::balance::ServerPace;
use seamhatch_core::clock::SECOND;
use seamhatch_core::identity::RootId;
use seamhatch_core::priority::{Priority, PriorityClass};
use seamhatchd::base::clock;
use seamhatchd::base::metrics::Metrics;
use seamhatchd::conventions::{HttpConventions, OwnConventions};
use seamhatchd::server::gate::{AdmissionGate, GateRequest};
use std::sync::Arc;
use std::time::Duration;

/// Guards against a field that can't be read and counts as a figure, and against a deployment whose back ends send none being treated as one
/// whose back ends do.
#[test]
fn the_products_own_field_carries_the_figure_alone() {
    let cases =
        [(Some("250"), Some(250)), (Some("0"), None), (Some("12.5"), None), (Some(""), None), (None, None)];
    for (field, expected) in cases {
        let mut headers = HeaderMap::new();
        if let Some(text) = field {
            headers.insert("backend-pace", HeaderValue::from_static(text));
        }
        let load = OwnConventions.back_end_load(&headers);
        assert_eq!(load.and_then(|load| load.time_percent), expected, "{field:?}");
        assert!(load.is_none_or(|load| load.calls.is_none()), "{field:?}");
    }
}

fn request() -> GateRequest {
    let now = clock::now();
    let expiry = now.plus(60 * SECOND);
    let priority = Priority::new(PriorityClass::Normal, RootId(1));
    let kind = CallKind::default();
    GateRequest { priority, root_admitted: now, expiry, objective_end: expiry, kind, continues_chain: false }
}

/// Guards against a service time of a chain that counts as the server's own work, and against a report without any figure.
#[tokio::test]
async fn the_gate_reports_the_last_figure_and_the_time_of_calls_that_make_none() {
    let policy = AdmissionPolicy { slots: 2, queue_per_slot: 4, initial_slots: 2 };
    let gate = AdmissionGate::new(policy, Arc::new(Metrics::new()));
    let mut untold = gate.admit(request()).await.expect("free");
    untold.mark_succeeded();
    drop(untold);
    assert_eq!(gate.pace(), None);
    let told = BackEndLoad { calls: None, time_percent: Some(200) };
    let mut chain = gate.admit(request()).await.expect("free");
    chain.note_load(told);
    chain.mark_calls_made();
    chain.mark_succeeded();
    drop(chain);
    assert!(
        matches!(gate.pace(), Some(ServerPace { time_percent: 200, work_ms: 0, .. })),
        "{:?}",
        gate.pace()
    );
    let mut work = gate.admit(request()).await.expect("free");
    tokio::time::sleep(Duration::from_millis(100)).await;
    work.note_load(told);
    work.mark_succeeded();
    drop(work);
    let pace = gate.pace().expect("told");
    // 100 ms and more, at a figure of 200.
    assert!(pace.time_percent == 200 && (50..5_000).contains(&pace.work_ms), "{pace:?}");
}
