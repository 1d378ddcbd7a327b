//! When refused callers are told to return.

use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::return_time::{after_overload, after_queue, at_limit, jittered};

/// An overload at the entry, and what the caller is told.
struct OverloadCase {
    name: &'static str,
    closed_for: Microseconds,
    usual_answer: Microseconds,
    objective: Microseconds,
    told: Microseconds,
}

#[test]
fn an_overload_is_taken_to_last_as_long_again_unless_the_answer_would_come_late() {
    let cases = [
        OverloadCase {
            name: "just now",
            closed_for: 0,
            usual_answer: 100 * MILLISECOND,
            objective: 60 * SECOND,
            told: 200 * MILLISECOND,
        },
        OverloadCase {
            name: "for a while",
            closed_for: 600 * MILLISECOND,
            usual_answer: 100 * MILLISECOND,
            objective: 60 * SECOND,
            told: 600 * MILLISECOND,
        },
        OverloadCase {
            name: "for long",
            closed_for: 9 * SECOND,
            usual_answer: 100 * MILLISECOND,
            objective: 60 * SECOND,
            told: 2 * SECOND,
        },
        OverloadCase {
            name: "no objective",
            closed_for: 600 * MILLISECOND,
            usual_answer: 0,
            objective: Microseconds::MAX,
            told: 600 * MILLISECOND,
        },
        OverloadCase {
            name: "sooner, so that the answer is early even with the longest jitter",
            closed_for: 600 * MILLISECOND,
            usual_answer: 100 * MILLISECOND,
            objective: 700 * MILLISECOND,
            told: 400 * MILLISECOND,
        },
        OverloadCase {
            name: "at the shortest return time just early",
            closed_for: 600 * MILLISECOND,
            usual_answer: 100 * MILLISECOND,
            objective: 400 * MILLISECOND,
            told: 200 * MILLISECOND,
        },
        OverloadCase {
            name: "late whenever it returns",
            closed_for: 600 * MILLISECOND,
            usual_answer: 100 * MILLISECOND,
            objective: 399 * MILLISECOND,
            told: 600 * MILLISECOND,
        },
        OverloadCase {
            name: "answers take longer than the objective",
            closed_for: 300 * MILLISECOND,
            usual_answer: SECOND,
            objective: 400 * MILLISECOND,
            told: 300 * MILLISECOND,
        },
    ];
    for case in cases {
        let told = after_overload(case.closed_for, case.usual_answer, case.objective);
        assert_eq!(told, case.told, "{}", case.name);
    }
}

#[test]
fn a_gate_tells_its_drain_time_within_bounds() {
    let cases = [(0, 100), (99, 100), (250, 250), (10_000, 10_000), (60_000, 10_000)];
    for (wait, told) in cases {
        assert_eq!(after_queue(wait * MILLISECOND), told * MILLISECOND, "{wait} ms");
    }
}

#[test]
fn a_tenant_at_its_limit_returns_when_there_is_room() {
    let cases = [(None, 200), (Some(50), 200), (Some(200), 200), (Some(480), 480)];
    for (room_in, told) in cases {
        assert_eq!(at_limit(room_in.map(|span| span * MILLISECOND)), told * MILLISECOND, "{room_in:?}");
    }
}

#[test]
fn jitter_adds_at_most_half() {
    let cases = [(0.0, 400), (0.5, 500), (1.0, 600)];
    for (random, told) in cases {
        assert_eq!(jittered(400 * MILLISECOND, random), told * MILLISECOND, "{random}");
    }
}
