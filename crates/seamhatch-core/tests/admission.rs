//! Decisions of the admission queue of one server, one step at a time.

use seamhatch_core::Instant;
use seamhatch_core::admission::{
    Admission, AdmissionPolicy, AdmissionQueue, AdmissionRequest, BackEndCalls, BackEndLoad, CallKind,
    Dequeued, Ticket,
};
use seamhatch_core::clock::{MILLISECOND, SECOND};
use seamhatch_core::outcome::Reason;
use seamhatch_core::priority::{AdmissionFloor, Priority, PriorityClass};
use std::ops::Range;

const NOW: Instant = Instant(10 * SECOND);

fn policy() -> AdmissionPolicy {
    AdmissionPolicy { slots: 2, queue_per_slot: 2, initial_slots: 2 }
}

fn request(ticket: u64, class: PriorityClass, root_admitted: Instant) -> AdmissionRequest {
    let priority = Priority { class, bucket: 5 };
    let expiry = NOW.plus(60 * SECOND);
    AdmissionRequest {
        ticket: Ticket(ticket),
        priority,
        root_admitted,
        expiry,
        objective_end: Instant::NEVER,
        kind: CallKind::default(),
        continues_chain: false,
    }
}

/// A queue whose two slots are in use and whose four places hold calls of `class`.
fn full_of(class: PriorityClass) -> AdmissionQueue {
    let mut queue = AdmissionQueue::new(policy());
    for ticket in 0..6 {
        queue.offer(request(ticket, class, NOW.minus(ticket * MILLISECOND)), NOW);
    }
    assert_eq!((queue.running(), queue.waiting()), (2, 4));
    queue
}

#[test]
fn more_important_work_takes_the_place_of_the_least_important() {
    let mut queue = full_of(PriorityClass::Bulk);
    let admission = queue.offer(request(10, PriorityClass::Critical, NOW), NOW);
    // Among equally important calls, the one with the youngest root request is evicted.
    assert_eq!(admission, Admission::Wait { evicted: Some(Ticket(2)) });
    queue.finish(Ticket(0), NOW, true);
    assert_eq!(queue.next(NOW), Some(Dequeued::Run(Ticket(10))));
}

#[test]
fn equal_or_less_important_work_is_refused_when_full() {
    let mut queue = full_of(PriorityClass::Normal);
    let same = queue.offer(request(10, PriorityClass::Normal, NOW), NOW);
    let less = queue.offer(request(11, PriorityClass::Background, NOW), NOW);
    assert_eq!((same, less), (Admission::Refuse(Reason::QueueFull), Admission::Refuse(Reason::QueueFull)));
}

#[test]
fn the_oldest_request_of_a_class_runs_first() {
    let mut queue = full_of(PriorityClass::Normal);
    queue.finish(Ticket(0), NOW, true);
    assert_eq!(queue.next(NOW), Some(Dequeued::Run(Ticket(5))));
    assert_eq!(queue.next(NOW), None);
}

#[test]
fn calls_that_cannot_meet_their_deadline_are_refused_at_once() {
    let mut queue = full_of(PriorityClass::Normal);
    let mut late = request(10, PriorityClass::Critical, NOW);
    late.expiry = NOW;
    assert_eq!(queue.offer(late, NOW), Admission::Refuse(Reason::DeadlineExceeded));
    let mut tight = request(11, PriorityClass::Background, NOW);
    tight.expiry = NOW.plus(MILLISECOND);
    assert_eq!(queue.offer(tight, NOW), Admission::Refuse(Reason::DeadlineExceeded));
}

#[test]
fn a_cancelled_call_leaves_the_queue() {
    let mut queue = full_of(PriorityClass::Normal);
    assert!(queue.cancel(Ticket(5)) && !queue.cancel(Ticket(5)) && !queue.cancel(Ticket(0)));
    assert_eq!(queue.waiting(), 3);
}

