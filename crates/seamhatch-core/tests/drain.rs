//! What a daemon still accepts while it stops.

use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::drain::{BackEndState, CallIntake, StopState};
use seamhatch_core::intake::{IntakeClosed, IntakeGate, IntakePhase};
use std::time::Duration;

const NOW: Instant = Instant(100 * SECOND);

/// Not draining, with a grace period of ten seconds.
const SERVING: StopState =
    StopState { phase: IntakePhase::Open, draining_for: None, grace: Some(Duration::from_secs(10)) };

const OPEN: BackEndState = BackEndState { open: true, reports_departure: true };

fn draining(span: Microseconds) -> StopState {
    StopState { draining_for: Some(span), ..SERVING }
}

/// Draining for a second, with the intake in this phase.
fn in_phase(phase: IntakePhase) -> StopState {
    StopState { phase, ..draining(SECOND) }
}

/// A state, and which calls the server gets in it.
struct IntakeCase {
    name: &'static str,
    ready: bool,
    state: StopState,
    back_end: BackEndState,
    intake: CallIntake,
}

#[test]
fn a_drain_is_a_preference_until_the_process_is_about_to_end() {
    let left = |left| CallIntake::FallbackOnly { left };
    let case = |name, state, intake| IntakeCase { name, ready: true, state, back_end: OPEN, intake };
    let cases = [
        case("serves", SERVING, CallIntake::Open),
        case("begins to drain", draining(0), left(9500 * MILLISECOND)),
        case("drains", draining(4 * SECOND), left(5500 * MILLISECOND)),
        case("has no time left", draining(9500 * MILLISECOND), CallIntake::Closed),
        case("has exceeded its grace period", draining(60 * SECOND), CallIntake::Closed),
        case("is closed to callers", in_phase(IntakePhase::CallsOnly), CallIntake::Closed),
        case("is closed", in_phase(IntakePhase::Closed), CallIntake::Closed),
        case(
            "has an unbounded grace period",
            StopState { grace: None, ..draining(SECOND) },
            CallIntake::Closed,
        ),
        IntakeCase { ready: false, ..case("not ready", SERVING, CallIntake::Closed) },
        IntakeCase {
            back_end: BackEndState { open: false, ..OPEN },
            ..case("its back end is closed", SERVING, CallIntake::Closed)
        },
        IntakeCase {
            back_end: BackEndState { reports_departure: false, ..OPEN },
            ..case("its back end stops with it", draining(SECOND), CallIntake::Closed)
        },
        IntakeCase {
            back_end: BackEndState { reports_departure: false, ..OPEN },
            ..case("its back end will stop with it", SERVING, CallIntake::Open)
        },
    ];
    for case in cases {
        assert_eq!(case.state.intake(case.ready, case.back_end), case.intake, "{}", case.name);
    }
}

/// A state, and what is accepted in it: callers, a call with a deadline in a second, one with a deadline in a minute.
struct FinishCase {
    name: &'static str,
    state: StopState,
    callers: bool,
    short_call: bool,
    long_call: bool,
}

/// Work that is accepted late must be able to end before the process does.
#[test]
fn late_calls_and_callers_are_accepted_only_if_they_can_end_in_time() {
    let cases = [
        FinishCase { name: "serves", state: SERVING, callers: true, short_call: true, long_call: true },
        FinishCase {
            name: "drains",
            state: draining(4 * SECOND),
            callers: true,
            short_call: true,
            long_call: true,
        },
        FinishCase {
            name: "at the last moment for callers",
            state: draining(4500 * MILLISECOND),
            callers: true,
            short_call: true,
            long_call: true,
        },
        FinishCase {
            name: "too late for callers",
            state: draining(4501 * MILLISECOND),
            callers: false,
            short_call: true,
            long_call: false,
        },
        FinishCase {
            name: "at the last moment for a short call",
            state: draining(8500 * MILLISECOND),
            callers: false,
            short_call: true,
            long_call: false,
        },
        FinishCase {
            name: "too late for a short call",
            state: draining(8501 * MILLISECOND),
            callers: false,
            short_call: false,
            long_call: false,
        },
        FinishCase {
            name: "is closed to callers, the calls have been accepted",
            state: in_phase(IntakePhase::CallsOnly),
            callers: false,
            short_call: true,
            long_call: true,
        },
        FinishCase {
            name: "is closed",
            state: in_phase(IntakePhase::Closed),
            callers: false,
            short_call: false,
            long_call: false,
        },
        FinishCase {
            name: "has an unbounded grace period",
            state: StopState { grace: None, ..draining(60 * SECOND) },
            callers: true,
            short_call: true,
            long_call: true,
        },
    ];
    for case in cases {
        assert_eq!(!case.state.refuses_callers(), case.callers, "{}: callers", case.name);
        let accepted =
            [SECOND, 60 * SECOND].map(|lifetime| case.state.can_finish(NOW.plus(lifetime), None, NOW));
        assert_eq!(accepted, [case.short_call, case.long_call], "{}", case.name);
    }
}

