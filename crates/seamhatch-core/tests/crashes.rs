//! Evidence against requests that ran when servers crashed.

use proptest::prelude::*;
use seamhatch_core::clock::{MILLISECOND, SECOND};
use seamhatch_core::crashes::{
    CrashLedger, CrashPolicy, EvidenceEffect, InstanceDigest, LostRun, MAX_MARKS, SuspectRecord,
    SuspectReport, SuspectStanding, runs_isolated,
};
use seamhatch_core::identity::RequestDigest;
use seamhatch_core::instance::InstanceId;
use seamhatch_core::{Instant, Microseconds};

const REQUEST: RequestDigest = RequestDigest(7);
const START: Instant = Instant(10_000 * SECOND);

/// An event in the history of a request.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// This instance of a server crashes while the request runs beside others.
    Crash(u64),
    /// This instance of a server crashes while the request runs isolated.
    Trial(u64),
    /// The request has a successful run.
    SuccessfulRun,
    /// Time passes, in seconds.
    Wait(u64),
}

/// Expected standing of the request at the end.
#[derive(Debug, PartialEq, Eq)]
enum Standing {
    Clear,
    Suspect(u32),
    /// Crashes, and seconds until a trial run.
    Condemned(u32, u64),
    /// Crashes; no trial run is left.
    Permanent(u32),
}

struct StandingCase {
    name: &'static str,
    steps: &'static [Step],
    standing: Standing,
}

use Step::{Crash, SuccessfulRun, Trial, Wait};

const CASES: [StandingCase; 16] = [
    StandingCase { name: "unknown", steps: &[], standing: Standing::Clear },
    StandingCase { name: "one crash", steps: &[Crash(1)], standing: Standing::Suspect(1) },
    StandingCase { name: "one crash reported often", steps: &[Crash(1); 5], standing: Standing::Suspect(1) },
    StandingCase {
        name: "three crashes",
        steps: &[Crash(1), Crash(2), Wait(5), Trial(3), Wait(10)],
        standing: Standing::Condemned(3, 20),
    },
    StandingCase {
        name: "half of a service lost at once, with copies everywhere",
        steps: &[Crash(1), Crash(2), Crash(3), Crash(4)],
        standing: Standing::Suspect(4),
    },
    StandingCase {
        name: "and then a trial that crashes a server",
        steps: &[Crash(1), Crash(2), Crash(3), Trial(4)],
        standing: Standing::Condemned(4, 60),
    },
    StandingCase {
        name: "cleared between",
        steps: &[Crash(1), Crash(2), SuccessfulRun, Trial(3)],
        standing: Standing::Suspect(1),
    },
    StandingCase {
        name: "a crash before the successful run, reported once more",
        steps: &[Crash(1), Crash(2), SuccessfulRun, Crash(2), Crash(1)],
        standing: Standing::Clear,
    },
    StandingCase {
        name: "the pause is over",
        steps: &[Crash(1), Crash(2), Trial(3), Wait(30)],
        standing: Standing::Suspect(3),
    },
    StandingCase {
        name: "the trial crashes a server",
        steps: &[Crash(1), Crash(2), Trial(3), Wait(30), Trial(4)],
        standing: Standing::Condemned(4, 60),
    },
    StandingCase {
        name: "the trial ends well",
        steps: &[Crash(1), Crash(2), Trial(3), Wait(30), SuccessfulRun],
        standing: Standing::Clear,
    },
    StandingCase { name: "long ago", steps: &[Crash(1), Crash(2), Wait(601)], standing: Standing::Clear },
    StandingCase {
        name: "the third trial crashes a server",
        steps: &[Crash(1), Crash(2), Trial(3), Wait(30), Trial(4), Wait(60), Trial(5)],
        standing: Standing::Permanent(5),
    },
    StandingCase {
        name: "and long after",
        steps: &[Crash(1), Crash(2), Trial(3), Trial(4), Trial(5), Wait(100_000)],
        standing: Standing::Permanent(5),
    },
    StandingCase {
        name: "condemned long ago",
        steps: &[Crash(1), Crash(2), Trial(3), Wait(100_000)],
        standing: Standing::Suspect(3),
    },
    StandingCase {
        name: "until an operator clears it",
        steps: &[Crash(1), Crash(2), Trial(3), Trial(4), Trial(5), SuccessfulRun],
        standing: Standing::Clear,
    },
];

