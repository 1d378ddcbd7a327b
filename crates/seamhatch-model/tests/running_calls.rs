//! Calls that run through a restart of the daemon beside their back end: never denied, known again, and each seeded fault is found.

mod common;

use common::{assert_found, assert_holds};
use seamhatch_model::running_calls::{RunningCallsFault, RunningCallsModel};

const LIMIT: usize = 6_000_000;

/// Bounds within which the property holds: restarts, lost connections, steps of time.
const BOUNDS: [(u8, u8, u64); 3] = [(1, 2, 6), (2, 1, 6), (3, 0, 7)];

#[test]
fn no_call_of_a_running_request_is_denied_and_its_senders_make_it_known_again() {
    for (restarts, losses, time) in BOUNDS {
        let model = RunningCallsModel { restarts, losses, time, fault: RunningCallsFault::None };
        assert_holds(model, &model.search(LIMIT));
    }
}

#[test]
fn each_seeded_fault_is_found() {
    let faults = [
        RunningCallsFault::DeniedAtOnce,
        RunningCallsFault::NothingHandedBack,
        RunningCallsFault::ForgottenWithConnection,
        RunningCallsFault::HandedBackOnce,
        RunningCallsFault::AnyInstance,
    ];
    for fault in faults {
        let model = RunningCallsModel { restarts: 2, losses: 1, time: 6, fault };
        assert_found(fault, &model.search(LIMIT));
    }
}