#[test]
fn a_cold_server_grows_to_its_slots_and_not_beyond() {
    let mut queue = AdmissionQueue::new(AdmissionPolicy::for_slots(8));
    assert_eq!(queue.limit(), 2);
    for ticket in 0..200 {
        queue.offer(request(ticket, PriorityClass::Normal, NOW), NOW);
        queue.finish(Ticket(ticket), NOW.plus(5 * MILLISECOND), true);
    }
    assert_eq!(queue.limit(), 8);
}

/// Four times as many calls arrive as are served; a tenth of them is critical.
#[test]
fn the_floor_settles_above_critical_work_that_fits() {
    let mut queue = AdmissionQueue::new(AdmissionPolicy { slots: 4, queue_per_slot: 4, initial_slots: 1 });
    let mut now = NOW;
    let mut ticket = 0;
    let mut running = std::collections::VecDeque::new();
    let mut lowest = AdmissionFloor::OPEN;
    for _tick in 0..200 {
        // In each tick, 40 calls arrive and 10 are served.
        for arrival in 0..40 {
            ticket += 1;
            let class = PriorityClass::ALL[if arrival % 10 == 0 { 0 } else { 1 + arrival % 3 }];
            let priority = Priority { class, bucket: (ticket * 37 % 128) as u8 };
            if queue.floor().admits(priority) {
                let offered = AdmissionRequest { priority, ..request(ticket, class, now) };
                if queue.offer(offered, now) == Admission::Run {
                    running.push_back(Ticket(ticket));
                }
            } else {
                assert!(class != PriorityClass::Critical, "critical work is below {:?}", queue.floor());
            }
            now = now.plus(2_500);
            if arrival % 4 == 3 {
                running.pop_front().into_iter().for_each(|done| queue.finish(done, now, true));
                while let Some(Dequeued::Run(next)) = queue.next(now) {
                    running.push_back(next);
                }
            }
        }
        queue.tick();
        lowest = lowest.min(queue.floor());
    }
    assert!(lowest.level < 256, "the floor never fell below normal work: {lowest:?}");
}

#[test]
fn calls_that_cannot_meet_their_objective_are_refused_or_expire() {
    let mut queue = full_of(PriorityClass::Normal);
    let mut urgent = request(20, PriorityClass::Critical, NOW);
    urgent.objective_end = NOW;
    assert_eq!(queue.offer(urgent, NOW), Admission::Refuse(Reason::DeadlineExceeded));
    urgent.objective_end = NOW.plus(20 * MILLISECOND);
    assert!(matches!(queue.offer(urgent, NOW), Admission::Wait { .. }));
    assert_eq!(queue.next(NOW.plus(21 * MILLISECOND)), Some(Dequeued::Expired(Ticket(20))));
}

/// A call that arrives while the only slot is in use.
struct WaitCase {
    name: &'static str,
    /// Service times of earlier calls of its kind, repeated in this order.
    service_times_ms: &'static [u64],
    /// Time from its arrival to the end of its objective.
    objective_ms: u64,
    /// Bounds of its waiting time; `None` if it is refused on arrival.
    waits_ms: Option<Range<u64>>,
}

