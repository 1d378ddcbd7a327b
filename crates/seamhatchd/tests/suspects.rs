//! Suspects as the threads of one daemon see them: standing by the configuration, trials one after the other, and what a
//! call pays while nothing is suspected.

use seamhatch_core::crashes::{InstanceDigest, RunEnd, RunMode, Suspect, SuspectStanding};
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

fn book_after(crashes: u64) -> SuspectRegistry {
    let book = SuspectRegistry::default();
    for life in 1..=crashes {
        book.report_crash(InstanceDigest(life), &[suspect(life > 2)]);
    }
    book
}

struct SettingsCase {
    name: &'static str,
    crashes: u64,
    settings: CrashSettings,
    is_turned_away: bool,
}

#[test]
fn a_configuration_sets_the_count_and_whether_anything_is_turned_away() {
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
        let book = book_after(case.crashes);
        book.set_settings(&case.settings);
        let standing = book.standing(REQUEST);
        let turned_away = matches!(standing, SuspectStanding::Condemned { .. });
        assert_eq!(turned_away, case.is_turned_away, "{}: {standing:?}", case.name);
    }
}

/// Two suspects that want to run at once.
struct TrialCase {
    name: &'static str,
    first: (u64, u32),
    second: (u64, u32),
    /// The second waits for the first.
    waits: bool,
}

const TRIALS: [TrialCase; 4] = [
    TrialCase { name: "copies of one request", first: (1, 1), second: (1, 1), waits: true },
    TrialCase { name: "two requests with a crash each", first: (1, 1), second: (2, 1), waits: false },
    TrialCase { name: "two requests with two crashes each", first: (1, 2), second: (2, 2), waits: true },
    TrialCase { name: "one with two crashes, one with one", first: (1, 2), second: (2, 1), waits: false },
];

#[tokio::test]
async fn suspects_wait_for_copies_and_those_of_several_crashes_for_each_other() {
    for case in TRIALS {
        let book = Arc::new(SuspectRegistry::default());
        let first = book.trial_runs.begin(RequestDigest(case.first.0), case.first.1).await;
        let waiting = {
            let book = book.clone();
            tokio::spawn(
                async move { book.trial_runs.begin(RequestDigest(case.second.0), case.second.1).await },
            )
        };
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(!waiting.is_finished(), case.waits, "{}", case.name);
        drop(first);
        waiting.await.expect("begins");
    }
}

/// What becomes of a trial run that was begun.
struct BegunCase {
    name: &'static str,
    then: fn(&SuspectRegistry, RunMode),
    crashes: u32,
}

const BEGUN: [BegunCase; 4] = [
    BegunCase { name: "nobody tells how it ended", then: |_, _| {}, crashes: 4 },
    BegunCase {
        name: "its server crashes",
        then: |book, mode| book.report_crash(InstanceDigest(99), &[Suspect { request: REQUEST, mode }]),
        crashes: 4,
    },
    BegunCase {
        name: "its server does not begin it",
        then: |book, mode| {
            if let RunMode::Trial(mark) = mode {
                book.withdraw_trial(REQUEST, mark);
            }
        },
        crashes: 3,
    },
    BegunCase { name: "it ends well", then: |book, _| assert!(book.clear(REQUEST)), crashes: 0 },
];

#[tokio::test]
async fn a_trial_run_counts_once_from_its_beginning_until_it_ends_well() {
    for case in BEGUN {
        let book = book_after(3);
        book.set_settings(&CrashSettings { pause_ms: 1, ..CrashSettings::default() });
        tokio::time::sleep(Duration::from_millis(5)).await;
        let trial = book.trial_runs.begin(REQUEST, 3).await;
        let mode = book.begin_run(REQUEST, Some(&trial)).expect("its pause is over");
        assert!(matches!(mode, RunMode::Trial(_)), "{}", case.name);
        assert_eq!(book.standing(REQUEST).crashes(), 4, "{}: while it runs", case.name);
        (case.then)(&book, mode);
        assert_eq!(book.standing(REQUEST).crashes(), case.crashes, "{}", case.name);
    }
}

/// Calls of one batch, and batches; the fastest batch counts, so that other work on the machine doesn't.
const CALLS: u32 = 10_000;
const BATCHES: usize = 20;
/// Most that a call may pay while nothing is suspected, as a share of what its entry in the table of running calls costs.
const MOST_PAID: f64 = 1.0;

/// Time of one call, by the fastest batch.
fn fastest(mut call: impl FnMut(u32)) -> Duration {
    let batch = |_| {
        let started = Instant::now();
        (0..CALLS).for_each(&mut call);
        started.elapsed()
    };
    (0..BATCHES).map(batch).min().expect("batches") / CALLS
}

#[test]
fn a_call_pays_less_than_its_entry_in_the_table_of_running_calls_while_nothing_is_suspected() {
    let book = SuspectRegistry::default();
    let watch = CrashTracker::new(Incarnation(1));
    let paid = fastest(|number| {
        let number = number.to_le_bytes();
        let parts: [&[u8]; 6] = [b"cluster", b"host.example", b"GET", b"/a/path/", &number, &[7; 8]];
        let digest = RequestDigest::of(&parts);
        black_box(book.standing(digest));
        let work = watch.begin(None, digest, RunMode::Usual);
        black_box(book.is_suspect(digest));
        work.finish(RunEnd::Answered);
        drop(work);
    });
    let calls = RunningCalls::new(Incarnation(1));
    let root = RootId(1);
    let priority = Priority::new(PriorityClass::Normal, root);
    let ledger = RetryLedger::new(1, false);
    let now = seamhatch_core::Instant(1);
    let call = Arc::new(RunningCall::new(root, priority, now, now, 0, ledger));
    let entry = fastest(|_| drop(black_box(calls.register(call.clone(), Some("a-name")))));
    let ratio = paid.as_secs_f64() / entry.as_secs_f64();
    println!("{paid:?} a call, {ratio:.2} of its entry among the running calls ({entry:?})");
    assert!(ratio < MOST_PAID, "{ratio}");
}
