//! The pace of a back end, from the header field in its answers to the report of the daemon beside it.

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

/// Guards against taking an unreadable field for a percentage, and against treating back ends that send no field like back ends that
/// send one.
#[test]
fn the_products_own_field_carries_only_the_percentage() {
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

/// Guards against counting the service time of a call with calls of its own as the server's own work, and against a report where the
/// back end has sent no pace.
#[tokio::test]
async fn the_gate_reports_the_last_percentage_and_the_work_of_leaf_calls() {
    let policy = AdmissionPolicy { slots: 2, queue_per_slot: 4, initial_slots: 2 };
    let gate = AdmissionGate::new(policy, Arc::new(Metrics::new()));
    let mut without_pace = gate.admit(request()).await.expect("free");
    without_pace.mark_succeeded();
    drop(without_pace);
    assert_eq!(gate.pace(), None);
    let load = BackEndLoad { calls: None, time_percent: Some(200) };
    let mut chain = gate.admit(request()).await.expect("free");
    chain.note_load(load);
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
    work.note_load(load);
    work.mark_succeeded();
    drop(work);
    let pace = gate.pace().expect("the back end has sent a pace");
    // The call took at least 100 ms at 200 percent of the usual time, which is 50 ms of usual work.
    assert!(pace.time_percent == 200 && (50..5_000).contains(&pace.work_ms), "{pace:?}");
}
