//! The registry of suspects that the threads of a daemon share: the effect of the configuration, the serialization of trial runs, and the
//! cost of a call while there are no suspects.

use seamhatch_core::crashes::{InstanceDigest, RunEnd, RunMode, Suspect, SuspectStanding};
use seamhatch_core::hand_back::EarlierCalls;
use seamhatch_core::identity::{Incarnation, RequestDigest, RootId};
use seamhatch_core::priority::{Priority, PriorityClass};
use seamhatch_core::retry::RetryLedger;
use seamhatch_policy::CrashSettings;
use seamhatchd::server::crashes::{CrashTracker, SuspectRegistry};
use seamhatchd::server::running::{RunningCall, RunningCalls};
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

const REQUEST: RequestDigest = RequestDigest(7);

fn suspect(isolated: bool) -> Suspect {
    Suspect { request: REQUEST, mode: if isolated { RunMode::Isolated } else { RunMode::Usual } }
}

fn registry_after(crashes: u64) -> SuspectRegistry {
    let registry = SuspectRegistry::default();
    for instance in 1..=crashes {
        registry.report_crash(InstanceDigest(instance), &[suspect(instance > 2)]);
    }
    registry
}

struct SettingsCase {
    name: &'static str,
    crashes: u64,
    settings: CrashSettings,
    is_turned_away: bool,
}

#[test]
fn the_configuration_sets_the_crash_limit_and_whether_suspects_are_turned_away() {
    let usual = CrashSettings::default();
    let cases = [
        SettingsCase { name: "two", crashes: 2, settings: usual, is_turned_away: false },
        SettingsCase { name: "three", crashes: 3, settings: usual, is_turned_away: true },
        SettingsCase {
            name: "four are allowed",
            crashes: 3,
            settings: CrashSettings { limit: 4, ..usual },
            is_turned_away: false,
        },
        SettingsCase {
            name: "switched off",
            crashes: 9,
            settings: CrashSettings { turn_away: false, ..usual },
            is_turned_away: false,
        },
    ];
    for case in cases {
        let registry = registry_after(case.crashes);
        registry.set_settings(&case.settings);
        let standing = registry.standing(REQUEST);
        let turned_away = matches!(standing, SuspectStanding::Condemned { .. });
        assert_eq!(turned_away, case.is_turned_away, "{}: {standing:?}", case.name);
    }
}

/// Two suspects whose trial runs are requested at the same time.
struct TrialCase {
    name: &'static str,
    first: (u64, u32),
    second: (u64, u32),
    /// Whether the second waits for the end of the first.
    waits: bool,
}

const TRIALS: [TrialCase; 4] = [
    TrialCase { name: "copies of one request", first: (1, 1), second: (1, 1), waits: true },
    TrialCase { name: "two requests with a crash each", first: (1, 1), second: (2, 1), waits: false },
    TrialCase { name: "two requests with two crashes each", first: (1, 2), second: (2, 2), waits: true },
    TrialCase { name: "one with two crashes, one with one", first: (1, 2), second: (2, 1), waits: false },
];

#[tokio::test]
async fn trial_runs_wait_for_copies_and_those_of_several_crashes_for_each_other() {
    for case in TRIALS {
        let registry = Arc::new(SuspectRegistry::default());
        let first = registry.trial_runs.begin(RequestDigest(case.first.0), case.first.1).await;
        let waiting = {
            let registry = registry.clone();
            tokio::spawn(async move {
                registry.trial_runs.begin(RequestDigest(case.second.0), case.second.1).await
            })
        };
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(!waiting.is_finished(), case.waits, "{}", case.name);
        drop(first);
        waiting.await.expect("begins");
    }
}

/// What happens to a trial run after it has begun, and the crashes that are counted afterwards.
struct TrialEndCase {
    name: &'static str,
    event: fn(&SuspectRegistry, RunMode),
    crashes: u32,
}

const TRIAL_ENDS: [TrialEndCase; 4] = [
    TrialEndCase { name: "its end is not reported", event: |_, _| {}, crashes: 4 },
    TrialEndCase {
        name: "the server crashes",
        event: |registry, mode| {
            registry.report_crash(InstanceDigest(99), &[Suspect { request: REQUEST, mode }])
        },
        crashes: 4,
    },
    TrialEndCase {
        name: "the server does not start it",
        event: |registry, mode| {
            if let RunMode::Trial(mark) = mode {
                registry.withdraw_trial(REQUEST, mark);
            }
        },
        crashes: 3,
    },
    TrialEndCase { name: "it ends well", event: |registry, _| assert!(registry.clear(REQUEST)), crashes: 0 },
];

#[tokio::test]
async fn a_trial_run_counts_as_one_crash_until_it_ends_well() {
    for case in TRIAL_ENDS {
        let registry = registry_after(3);
        registry.set_settings(&CrashSettings { pause_ms: 1, ..CrashSettings::default() });
        tokio::time::sleep(Duration::from_millis(5)).await;
        let trial = registry.trial_runs.begin(REQUEST, 3).await;
        let mode = registry.begin_run(REQUEST, Some(&trial)).expect("the pause is over");
        assert!(matches!(mode, RunMode::Trial(_)), "{}", case.name);
        assert_eq!(registry.standing(REQUEST).crashes(), 4, "{}: during the run", case.name);
        (case.event)(&registry, mode);
        assert_eq!(registry.standing(REQUEST).crashes(), case.crashes, "{}", case.name);
    }
}

/// Calls in one batch.
const CALLS: u32 = 10_000;
/// Batches; the fastest one counts, so that other work on the machine does not.
const BATCHES: usize = 20;
/// Largest cost of tracking a call while there are no suspects, as a ratio to the cost of its entry in the table of running calls.
const MAX_COST_RATIO: f64 = 1.0;

/// Time of one call in the fastest batch.
fn fastest_call(mut call: impl FnMut(u32)) -> Duration {
    let batch = |_| {
        let started = Instant::now();
        (0..CALLS).for_each(&mut call);
        started.elapsed()
    };
    (0..BATCHES).map(batch).min().expect("batches") / CALLS
}

#[test]
fn tracking_a_call_costs_less_than_its_running_calls_entry_while_there_are_no_suspects() {
    let registry = SuspectRegistry::default();
    let tracker = CrashTracker::new(Incarnation(1));
    let cost = fastest_call(|number| {
        let number = number.to_le_bytes();
        let parts: [&[u8]; 6] = [b"cluster", b"host.example", b"GET", b"/a/path/", &number, &[7; 8]];
        let digest = RequestDigest::of(&parts);
        black_box(registry.standing(digest));
        let work = tracker.begin(None, digest, RunMode::Usual);
        black_box(registry.is_suspect(digest));
        work.finish(RunEnd::Answered);
        drop(work);
    });
    let calls = RunningCalls::new(Incarnation(1), EarlierCalls::none());
    let root = RootId(1);
    let priority = Priority::new(PriorityClass::Normal, root);
    let ledger = RetryLedger::new(1, false);
    let now = seamhatch_core::Instant(1);
    let call = Arc::new(RunningCall::new(root, priority, now, now, 0, ledger));
    let entry = fastest_call(|_| drop(black_box(calls.register(call.clone(), Some("a-name")))));
    let ratio = cost.as_secs_f64() / entry.as_secs_f64();
    println!("{cost:?} per call, ratio {ratio:.2} to its entry in the table of running calls ({entry:?})");
    assert!(ratio < MAX_COST_RATIO, "cost ratio {ratio}");
}