/// Time left and usual duration of a kind of calls, in milliseconds; whether a call from another daemon and one made
/// by a request that runs here are accepted.
struct LateCase {
    left_ms: u64,
    usual_ms: Option<u64>,
    from_peer: bool,
    from_here: bool,
}

/// Calls that were accepted in the last moments, whatever their duration, were cut off by the end of the process.
#[test]
fn late_calls_are_accepted_if_their_kind_usually_ends_in_time() {
    let cases = [
        LateCase { left_ms: 1_000, usual_ms: None, from_peer: false, from_here: true },
        LateCase { left_ms: 1_000, usual_ms: Some(500), from_peer: true, from_here: true },
        LateCase { left_ms: 1_000, usual_ms: Some(501), from_peer: false, from_here: true },
        LateCase { left_ms: 400, usual_ms: Some(399), from_peer: false, from_here: true },
        LateCase { left_ms: 400, usual_ms: Some(400), from_peer: false, from_here: false },
        LateCase { left_ms: 0, usual_ms: None, from_peer: false, from_here: false },
    ];
    for LateCase { left_ms, usual_ms, from_peer, from_here } in cases {
        let state = draining(9_500 * MILLISECOND - left_ms * MILLISECOND);
        let usual = usual_ms.map(|span| span * MILLISECOND);
        let far = NOW.plus(60 * SECOND);
        let taken = (state.can_finish(far, usual, NOW), state.admits_call(usual));
        assert_eq!(taken, (from_peer, from_here), "{left_ms} ms left, usually {usual_ms:?}");
    }
}

/// Forwarded work ends before the process does, with an answer from its server. Without a drain, or with an unbounded
/// one, its deadline stays.
#[test]
fn work_forwarded_during_a_drain_is_due_before_the_process_ends() {
    let far = NOW.plus(60 * SECOND);
    let unbounded = StopState { grace: None, ..draining(SECOND) };
    let cases = [
        (SERVING, far, far),
        (unbounded, far, far),
        (draining(4 * SECOND), far, NOW.plus(5_500 * MILLISECOND)),
        (draining(4 * SECOND), NOW.plus(SECOND), NOW.plus(SECOND)),
        (draining(60 * SECOND), far, NOW),
    ];
    for (state, expiry, due) in cases {
        assert_eq!(state.cap_expiry(expiry, NOW), due, "{state:?}");
    }
}

/// A request that is neither counted before the intake closes nor refused after it would be passed on and cut off.
#[test]
fn the_intake_closes_when_idle_or_by_force() {
    let mut gate = IntakeGate::default();
    assert_eq!(gate.take(), Ok(()));
    gate.close_to_callers();
    assert_eq!((gate.phase(), gate.take()), (IntakePhase::CallsOnly, Ok(())));
    gate.end();
    assert!(!gate.close_if_idle());
    assert_eq!((gate.phase(), gate.in_progress()), (IntakePhase::CallsOnly, 1));
    gate.end();
    assert!(gate.close_if_idle());
    assert_eq!((gate.take(), gate.in_progress()), (Err(IntakeClosed), 0));
    gate.close_to_callers();
    assert_eq!(gate.phase(), IntakePhase::Closed, "a closed intake does not reopen");

    let mut gate = IntakeGate::default();
    assert_eq!(gate.take(), Ok(()));
    gate.close();
    assert_eq!((gate.take(), gate.in_progress()), (Err(IntakeClosed), 1));
}
