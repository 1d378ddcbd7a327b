//! Server choice by expected completion time: what counts of a server's figure, who is taken, and what calls gain in simulated loads.

mod simulation;

use seamhatch_core::Instant;
use seamhatch_core::balance::{
    Candidate, CandidateStatus, KnownPace, PaceTracker, ServerPace, parse_time_percent, pick,
};
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use simulation::{Figure, Load, Outcome, Server, run};

const NOW: Instant = Instant(100 * SECOND);

/// Guards against a field of an answer that is taken for a figure although it is none.
#[test]
fn a_figure_is_a_whole_number_from_1_to_10000() {
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

/// A report, its age at the choice, and what counts.
struct ReportCase {
    name: &'static str,
    report: Option<ServerPace>,
    since: Microseconds,
    known: KnownPace,
}

/// Guards against old, missing or impossible figures that decide, and against a claim that makes a server look more than twice as fast.
#[test]
fn what_counts_of_a_report() {
    let report = |time_percent, age_ms| Some(ServerPace { time_percent, age_ms, work_ms: 40 });
    let told = |factor| KnownPace::Reported { usual_ms: Some(40.0), factor };
    let unsampled = Some(ServerPace { time_percent: 200, age_ms: 0, work_ms: 0 });
    let cases = [
        ReportCase { name: "fresh", report: report(250, 0), since: 0, known: told(2.5) },
        ReportCase {
            name: "just in time",
            report: report(250, 600),
            since: 399 * MILLISECOND,
            known: told(2.5),
        },
        ReportCase { name: "late", report: report(250, 600), since: 400 * MILLISECOND, known: told(1.0) },
        ReportCase { name: "frozen", report: report(20, u16::MAX), since: 0, known: told(1.0) },
        ReportCase { name: "ten times faster", report: report(10, 0), since: 0, known: told(0.5) },
        ReportCase { name: "greatest", report: report(10_000, 0), since: 0, known: told(100.0) },
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

/// Guards against a slow phase that counts twice, in the figure and in the usual service time, and against a constant claim that makes a
/// server look faster than it is.
#[test]
fn the_usual_service_time_is_what_calls_take_at_the_usual_pace() {
    // Figure told, service time of its calls, and the product of what is reported.
    let cases = [(100, 40, 40), (250, 100, 100), (50, 40, 40), (10, 40, 40), (1_000, 40, 40)];
    for (percent, service_ms, product) in cases {
        let mut record = PaceTracker::default();
        for _call in 0..100 {
            record.record_time_percent(percent, NOW);
            record.record_success(Some(service_ms * MILLISECOND), NOW);
        }
        let report = record.report(NOW).expect("told");
        let KnownPace::Reported { usual_ms: Some(work), factor } =
            KnownPace::from_report(Some(report), NOW, NOW)
        else {
            panic!("{report:?}");
        };
        assert_eq!((report.time_percent, work * factor), (percent, f64::from(product)), "{percent}");
    }
}

/// Guards against a server that has stopped telling its pace, as another program runs there, and is compared by its old figures.
#[test]
fn a_server_that_tells_no_figure_any_more_is_one_that_tells_none() {
    let mut record = PaceTracker::default();
    assert_eq!(record.report(NOW), None);
    record.record_success(Some(40 * MILLISECOND), NOW);
    assert_eq!(record.report(NOW), None, "no figure yet");
    record.record_time_percent(120, NOW);
    // Calls that make calls of their own say nothing of the server's speed.
    record.record_success(None, NOW);
    assert_eq!(record.report(NOW), Some(ServerPace { time_percent: 120, age_ms: 0, work_ms: 0 }));
    record.record_time_percent(0, NOW);
    record.record_time_percent(10_001, NOW);
    let later = NOW.plus(600 * SECOND);
    let idle = ServerPace { time_percent: 120, age_ms: u16::MAX, work_ms: 0 };
    assert_eq!(record.report(later), Some(idle), "an idle server tells nothing");
    (0..8).for_each(|_| record.record_success(Some(40 * MILLISECOND), later));
    assert_eq!(record.report(later), None);
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

fn told(work: f64, factor: f64) -> KnownPace {
    KnownPace::Reported { usual_ms: Some(work), factor }
}

/// Two servers in a zone or in two, and the one that is taken.
struct ChoiceCase {
    name: &'static str,
    servers: Vec<Candidate>,
    taken: usize,
}

/// Guards against a slow idle server that is preferred to a fast busy one, against two measures that are mixed in one service, and against
/// calls that leave their zone for a small gain or stay there at any price.
#[test]
fn the_server_that_answers_first_is_taken() {
    let (near, far) = (|load, pace| server(true, load, pace), |load, pace| server(false, load, pace));
    let unheard = KnownPace::Unknown;
    let ejected = |candidate| Candidate { status: CandidateStatus::Ejected, ..candidate };
    let cases = [
        ChoiceCase {
            name: "the fast one, though busy",
            servers: vec![near(0, told(400.0, 1.0)), near(9, told(130.0, 1.0))],
            taken: 1,
        },
        ChoiceCase {
            name: "the slow one, where the queue of the fast one is long",
            servers: vec![near(0, told(400.0, 1.0)), near(25, told(130.0, 1.0))],
            taken: 0,
        },
        ChoiceCase {
            name: "not the one that is slow at this moment",
            servers: vec![near(1, told(40.0, 2.5)), near(8, told(40.0, 1.0))],
            taken: 1,
        },
        ChoiceCase {
            name: "the less loaded of equal ones",
            servers: vec![near(5, told(40.0, 1.0)), near(4, told(40.0, 1.0))],
            taken: 1,
        },
        ChoiceCase {
            name: "one of the earlier release: load decides for all",
            servers: vec![
                near(3, told(40.0, 1.0)),
                near(2, KnownPace::NotReported),
                near(0, told(400.0, 1.0)),
            ],
            taken: 2,
        },
        ChoiceCase {
            name: "one of the earlier release that fails decides nothing",
            servers: vec![
                near(0, told(400.0, 1.0)),
                ejected(near(2, KnownPace::NotReported)),
                near(5, told(100.0, 1.0)),
            ],
            taken: 2,
        },
        ChoiceCase {
            name: "one that was not heard yet counts as an average one",
            servers: vec![near(0, told(400.0, 1.0)), near(12, told(40.0, 1.0)), near(0, unheard)],
            taken: 2,
        },
        ChoiceCase {
            name: "none was heard: load decides",
            servers: vec![near(5, unheard), near(3, unheard)],
            taken: 1,
        },
        ChoiceCase {
            name: "one that fails at once draws no herd",
            servers: vec![near(22, told(1.0, 1.0)), near(0, told(100.0, 1.0)), near(5, told(100.0, 1.0))],
            taken: 1,
        },
        ChoiceCase {
            name: "the own zone while it is about as fast",
            servers: vec![near(6, told(50.0, 1.0)), far(0, told(40.0, 1.0))],
            taken: 0,
        },
        ChoiceCase {
            name: "another zone where the own server is much slower",
            servers: vec![near(0, told(400.0, 1.0)), far(0, told(130.0, 1.0))],
            taken: 1,
        },
        ChoiceCase {
            name: "the own zone while it waits about as long there",
            servers: vec![near(15, told(40.0, 1.0)), far(12, told(40.0, 1.0))],
            taken: 0,
        },
        ChoiceCase {
            name: "another zone where the own one is clearly fuller",
            servers: vec![near(18, told(40.0, 1.0)), far(12, told(40.0, 1.0))],
            taken: 1,
        },
    ];
    for case in cases {
        // All pairs are drawn in turn; the one that is taken most is meant.
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
        assert_eq!(most, Some(case.taken), "{}: {counts:?}", case.name);
    }
}

/// Both rules under the same load.
fn both(name: &str, load: &Load) -> (Outcome, Outcome) {
    let (by_load, by_pace) = (run(load, false), run(load, true));
    println!("{name}:\n  by load {by_load:.3?}\n  by pace {by_pace:.3?}");
    (by_load, by_pace)
}

fn load(servers: Vec<Server>, senders: usize, per_second: u64) -> Load {
    Load { servers, slots: 8, senders, per_second }
}

const UNEQUAL: [Server; 3] = [Server::of(400.0), Server::of(130.0), Server::of(130.0)];

/// The load of the measurement: three servers of 400, 130 and 130 ms, 8 slots each, 100 calls a second. By load over slots the slow one got
/// 84 of 500 calls, and the mean was 182 ms.
#[test]
fn a_slow_server_gets_few_calls_while_fast_ones_have_room() {
    for senders in [1, 6, 30] {
        let (by_load, by_pace) = both(&format!("{senders} senders"), &load(UNEQUAL.to_vec(), senders, 100));
        assert!(by_load.mean_ms > 165.0, "{by_load:?}");
        assert!(by_pace.mean_ms <= 160.0, "{by_pace:?}");
        assert!(by_pace.shares[0] < 0.05, "{by_pace:?}");
        // No herd on one of the equal ones.
        assert!((by_pace.shares[1] - by_pace.shares[2]).abs() < 0.1, "{by_pace:?}");
    }
}

#[test]
fn equal_servers_are_served_no_worse() {
    for (per_second, senders) in [(60, 1), (100, 6), (160, 6), (175, 30)] {
        let equal = load(vec![Server::of(130.0); 3], senders, per_second);
        let (by_load, by_pace) = both(&format!("{per_second} calls a second"), &equal);
        assert!(by_pace.mean_ms <= by_load.mean_ms * 1.03, "{by_pace:?} {by_load:?}");
        assert!(by_pace.shares.iter().all(|share| (0.25..0.42).contains(share)), "{by_pace:?}");
    }
}

/// Guards against a claim that attracts calls: the claimed figure is taken out of the service times that are observed.
#[test]
fn a_server_that_claims_to_be_ten_times_faster_draws_no_herd() {
    for honest in [130.0, 400.0] {
        let claims = Server { figure: Figure::Always(10), ..Server::of(honest) };
        let servers = load(vec![claims, Server::of(130.0), Server::of(130.0)], 6, 100);
        let (by_load, by_pace) = both(&format!("claims, in truth {honest} ms"), &servers);
        assert!(by_pace.mean_ms <= by_load.mean_ms * 1.05, "{by_pace:?} {by_load:?}");
        assert!(by_pace.shares[0] < 0.45, "{by_pace:?}");
    }
}

/// Figures that say nothing of the present must do no harm.
#[test]
fn frozen_late_and_missing_figures_leave_the_observed_service_times() {
    for figure in [Figure::Always(250), Figure::Always(60), Figure::LateBySecond] {
        let servers = UNEQUAL.map(|server| Server { figure, ..server });
        let (by_load, by_pace) = both(&format!("{figure:?}"), &load(servers.to_vec(), 6, 100));
        // A figure that is wrong in fact and old by turns, as the slow server gets few calls, costs a part of the gain.
        assert!(by_pace.mean_ms <= by_load.mean_ms * 0.9, "{by_pace:?} {by_load:?}");
        let one = [Server { figure, ..UNEQUAL[0] }, UNEQUAL[1], UNEQUAL[2]];
        let (_, by_pace) = both(&format!("{figure:?} at one"), &load(one.to_vec(), 6, 100));
        assert!(by_pace.mean_ms <= by_load.mean_ms * 0.9, "{by_pace:?} {by_load:?}");
    }
    let untold = [Server { figure: Figure::None, ..UNEQUAL[0] }, UNEQUAL[1], UNEQUAL[2]];
    let (by_load, by_pace) = both("one tells none", &load(untold.to_vec(), 6, 100));
    assert_eq!(by_load.shares, by_pace.shares, "as before");
}

/// Servers that share a machine are 2.5 times slower for 600 ms at a time. Their figures show it before their queues do.
#[test]
fn calls_leave_a_server_while_it_is_slow() {
    let mut servers = vec![Server::of(130.0); 6];
    for (index, server) in servers.iter_mut().enumerate().take(3) {
        server.slow_from = Some(3_000 + 1_000 * index as u64);
    }
    let (by_load, by_pace) = both("slow phases", &load(servers.clone(), 6, 220));
    assert!(by_pace.mean_ms <= by_load.mean_ms, "{by_pace:?} {by_load:?}");
    assert!(by_pace.p95_ms <= by_load.p95_ms, "{by_pace:?} {by_load:?}");
    for server in &mut servers {
        server.figure = Figure::LateBySecond;
    }
    let (by_load, by_pace) = both("slow phases, figures late by a second", &load(servers, 6, 220));
    assert!(by_pace.mean_ms <= by_load.mean_ms * 1.05, "{by_pace:?} {by_load:?}");
}