/// Calls of another kind, which always take 100 ms, must not affect the decision.
#[test]
fn a_call_waits_while_it_can_usually_still_meet_its_objective() {
    let cases = [
        WaitCase { name: "quick", service_times_ms: &[20], objective_ms: 400, waits_ms: Some(380..381) },
        WaitCase { name: "slow", service_times_ms: &[150], objective_ms: 400, waits_ms: Some(250..251) },
        WaitCase {
            name: "one in five far slower",
            service_times_ms: &[20, 20, 900, 20, 20],
            objective_ms: 400,
            waits_ms: Some(375..381),
        },
        WaitCase {
            name: "slower than its objective",
            service_times_ms: &[450],
            objective_ms: 400,
            waits_ms: None,
        },
        WaitCase {
            name: "without an objective",
            service_times_ms: &[450],
            objective_ms: 59_000,
            waits_ms: Some(58_550..58_551),
        },
    ];
    for case in cases {
        let mut queue =
            AdmissionQueue::new(AdmissionPolicy { slots: 1, queue_per_slot: 4, initial_slots: 1 });
        for ticket in 0..200 {
            let (kind, service_time_ms) = match ticket % 2 {
                0 => (CallKind(1), case.service_times_ms[ticket as usize / 2 % case.service_times_ms.len()]),
                _ => (CallKind(2), 100),
            };
            queue.offer(AdmissionRequest { kind, ..request(ticket, PriorityClass::Normal, NOW) }, NOW);
            queue.finish(Ticket(ticket), NOW.plus(service_time_ms * MILLISECOND), true);
        }
        queue.offer(request(200, PriorityClass::Normal, NOW), NOW);
        let objective_end = NOW.plus(case.objective_ms * MILLISECOND);
        let asked =
            AdmissionRequest { kind: CallKind(1), objective_end, ..request(201, PriorityClass::Normal, NOW) };
        let admission = queue.offer(asked, NOW);
        let Some(waits_ms) = case.waits_ms else {
            assert_eq!(admission, Admission::Refuse(Reason::DeadlineExceeded), "{}", case.name);
            continue;
        };
        assert_eq!(admission, Admission::Wait { evicted: None }, "{}", case.name);
        let waited = queue.latest_start(&asked).since(NOW) / MILLISECOND;
        assert!(waits_ms.contains(&waited), "{}: waits {waited} ms", case.name);
        let end = queue.latest_start(&asked);
        assert_eq!(queue.next(end.minus(MILLISECOND)), None, "{}", case.name);
        assert_eq!(queue.next(end), Some(Dequeued::Expired(Ticket(201))), "{}", case.name);
    }
}

/// Calls that wait at a server of ten slots, whose calls now take 100 ms each.
struct SheddingCase {
    name: &'static str,
    /// Class of each call, in order, and the time left until its latest start; `None` for a call without an objective,
    /// as part of a request in progress.
    waiting: &'static [(PriorityClass, Option<u64>)],
    /// Indices of the calls that are shed.
    late: &'static [u64],
}

/// With ten slots a slot becomes free every 10 ms; a class with a share of a fifth gets one every 50 ms.
#[test]
fn waiting_calls_that_cannot_start_in_time_are_shed() {
    use PriorityClass::{Bulk, Critical};
    const SERVICE_TIME: u64 = 100 * MILLISECOND;
    let cases = [
        SheddingCase {
            name: "in time",
            waiting: &[(Critical, Some(60)), (Critical, Some(60)), (Critical, Some(60))],
            late: &[],
        },
        SheddingCase {
            name: "the third has little time left",
            waiting: &[
                (Critical, Some(60)),
                (Critical, Some(60)),
                (Critical, Some(25)),
                (Critical, Some(60)),
            ],
            late: &[2],
        },
        SheddingCase {
            name: "shed calls do not delay others",
            waiting: &[(Critical, Some(5)), (Critical, Some(5)), (Critical, Some(15)), (Critical, Some(25))],
            late: &[0, 1],
        },
        SheddingCase {
            name: "a request in progress, with 5 ms left",
            waiting: &[(Critical, Some(60)), (Critical, None), (Critical, Some(25))],
            late: &[2],
        },
        SheddingCase {
            name: "behind many calls, but in time on their own share",
            waiting: &[
                (Critical, Some(200)),
                (Critical, Some(200)),
                (Critical, Some(200)),
                (Critical, Some(200)),
                (Critical, Some(200)),
                (Critical, Some(200)),
                (Bulk, Some(60)),
                (Bulk, Some(60)),
            ],
            late: &[7],
        },
    ];
    for case in cases {
        let mut queue =
            AdmissionQueue::new(AdmissionPolicy { slots: 10, queue_per_slot: 4, initial_slots: 10 });
        // Bulk calls have used all slots for a long time, so that their class is not below its share.
        for ticket in 100..110 {
            queue.offer(request(ticket, Bulk, NOW), NOW);
        }
        let now = NOW.plus(10 * SECOND);
        for (ticket, (class, left_ms)) in (0..).zip(case.waiting) {
            let mut asked = request(ticket, *class, now);
            asked.priority.bucket = ticket as u8;
            match left_ms {
                Some(left_ms) => asked.objective_end = now.plus(SERVICE_TIME + left_ms * MILLISECOND),
                None => asked.expiry = now.plus(SERVICE_TIME / 2 + 5 * MILLISECOND),
            }
            assert_eq!(queue.offer(asked, now), Admission::Wait { evicted: None }, "{}", case.name);
        }
        queue.finish(Ticket(100), NOW.plus(SERVICE_TIME), true);
        let late: Vec<u64> = queue.shed_late_calls(now).into_iter().map(|ticket| ticket.0).collect();
        assert_eq!(late, case.late, "{}", case.name);
        assert_eq!(queue.waiting(), case.waiting.len() - late.len(), "{}", case.name);
    }
}

