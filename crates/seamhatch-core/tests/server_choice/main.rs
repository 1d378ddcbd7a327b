//! Server choice by expected completion time: validity of reports, the chosen server, and the gain in simulated loads.

mod simulation;

use seamhatch_core::Instant;
use seamhatch_core::balance::{
    Candidate, CandidateStatus, KnownPace, PaceTracker, ServerPace, parse_time_percent, pick,
};
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use simulation::{Load, Outcome, PercentReport, Server, run};

const NOW: Instant = Instant(100 * SECOND);

/// Guards against a header field that is taken for a percentage although it is not one.
#[test]
fn a_percentage_is_a_whole_number_from_1_to_10000() {
    let cases = [
        ("100", Some(100)),
        (" 250 ", Some(250)),
        ("1", Some(1)),
        ("10000", Some(10_000)),
        ("10001", None),
        ("99999999999", None),
        ("0", None),
        ("", None),
        ("+100", None),
        ("-1", None),
        ("1e2", None),
        ("100.5", None),
        ("fast", None),
    ];
    for (text, expected) in cases {
        assert_eq!(parse_time_percent(text), expected, "{text:?}");
    }
}

/// A report, its age at the time of the choice, and the pace derived from it.
struct ReportCase {
    name: &'static str,
    report: Option<ServerPace>,
    since: Microseconds,
    known: KnownPace,
}

/// Guards against decisions by old, missing or invalid percentages, and against a claim that makes a server look more
/// than twice as fast as it is.
#[test]
fn old_missing_and_invalid_reports_are_replaced_or_bounded() {
    let report = |time_percent, age_ms| Some(ServerPace { time_percent, age_ms, work_ms: 40 });
    let reported = |factor| KnownPace::Reported { usual_ms: Some(40.0), factor };
    let unsampled = Some(ServerPace { time_percent: 200, age_ms: 0, work_ms: 0 });
    let cases = [
        ReportCase { name: "fresh", report: report(250, 0), since: 0, known: reported(2.5) },
        ReportCase {
            name: "just in time",
            report: report(250, 600),
            since: 399 * MILLISECOND,
            known: reported(2.5),
        },
        ReportCase { name: "late", report: report(250, 600), since: 400 * MILLISECOND, known: reported(1.0) },
        ReportCase { name: "frozen", report: report(20, u16::MAX), since: 0, known: reported(1.0) },
        ReportCase { name: "ten times faster", report: report(10, 0), since: 0, known: reported(0.5) },
        ReportCase { name: "greatest", report: report(10_000, 0), since: 0, known: reported(100.0) },
        ReportCase { name: "zero", report: report(0, 0), since: 0, known: KnownPace::NotReported },
        ReportCase { name: "too great", report: report(10_001, 0), since: 0, known: KnownPace::NotReported },
        ReportCase { name: "none", report: None, since: 0, known: KnownPace::NotReported },
        ReportCase {
            name: "no call has succeeded",
            report: unsampled,
            since: 0,
            known: KnownPace::Reported { usual_ms: None, factor: 2.0 },
        },
    ];
    for case in cases {
        let known = KnownPace::from_report(case.report, NOW, NOW.plus(case.since));
        assert_eq!(known, case.known, "{}", case.name);
    }
}

/// Guards against a slow phase that counts twice, in the percentage and in the usual service time, and against a
/// constant claim that makes a server look faster than it is.
#[test]
fn the_usual_service_time_is_what_calls_take_at_the_usual_pace() {
    // Reported percentage, service time of the calls, and the product of the reported values.
    let cases = [(100, 40, 40), (250, 100, 100), (50, 40, 40), (10, 40, 40), (1_000, 40, 40)];
    for (percent, service_ms, product) in cases {
        let mut tracker = PaceTracker::default();
        for _call in 0..100 {
            tracker.record_time_percent(percent, NOW);
            tracker.record_success(Some(service_ms * MILLISECOND), NOW);
        }
        let report = tracker.report(NOW).expect("reported");
        let KnownPace::Reported { usual_ms: Some(work), factor } =
            KnownPace::from_report(Some(report), NOW, NOW)
        else {
            panic!("{report:?}");
        };
        assert_eq!((report.time_percent, work * factor), (percent, f64::from(product)), "{percent}");
    }
}

/// Guards against a server that is compared by old percentages after it has stopped reporting any, because another
/// program runs there now.
#[test]
fn a_server_that_stops_reporting_counts_as_one_that_never_did() {
    let mut tracker = PaceTracker::default();
    assert_eq!(tracker.report(NOW), None);
    tracker.record_success(Some(40 * MILLISECOND), NOW);
    assert_eq!(tracker.report(NOW), None, "no percentage yet");
    tracker.record_time_percent(120, NOW);
    // Calls that make calls of their own say nothing about the server's speed.
    tracker.record_success(None, NOW);
    assert_eq!(tracker.report(NOW), Some(ServerPace { time_percent: 120, age_ms: 0, work_ms: 0 }));
    tracker.record_time_percent(0, NOW);
    tracker.record_time_percent(10_001, NOW);
    let later = NOW.plus(600 * SECOND);
    let idle = ServerPace { time_percent: 120, age_ms: u16::MAX, work_ms: 0 };
    assert_eq!(tracker.report(later), Some(idle), "the report of an idle server stays");
    (0..8).for_each(|_| tracker.record_success(Some(40 * MILLISECOND), later));
    assert_eq!(tracker.report(later), None);
}

