//! Calls that run beside a daemon, and what they tell the call that caused them.

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

/// Without it the entry goes on admitting what fails deep in the chain.
#[test]
fn a_floor_met_by_a_caused_call_is_told_to_its_cause() {
    let cause = call(1_000);
    let caused = RunningCall::child_of(cause.clone(), Instant(5_000), RetryLedger::new(0, false));
    assert_eq!((caused.root, caused.priority, caused.depth), (cause.root, cause.priority, 3));
    assert_eq!(caused.expiry, cause.expiry);
    let told = ChainFloor::unless_open("stock", AdmissionFloor::at(40)).expect("is not open");
    caused.lower_chain_floor(&told);
    caused.lower_chain_floor(&ChainFloor { floor: AdmissionFloor::at(41), service: "orders".into() });
    assert_eq!((caused.chain_floor(), cause.chain_floor()), (Some(told.clone()), Some(told)));
}

/// Without it the entry learns only the first call of a chain as its cost.
#[test]
fn what_a_caused_call_uses_is_told_to_its_cause() {
    let cause = call(1_000);
    let caused = RunningCall::child_of(cause.clone(), Instant(5_000), RetryLedger::new(0, false));
    let usage = |calls, slot_ms| ServiceUsage { service: "stock".into(), calls, slot_ms };
    caused.add_usage(&[usage(1, 40)]);
    cause.add_usage(&[usage(2, 50)]);
    assert_eq!(caused.usage().services(), [usage(1, 40)]);
    assert_eq!(cause.usage().services(), [usage(3, 90)]);
}

#[test]
fn a_call_is_found_by_its_name_until_it_ends() {
    let calls = RunningCalls::new(Incarnation(1));
    let first = calls.register(call(1), Some("a"));
    let repeated = calls.register(call(2), Some("a"));
    assert_eq!(calls.find_by_name("a").map(|call| call.expiry), Some(Instant(2)));
    drop(first);
    // The end of the first must not hide the repeat.
    assert!(calls.find_by_name("a").is_some());
    drop(repeated);
    assert!(calls.find_by_name("a").is_none());
    assert_eq!(calls.count(), 0);
}
