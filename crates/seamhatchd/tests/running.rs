//! Calls that run on the back end, and what they report to their parent calls.

use seamhatch_core::Instant;
use seamhatch_core::chain_cost::ServiceUsage;
use seamhatch_core::identity::{Incarnation, RootId};
use seamhatch_core::priority::{AdmissionFloor, Priority, PriorityClass};
use seamhatch_core::retry::RetryLedger;
use seamhatch_wire::ChainFloor;
use seamhatchd::server::running::{RunningCall, RunningCalls};
use std::sync::Arc;

fn call(expiry: u64) -> Arc<RunningCall> {
    let root = RootId(7);
    let priority = Priority::new(PriorityClass::Critical, root);
    Arc::new(RunningCall::new(root, priority, Instant(1), Instant(expiry), 3, RetryLedger::new(2, false)))
}

/// Guards against an entry that keeps admitting requests that are refused deeper in the chain.
#[test]
fn a_floor_met_by_a_child_call_is_reported_to_its_parent() {
    let parent = call(1_000);
    let child = RunningCall::child_of(parent.clone(), Instant(5_000), RetryLedger::new(0, false));
    assert_eq!((child.root, child.priority, child.depth), (parent.root, parent.priority, 3));
    assert_eq!(child.expiry, parent.expiry);
    let lowest = ChainFloor::unless_open("stock", AdmissionFloor::at(40)).expect("is not open");
    child.lower_chain_floor(&lowest);
    child.lower_chain_floor(&ChainFloor { floor: AdmissionFloor::at(41), service: "orders".into() });
    assert_eq!((child.chain_floor(), parent.chain_floor()), (Some(lowest.clone()), Some(lowest)));
}

/// Guards against an entry that counts only the first call of a chain as the cost of the request.
#[test]
fn the_usage_of_a_child_call_is_added_to_its_parent() {
    let parent = call(1_000);
    let child = RunningCall::child_of(parent.clone(), Instant(5_000), RetryLedger::new(0, false));
    let usage = |calls, slot_ms| ServiceUsage { service: "stock".into(), calls, slot_ms };
    child.add_usage(&[usage(1, 40)]);
    parent.add_usage(&[usage(2, 50)]);
    assert_eq!(child.usage().services(), [usage(1, 40)]);
    assert_eq!(parent.usage().services(), [usage(3, 90)]);
}

#[test]
fn a_call_is_found_by_its_name_until_it_ends() {
    let calls = RunningCalls::new(Incarnation(1));
    let first = calls.register(call(1), Some("a"));
    let repeated = calls.register(call(2), Some("a"));
    assert_eq!(calls.find_by_name("a").map(|call| call.expiry), Some(Instant(2)));
    drop(first);
    // The end of the first call must not remove the entry of the second, which has the same name.
    assert!(calls.find_by_name("a").is_some());
    drop(repeated);
    assert!(calls.find_by_name("a").is_none());
    assert_eq!(calls.count(), 0);
}