#[test]
fn a_new_instance_brings_its_own_slots_and_a_closed_queue_is_empty() {
    let mut queue = full_of(PriorityClass::Normal);
    queue.set_slots(5, 5);
    assert_eq!(queue.limit(), 5);
    let mut waiting = queue.close();
    waiting.sort();
    assert_eq!(waiting, [Ticket(2), Ticket(3), Ticket(4), Ticket(5)]);
    assert_eq!((queue.running(), queue.waiting()), (2, 0));
}

/// The most ticks a floor may take from its lowest level to open, at a server with this many of 8 slots in use.
struct RecoveryCase {
    running: u64,
    most_ticks: u32,
}

/// Guards against a server that has recovered from an overload and is idle, while its floor still has calls refused.
#[test]
fn the_floor_opens_sooner_the_more_slots_are_free() {
    let cases = [
        RecoveryCase { running: 0, most_ticks: 18 },
        RecoveryCase { running: 4, most_ticks: 32 },
        RecoveryCase { running: 8, most_ticks: 16 },
    ];
    for case in cases {
        let policy = AdmissionPolicy { slots: 8, queue_per_slot: 2, initial_slots: 8 };
        let mut queue = AdmissionQueue::new(policy);
        let admissions: Vec<Admission> =
            (0..24).map(|ticket| queue.offer(request(ticket, PriorityClass::Bulk, NOW), NOW)).collect();
        assert!(
            admissions.iter().filter(|admission| matches!(admission, Admission::Wait { .. })).count() > 8
        );
        queue.tick();
        assert!(queue.floor().level < 300, "{:?}", queue.floor());
        queue.close();
        (case.running..8).for_each(|ticket| queue.finish(Ticket(ticket), NOW, true));
        let mut ticks = 0;
        while !queue.floor().is_open() {
            queue.tick();
            ticks += 1;
        }
        assert!(ticks <= case.most_ticks, "{} running: {ticks} ticks", case.running);
    }
}

/// Ticks that a floor takes from the end of the critical class to the start of the bulk class, by the classes in use.
struct UnusedCase {
    name: &'static str,
    classes: &'static [PriorityClass],
    ticks: std::ops::RangeInclusive<u32>,
}

/// Guards against a server that stays half idle while the floor rises through a class without calls, which admits no
/// additional calls; without the rule that lasted two seconds after a surge.
#[test]
fn the_floor_skips_classes_that_nobody_uses() {
    use PriorityClass::{Bulk, Critical, Normal};
    let cases = [
        UnusedCase { name: "normal work is unused", classes: &[Critical, Bulk], ticks: 0..=1 },
        UnusedCase { name: "all are used", classes: &[Critical, Normal, Bulk], ticks: 4..=8 },
    ];
    for case in cases {
        let policy = AdmissionPolicy { slots: 8, queue_per_slot: 2, initial_slots: 8 };
        let mut queue = AdmissionQueue::new(policy);
        for ticket in 0..60 {
            let class = case.classes[ticket as usize % case.classes.len()];
            queue.offer(request(ticket, class, NOW), NOW);
        }
        queue.tick();
        assert!(queue.floor().level <= 128, "{}: {:?}", case.name, queue.floor());
        queue.close();
        (0..60).for_each(|ticket| queue.finish(Ticket(ticket), NOW, true));
        let mut ticks = 0u32;
        while queue.floor().level < 256 {
            ticks += u32::from(queue.floor().level >= 128);
            queue.tick();
        }
        assert!(case.ticks.contains(&ticks), "{}: {ticks} ticks", case.name);
    }
}

