//! Stops: whatever is read is answered or named, and each seeded fault is found.

mod common;

use common::{assert_found, assert_holds};
use seamhatch_model::stops::{StopsFault, StopsModel};

const LIMIT: usize = 2_000_000;

/// Bounds within which the property holds: requests of callers, calls, and whether the time may be up early.
const BOUNDS: [(usize, usize, bool); 3] = [(3, 3, false), (3, 2, true), (2, 3, true)];

#[test]
fn whatever_a_stopping_daemon_reads_is_answered_or_named() {
    for (callers, calls, time_runs_out) in BOUNDS {
        let model = StopsModel { callers, calls, time_runs_out, fault: StopsFault::None };
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
        let model = StopsModel { callers: 1, calls: 1, time_runs_out, fault };
        assert_found(fault, &model.search(LIMIT));
    }
}
