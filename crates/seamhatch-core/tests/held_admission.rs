//! Admission at a back end that announces a rate: the order of the calls, and which estimates are kept.

use seamhatch_core::Instant;
use seamhatch_core::admission::{
    Admission, AdmissionPolicy, AdmissionQueue, AdmissionRequest, CallKind, Dequeued, Ticket,
};
use seamhatch_core::balance::{Candidate, CandidateStatus, KnownPace, NextTurn, SenderRoundRobin, pick};
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::identity::Address;
use seamhatch_core::outcome::Reason;
use seamhatch_core::priority::{Priority, PriorityClass};
use seamhatch_core::rate::RequestRate;

const NOW: Instant = Instant(100 * SECOND);
const TICK: Microseconds = 100 * MILLISECOND;
const SLOTS: u32 = 40;
const SERVICE_TIME: Microseconds = 100 * MILLISECOND;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).expect("valid rate")
}

fn request(ticket: u64, class: PriorityClass, now: Instant, objective: Microseconds) -> AdmissionRequest {
    AdmissionRequest {
        ticket: Ticket(ticket),
        priority: Priority { class, bucket: 5 },
        root_admitted: now,
        expiry: now.plus(60 * SECOND),
        objective_end: now.plus(objective),
        kind: CallKind::default(),
        continues_chain: false,
    }
}

/// A queue that has served calls of [`SERVICE_TIME`], so that its limit has grown.
fn warm() -> AdmissionQueue {
    let policy = AdmissionPolicy { slots: SLOTS, queue_per_slot: 4, initial_slots: SLOTS };
    let mut queue = AdmissionQueue::new(policy);
    for ticket in 1_000..1_100 {
        let began = NOW.minus(SERVICE_TIME);
        assert_eq!(
            queue.offer(request(ticket, PriorityClass::Normal, began, 10 * SECOND), began),
            Admission::Run
        );
        queue.finish(Ticket(ticket), NOW, true);
    }
    queue
}

#[test]
fn turns_follow_importance_and_not_arrival() {
    let mut queue = warm();
    queue.set_rate_limit(rate(10.0), NOW);
    let arriving = [
        (1, PriorityClass::Bulk),
        (2, PriorityClass::Bulk),
        (3, PriorityClass::Normal),
        (4, PriorityClass::Critical),
    ];
    let first = queue.offer(request(1, arriving[0].1, NOW, 10 * SECOND), NOW);
    assert_eq!(first, Admission::Run);
    for (ticket, class) in &arriving[1..] {
        let admission = queue.offer(request(*ticket, *class, NOW, 10 * SECOND), NOW);
        assert_eq!(admission, Admission::Wait { evicted: None });
    }
    assert_eq!(queue.next(NOW), None);
    assert_eq!(queue.next_turn(NOW), Some(NOW.plus(TICK)));
    let mut ran = Vec::new();
    for turn in 1..4 {
        let now = NOW.plus(turn * TICK);
        while let Some(Dequeued::Run(Ticket(ticket))) = queue.next(now) {
            ran.push(ticket);
        }
    }
    // The class below its share goes first, then the most important one.
    assert_eq!(ran, [3, 4, 2]);
}

struct WaitCase {
    name: &'static str,
    waiting: u64,
    objective: Microseconds,
    admission: Admission,
}

#[test]
fn a_call_that_cannot_start_in_time_is_refused_at_once() {
    let cases = [
        WaitCase {
            name: "in time",
            waiting: 1,
            objective: SECOND,
            admission: Admission::Wait { evicted: None },
        },
        WaitCase {
            name: "too late",
            waiting: 3,
            objective: 450 * MILLISECOND,
            admission: Admission::Refuse(Reason::BackendRate),
        },
        WaitCase {
            name: "no place to wait",
            waiting: 4,
            objective: 50 * SECOND,
            admission: Admission::Refuse(Reason::BackendRate),
        },
    ];
    for WaitCase { name, waiting, objective, admission } in cases {
        let mut queue = warm();
        queue.set_rate_limit(rate(10.0), NOW);
        for ticket in 0..=waiting {
            queue.offer(request(ticket, PriorityClass::Normal, NOW, 60 * SECOND), NOW);
        }
        assert_eq!(queue.waiting() as u64, waiting, "{name}");
        assert_eq!(queue.offer(request(9, PriorityClass::Normal, NOW, objective), NOW), admission, "{name}");
        assert!(queue.retry_after(NOW) >= (waiting + 1) * TICK, "{name}");
    }
}

/// Guards against a rate-limited server that is reported with all of its slots, and against estimates from the time of
/// the limit that leave it with only a few slots afterwards.
#[test]
fn a_rate_limited_server_reports_usable_slots_and_its_estimates_are_discarded() {
    let mut queue = warm();
    let (usual_limit, worthwhile_slots) = (queue.limit(), queue.worthwhile_slots());
    assert_eq!(queue.reported_limit(), usual_limit);
    queue.set_rate_limit(rate(10.0), NOW);
    assert_eq!(queue.reported_limit(), 1);
    // While the limit lasts, calls take thirty times as long.
    let mut now = NOW;
    for ticket in 0..200 {
        now = now.plus(TICK);
        assert_eq!(
            queue.offer(request(ticket, PriorityClass::Normal, now, 60 * SECOND), now),
            Admission::Run
        );
        queue.finish(Ticket(ticket), now.plus(30 * SERVICE_TIME), true);
    }
    queue.end_rate_limit(now);
    assert_eq!((queue.limit(), queue.worthwhile_slots()), (usual_limit, worthwhile_slots));
    let late = request(999, PriorityClass::Normal, now, SERVICE_TIME + MILLISECOND);
    assert!(queue.latest_start(&late) >= now, "its service time is the usual one again");
}

