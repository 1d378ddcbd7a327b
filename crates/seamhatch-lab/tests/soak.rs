//! The soak's plans, and tests that run them with real processes. Its checks: `soak_checks.rs`.

use seamhatch_lab::soak::fault::{ReloadLevel, SoakFault};
use seamhatch_lab::soak::fleet::{SERVERS, SoakFleet};
use seamhatch_lab::soak::plan::{PlannedFault, SoakPlan, SoakPlanError};
use std::io::Write;
use std::path::Path;
use std::process::{Command, Stdio};

const DAEMONS: usize = 8;
const FLEET: SoakFleet = SoakFleet { services: 4, servers: SERVERS };

#[test]
fn a_plan_comes_from_its_seed_alone_and_survives_its_file() {
    let directory = tempfile::tempdir().expect("a directory");
    for seed in 0..200 {
        let plan = SoakPlan::draw(seed, 60, FLEET);
        assert_eq!(plan, SoakPlan::draw(seed, 60, FLEET));
        let path = directory.path().join("plan.toml");
        std::fs::write(&path, plan.to_text()).expect("is written");
        assert_eq!(SoakPlan::read(&path, FLEET.services).expect("is a plan"), plan, "seed {seed}");
    }
    assert_ne!(SoakPlan::draw(1, 60, FLEET), SoakPlan::draw(2, 60, FLEET));
}

/// Guards against a soak that says it draws back ends in need and hardly ever does.
#[test]
fn every_other_short_plan_has_a_back_end_that_says_something_of_itself() {
    let says = |fault: &PlannedFault| {
        matches!(fault.fault, SoakFault::ServerNamesRate { .. } | SoakFault::ServerLeaves { .. })
    };
    let plans = (0..200).map(|seed| SoakPlan::draw(seed, 20, FLEET));
    let with = plans.filter(|plan| plan.faults.iter().any(says)).count();
    assert_eq!(with, 100);
}

/// A plan that can't be used, and the error that names the reason.
struct PlanCase {
    plan: SoakPlan,
    is: fn(&SoakPlanError) -> bool,
}

#[test]
fn a_plan_that_can_not_be_used_is_refused() {
    let with = |at_ms, fault| SoakPlan {
        seed: 1,
        seconds: 10,
        rate: 10.0,
        clients: 0,
        servers: SERVERS,
        faults: vec![PlannedFault { at_ms, for_ms: 1_000, fault }],
    };
    let cases = [
        PlanCase {
            plan: with(1_000, SoakFault::Kill { daemons: vec![0, DAEMONS] }),
            is: |error| matches!(error, SoakPlanError::Daemon { number: 1, daemon: DAEMONS, last: 7 }),
        },
        PlanCase {
            plan: with(9_500, SoakFault::StoreOut),
            is: |error| matches!(error, SoakPlanError::Late { number: 1, end_ms: 10_500, load_ms: 10_000 }),
        },
    ];
    for case in cases {
        let mut file = tempfile::NamedTempFile::new().expect("a file");
        file.write_all(case.plan.to_text().as_bytes()).expect("is written");
        let error = SoakPlan::read(file.path(), FLEET.services).expect_err("can't be used");
        assert!((case.is)(&error), "{error}");
    }
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    file.write_all(b"seed = 1\nfault = 3\n").expect("is written");
    assert!(matches!(SoakPlan::read(file.path(), FLEET.services), Err(SoakPlanError::Form { .. })));
    assert!(matches!(
        SoakPlan::read("no/such/file".as_ref(), FLEET.services),
        Err(SoakPlanError::Read { .. })
    ));
}

/// Arguments, the exit code, and how many plans are printed.
struct ArgumentCase {
    arguments: &'static [&'static str],
    code: i32,
    plans: usize,
}

