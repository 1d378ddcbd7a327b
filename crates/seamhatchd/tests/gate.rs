//! The admission gate: no slot is lost, whatever becomes of those who wait.

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

/// Seen behind a link that was reset: a call was cancelled at the moment in
/// which it got its slot, and the server ended up with no slot left.
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
    // The slot passes to the waiting call, which ends before it hears of it.
    drop(permit);
    waiting.abort();
    assert!(waiting.await.is_err());
    assert_eq!(gate.in_flight(), 0);
    drop(gate.admit(request(SECOND)).await.expect("free again"));
}

#[tokio::test]
async fn a_call_that_waits_too_long_is_refused_and_leaves() {
    let gate = gate();
    let permit = gate.admit(request(60 * SECOND)).await.expect("free");
    let refused = gate.admit(request(SECOND / 20)).await.expect_err("too late");
    assert_eq!(refused, Reason::DeadlineExceeded);
    assert_eq!(gate.in_flight(), 1);
    drop(permit);
    assert_eq!(gate.in_flight(), 0);
}

/// Held on, it would be refused all the same two seconds later.
#[tokio::test]
async fn a_call_whose_turn_has_become_too_late_is_refused_at_the_next_tick() {
    let gate = gate();
    let mut slow = gate.admit(request(60 * SECOND)).await.expect("free");
    let admit = |lifetime| {
        let gate = gate.clone();
        tokio::spawn(async move { gate.admit(request(lifetime)).await })
    };
    let waiting = [60 * SECOND, 60 * SECOND, 60 * SECOND, 3 * SECOND].map(admit);
    // Until now calls seemed to need next to nothing, and there was time for all four.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(gate.in_flight(), 5);
    slow.mark_succeeded();
    drop(slow);
    gate.tick();
    assert_eq!(gate.in_flight(), 3);
    let [.., hasty] = waiting;
    assert_eq!(hasty.await.expect("no panic").expect_err("given up"), Reason::DeadlineExceeded);
}
