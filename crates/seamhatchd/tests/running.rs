//! Calls that run on the back end, and what they report to their parent calls.

use seamhatch_core::Instant;
use seamhatch_core::chain_cost::ServiceUsage;
use seamhatch_core::clock::SECOND;
use seamhatch_core::hand_back::EarlierCalls;
use seamhatch_core::identity::{Incarnation, RootId};
use seamhatch_core::instance::InstanceId;
use seamhatch_core::priority::{AdmissionFloor, Priority, PriorityClass};
use seamhatch_core::retry::RetryLedger;
use seamhatch_wire::ChainFloor;
use seamhatchd::base::clock;
use seamhatchd::server::running::{MissingParent, RunningCall, RunningCalls};
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

/// Calls beside a back end that has started together with the daemon.
fn calls() -> Arc<RunningCalls> {
    RunningCalls::new(Incarnation(1), EarlierCalls::none())
}

/// Calls beside a back end that may run others since before the daemon started, `age` ago.
fn calls_after_restart(age: u64) -> Arc<RunningCalls> {
    let mut earlier = EarlierCalls::before(clock::now().minus(age));
    earlier.note_longest_timeout(5 * SECOND);
    RunningCalls::new(Incarnation(1), earlier)
}

fn later() -> u64 {
    clock::now().plus(60 * SECOND).0
}

fn expiry_of(calls: &RunningCalls, name: &str) -> Result<Instant, MissingParent> {
    calls.find_by_name(name).map(|call| call.expiry)
}

/// Guards against a call without a parent because another run with its parent's name has ended.
#[test]
fn a_call_is_found_by_its_name_until_all_its_runs_end() {
    for first_ends_first in [true, false] {
        let calls = calls();
        let (first, repeated) = (call(1), call(2));
        let first = calls.register(first, Some("a"));
        let repeated = calls.register(repeated, Some("a"));
        assert_eq!(expiry_of(&calls, "a"), Ok(Instant(2)));
        let (ends, stays, expiry) =
            if first_ends_first { (first, repeated, 2) } else { (repeated, first, 1) };
        drop(ends);
        assert_eq!(expiry_of(&calls, "a"), Ok(Instant(expiry)));
        drop(stays);
        assert_eq!(expiry_of(&calls, "a"), Err(MissingParent::Unknown));
        assert_eq!(calls.count(), 0);
    }
}

/// Guards against a final answer to a call whose request the back end may still be running.
#[test]
fn why_a_parent_is_missing_is_told_apart() {
    struct MissingCase {
        name: &'static str,
        calls: Arc<RunningCalls>,
        ends: Option<bool>,
        missing: MissingParent,
    }
    let cases = [
        MissingCase { name: "never known", calls: calls(), ends: None, missing: MissingParent::Unknown },
        MissingCase {
            name: "given up",
            calls: calls(),
            ends: Some(false),
            missing: MissingParent::Abandoned,
        },
        MissingCase { name: "answered", calls: calls(), ends: Some(true), missing: MissingParent::Unknown },
        MissingCase {
            name: "right after a restart",
            calls: calls_after_restart(SECOND),
            ends: None,
            missing: MissingParent::MayBeEarlier,
        },
        MissingCase {
            name: "longer ago than any request lasts",
            calls: calls_after_restart(6 * SECOND),
            ends: None,
            missing: MissingParent::Unknown,
        },
        MissingCase {
            name: "without a configuration",
            calls: RunningCalls::new(Incarnation(1), EarlierCalls::before(Instant(0))),
            ends: None,
            missing: MissingParent::MayBeEarlier,
        },
    ];
    for case in cases {
        if let Some(is_answered) = case.ends {
            let registration = case.calls.register(call(later()), Some("a"));
            if is_answered {
                registration.mark_ended();
            }
        }
        assert_eq!(expiry_of(&case.calls, "a"), Err(case.missing), "{}", case.name);
    }
}

/// Guards against a context from before a restart that is taken for a forged one.
#[test]
fn a_context_of_an_earlier_life_is_not_final_while_its_call_may_run() {
    let before = RunningCalls::new(Incarnation(7), EarlierCalls::none());
    let registration = before.register(call(later()), None);
    let find = |calls: &RunningCalls, header: &str| calls.find(header).map(|_| ()).expect_err("is not known");
    assert_eq!(find(&calls_after_restart(SECOND), registration.header()), MissingParent::MayBeEarlier);
    assert_eq!(find(&calls_after_restart(6 * SECOND), registration.header()), MissingParent::Unknown);
    assert_eq!(find(&calls_after_restart(SECOND), "forged"), MissingParent::Unknown);
    assert!(before.find(registration.header()).is_ok());
}

/// Guards against handed-back calls that outlast their deadline or run on another instance's behalf.
#[test]
fn a_restored_call_is_found_until_its_deadline_and_for_its_instance() {
    struct RestoredCase {
        name: &'static str,
        instance: Option<&'static str>,
        opened_before: Option<&'static str>,
        opened_after: Option<&'static str>,
        expiry: u64,
        is_found: bool,
    }
    let known = RestoredCase {
        name: "its instance",
        instance: Some("i-1"),
        opened_before: None,
        opened_after: Some("i-1"),
        expiry: later(),
        is_found: true,
    };
    let cases = [
        RestoredCase { name: "no instance yet", opened_after: None, ..known },
        RestoredCase { name: "its instance came first", opened_before: Some("i-1"), ..known },
        RestoredCase { name: "another instance", opened_after: Some("i-2"), is_found: false, ..known },
        RestoredCase {
            name: "another came first",
            opened_before: Some("i-2"),
            opened_after: None,
            is_found: false,
            ..known
        },
        RestoredCase { name: "unnamed", instance: None, opened_after: Some("i-2"), ..known },
        RestoredCase { name: "expired", expiry: 1, is_found: false, ..known },
        known,
    ];
    for case in cases {
        let calls = calls_after_restart(SECOND);
        let open =
            |name: Option<&str>| name.into_iter().for_each(|name| calls.note_open(&InstanceId::named(name)));
        open(case.opened_before);
        calls.restore("a".into(), case.instance.map(InstanceId::named), call(case.expiry));
        open(case.opened_after);
        assert_eq!(calls.find_by_name("a").is_ok(), case.is_found, "{}", case.name);
    }
}
