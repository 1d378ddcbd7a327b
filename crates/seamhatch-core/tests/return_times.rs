//! Return times of refused callers.

use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::return_time::{after_overload, after_queue, at_limit, jittered};

/// Overload at the entry, and the return time that the caller gets.
struct OverloadCase {
    name: &'static str,
    closed_for: Microseconds,
    answer_time: Microseconds,
    objective: Microseconds,
    expected: Microseconds,
}

#[test]
fn an_overload_is_expected_to_last_as_long_again_unless_the_answer_would_be_late() {
    let cases = [
        OverloadCase {
            name: "just now",
            closed_for: 0,
            answer_time: 100 * MILLISECOND,
            objective: 60 * SECOND,
            expected: 200 * MILLISECOND,
        },
        OverloadCase {
            name: "for a while",
            closed_for: 600 * MILLISECOND,
            answer_time: 100 * MILLISECOND,
            objective: 60 * SECOND,
            expected: 600 * MILLISECOND,
        },
        OverloadCase {
            name: "for long",
            closed_for: 9 * SECOND,
            answer_time: 100 * MILLISECOND,
            objective: 60 * SECOND,
            expected: 2 * SECOND,
        },
        OverloadCase {
            name: "no objective",
            closed_for: 600 * MILLISECOND,
            answer_time: 0,
            objective: Microseconds::MAX,
            expected: 600 * MILLISECOND,
        },
        OverloadCase {
            name: "sooner, so that the answer is on time even with the longest jitter",
            closed_for: 600 * MILLISECOND,
            answer_time: 100 * MILLISECOND,
            objective: 700 * MILLISECOND,
            expected: 400 * MILLISECOND,
        },
        OverloadCase {
            name: "just on time at the shortest return time",
            closed_for: 600 * MILLISECOND,
            answer_time: 100 * MILLISECOND,
            objective: 400 * MILLISECOND,
            expected: 200 * MILLISECOND,
        },
        OverloadCase {
            name: "late whenever it returns",
            closed_for: 600 * MILLISECOND,
            answer_time: 100 * MILLISECOND,
            objective: 399 * MILLISECOND,
            expected: 600 * MILLISECOND,
        },
        OverloadCase {
            name: "answers take longer than the objective",
            closed_for: 300 * MILLISECOND,
            answer_time: SECOND,
            objective: 400 * MILLISECOND,
            expected: 300 * MILLISECOND,
        },
    ];
    for case in cases {
        let span = after_overload(case.closed_for, case.answer_time, case.objective);
        assert_eq!(span, case.expected, "{}", case.name);
    }
}

#[test]
fn a_gate_sends_its_drain_time_within_bounds() {
    let cases = [(0, 100), (99, 100), (250, 250), (10_000, 10_000), (60_000, 10_000)];
    for (wait, span) in cases {
        assert_eq!(after_queue(wait * MILLISECOND), span * MILLISECOND, "{wait} ms");
    }
}

#[test]
fn a_tenant_at_its_limit_returns_when_there_is_room() {
    let cases = [(None, 200), (Some(50), 200), (Some(200), 200), (Some(480), 480)];
    for (next_ask_in, span) in cases {
        assert_eq!(
            at_limit(next_ask_in.map(|span| span * MILLISECOND)),
            span * MILLISECOND,
            "{next_ask_in:?}"
        );
    }
}

#[test]
fn jitter_adds_at_most_half() {
    let cases = [(0.0, 400), (0.5, 500), (1.0, 600)];
    for (random, span) in cases {
        assert_eq!(jittered(400 * MILLISECOND, random), span * MILLISECOND, "{random}");
    }
}