/// Calls that arrive at a queue of 16 places with all 8 slots in use, before the first tick.
struct FallCase {
    name: &'static str,
    calls: &'static [(PriorityClass, u64)],
    /// Whether the floor drops into the critical class.
    sheds_critical: bool,
}

/// Guards against a floor that sheds critical calls after a burst of them that fits into the queue. The queue serves
/// these in time by displacing less important calls.
#[test]
fn the_floor_falls_into_an_important_class_when_calls_of_it_were_refused() {
    use PriorityClass::{Bulk, Critical};
    let cases = [
        FallCase {
            name: "critical calls have places",
            calls: &[(Bulk, 30), (Critical, 10)],
            sheds_critical: false,
        },
        FallCase { name: "one too many", calls: &[(Bulk, 30), (Critical, 14)], sheds_critical: false },
        FallCase {
            name: "critical calls are refused",
            calls: &[(Bulk, 30), (Critical, 30)],
            sheds_critical: true,
        },
        FallCase { name: "nothing less important is used", calls: &[(Critical, 20)], sheds_critical: true },
    ];
    for case in cases {
        let policy = AdmissionPolicy { slots: 8, queue_per_slot: 2, initial_slots: 8 };
        let mut queue = AdmissionQueue::new(policy);
        let mut ticket = 0;
        for (class, count) in case.calls {
            for _ in 0..*count {
                ticket += 1;
                queue.offer(request(ticket, *class, NOW), NOW);
            }
        }
        queue.tick();
        let level = queue.floor().level;
        assert!(!queue.floor().is_open(), "{}: level {level}", case.name);
        assert_eq!(level < 128, case.sheds_critical, "{}: level {level}", case.name);
    }
}

/// Effect of a tick on a floor within the critical class, by the calls that wait.
struct KeptCase {
    name: &'static str,
    /// Class and number of the waiting calls.
    waiting: (PriorityClass, u64),
    rises: bool,
    /// Whether the number of kept buckets of the class shrinks.
    shrinks: bool,
}

/// Guards against a floor that stays low because of waiting kept calls: they are admitted at any level, so a lower
/// level does not shed them. If more of them wait than their class has places, the kept buckets shrink instead. Of 16
/// places, a class with a share of a fifth owns 3.
#[test]
fn kept_calls_that_wait_do_not_hold_the_floor_down() {
    use PriorityClass::{Bulk, Critical, Normal};
    let cases = [
        KeptCase { name: "many kept calls", waiting: (Bulk, 12), rises: true, shrinks: true },
        KeptCase { name: "a few kept calls", waiting: (Normal, 3), rises: true, shrinks: false },
        KeptCase { name: "calls below the level", waiting: (Critical, 12), rises: false, shrinks: false },
    ];
    for case in cases {
        let policy = AdmissionPolicy { slots: 8, queue_per_slot: 2, initial_slots: 8 };
        let mut queue = AdmissionQueue::new(policy);
        for ticket in 0..60 {
            queue.offer(request(ticket, Critical, NOW), NOW);
        }
        queue.tick();
        queue.close();
        let before = queue.floor();
        assert!(before.level <= 128, "{}: {before:?}", case.name);
        let (class, count) = case.waiting;
        for ticket in 100..100 + count {
            let offered =
                AdmissionRequest { priority: Priority { class, bucket: 0 }, ..request(ticket, class, NOW) };
            assert_eq!(queue.offer(offered, NOW), Admission::Wait { evicted: None }, "{}", case.name);
        }
        queue.tick();
        let after = queue.floor();
        assert_eq!(after.level > before.level, case.rises, "{}: {before:?} to {after:?}", case.name);
        let kept = |floor: AdmissionFloor| floor.kept[class.rank()];
        assert_eq!(kept(after) < kept(before), case.shrinks, "{}: {before:?} to {after:?}", case.name);
    }
}