#[test]
fn arguments_decide_which_plans_are_played() {
    let cases = [
        ArgumentCase { arguments: &["--seed", "1"], code: 0, plans: 1 },
        ArgumentCase { arguments: &["--seeds", "3"], code: 0, plans: 3 },
        ArgumentCase { arguments: &["--daemons", "80", "--seeds", "2"], code: 0, plans: 2 },
        ArgumentCase { arguments: &["--daemons", "10"], code: 2, plans: 0 },
        ArgumentCase { arguments: &["--daemons", "84"], code: 2, plans: 0 },
        ArgumentCase { arguments: &["--daemons", "0"], code: 2, plans: 0 },
        ArgumentCase { arguments: &["--seeds", "many"], code: 2, plans: 0 },
        ArgumentCase { arguments: &["--seed", "9223372036854775808"], code: 2, plans: 0 },
    ];
    for case in cases {
        let mut command = Command::new(env!("CARGO_BIN_EXE_seamhatch-lab"));
        let output = command.args(["soak", "--plan"]).args(case.arguments).output().expect("starts");
        let text = String::from_utf8_lossy(&output.stdout);
        assert_eq!(output.status.code(), Some(case.code), "{:?}", case.arguments);
        let seeds = text.lines().filter(|line| line.starts_with("seed = "));
        assert_eq!(seeds.count(), case.plans, "{:?}", case.arguments);
    }
}

/// A short soak with faults of each group. Only broken promises fail it, not how much was served.
#[test]
fn a_short_soak_of_real_processes_keeps_all_promises() {
    soak_keeps_all_promises(&SoakPlan {
        seed: 1,
        seconds: 12,
        rate: 40.0,
        clients: 16,
        servers: SERVERS,
        faults: vec![
            PlannedFault { at_ms: 1_500, for_ms: 800, fault: SoakFault::StoreOut },
            PlannedFault { at_ms: 2_500, for_ms: 700, fault: SoakFault::Reset { daemon: 3 } },
            PlannedFault { at_ms: 3_500, for_ms: 1_000, fault: SoakFault::Kill { daemons: vec![6] } },
            PlannedFault { at_ms: 5_000, for_ms: 500, fault: SoakFault::Configuration { daemon: 1 } },
            PlannedFault { at_ms: 6_000, for_ms: 700, fault: SoakFault::ServerCuts { daemon: 5 } },
        ],
    });
}

/// Stops, signals and submissions that overlap, also of all daemons of one service. No two daemons are lost at once without a planned
/// stop and a working store, as shards that have lost two witnesses wait for two minutes by design.
#[test]
fn stops_and_changes_that_overlap_keep_all_promises() {
    let stop = |daemon| SoakFault::PlannedStop { daemon };
    let submission = |daemon| SoakFault::Configuration { daemon };
    let reload = |daemon, log_level| SoakFault::Reload { daemon, log_level, more_slots: 1 };
    soak_keeps_all_promises(&SoakPlan {
        seed: 2,
        seconds: 16,
        rate: 40.0,
        clients: 24,
        servers: SERVERS,
        faults: vec![
            PlannedFault { at_ms: 1_500, for_ms: 1_500, fault: stop(2) },
            PlannedFault { at_ms: 1_600, for_ms: 1_500, fault: reload(2, ReloadLevel::Debug) },
            PlannedFault { at_ms: 1_700, for_ms: 1_000, fault: stop(3) },
            PlannedFault { at_ms: 1_900, for_ms: 500, fault: submission(0) },
            PlannedFault { at_ms: 1_920, for_ms: 500, fault: submission(5) },
            PlannedFault {
                at_ms: 7_000,
                for_ms: 500,
                fault: SoakFault::HastyStop { daemon: 0, again_ms: 300 },
            },
            PlannedFault { at_ms: 7_100, for_ms: 500, fault: stop(4) },
            PlannedFault { at_ms: 7_200, for_ms: 900, fault: reload(6, ReloadLevel::Trace) },
            PlannedFault { at_ms: 7_310, for_ms: 500, fault: submission(6) },
            PlannedFault { at_ms: 11_000, for_ms: 1_500, fault: SoakFault::StoreOut },
            PlannedFault { at_ms: 11_200, for_ms: 600, fault: submission(1) },
            PlannedFault { at_ms: 11_300, for_ms: 900, fault: reload(4, ReloadLevel::Warn) },
        ],
    });
}