fn apply_steps(ledger: &mut CrashLedger, steps: &[Step]) -> Instant {
    let mut now = START;
    for step in steps {
        match step {
            Crash(instance) => {
                ledger.report(InstanceDigest(*instance), REQUEST, false, now);
            }
            Trial(instance) => {
                ledger.report(InstanceDigest(*instance), REQUEST, true, now);
            }
            SuccessfulRun => {
                ledger.clear(REQUEST, now);
            }
            Wait(seconds) => now = now.plus(seconds * SECOND),
        }
    }
    now
}

fn standing(ledger: &CrashLedger, now: Instant) -> Standing {
    match ledger.standing(REQUEST, now) {
        SuspectStanding::Clear => Standing::Clear,
        SuspectStanding::Suspect { crashes } => Standing::Suspect(crashes),
        SuspectStanding::Condemned { crashes, until: Instant::NEVER } => Standing::Permanent(crashes),
        SuspectStanding::Condemned { crashes, until } => {
            Standing::Condemned(crashes, until.since(now) / SECOND)
        }
    }
}

#[test]
fn distinct_crashes_without_a_successful_run_condemn_a_request() {
    for case in CASES {
        let mut ledger = CrashLedger::default();
        let now = apply_steps(&mut ledger, case.steps);
        assert_eq!(standing(&ledger, now), case.standing, "{}", case.name);
    }
}

#[test]
fn the_ledger_reports_condemnation_and_release_once() {
    let mut ledger = CrashLedger::default();
    let effects: Vec<EvidenceEffect> = (1..=4)
        .map(|instance| ledger.report(InstanceDigest(instance), REQUEST, instance > 2, START))
        .collect();
    use EvidenceEffect::{Changed, Condemned, Known, Released};
    assert_eq!(effects, [Changed, Changed, Condemned, Changed]);
    assert_eq!(ledger.clear(REQUEST, START), Released);
    assert_eq!(ledger.clear(REQUEST, START), Known);
}

#[test]
fn a_flood_of_suspects_evicts_no_condemned_request() {
    let policy = CrashPolicy { most_suspects: 64, most_condemned: 16, ..CrashPolicy::default() };
    let mut ledger = CrashLedger::new(policy);
    for instance in 1..=3 {
        ledger.report(InstanceDigest(instance), REQUEST, instance > 2, START);
    }
    for number in 0..10_000 {
        let now = START.plus(number);
        ledger.report(InstanceDigest(100 + number), RequestDigest(1000 + number), false, now);
        assert!(ledger.len() <= 64 + 16 + 1);
    }
    assert!(matches!(ledger.standing(REQUEST, START.plus(SECOND)), SuspectStanding::Condemned { .. }));
    let latest = ledger.standing(RequestDigest(1000 + 9_999), START.plus(SECOND));
    assert_eq!(latest, SuspectStanding::Suspect { crashes: 1 });
}

#[test]
fn an_instance_has_the_same_digest_everywhere() {
    let instance = |name: &str| InstanceDigest::of_instance(&InstanceId::named(name));
    assert_eq!(instance("i-1"), instance("i-1"));
    assert_ne!(instance("i-1"), instance("i-2"));
}

/// Record of one daemon: crashes and successful runs in any order.
fn record() -> impl Strategy<Value = SuspectRecord> {
    let seen = (0_u64..40, any::<bool>(), proptest::bool::weighted(0.1));
    proptest::collection::vec(seen, 0..30).prop_map(|seen| {
        let mut record = SuspectRecord::new(REQUEST);
        for (instance, on_trial, ends_well) in seen {
            record.add(InstanceDigest(instance), on_trial);
            if ends_well {
                record.clear();
            }
        }
        record
    })
}