/// Bulk calls with tight objectives wait in vain behind more important ones, while the queue stays short.
#[test]
fn the_floor_falls_when_calls_can_not_be_served_in_time_however_short_the_queue_is() {
    let policy = AdmissionPolicy { slots: 4, queue_per_slot: 64, initial_slots: 4 };
    let mut queue = AdmissionQueue::new(policy);
    let mut now = NOW;
    let mut running = std::collections::VecDeque::new();
    for ticket in 0..800 {
        let class = PriorityClass::ALL[ticket as usize % 3];
        let mut offered = request(ticket, class, now);
        offered.priority.bucket = (ticket * 37 % 128) as u8;
        offered.objective_end = now.plus(40 * MILLISECOND);
        if queue.offer(offered, now) == Admission::Run {
            running.push_back(Ticket(ticket));
        }
        now = now.plus(2_500);
        // Every second call is served, each for 20 ms.
        if ticket % 2 == 0 {
            running.pop_front().into_iter().for_each(|done| queue.finish(done, now, true));
        }
        while let Some(dequeued) = queue.next(now) {
            if let Dequeued::Run(next) = dequeued {
                running.push_back(next);
            }
        }
        if ticket % 40 == 39 {
            queue.tick();
        }
        assert!(queue.waiting() < 100, "the queue is long: {}", queue.waiting());
    }
    let floor = queue.floor();
    assert!(floor.level <= 256 && floor.level > 128, "{floor:?}");
}

/// Eight calls that hold all eight slots, the load that the back end reports, and the number of slots freed by it.
struct LostCase {
    name: &'static str,
    age: u64,
    running: u32,
    waiting: u32,
    reports: usize,
    free: usize,
}

/// Guards against slots that stay in use by calls whose answers were lost without an error. If such calls kept their
/// slots until their callers gave up, they would take all slots of the gate; a tenth of the requests was refused that
/// way.
#[test]
fn calls_whose_answers_are_lost_hold_no_slot() {
    const LONG: u64 = 100 * MILLISECOND;
    let cases = [
        LostCase { name: "it works on one", age: LONG, running: 1, waiting: 0, reports: 20, free: 6 },
        LostCase { name: "it works on none", age: LONG, running: 0, waiting: 0, reports: 20, free: 7 },
        LostCase { name: "some wait there", age: LONG, running: 2, waiting: 3, reports: 20, free: 2 },
        LostCase { name: "it works on all", age: LONG, running: 8, waiting: 0, reports: 20, free: 0 },
        LostCase {
            name: "they are young",
            age: 2 * MILLISECOND,
            running: 0,
            waiting: 0,
            reports: 20,
            free: 0,
        },
        LostCase { name: "one report is chance", age: LONG, running: 0, waiting: 0, reports: 3, free: 0 },
    ];
    for case in cases {
        let mut queue =
            AdmissionQueue::new(AdmissionPolicy { slots: 8, queue_per_slot: 4, initial_slots: 8 });
        for ticket in 0..8 {
            queue.offer(request(ticket, PriorityClass::Normal, NOW), NOW);
        }
        let now = NOW.plus(case.age);
        let calls = BackEndCalls { running: case.running, waiting: case.waiting };
        let load = BackEndLoad { calls: Some(calls), time_percent: None };
        (0..case.reports).for_each(|_| queue.note_back_end_load(load, now));
        assert_eq!(8 - queue.running(), case.free, "{}", case.name);
        let offered = (10..10 + case.free as u64).map(|ticket| request(ticket, PriorityClass::Normal, now));
        let runs = offered.filter(|offered| queue.offer(*offered, now) == Admission::Run).count();
        assert_eq!(runs, case.free, "{}", case.name);
        // The late ends of these calls must not free their slots a second time.
        (0..20).for_each(|ticket| queue.finish(Ticket(ticket), now, false));
        assert_eq!((queue.running(), queue.lost()), (0, 0), "{}", case.name);
    }
}

