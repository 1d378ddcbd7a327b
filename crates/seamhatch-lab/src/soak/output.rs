//! What a soak prints, and the files that it keeps of a failure: the plan, its smallest failing part, the history and the daemons' logs.

use super::history::{HistoryEvent, to_lines};
use super::plan::SoakPlan;
use super::promise::Violation;
use super::runner::SoakRecord;
use std::collections::BTreeMap;
use std::path::Path;

/// Violations of each promise that are printed; the history has them all.
const MOST_SHOWN: usize = 5;
/// File of a kept plan.
pub(super) const PLAN_FILE: &str = "plan.toml";
/// File of the smallest part of the plan that fails.
pub(super) const SMALLEST_FILE: &str = "smallest.toml";

pub(super) fn print_answers(history: &[HistoryEvent]) {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for event in history {
        if let HistoryEvent::Answered { answer, .. } = event {
            *counts.entry(format!("{} {} {}", answer.status, answer.outcome, answer.reason)).or_default() +=
                1;
        }
    }
    println!("answers, by status, outcome and reason:");
    counts.iter().for_each(|(what, count)| println!("  {count:>7}  {what}"));
}

pub(super) fn print_violations(violations: &[Violation]) {
    let mut by_promise: BTreeMap<_, Vec<&Violation>> = BTreeMap::new();
    for violation in violations {
        by_promise.entry(violation.promise).or_default().push(violation);
    }
    for (promise, broken) in by_promise {
        println!("BROKEN {promise:?}: {} times", broken.len());
        for violation in broken.iter().take(MOST_SHOWN) {
            println!("  {}: {}", violation.subject, violation.detail);
        }
    }
}

pub(super) fn keep_plan(directory: &Path, plan: &SoakPlan) -> std::io::Result<()> {
    std::fs::create_dir_all(directory)?;
    std::fs::write(directory.join(PLAN_FILE), plan.to_text())
}

pub(super) fn keep_record(directory: &Path, record: &SoakRecord) -> std::io::Result<()> {
    std::fs::write(directory.join("history.jsonl"), to_lines(&record.history))?;
    for (daemon, log) in record.logs.iter().enumerate() {
        std::fs::write(directory.join(format!("daemon-{daemon}.log")), log)?;
    }
    Ok(())
}

pub(super) fn print_kept(directory: &Path, kept: std::io::Result<()>) {
    match kept {
        Ok(()) => println!("kept in {}", directory.display()),
        Err(error) => eprintln!("seamhatch-lab: {} can't be written: {error}", directory.display()),
    }
}