fn merged(records: &[&SuspectRecord]) -> SuspectRecord {
    let mut all = SuspectRecord::new(REQUEST);
    for record in records {
        all.merge(record);
    }
    all
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent(a in record(), b in record(), c in record()) {
        prop_assert_eq!(merged(&[&a, &b]), merged(&[&b, &a]));
        let left = merged(&[&merged(&[&a, &b]), &c]);
        let right = merged(&[&a, &merged(&[&b, &c])]);
        prop_assert_eq!(&left, &right);
        prop_assert_eq!(&merged(&[&left, &a, &b, &left]), &left);
        prop_assert!(left.open_crashes() as usize <= MAX_MARKS);
    }

    #[test]
    fn a_cleared_crash_never_counts_again(seen in record(), late in record()) {
        let mut cleared = seen;
        cleared.clear();
        let before = merged(&[&cleared, &late]).open_crashes();
        let mut again = merged(&[&late, &cleared]);
        again.merge(&cleared);
        prop_assert_eq!(again.open_crashes(), before);
    }

    #[test]
    fn reports_converge_to_the_same_standing(
        crashes in proptest::collection::vec((0_usize..3, 1_u64..6), 0..8),
        order in proptest::collection::vec((0_usize..3, 0_usize..3), 0..12),
    ) {
        let mut ledgers = vec![CrashLedger::default(); 3];
        for (daemon, instance) in &crashes {
            ledgers[*daemon].report(InstanceDigest(*instance), REQUEST, false, START);
        }
        // Finally each daemon reports to each other one, whatever was reported before.
        let complete = (0..3).flat_map(|from| (0..3).map(move |to| (from, to)));
        for (from, to) in order.into_iter().chain(complete.clone()).chain(complete) {
            let reports = ledgers[from].reports(&[REQUEST], START);
            for report in reports {
                ledgers[to].merge(&report, START);
            }
        }
        let distinct: std::collections::BTreeSet<u64> = crashes.iter().map(|(_, instance)| *instance).collect();
        for ledger in &ledgers {
            prop_assert_eq!(ledger.standing(REQUEST, START).crashes() as usize, distinct.len());
        }
    }
}

#[test]
fn a_report_counts_from_its_last_crash_and_expires_below_condemnation() {
    let reported = |crashes: u64, age: Microseconds| {
        let mut reporter = CrashLedger::default();
        for instance in 1..=crashes {
            reporter.report(InstanceDigest(instance), REQUEST, instance > 2, START);
        }
        let report: SuspectReport = reporter.reports(&[REQUEST], START.plus(age)).remove(0);
        let mut ledger = CrashLedger::default();
        ledger.merge(&report, START);
        ledger.standing(REQUEST, START)
    };
    let until = START.plus(20 * SECOND);
    assert_eq!(reported(3, 10 * SECOND), SuspectStanding::Condemned { crashes: 3, until });
    assert_eq!(reported(3, 40 * SECOND), SuspectStanding::Suspect { crashes: 3 });
    assert_eq!(reported(3, 4000 * SECOND), SuspectStanding::Suspect { crashes: 3 });
    assert_eq!(reported(2, 40 * SECOND), SuspectStanding::Suspect { crashes: 2 });
    assert_eq!(reported(2, 4000 * SECOND), SuspectStanding::Clear);
}

/// Withdrawn trial runs must not fill the record: a back end that cannot be reached for long would otherwise
/// leave no room for the crashes that condemn the request.
#[test]
fn withdrawn_trial_runs_do_not_displace_condemning_crashes() {
    let mut ledger = CrashLedger::default();
    let mut now = apply_steps(&mut ledger, &[Crash(1), Crash(2), Trial(3)]);
    for number in 0..100 {
        now = now.plus(3600 * SECOND);
        let mark = InstanceDigest::of_trial(number);
        if !matches!(ledger.standing(REQUEST, now), SuspectStanding::Condemned { .. }) {
            assert!(ledger.begin_trial(REQUEST, mark, now), "trial {number}");
            ledger.withdraw_trial(REQUEST, mark);
        }
        assert_eq!(ledger.standing(REQUEST, now).crashes(), 3, "after trial {number}");
    }
}

/// Time after the third crash from which on a run counts as late.
const LATE_AFTER: Microseconds = 3 * SECOND;
/// Maximum number of late runs.
const MOST_RUNS: usize = 3;
/// How long callers keep sending the request.
const DAY: Microseconds = 24 * 3600 * SECOND;

/// Callers that keep sending a request which crashes each server that runs it.
struct RetryingCase {
    /// Copies that run at the same time, before any daemon knows of a crash.
    in_flight: usize,
    /// Time between two later attempts.
    pause: Microseconds,
}

