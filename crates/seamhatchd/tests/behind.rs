//! Whether a daemon knows that its configuration is out of date.

use seamhatch_core::Instant;
use seamhatch_core::clock::SECOND;
use seamhatch_core::generation::Generation;
use seamhatchd::control::{ControlHandle, ReportSource};

struct BehindCase {
    name: &'static str,
    in_force: u64,
    reported: u64,
    elapsed: u64,
    behind: bool,
}

#[test]
fn a_daemon_is_behind_a_newer_generation_that_was_reported_recently() {
    let cases = [
        BehindCase {
            name: "the generation in force",
            in_force: 5,
            reported: 5,
            elapsed: SECOND,
            behind: false,
        },
        BehindCase { name: "an older generation", in_force: 5, reported: 4, elapsed: SECOND, behind: false },
        BehindCase { name: "a newer generation", in_force: 5, reported: 6, elapsed: SECOND, behind: true },
        BehindCase {
            name: "a newer generation that was not received within 10 s",
            in_force: 5,
            reported: u64::MAX,
            elapsed: 10 * SECOND,
            behind: false,
        },
    ];
    for case in cases {
        let (control, _events) = ControlHandle::new();
        let now = Instant(100 * SECOND);
        control.set_generation(Generation(case.in_force));
        control.record_generation(Generation(case.reported), ReportSource::Call, now);
        // A repeated report must not restart the period in which the daemon counts as behind.
        control.record_generation(Generation(case.reported), ReportSource::Call, now.plus(case.elapsed));
        assert_eq!(control.is_behind(now.plus(case.elapsed)), case.behind, "{}", case.name);
    }
}