fn server(same_zone: bool, load: u32, pace: KnownPace) -> Candidate {
    Candidate {
        same_zone,
        slots: 10,
        in_flight: load,
        reported_load: 0,
        success: 1.0,
        turn_in: None,
        pace,
        status: CandidateStatus::Available,
    }
}

fn reported(work: f64, factor: f64) -> KnownPace {
    KnownPace::Reported { usual_ms: Some(work), factor }
}

/// Candidates in one zone or two, and the index of the chosen one.
struct ChoiceCase {
    name: &'static str,
    servers: Vec<Candidate>,
    chosen: usize,
}

/// Guards against a slow idle server that is preferred to a fast busy one, against different metrics within one
/// service, and against calls that leave their zone for a small gain or stay in it at any cost.
#[test]
fn the_server_expected_to_answer_first_is_chosen() {
    let (near, far) = (|load, pace| server(true, load, pace), |load, pace| server(false, load, pace));
    let unknown = KnownPace::Unknown;
    let ejected = |candidate| Candidate { status: CandidateStatus::Ejected, ..candidate };
    let cases = [
        ChoiceCase {
            name: "the fast one, though busy",
            servers: vec![near(0, reported(400.0, 1.0)), near(9, reported(130.0, 1.0))],
            chosen: 1,
        },
        ChoiceCase {
            name: "the slow one, where the queue of the fast one is long",
            servers: vec![near(0, reported(400.0, 1.0)), near(25, reported(130.0, 1.0))],
            chosen: 0,
        },
        ChoiceCase {
            name: "not the one that is slow at this moment",
            servers: vec![near(1, reported(40.0, 2.5)), near(8, reported(40.0, 1.0))],
            chosen: 1,
        },
        ChoiceCase {
            name: "the less loaded of equal ones",
            servers: vec![near(5, reported(40.0, 1.0)), near(4, reported(40.0, 1.0))],
            chosen: 1,
        },
        ChoiceCase {
            name: "one that reports no pace: load decides for all",
            servers: vec![
                near(3, reported(40.0, 1.0)),
                near(2, KnownPace::NotReported),
                near(0, reported(400.0, 1.0)),
            ],
            chosen: 2,
        },
        ChoiceCase {
            name: "an ejected one that reports no pace decides nothing",
            servers: vec![
                near(0, reported(400.0, 1.0)),
                ejected(near(2, KnownPace::NotReported)),
                near(5, reported(100.0, 1.0)),
            ],
            chosen: 2,
        },
        ChoiceCase {
            name: "one without a report counts as an average one",
            servers: vec![near(0, reported(400.0, 1.0)), near(12, reported(40.0, 1.0)), near(0, unknown)],
            chosen: 2,
        },
        ChoiceCase {
            name: "no reports: load decides",
            servers: vec![near(5, unknown), near(3, unknown)],
            chosen: 1,
        },
        ChoiceCase {
            name: "one that fails at once does not attract all calls",
            servers: vec![
                near(22, reported(1.0, 1.0)),
                near(0, reported(100.0, 1.0)),
                near(5, reported(100.0, 1.0)),
            ],
            chosen: 1,
        },
        ChoiceCase {
            name: "the own zone while it is about as fast",
            servers: vec![near(6, reported(50.0, 1.0)), far(0, reported(40.0, 1.0))],
            chosen: 0,
        },
        ChoiceCase {
            name: "another zone where the own server is much slower",
            servers: vec![near(0, reported(400.0, 1.0)), far(0, reported(130.0, 1.0))],
            chosen: 1,
        },
        ChoiceCase {
            name: "the own zone while it waits about as long there",
            servers: vec![near(15, reported(40.0, 1.0)), far(12, reported(40.0, 1.0))],
            chosen: 0,
        },
        ChoiceCase {
            name: "another zone where the own one is clearly fuller",
            servers: vec![near(18, reported(40.0, 1.0)), far(12, reported(40.0, 1.0))],
            chosen: 1,
        },
    ];
    for case in cases {
        // All pairs of candidates are drawn; the candidate chosen most often counts.
        let mut counts = vec![0; case.servers.len()];
        for draw in 0..36 {
            let (mut rest, servers) = (draw, &case.servers);
            let drawn = pick(servers, |below| {
                let part = rest % below;
                rest /= below;
                part
            });
            counts[drawn.expect("there are servers")] += 1;
        }
        let most = (0..counts.len()).max_by_key(|index| counts[*index]);
        assert_eq!(most, Some(case.chosen), "{}: {counts:?}", case.name);
    }
}

/// Runs both metrics under the same load.
fn run_both(name: &str, load: &Load) -> (Outcome, Outcome) {
    let (by_load, by_pace) = (run(load, false), run(load, true));
    println!("{name}:\n  by load {by_load:.3?}\n  by pace {by_pace:.3?}");
    (by_load, by_pace)
}