/// A queue with `slots` slots whose back end has left `unanswered` calls in a row unanswered, and has none now.
fn after_unanswered_calls(slots: u32, unanswered: u64) -> AdmissionQueue {
    let policy = AdmissionPolicy { slots, queue_per_slot: 2, initial_slots: slots };
    let mut queue = AdmissionQueue::new(policy);
    for ticket in 0..unanswered {
        assert_eq!(queue.offer(request(ticket, PriorityClass::Normal, NOW), NOW), Admission::Run);
        queue.note_unanswered();
        queue.finish(Ticket(ticket), NOW, false);
    }
    queue
}

/// Offers calls each 100 ms for 2 s, none of which ends. Returns how many start.
fn starts_in_two_seconds(queue: &mut AdmissionQueue) -> usize {
    let mut started = 0;
    for number in 0..20 {
        let now = NOW.plus((number + 1) * 100 * MILLISECOND);
        let offered = queue.offer(request(100 + number, PriorityClass::Normal, now), now);
        started += usize::from(offered == Admission::Run);
        started +=
            std::iter::from_fn(|| queue.next(now)).filter(|next| matches!(next, Dequeued::Run(_))).count();
    }
    started
}

/// Guards against filling all slots of a back end that hangs, again and again, with calls that it never answers.
#[test]
fn a_back_end_that_answers_nothing_gets_single_calls_until_it_answers() {
    struct SilenceCase {
        name: &'static str,
        unanswered: u64,
        answers_then: bool,
        starts: usize,
    }
    let cases = [
        SilenceCase { name: "sound", unanswered: 0, answers_then: false, starts: 16 },
        SilenceCase { name: "two lost answers", unanswered: 2, answers_then: false, starts: 16 },
        SilenceCase { name: "silent", unanswered: 3, answers_then: false, starts: 4 },
        SilenceCase { name: "long silent", unanswered: 40, answers_then: false, starts: 4 },
        SilenceCase { name: "answers again", unanswered: 40, answers_then: true, starts: 16 },
    ];
    for case in cases {
        let mut queue = after_unanswered_calls(16, case.unanswered.min(3));
        (3..case.unanswered).for_each(|_| queue.note_unanswered());
        if case.answers_then {
            queue.note_answer();
        }
        let limit = if case.starts == 16 { 16 } else { 1 };
        assert_eq!(queue.reported_limit(), limit, "{}", case.name);
        assert_eq!(starts_in_two_seconds(&mut queue), case.starts, "{}", case.name);
    }
}

/// Guards against calls that wait for a back end that hangs until their time has run out, though their callers could go elsewhere.
#[test]
fn calls_for_a_silent_back_end_wait_only_if_their_turn_comes_in_time() {
    let mut queue = after_unanswered_calls(16, 3);
    let hurried = |ticket, span| {
        let expiry = NOW.plus(span);
        AdmissionRequest { expiry, objective_end: expiry, ..request(ticket, PriorityClass::Normal, NOW) }
    };
    assert_eq!(queue.offer(hurried(10, 400 * MILLISECOND), NOW), Admission::Refuse(Reason::DeadlineExceeded));
    assert_eq!(queue.offer(hurried(11, 800 * MILLISECOND), NOW), Admission::Wait { evicted: None });
    assert_eq!(queue.offer(hurried(12, 800 * MILLISECOND), NOW), Admission::Refuse(Reason::DeadlineExceeded));
    assert_eq!(queue.offer(hurried(13, 2 * SECOND), NOW), Admission::Wait { evicted: None });
}

/// Guards against a new instance that is held back because the one before it hung.
#[test]
fn another_instance_of_the_back_end_is_not_silent() {
    let mut queue = after_unanswered_calls(16, 3);
    assert!(queue.is_silent());
    queue.set_slots(16, 16);
    assert!(!queue.is_silent());
}
