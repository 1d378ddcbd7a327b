//! The admission gate: slots are given back and late calls are refused, also where waiting calls are cancelled.

use seamhatch_core::admission::{AdmissionPolicy, CallKind};
use seamhatch_core::clock::SECOND;
use seamhatch_core::identity::RootId;
use seamhatch_core::outcome::Reason;
use seamhatch_core::priority::{Priority, PriorityClass};
use seamhatchd::base::clock;
use seamhatchd::base::metrics::Metrics;
use seamhatchd::server::gate::{AdmissionGate, GateRequest};
use std::sync::Arc;
use std::time::Duration;

fn gate() -> Arc<AdmissionGate> {
    let policy = AdmissionPolicy { slots: 1, queue_per_slot: 4, initial_slots: 1 };
    AdmissionGate::new(policy, Arc::new(Metrics::new()))
}

fn request(lifetime: u64) -> GateRequest {
    let now = clock::now();
    let root = RootId(1);
    let priority = Priority::new(PriorityClass::Normal, root);
    let expiry = now.plus(lifetime);
    GateRequest {
        priority,
        root_admitted: now,
        expiry,
        objective_end: expiry,
        kind: CallKind::default(),
        continues_chain: false,
    }
}

/// Guards against leaking a slot that is granted to a call while the call is being cancelled, as by a reset of the connection it came
/// on; the leak leaves a server without slots.
#[tokio::test]
async fn a_slot_granted_to_a_call_that_is_cancelled_is_given_back() {
    let gate = gate();
    let permit = gate.admit(request(60 * SECOND)).await.expect("free");
    let waiting = tokio::spawn({
        let gate = gate.clone();
        async move { gate.admit(request(60 * SECOND)).await.map(|_| ()) }
    });
    tokio::task::yield_now().await;
    assert_eq!(gate.in_flight(), 2);
    // Grants the slot to the waiting call, which is cancelled before it receives the verdict.
    drop(permit);
    waiting.abort();
    assert!(waiting.await.is_err());
    assert_eq!(gate.in_flight(), 0);
    drop(gate.admit(request(SECOND)).await.expect("free again"));
}

#[tokio::test]
async fn a_call_that_expires_while_waiting_is_refused_and_leaves_the_queue() {
    let gate = gate();
    let permit = gate.admit(request(60 * SECOND)).await.expect("free");
    let refused = gate.admit(request(SECOND / 20)).await.expect_err("expires in the queue");
    assert_eq!(refused, Reason::DeadlineExceeded);
    assert_eq!(gate.in_flight(), 1);
    drop(permit);
    assert_eq!(gate.in_flight(), 0);
}

/// Guards against keeping a call in the queue that can no longer start in time: it would be refused anyway two seconds later.
#[tokio::test]
async fn a_waiting_call_that_can_no_longer_start_in_time_is_refused_at_the_next_tick() {
    let gate = gate();
    let mut slow = gate.admit(request(60 * SECOND)).await.expect("free");
    let admit = |lifetime| {
        let gate = gate.clone();
        tokio::spawn(async move { gate.admit(request(lifetime)).await })
    };
    let waiting = [60 * SECOND, 60 * SECOND, 60 * SECOND, 3 * SECOND].map(admit);
    // Until the first call ends, the queue estimates service times near zero, by which all four can start in time.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(gate.in_flight(), 5);
    slow.mark_succeeded();
    drop(slow);
    gate.tick();
    assert_eq!(gate.in_flight(), 3);
    let [.., short_lived] = waiting;
    assert_eq!(short_lived.await.expect("no panic").expect_err("is refused"), Reason::DeadlineExceeded);
}