fn load(servers: Vec<Server>, senders: usize, per_second: u64) -> Load {
    Load { servers, slots: 8, senders, per_second }
}

const UNEQUAL: [Server; 3] = [Server::of(400.0), Server::of(130.0), Server::of(130.0)];

/// Three servers with service times of 400, 130 and 130 ms and 8 slots each, at 100 calls a second. By load over slots,
/// the slow one got 84 of 500 calls, and the mean time to an answer was 182 ms.
#[test]
fn a_slow_server_gets_few_calls_while_fast_ones_have_room() {
    for senders in [1, 6, 30] {
        let (by_load, by_pace) =
            run_both(&format!("{senders} senders"), &load(UNEQUAL.to_vec(), senders, 100));
        assert!(by_load.mean_ms > 165.0, "{by_load:?}");
        assert!(by_pace.mean_ms <= 160.0, "{by_pace:?}");
        assert!(by_pace.shares[0] < 0.05, "{by_pace:?}");
        // Equally fast servers share the calls.
        assert!((by_pace.shares[1] - by_pace.shares[2]).abs() < 0.1, "{by_pace:?}");
    }
}

#[test]
fn equal_servers_are_served_no_worse() {
    for (per_second, senders) in [(60, 1), (100, 6), (160, 6), (175, 30)] {
        let equal = load(vec![Server::of(130.0); 3], senders, per_second);
        let (by_load, by_pace) = run_both(&format!("{per_second} calls a second"), &equal);
        assert!(by_pace.mean_ms <= by_load.mean_ms * 1.03, "{by_pace:?} {by_load:?}");
        assert!(by_pace.shares.iter().all(|share| (0.25..0.42).contains(share)), "{by_pace:?}");
    }
}

/// Guards against a claim that attracts calls: the observed service times are divided by the claimed percentage.
#[test]
fn a_server_that_claims_to_be_ten_times_faster_does_not_attract_most_calls() {
    for honest in [130.0, 400.0] {
        let claims = Server { percent_report: PercentReport::Constant(10), ..Server::of(honest) };
        let servers = load(vec![claims, Server::of(130.0), Server::of(130.0)], 6, 100);
        let (by_load, by_pace) = run_both(&format!("claims to be faster, takes {honest} ms"), &servers);
        assert!(by_pace.mean_ms <= by_load.mean_ms * 1.05, "{by_pace:?} {by_load:?}");
        assert!(by_pace.shares[0] < 0.45, "{by_pace:?}");
    }
}

/// Percentages that don't describe the present must do no harm.
#[test]
fn constant_late_and_missing_percentages_leave_the_observed_service_times() {
    for percent_report in
        [PercentReport::Constant(250), PercentReport::Constant(60), PercentReport::DelayedBySecond]
    {
        let servers = UNEQUAL.map(|server| Server { percent_report, ..server });
        let (by_load, by_pace) = run_both(&format!("{percent_report:?}"), &load(servers.to_vec(), 6, 100));
        // A percentage that is wrong and sometimes outdated, because the slow server gets few calls, costs some of the
        // gain.
        assert!(by_pace.mean_ms <= by_load.mean_ms * 0.9, "{by_pace:?} {by_load:?}");
        let one = [Server { percent_report, ..UNEQUAL[0] }, UNEQUAL[1], UNEQUAL[2]];
        let (_, by_pace) = run_both(&format!("{percent_report:?} at one"), &load(one.to_vec(), 6, 100));
        assert!(by_pace.mean_ms <= by_load.mean_ms * 0.9, "{by_pace:?} {by_load:?}");
    }
    let unreported = [Server { percent_report: PercentReport::None, ..UNEQUAL[0] }, UNEQUAL[1], UNEQUAL[2]];
    let (by_load, by_pace) = run_both("one reports none", &load(unreported.to_vec(), 6, 100));
    assert_eq!(by_load.shares, by_pace.shares, "as before");
}

/// Servers that share a machine are 2.5 times slower for 600 ms at a time. Their percentages show it before their
/// queues grow.
#[test]
fn calls_leave_a_server_while_it_is_slow() {
    let mut servers = vec![Server::of(130.0); 6];
    for (index, server) in servers.iter_mut().enumerate().take(3) {
        server.slow_from = Some(3_000 + 1_000 * index as u64);
    }
    let (by_load, by_pace) = run_both("slow phases", &load(servers.clone(), 6, 220));
    assert!(by_pace.mean_ms <= by_load.mean_ms, "{by_pace:?} {by_load:?}");
    assert!(by_pace.p95_ms <= by_load.p95_ms, "{by_pace:?} {by_load:?}");
    for server in &mut servers {
        server.percent_report = PercentReport::DelayedBySecond;
    }
    let (by_load, by_pace) = run_both("slow phases, reports late by a second", &load(servers, 6, 220));
    assert!(by_pace.mean_ms <= by_load.mean_ms * 1.05, "{by_pace:?} {by_load:?}");
}