/// Guards against all waiting calls reaching a server at the moment when it stops announcing a rate.
#[test]
fn the_rate_rises_step_by_step_after_its_end_and_then_is_gone() {
    let mut queue = warm();
    queue.set_rate_limit(rate(2.0), NOW);
    queue.end_rate_limit(NOW);
    let mut before = queue.rate().expect("rises").as_per_second();
    assert!(before <= 0.05 * f64::from(SLOTS) * 10.0, "{before} at once");
    let mut ticks = 0;
    while let Some(rate) = queue.rate() {
        assert!(rate.as_per_second() <= 1.1 * before, "{rate:?} after {before}");
        before = rate.as_per_second();
        ticks += 1;
        queue.ramp_up_rate(NOW.plus(ticks * TICK));
    }
    assert!((20..100).contains(&ticks), "back after {ticks} ticks");
    let lifted_again = queue.rate();
    queue.end_rate_limit(NOW);
    assert_eq!((lifted_again, queue.rate()), (None, None));
}

/// Guards against a slow server that attracts calls because its rate would allow them, although all its slots are in
/// use.
#[test]
fn the_turn_at_a_server_without_a_free_slot_waits_for_one() {
    let mut queue = warm();
    queue.set_rate_limit(rate(1_000.0), NOW);
    let mut now = NOW;
    for ticket in 0..u64::from(SLOTS) {
        now = now.plus(MILLISECOND);
        assert_eq!(queue.turn_in(now), Some(0));
        assert_eq!(queue.offer(request(ticket, PriorityClass::Normal, now, SECOND), now), Admission::Run);
    }
    let one_slot = SERVICE_TIME / u64::from(SLOTS);
    assert_eq!(queue.turn_in(now.plus(SECOND)), Some(one_slot));
}

/// Guards against a turn that is returned twice: once by the cancelled call, and once by the failed attempt to send it.
#[test]
fn a_call_that_was_never_sent_gives_its_turn_back_once() {
    let mut queue = warm();
    queue.set_rate_limit(rate(1.0), NOW);
    assert_eq!(queue.offer(request(1, PriorityClass::Normal, NOW, 10 * SECOND), NOW), Admission::Run);
    queue.offer(request(2, PriorityClass::Normal, NOW, 10 * SECOND), NOW);
    assert_eq!(queue.next(NOW), None);
    queue.withdraw(Ticket(1), NOW);
    queue.withdraw(Ticket(1), NOW);
    assert_eq!(queue.next(NOW), Some(Dequeued::Run(Ticket(2))));
    queue.offer(request(3, PriorityClass::Normal, NOW, 10 * SECOND), NOW);
    assert_eq!(queue.next(NOW), None);
}

fn sender(number: u8) -> Address {
    format!("10.0.0.{number}:7000").parse().expect("valid")
}

#[test]
fn senders_have_their_turns_one_after_the_other() {
    let mut round = SenderRoundRobin::default();
    for number in 1..=4 {
        round.record_call(sender(number), NOW.plus(u64::from(number)));
    }
    let now = NOW.plus(MILLISECOND);
    let turns = [1, 2, 3, 4].map(|number| round.report(sender(number), rate(10.0), 0, now));
    assert_eq!(turns.map(|turn| turn.turn_in / TICK), [0, 1, 2, 3]);
    assert!(turns.iter().all(|turn| turn.round == 4 * TICK));
    // A sender that is new or has been away gets the first turn.
    assert_eq!(round.report(sender(9), rate(10.0), 0, now).turn_in, 0);
    let later = NOW.plus(10 * SECOND);
    assert_eq!(round.report(sender(4), rate(10.0), 0, later).turn_in, 0);
    let mut next = NextTurn::from_report(turns[1], now);
    assert_eq!(next.wait(now), TICK);
    next.note_sent(now.plus(TICK));
    assert_eq!(next.wait(now.plus(TICK)), 4 * TICK);
}

fn candidate(load: u32, turn_in: Option<Microseconds>) -> Candidate {
    Candidate {
        same_zone: true,
        slots: 20,
        in_flight: 0,
        reported_load: load,
        success: 1.0,
        turn_in,
        pace: KnownPace::NotReported,
        status: CandidateStatus::Available,
    }
}

/// Guards against a rate-limited server that attracts all calls because none runs there, against unused turns of such a
/// server, and against a server whose rate is far above its share getting more calls than the others.
#[test]
fn a_rate_limited_server_is_chosen_by_its_turns_and_not_by_its_load() {
    let busy = candidate(12, None);
    // Its load, the time until its turn, and the index of the chosen server.
    let cases =
        [(0, 0, 0), (0, 10 * MILLISECOND, 0), (0, 200 * MILLISECOND, 1), (0, 5 * SECOND, 1), (15, 0, 1)];
    for (load, turn_in, chosen) in cases {
        let candidates = [candidate(load, Some(turn_in)), busy];
        assert_eq!(pick(&candidates, |_| 0), Some(chosen), "load {load}, its turn comes in {turn_in} us");
    }
}