/// Back ends that crash, and a request that crashes each that runs it, beside a daemon that restarts and an outage of the store.
#[test]
fn crashes_and_a_request_that_causes_them_keep_all_promises() {
    soak_keeps_all_promises(&SoakPlan {
        seed: 3,
        seconds: 14,
        rate: 40.0,
        clients: 16,
        servers: SERVERS,
        faults: vec![
            PlannedFault { at_ms: 1_500, for_ms: 800, fault: SoakFault::ServerCrash { daemon: 2 } },
            PlannedFault {
                at_ms: 3_000,
                for_ms: 3_000,
                fault: SoakFault::DeadlyRequest { number: 1, deep: false },
            },
            PlannedFault { at_ms: 4_500, for_ms: 700, fault: SoakFault::Kill { daemons: vec![0] } },
            PlannedFault { at_ms: 6_500, for_ms: 1_500, fault: SoakFault::StoreOut },
            PlannedFault {
                at_ms: 7_000,
                for_ms: 3_000,
                fault: SoakFault::DeadlyRequest { number: 2, deep: false },
            },
            PlannedFault { at_ms: 8_000, for_ms: 600, fault: SoakFault::ServerCrash { daemon: 5 } },
        ],
    });
}

/// A request whose last calls end their back ends: callers repeat the root, and each repeat makes the same calls. Beside it one that ends
/// its first back end, at the same services.
#[test]
fn a_request_that_crashes_servers_deep_in_its_chain_is_contained() {
    let deadly = |number, deep| SoakFault::DeadlyRequest { number, deep };
    soak_keeps_all_promises(&SoakPlan {
        seed: 4,
        seconds: 14,
        rate: 40.0,
        clients: 16,
        servers: SERVERS,
        faults: vec![
            PlannedFault { at_ms: 1_500, for_ms: 10_000, fault: deadly(1, true) },
            PlannedFault { at_ms: 1_600, for_ms: 10_000, fault: deadly(2, false) },
            PlannedFault { at_ms: 4_000, for_ms: 700, fault: SoakFault::Kill { daemons: vec![3] } },
        ],
    });
}

/// Plans of soaks that once failed; each file says why.
#[test]
fn plans_that_once_failed_are_kept() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/soak");
    for entry in std::fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        soak_keeps_all_promises(&SoakPlan::read(&path, FLEET.services).expect("is a plan"));
    }
}

/// Daemons that stop one after the other, each in order, and nothing else: shards lost their witnesses and granted no claim for two minutes,
/// and daemons that started waited for witnesses that had left.
#[test]
fn planned_stops_in_series_keep_all_promises() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/soak-rolls");
    for name in ["stops-in-series.toml", "rolling-quickly-one-of-each-service.toml"] {
        soak_keeps_all_promises(&SoakPlan::read(&directory.join(name), FLEET.services).expect("is a plan"));
    }
}

fn soak_keeps_all_promises(plan: &SoakPlan) {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("plan.toml");
    std::fs::write(&path, plan.to_text()).expect("is written");
    let output = Command::new(env!("CARGO_BIN_EXE_seamhatch-lab"))
        .args(["soak", "--replay"])
        .arg(&path)
        .arg("--keep")
        .arg(directory.path().join("kept"))
        .stdin(Stdio::null())
        .output()
        .expect("the program starts");
    if output.status.code() != Some(0) {
        let text = String::from_utf8_lossy(&output.stdout);
        let errors = String::from_utf8_lossy(&output.stderr);
        // History and logs stay for whoever looks for the cause.
        let kept = directory.keep();
        panic!("{text}\n{errors}\nits files stay in {}", kept.display());
    }
}