const RETRYING: [RetryingCase; 8] = [
    RetryingCase { in_flight: 1, pause: SECOND },
    RetryingCase { in_flight: 2, pause: SECOND },
    RetryingCase { in_flight: 3, pause: SECOND },
    RetryingCase { in_flight: 3, pause: 5 * SECOND },
    RetryingCase { in_flight: 1, pause: 500 * SECOND },
    RetryingCase { in_flight: 3, pause: 7200 * SECOND },
    RetryingCase { in_flight: MAX_MARKS, pause: SECOND },
    RetryingCase { in_flight: 40, pause: SECOND },
];

/// A digest without an order, as those of real instances are.
fn scattered(number: usize) -> InstanceDigest {
    InstanceDigest((number as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

/// Guards against trial runs without end, at growing pauses, by which callers that keep sending a request
/// crash a fourth server and more long after the third. Also guards against a record that is full after
/// sixteen simultaneous copies and has no room for the crash of a trial run.
#[test]
fn few_runs_follow_the_third_crash_however_long_callers_retry() {
    let mut failures = Vec::new();
    for RetryingCase { in_flight, pause } in RETRYING {
        let mut ledger = CrashLedger::default();
        let mut crashes: Vec<Instant> = Vec::new();
        for number in 0..in_flight {
            ledger.report(scattered(number), REQUEST, false, START);
            crashes.push(START);
        }
        let mut now = START;
        while now < START.plus(DAY) {
            now = now.plus(pause);
            ledger.forget_old(now);
            let standing = ledger.standing(REQUEST, now);
            if matches!(standing, SuspectStanding::Condemned { .. }) {
                continue;
            }
            let isolated = runs_isolated(standing.crashes());
            ledger.report(scattered(crashes.len()), REQUEST, isolated, now);
            crashes.push(now);
        }
        let late_after = crashes[2].plus(LATE_AFTER);
        let late = crashes.iter().filter(|at| **at > late_after).count();
        if late > MOST_RUNS {
            failures
                .push(format!("{in_flight} copies, then one each {} s: {late} late runs", pause / SECOND));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Runs of a request that were lost with the daemon beside the server: the daemon, when each run was sent and
/// lost in milliseconds, and whether it ran isolated.
struct LossCase {
    name: &'static str,
    losses: &'static [(u64, u64, u64, bool)],
    standing: Standing,
}

/// Guards against a request that ends the daemon together with its server, so that no daemon is left to
/// report the crash. To the daemons that had calls there, a killed machine or a power failure looks the same.
#[test]
fn lost_daemons_count_only_one_after_the_other() {
    let cases = [
        LossCase { name: "one", losses: &[(1, 0, 400, false)], standing: Standing::Suspect(1) },
        LossCase {
            name: "copies at three that are lost at once",
            losses: &[(1, 0, 400, false), (2, 10, 401, false), (3, 390, 402, false)],
            standing: Standing::Suspect(1),
        },
        LossCase {
            name: "one after the other, the last one alone",
            losses: &[(1, 0, 400, false), (2, 430, 830, false), (3, 860, 1_260, true)],
            standing: Standing::Condemned(3, 30),
        },
        LossCase {
            name: "one after the other, never alone",
            losses: &[(1, 0, 400, false), (2, 430, 830, false), (3, 860, 1_260, false)],
            standing: Standing::Suspect(3),
        },
        LossCase {
            name: "the same daemon reported twice",
            losses: &[(1, 0, 400, false), (1, 430, 830, false)],
            standing: Standing::Suspect(1),
        },
        LossCase {
            name: "a trial run, which has counted since it began",
            losses: &[
                (1, 0, 400, false),
                (2, 430, 830, false),
                (3, 860, 1_260, true),
                (4, 1_300, 1_700, true),
            ],
            standing: Standing::Condemned(3, 29),
        },
    ];
    for case in cases {
        let mut ledger = CrashLedger::new(CrashPolicy::default());
        let at = |millis: u64| START.plus(millis * MILLISECOND);
        let mut now = START;
        for &(daemon, sent, lost, isolated) in case.losses {
            now = at(lost);
            let run = LostRun { request: REQUEST, sent: at(sent), isolated };
            ledger.report_loss(InstanceDigest(daemon), run, now);
        }
        assert_eq!(standing(&ledger, now), case.standing, "{}", case.name);
    }
}
