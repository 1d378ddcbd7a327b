//! Whether a daemon knows that its configuration is old.

use seamhatch_core::Instant;
use seamhatch_core::clock::SECOND;
use seamhatch_core::generation::Generation;
use seamhatchd::control::ControlHandle;

struct BehindCase {
    name: &'static str,
    in_force: u64,
    told: u64,
    after: u64,
    behind: bool,
}

#[test]
fn a_daemon_is_behind_what_was_told_lately() {
    let cases = [
        BehindCase { name: "the same", in_force: 5, told: 5, after: SECOND, behind: false },
        BehindCase { name: "an older one", in_force: 5, told: 4, after: SECOND, behind: false },
        BehindCase { name: "a newer one", in_force: 5, told: 6, after: SECOND, behind: true },
        BehindCase {
            name: "one that nobody gives",
            in_force: 5,
            told: u64::MAX,
            after: 10 * SECOND,
            behind: false,
        },
    ];
    for case in cases {
        let (control, _events) = ControlHandle::new();
        let now = Instant(100 * SECOND);
        control.set_generation(Generation(case.in_force));
        control.record_generation(Generation(case.told), now);
        // Told again, it is not newer.
        control.record_generation(Generation(case.told), now.plus(case.after));
        assert_eq!(control.is_behind(now.plus(case.after)), case.behind, "{}", case.name);
    }
}
