//! The check that a request which crashes servers crashes few of them.
//!
//! Counts the runs of one request over all its copies: in all, and those that began when every daemon must have known of its third
//! crash. Called by `checks`.

use super::history::{HistoryEvent, SoakMillis};
use super::promise::{Promise, Violation, violation};
use crate::backends::{AWAY, DEADLY_PATH};
use std::collections::{BTreeMap, HashMap};

/// Most runs in all: a request is condemned after its third crash, which two servers of a service may each see for themselves while one
/// of their daemons is cut off or starts, and three more may be under way by then.
const MOST_RUNS: usize = 9;
/// Time after the third crash by which every daemon knows of it, in milliseconds.
const KNOWN_MS: SoakMillis = 3_000;
/// Most runs that begin later than that.
const MOST_LATE_RUNS: usize = 3;

/// One run of a request that crashes servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DeadlyRun<'a> {
    at_ms: SoakMillis,
    server: &'a str,
}

pub(super) fn crashes_contained(history: &[HistoryEvent]) -> Vec<Violation> {
    let mut runs: BTreeMap<&str, Vec<DeadlyRun>> = BTreeMap::new();
    for event in history {
        if let HistoryEvent::Executed { call, at_ms, server, is_deadly, .. } = event
            && (*is_deadly || call.contains(DEADLY_PATH))
        {
            runs.entry(call).or_default().push(DeadlyRun { at_ms: *at_ms, server });
        }
    }
    runs.into_iter().flat_map(|(call, runs)| violations(call, runs)).collect()
}

fn violations(call: &str, mut runs: Vec<DeadlyRun>) -> Vec<Violation> {
    runs.sort_unstable();
    let late = late_runs(&runs);
    let mut found = Vec::new();
    if runs.len() > MOST_RUNS {
        found.push(format!("ran {} times, {MOST_RUNS} are allowed", runs.len()));
    }
    if late > MOST_LATE_RUNS {
        found.push(format!("ran {late} times later than {KNOWN_MS} ms after its third crash"));
    }
    let when: Vec<String> = runs.iter().map(|run| format!("{} at {}", run.at_ms, run.server)).collect();
    let detail = |what: String| format!("{what} (ms of each run: {})", when.join(", "));
    found.into_iter().map(|what| violation(Promise::CrashesContained, call, detail(what))).collect()
}

/// Runs that began later than [`KNOWN_MS`] after the third crash. Copies that run on one server at once end it once.
fn late_runs(runs: &[DeadlyRun]) -> usize {
    let mut back_ms: HashMap<&str, SoakMillis> = HashMap::new();
    let mut crashes = Vec::new();
    for run in runs {
        let back = back_ms.entry(run.server).or_default();
        if run.at_ms >= *back {
            *back = run.at_ms + AWAY.as_millis() as SoakMillis;
            crashes.push(run.at_ms);
        }
    }
    let Some(third) = crashes.get(2) else { return 0 };
    runs.iter().filter(|run| run.at_ms > third + KNOWN_MS).count()
}
