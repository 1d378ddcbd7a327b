//! When heartbeats are due on a connection between daemons.

use seamhatch_core::Instant;
use seamhatch_core::balance::silent_at;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::heartbeat::{
    BUSY_INTERVAL, CALLING_INTERVAL, HeartbeatSchedule, IDLE_INTERVAL, LinkActivity, LinkEnd, next_instant,
};

/// What happened on a connection, and whether a heartbeat is due then.
struct Look {
    at: Microseconds,
    is_busy: bool,
    has_sent: bool,
    is_due: bool,
}

fn look(at: Microseconds, activity: (bool, bool), is_due: bool) -> Look {
    Look { at, is_busy: activity.0, has_sent: activity.1, is_due }
}

const IDLE: (bool, bool) = (false, false);
const WAITS: (bool, bool) = (true, false);
const ANSWERS: (bool, bool) = (true, true);

struct HeartbeatCase {
    name: &'static str,
    end: LinkEnd,
    /// When the connection began, in milliseconds.
    began: Microseconds,
    looks: Vec<Look>,
}

#[test]
fn heartbeats_are_sent_where_nothing_else_shows_that_the_daemon_is_there() {
    let cases = [
        HeartbeatCase {
            name: "the called side without calls",
            end: LinkEnd::Called,
            began: 50,
            looks: vec![
                look(200, IDLE, false),
                look(400, IDLE, true),
                look(600, IDLE, false),
                look(800, IDLE, true),
            ],
        },
        HeartbeatCase {
            name: "the called side with calls that take long",
            end: LinkEnd::Called,
            began: 50,
            looks: vec![look(200, WAITS, true), look(400, WAITS, true), look(600, WAITS, true)],
        },
        HeartbeatCase {
            name: "answers replace those of the busy interval, not the others, which carry proof and clock",
            end: LinkEnd::Called,
            began: 50,
            looks: vec![
                look(200, ANSWERS, false),
                look(400, ANSWERS, true),
                look(600, ANSWERS, false),
                look(800, ANSWERS, true),
                look(1000, WAITS, true),
            ],
        },
        HeartbeatCase {
            name: "a look that is late doesn't lose the heartbeat of an instant that it missed",
            end: LinkEnd::Called,
            began: 50,
            looks: vec![
                look(200, ANSWERS, false),
                look(403, ANSWERS, true),
                look(1410, IDLE, true),
                look(1600, IDLE, true),
            ],
        },
        HeartbeatCase {
            name: "the called side just after a look",
            end: LinkEnd::Called,
            began: 400,
            looks: vec![look(401, WAITS, false), look(600, WAITS, true), look(601, WAITS, false)],
        },
        HeartbeatCase {
            name: "the calling side",
            end: LinkEnd::Calling,
            began: 50,
            looks: vec![
                look(400, IDLE, false),
                look(800, WAITS, false),
                look(1200, ANSWERS, true),
                look(2390, IDLE, false),
                look(2400, IDLE, true),
            ],
        },
        HeartbeatCase {
            name: "the calling side after its process was frozen",
            end: LinkEnd::Calling,
            began: 50,
            looks: vec![look(9000, IDLE, true), look(9599, IDLE, false), look(9600, IDLE, true)],
        },
    ];
    for case in cases {
        let mut schedule = HeartbeatSchedule::new(case.end, case.began * MILLISECOND);
        for Look { at, is_busy, has_sent, is_due } in case.looks {
            let due = schedule.is_due(at * MILLISECOND, LinkActivity { is_busy, has_sent });
            assert_eq!(due, is_due, "{}, at {at} ms", case.name);
        }
    }
}

/// With a timer of its own for each connection, a daemon with 70 connections woke up 350 times in a second.
#[test]
fn all_connections_of_a_daemon_look_at_the_same_instants() {
    for began in (0..2 * CALLING_INTERVAL).step_by(7_919) {
        let called = HeartbeatSchedule::new(LinkEnd::Called, began);
        let calling = HeartbeatSchedule::new(LinkEnd::Calling, began);
        assert_eq!(called.next_check() % BUSY_INTERVAL, 0, "began at {began}");
        assert_eq!(calling.next_check() % CALLING_INTERVAL, 0, "began at {began}");
        assert!(
            called.next_check() - began <= BUSY_INTERVAL && called.next_check() > began,
            "began at {began}"
        );
        assert!(
            calling.next_check() - began <= CALLING_INTERVAL && calling.next_check() > began,
            "began at {began}"
        );
    }
    assert_eq!(CALLING_INTERVAL % IDLE_INTERVAL, 0);
    assert_eq!(next_instant(400, 400), 800);
}

/// Whenever the called side answers, it must not be taken for silent while its looks come up to 300 ms late.
#[test]
fn a_called_side_that_answers_is_never_taken_for_silent() {
    let patience = silent_at(Instant(0)).0;
    for sent_at in (0..BUSY_INTERVAL).step_by(10_007) {
        let mut schedule = HeartbeatSchedule::new(LinkEnd::Called, 0);
        let mut last_sent = sent_at;
        for step in 1..20 {
            let now = step * BUSY_INTERVAL;
            // One answer, right after the first instant, and none afterwards.
            let has_sent = step == 1;
            if schedule.is_due(now, LinkActivity { is_busy: true, has_sent }) {
                assert!(
                    now - last_sent + 300 * MILLISECOND < patience,
                    "answered at {sent_at}, then at {now}"
                );
                last_sent = now;
            }
        }
        assert_eq!(last_sent, 19 * BUSY_INTERVAL);
    }
}
