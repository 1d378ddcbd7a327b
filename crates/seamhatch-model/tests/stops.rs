//! Stops: whatever is read is answered or named, and each seeded fault is found.

mod common;

use common::{assert_found, assert_holds};
use seamhatch_model::stops::{StopsFault, StopsModel};

const LIMIT: usize = 2_000_000;

/// Bounds within which the property holds: requests of callers, calls, requests on one connection, and whether the time may be up early.
const BOUNDS: [(usize, usize, usize, bool); 6] =
    [(3, 3, 0, false), (3, 2, 0, true), (2, 3, 0, true), (0, 0, 5, true), (1, 0, 4, true), (0, 1, 4, true)];

#[test]
fn whatever_a_stopping_daemon_reads_is_answered_or_named() {
    for (callers, calls, pipelined, time_runs_out) in BOUNDS {
        let model = StopsModel { callers, calls, pipelined, time_runs_out, fault: StopsFault::None };
        assert_holds(model, &model.search(LIMIT));
    }
}

#[test]
fn each_seeded_fault_is_found() {
    let cases = [
        (StopsFault::EndsAfterALook, false),
        (StopsFault::CountedUntilHanded, false),
        (StopsFault::EndsUnnamed, true),
        (StopsFault::LeavesUnwritten, false),
        (StopsFault::ForgetsTheParent, false),
    ];
    for (fault, time_runs_out) in cases {
        let model = StopsModel { callers: 1, calls: 1, pipelined: 0, time_runs_out, fault };
        assert_found(fault, &model.search(LIMIT));
    }
}

#[test]
fn each_seeded_fault_of_requests_sent_ahead_is_found() {
    let faults = [StopsFault::ClosesBeforeAll, StopsFault::StartsUncounted, StopsFault::StartsWhatRunsOnce];
    for fault in faults {
        let model = StopsModel { callers: 0, calls: 0, pipelined: 3, time_runs_out: false, fault };
        assert_found(fault, &model.search(LIMIT));
    }
}
