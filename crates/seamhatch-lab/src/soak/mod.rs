//! A randomized soak: real daemons as processes, faults from outside at times drawn from a seed, and the
//! promises of docs/GUARANTEES.md checked from what callers, back ends and operators saw.

pub mod checks;
pub mod draw;
pub mod faults;
pub mod history;
pub mod load;
pub mod no_server;
pub mod plan;
pub mod recorder;
pub mod run;
pub mod spans;
pub mod steps;
mod stops;

use checks::{Violation, check};
use history::{HistoryEvent, to_lines};
use pico_args::Arguments;
use plan::{SERVERS, SoakPlan};
use run::{SoakRecord, fleet};
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const HELP: &str = "\
seamhatch-lab soak [--seconds N] [--seed S] [--replay FILE] [--keep DIRECTORY] [--plan]
seamhatch-lab soak --check HISTORY

Starts the claims platform in small, sends load, brings faults about that are drawn from the
seed (or stand in FILE), and checks what callers, back ends and operators saw.

  --seconds N        length of the load (60)
  --seed S           what the plan is drawn from (drawn)
  --replay FILE      a plan that was printed before
  --keep DIRECTORY   where plan, history and logs of a soak that fails are kept (soak-SEED)
  --plan             print the plan and end
  --check HISTORY    check a history that was kept

Exit codes: 0 all promises kept, 1 a promise broken or the soak failed, 2 wrong arguments.
Example: seamhatch-lab soak --seconds 120 --seed 7
";

/// Length of a soak's load, in seconds.
const SECONDS: u64 = 60;
/// Violations of a promise that are printed.
const MOST_SHOWN: usize = 5;
const EXIT_ARGUMENTS: u8 = 2;

/// What to do.
struct SoakOptions {
    plan: SoakPlan,
    keep: PathBuf,
    print_only: bool,
}

/// Runs a soak, or checks the history of one.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match arguments.opt_value_from_str::<_, PathBuf>("--check") {
        Ok(Some(path)) => return check_file(&path),
        Ok(None) => {}
        Err(error) => return unusable(&error.to_string()),
    }
    match options(arguments) {
        Ok(options) if options.print_only => {
            print!("{}", options.plan.to_text());
            ExitCode::SUCCESS
        }
        Ok(options) => soak(&options),
        Err(problem) => unusable(&problem),
    }
}

fn unusable(problem: &str) -> ExitCode {
    eprintln!("seamhatch-lab: {problem}; see seamhatch-lab soak --help");
    ExitCode::from(EXIT_ARGUMENTS)
}

fn options(mut arguments: Arguments) -> Result<SoakOptions, String> {
    let text = |error: pico_args::Error| error.to_string();
    let seconds = arguments.opt_value_from_str("--seconds").map_err(text)?.unwrap_or(SECONDS);
    let seed = arguments.opt_value_from_str("--seed").map_err(text)?;
    let replay: Option<PathBuf> = arguments.opt_value_from_str("--replay").map_err(text)?;
    let keep: Option<PathBuf> = arguments.opt_value_from_str("--keep").map_err(text)?;
    let print_only = arguments.contains("--plan");
    if let Some(unknown) = arguments.finish().first() {
        return Err(format!("unknown argument {unknown:?}"));
    }
    let fleet = fleet(SERVERS);
    let plan = match replay {
        Some(path) => SoakPlan::read(&path, fleet.services).map_err(|error| error.to_string())?,
        // A seed that fits into a plan file, whose numbers have a sign.
        None => SoakPlan::draw(seed.unwrap_or_else(|| rand::random::<u64>() >> 1), seconds, fleet),
    };
    let keep = keep.unwrap_or_else(|| PathBuf::from(format!("soak-{}", plan.seed)));
    Ok(SoakOptions { plan, keep, print_only })
}

fn soak(options: &SoakOptions) -> ExitCode {
    let plan = &options.plan;
    println!("seed {}, {} s, {} faults:\n{}", plan.seed, plan.seconds, plan.faults.len(), plan.to_text());
    let record = match played(plan) {
        Ok(record) => record,
        Err(problem) => {
            eprintln!("seamhatch-lab: the soak of seed {} did not run to its end: {problem}", plan.seed);
            return ExitCode::FAILURE;
        }
    };
    print_answers(&record.history);
    let violations = check(&record.history);
    if violations.is_empty() {
        println!("seed {}: all promises kept", plan.seed);
        return ExitCode::SUCCESS;
    }
    print_violations(&violations);
    match keep(&options.keep, plan, &record) {
        Ok(()) => println!("plan, history and logs are kept in {}", options.keep.display()),
        Err(error) => eprintln!("seamhatch-lab: {} can't be written: {error}", options.keep.display()),
    }
    ExitCode::FAILURE
}

/// Plays a plan; the deployment's processes end with this, also when it is interrupted.
fn played(plan: &SoakPlan) -> Result<SoakRecord, String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    runtime.block_on(async {
        let playing = tokio::spawn({
            let plan = plan.clone();
            async move { run::run(&plan, program).await }
        });
        tokio::select! {
            record = playing => record.map_err(|error| error.to_string())?,
            _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
        }
    })
}

fn print_answers(history: &[HistoryEvent]) {
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

fn print_violations(violations: &[Violation]) {
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

fn keep(directory: &Path, plan: &SoakPlan, record: &SoakRecord) -> std::io::Result<()> {
    std::fs::create_dir_all(directory)?;
    std::fs::write(directory.join("plan.toml"), plan.to_text())?;
    std::fs::write(directory.join("history.jsonl"), to_lines(&record.history))?;
    for (daemon, log) in record.logs.iter().enumerate() {
        std::fs::write(directory.join(format!("daemon-{daemon}.log")), log)?;
    }
    Ok(())
}

fn check_file(path: &Path) -> ExitCode {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return unusable(&format!("{} can't be read: {error}", path.display())),
    };
    let history = match history::from_lines(&text) {
        Ok(history) => history,
        Err(error) => return unusable(&error.to_string()),
    };
    let violations = check(&history);
    print_violations(&violations);
    if violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
