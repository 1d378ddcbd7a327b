//! Where a suspect runs, when it is not sent again, and which requests become suspects of a crash.

use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, SECOND};
use seamhatch_core::crashes::{
    CrashedRuns, InstanceDigest, RunEnd, RunMode, RunTable, Suspect, forbids_resend, runs_isolated,
    server_for_suspect,
};
use seamhatch_core::identity::{Incarnation, RequestDigest};
use seamhatch_core::instance::InstanceId;
use seamhatch_core::outcome::Reason;

const NOW: Instant = Instant(100 * SECOND);
const DAEMON: Incarnation = Incarnation(1);

fn request(number: u64) -> RequestDigest {
    RequestDigest(number)
}

#[test]
fn suspects_of_several_crashes_run_isolated_and_are_not_sent_again() {
    let cases = [(0, false), (1, false), (2, true), (9, true)];
    for (crashes, is_strict) in cases {
        assert_eq!(runs_isolated(crashes), is_strict, "{crashes} crashes");
        assert_eq!(forbids_resend(Reason::BackendCrashed, crashes), is_strict, "{crashes} crashes");
        assert!(!forbids_resend(Reason::BackendFailed, crashes), "{crashes} crashes, but this was none");
    }
}

#[test]
fn all_daemons_choose_the_same_server_for_a_suspect() {
    let servers = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"];
    let key = |server: &&str| server.as_bytes().to_vec();
    for number in 0..20 {
        let chosen = server_for_suspect(request(number), servers.iter(), key).copied();
        let reversed = server_for_suspect(request(number), servers.iter().rev(), key).copied();
        assert!(chosen.is_some() && chosen == reversed, "{number}");
        // The choice stays if another server is removed.
        let left = servers.iter().filter(|server| Some(**server) == chosen || **server == servers[0]);
        assert_eq!(server_for_suspect(request(number), left, key).copied(), chosen, "{number}");
    }
    assert_eq!(server_for_suspect(request(1), servers[..0].iter(), key), None);
}

#[test]
fn each_request_that_ran_on_the_instance_is_a_suspect_once() {
    let mut table = RunTable::default();
    let (first, second) = (InstanceId::named("a"), InstanceId::named("b"));
    let (_, instance) = table.begin(DAEMON, Some(&first), request(1), RunMode::Usual);
    table.begin(DAEMON, Some(&first), request(1), RunMode::Isolated);
    table.begin(DAEMON, Some(&second), request(2), RunMode::Usual);
    let (done, _) = table.begin(DAEMON, Some(&first), request(3), RunMode::Usual);
    table.finish(done, RunEnd::NotRun, NOW);
    assert!(!table.has_ended(instance));
    let suspects = vec![Suspect { request: request(1), mode: RunMode::Isolated }];
    assert_eq!(table.end(instance, false, NOW), CrashedRuns { calls: 2, suspects });
    assert!(table.has_ended(instance) && !table.has_ended(InstanceDigest::of_instance(&second)));
}

#[test]
fn an_unnamed_back_end_is_another_instance_after_each_crash() {
    let mut table = RunTable::default();
    let (_, before) = table.begin(DAEMON, None, request(1), RunMode::Usual);
    table.end(before, true, NOW);
    let (_, after) = table.begin(DAEMON, None, request(1), RunMode::Usual);
    assert_ne!(before, after);
    assert!(!table.has_ended(after));
}

/// Guards against a back end that is down and is reported as crashed again by each call that does not reach
/// it.
#[test]
fn an_unnamed_back_end_that_is_down_has_crashed_once() {
    let mut table = RunTable::default();
    let (_, instance) = table.begin(DAEMON, None, request(1), RunMode::Usual);
    assert_eq!(table.end(instance, true, NOW).suspects.len(), 1);
    let (first, down) = table.begin(DAEMON, None, request(2), RunMode::Usual);
    table.finish(first, RunEnd::NotRun, NOW);
    for _ in 0..3 {
        assert_eq!(table.end(down, true, NOW), CrashedRuns::default());
    }
    let (_, back) = table.begin(DAEMON, None, request(3), RunMode::Usual);
    assert_eq!(back, down);
    assert!(!table.has_ended(back));
}

/// A finished run, and how long after its end the instance was found to be gone.
struct FinishedCase {
    name: &'static str,
    end: RunEnd,
    ended_before: u64,
    /// Time from the end of the run to the last answer of the instance; `None` if there was none.
    answered_after: Option<u64>,
    /// Another call was still running on the instance.
    others_run: bool,
    is_suspect: bool,
}

