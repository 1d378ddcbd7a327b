//! When heartbeats are due on a connection between daemons.

use seamhatch_core::Instant;
use seamhatch_core::balance::silent_at;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::heartbeat::{
    BUSY_INTERVAL, CALLING_INTERVAL, HeartbeatSchedule, IDLE_INTERVAL, LinkActivity, LinkEnd, next_instant,
};

/// Activity on a connection since the last check, and whether a heartbeat is due.
struct Check {
    at: Microseconds,
    is_busy: bool,
    has_sent: bool,
    is_due: bool,
}

fn check(at: Microseconds, activity: (bool, bool), is_due: bool) -> Check {
    Check { at, is_busy: activity.0, has_sent: activity.1, is_due }
}

const IDLE: (bool, bool) = (false, false);
const BUSY: (bool, bool) = (true, false);
const ANSWERING: (bool, bool) = (true, true);

struct HeartbeatCase {
    name: &'static str,
    end: LinkEnd,
    /// When the connection was opened, in milliseconds.
    opened: Microseconds,
    checks: Vec<Check>,
}

#[test]
fn heartbeats_are_sent_if_nothing_else_shows_that_the_daemon_is_alive() {
    let cases = [
        HeartbeatCase {
            name: "the called side without calls",
            end: LinkEnd::Called,
            opened: 50,
            checks: vec![
                check(200, IDLE, false),
                check(400, IDLE, true),
                check(600, IDLE, false),
                check(800, IDLE, true),
            ],
        },
        HeartbeatCase {
            name: "the called side with calls that take long",
            end: LinkEnd::Called,
            opened: 50,
            checks: vec![check(200, BUSY, true), check(400, BUSY, true), check(600, BUSY, true)],
        },
        HeartbeatCase {
            name: "answers replace heartbeats of the busy interval only; the others carry proof and clock",
            end: LinkEnd::Called,
            opened: 50,
            checks: vec![
                check(200, ANSWERING, false),
                check(400, ANSWERING, true),
                check(600, ANSWERING, false),
                check(800, ANSWERING, true),
                check(1000, BUSY, true),
            ],
        },
        HeartbeatCase {
            name: "a late check makes up for the instants that it missed",
            end: LinkEnd::Called,
            opened: 50,
            checks: vec![
                check(200, ANSWERING, false),
                check(403, ANSWERING, true),
                check(1410, IDLE, true),
                check(1600, IDLE, true),
            ],
        },
        HeartbeatCase {
            name: "the called side just after a check",
            end: LinkEnd::Called,
            opened: 400,
            checks: vec![check(401, BUSY, false), check(600, BUSY, true), check(601, BUSY, false)],
        },
        HeartbeatCase {
            name: "the calling side",
            end: LinkEnd::Calling,
            opened: 50,
            checks: vec![
                check(400, IDLE, false),
                check(800, BUSY, false),
                check(1200, ANSWERING, true),
                check(2390, IDLE, false),
                check(2400, IDLE, true),
            ],
        },
        HeartbeatCase {
            name: "the calling side after its process was frozen",
            end: LinkEnd::Calling,
            opened: 50,
            checks: vec![check(9000, IDLE, true), check(9599, IDLE, false), check(9600, IDLE, true)],
        },
    ];
    for case in cases {
        let mut schedule = HeartbeatSchedule::new(case.end, case.opened * MILLISECOND);
        for Check { at, is_busy, has_sent, is_due } in case.checks {
            let due = schedule.is_due(at * MILLISECOND, LinkActivity { is_busy, has_sent });
            assert_eq!(due, is_due, "{}, at {at} ms", case.name);
        }
    }
}

/// All connections of a daemon share their heartbeat instants: with a timer for each connection, a daemon with 70
/// connections woke up 350 times a second.
#[test]
fn all_connections_of_a_daemon_are_checked_at_the_same_instants() {
    for opened in (0..2 * CALLING_INTERVAL).step_by(7_919) {
        let called = HeartbeatSchedule::new(LinkEnd::Called, opened);
        let calling = HeartbeatSchedule::new(LinkEnd::Calling, opened);
        assert_eq!(called.next_check() % BUSY_INTERVAL, 0, "opened at {opened}");
        assert_eq!(calling.next_check() % CALLING_INTERVAL, 0, "opened at {opened}");
        assert!(
            called.next_check() - opened <= BUSY_INTERVAL && called.next_check() > opened,
            "opened at {opened}"
        );
        assert!(
            calling.next_check() - opened <= CALLING_INTERVAL && calling.next_check() > opened,
            "opened at {opened}"
        );
    }
    assert_eq!(CALLING_INTERVAL % IDLE_INTERVAL, 0);
    assert_eq!(next_instant(400, 400), 800);
}

/// A called side that answers must not count as silent while its checks come up to 300 ms late.
#[test]
fn a_called_side_that_answers_never_counts_as_silent() {
    let silence_timeout = silent_at(Instant(0)).0;
    for sent_at in (0..BUSY_INTERVAL).step_by(10_007) {
        let mut schedule = HeartbeatSchedule::new(LinkEnd::Called, 0);
        let mut last_sent = sent_at;
        for step in 1..20 {
            let now = step * BUSY_INTERVAL;
            // One answer right after the first instant, and none afterwards.
            let has_sent = step == 1;
            if schedule.is_due(now, LinkActivity { is_busy: true, has_sent }) {
                assert!(
                    now - last_sent + 300 * MILLISECOND < silence_timeout,
                    "answered at {sent_at}, then at {now}"
                );
                last_sent = now;
            }
        }
        assert_eq!(last_sent, 19 * BUSY_INTERVAL);
    }
}