/// Guards against a server that crashes with the last byte of an answer, or after the caller has
/// disconnected: a later call that does not reach it discovers the crash, and the finished run must still
/// become a suspect.
#[test]
fn a_run_that_finished_shortly_before_its_instance_ended_is_a_suspect() {
    use RunEnd::{Answered, BrokenOff, NotRun};
    let cases = [
        FinishedCase {
            name: "its answer was the last one",
            end: Answered,
            ended_before: SECOND,
            answered_after: None,
            others_run: false,
            is_suspect: true,
        },
        FinishedCase {
            name: "among the last answers",
            end: Answered,
            ended_before: SECOND,
            answered_after: Some(50 * MILLISECOND),
            others_run: false,
            is_suspect: true,
        },
        FinishedCase {
            name: "the instance answered others long after",
            end: Answered,
            ended_before: SECOND,
            answered_after: Some(200 * MILLISECOND),
            others_run: false,
            is_suspect: false,
        },
        FinishedCase {
            name: "its caller had disconnected",
            end: BrokenOff,
            ended_before: 2 * SECOND,
            answered_after: Some(SECOND),
            others_run: false,
            is_suspect: true,
        },
        FinishedCase {
            name: "answered long before, and others ran",
            end: Answered,
            ended_before: SECOND,
            answered_after: None,
            others_run: true,
            is_suspect: false,
        },
        FinishedCase {
            name: "answered just before, and others ran",
            end: Answered,
            ended_before: 50 * MILLISECOND,
            answered_after: None,
            others_run: true,
            is_suspect: true,
        },
        FinishedCase {
            name: "long before",
            end: BrokenOff,
            ended_before: 4 * SECOND,
            answered_after: None,
            others_run: false,
            is_suspect: false,
        },
        FinishedCase {
            name: "it never ran",
            end: NotRun,
            ended_before: 0,
            answered_after: None,
            others_run: false,
            is_suspect: false,
        },
    ];
    for case in cases {
        let mut table = RunTable::default();
        let instance = InstanceId::named("a");
        let (number, digest) = table.begin(DAEMON, Some(&instance), request(1), RunMode::Usual);
        let ended = NOW.minus(case.ended_before);
        table.finish(number, case.end, ended);
        if let Some(after) = case.answered_after {
            let (other, _) = table.begin(DAEMON, Some(&instance), request(2), RunMode::Usual);
            table.finish(other, Answered, ended.plus(after));
        }
        if case.others_run {
            table.begin(DAEMON, Some(&instance), request(3), RunMode::Usual);
        }
        let crashed = table.end(digest, false, NOW);
        let is_suspect = crashed.suspects.iter().any(|suspect| suspect.request == request(1));
        assert_eq!(is_suspect, case.is_suspect, "{}", case.name);
    }
}

/// A call whose connection broke, and how long before another instance took over.
struct BrokenCase {
    name: &'static str,
    broke_before: u64,
    still_waits: bool,
    is_suspect: bool,
}

/// A daemon that is frozen while its back end crashes learns of the crash from the next instance.
#[test]
fn a_call_that_broke_recently_is_a_suspect_once_its_instance_is_replaced() {
    let cases = [
        BrokenCase { name: "just before", broke_before: MILLISECOND, still_waits: false, is_suspect: true },
        BrokenCase {
            name: "three seconds before",
            broke_before: 3 * SECOND,
            still_waits: false,
            is_suspect: true,
        },
        BrokenCase { name: "long before", broke_before: 4 * SECOND, still_waits: false, is_suspect: false },
        BrokenCase { name: "it still waits", broke_before: 4 * SECOND, still_waits: true, is_suspect: true },
    ];
    for case in cases {
        let mut table = RunTable::default();
        let instance = InstanceId::named("a");
        let (number, _) = table.begin(DAEMON, Some(&instance), request(1), RunMode::Usual);
        if !case.still_waits {
            table.finish(number, RunEnd::BrokenOff, NOW.minus(case.broke_before));
        }
        let work = table.replace(&instance, NOW);
        assert_eq!(!work.suspects.is_empty(), case.is_suspect, "{}", case.name);
        assert_eq!(table.replace(&instance, NOW), CrashedRuns::default(), "{}: known", case.name);
    }
}
