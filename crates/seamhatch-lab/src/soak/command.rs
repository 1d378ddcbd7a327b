//! The command `seamhatch-lab soak`: reads its arguments, runs one plan after the other, and decides the exit code.

use super::checks::check;
use super::fleet::{SERVERS, SoakFleet};
use super::history;
use super::output::{
    PLAN_FILE, SMALLEST_FILE, keep_plan, keep_record, print_answers, print_kept, print_violations,
};
use super::plan::SoakPlan;
use super::promise::{Promise, Violation};
use super::runner::{self, SoakRecord, fleet};
use super::shrink;
use pico_args::Arguments;
use std::collections::BTreeSet;
use std::ffi::OsString;
use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;

const HELP: &str = "\
seamhatch-lab soak [--seconds N] [--seed S] [--daemons N] [--seeds N] [--shrink] [--keep DIRECTORY] [--keep-all] [--plan]
seamhatch-lab soak --replay FILE [--shrink] [--keep DIRECTORY] [--keep-all] [--plan]
seamhatch-lab soak --check HISTORY

Starts a small claims platform, sends load, injects faults that are drawn from the
seed (or read from FILE), and checks what callers, back ends and operators saw.

  --seconds N        length of the load (60)
  --seed S           what the plan is drawn from (random)
  --daemons N        daemons, the same number for each of the four services (8)
  --seeds N          N plans one after the other, of the seeds from S on, or of random ones
  --replay FILE      a plan that was printed before
  --shrink           drop faults of a plan that fails while it still fails; the smallest is kept
  --keep DIRECTORY   where plan, history and logs of a soak that fails are kept (soak-SEED);
                     with --seeds, a directory for each seed in it
  --keep-all         keep them of a soak that kept all promises, too
  --plan             print the plan and end
  --check HISTORY    check a history that was kept

Exit codes: 0 all promises kept, 1 a promise broken or the soak failed, 2 wrong arguments.
Example: seamhatch-lab soak --seconds 120 --seed 7
";

/// Length of the load in seconds, unless `--seconds` says otherwise.
const SECONDS: u64 = 60;
/// Daemons, unless `--daemons` says otherwise: two for each of four services.
const DAEMONS: usize = 8;
/// Most servers of a service. Each pair of daemons takes up to four sockets of the proxy: 80 daemons take 12,640 of the 20,000
/// files that a process can usually have open.
const MOST_SERVERS: u8 = 20;
/// Largest seed: numbers of a plan file have a sign.
const MOST_SEED: u64 = i64::MAX as u64;
/// Most plans that are tried to shrink one; each takes as long as the whole plan.
const MOST_TRIES: usize = 40;
const EXIT_ARGUMENTS: u8 = 2;

struct SoakOptions {
    plans: Vec<SoakPlan>,
    /// Where failures are kept; with several plans, each in a directory named after its seed.
    keep: Option<PathBuf>,
    keep_all: bool,
    shrink: bool,
    print_only: bool,
}

/// Runs the command.
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
            options.plans.iter().for_each(|plan| print!("{}", plan.to_text()));
            ExitCode::SUCCESS
        }
        Ok(options) => soak_all(&options),
        Err(problem) => unusable(&problem),
    }
}

fn unusable(problem: &str) -> ExitCode {
    eprintln!("seamhatch-lab: {problem}; see seamhatch-lab soak --help");
    ExitCode::from(EXIT_ARGUMENTS)
}

fn options(mut arguments: Arguments) -> Result<SoakOptions, String> {
    let replay: Option<PathBuf> = option(&mut arguments, "--replay")?;
    let plans = match replay {
        Some(path) => {
            let plan = SoakPlan::read(&path, fleet(SERVERS).services);
            vec![plan.map_err(|error| error.to_string())?]
        }
        None => drawn_plans(&mut arguments)?,
    };
    let keep = option(&mut arguments, "--keep")?;
    let keep_all = arguments.contains("--keep-all");
    let shrink = arguments.contains("--shrink");
    let print_only = arguments.contains("--plan");
    if let Some(unknown) = arguments.finish().first() {
        return Err(format!("unknown argument {unknown:?}"));
    }
    Ok(SoakOptions { plans, keep, keep_all, shrink, print_only })
}

fn drawn_plans(arguments: &mut Arguments) -> Result<Vec<SoakPlan>, String> {
    let seconds = option(arguments, "--seconds")?.unwrap_or(SECONDS);
    let first: Option<u64> = option(arguments, "--seed")?;
    let count: u64 = option(arguments, "--seeds")?.unwrap_or(1);
    let daemons: usize = option(arguments, "--daemons")?.unwrap_or(DAEMONS);
    let fleet = fleet_of(daemons)?;
    if let Some(first) = first
        && first.saturating_add(count.saturating_sub(1)) > MOST_SEED
    {
        return Err(format!(
            "--seed is {first}, with --seeds {count} beyond {MOST_SEED}: give a smaller one"
        ));
    }
    let seed = |number| first.map_or_else(|| rand::random_range(0..MOST_SEED), |first| first + number);
    Ok((0..count).map(|number| SoakPlan::draw(seed(number), seconds, fleet)).collect())
}

fn fleet_of(daemons: usize) -> Result<SoakFleet, String> {
    let services = fleet(SERVERS).services;
    let servers =
        u8::try_from(daemons / services).ok().filter(|servers| (1..=MOST_SERVERS).contains(servers));
    let servers = servers.filter(|servers| usize::from(*servers) * services == daemons);
    let most = services * usize::from(MOST_SERVERS);
    servers.map(fleet).ok_or(format!("--daemons is {daemons}, not a multiple of {services} up to {most}"))
}

fn option<T: FromStr<Err: Display>>(
    arguments: &mut Arguments,
    name: &'static str,
) -> Result<Option<T>, String> {
    arguments.opt_value_from_str(name).map_err(|error| error.to_string())
}

fn soak_all(options: &SoakOptions) -> ExitCode {
    let single = options.plans.len() == 1;
    let mut failed = Vec::new();
    for plan in &options.plans {
        let name = format!("soak-{}", plan.seed);
        let directory = match &options.keep {
            Some(directory) if single => directory.clone(),
            Some(directory) => directory.join(name),
            None => PathBuf::from(name),
        };
        let end = soak(plan, &directory, options.keep_all);
        if let SoakEnd::Broken(promises) = &end
            && options.shrink
        {
            print_kept(&directory, shrink_into(&directory, plan, promises));
        }
        if end != SoakEnd::Kept {
            failed.push((plan.seed, directory));
        }
    }
    if !single {
        println!("{} soaks, {} failed", options.plans.len(), failed.len());
        for (seed, directory) in &failed {
            println!("  seed {seed}: its plan is {}", directory.join(PLAN_FILE).display());
        }
    }
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// How a soak ended.
#[derive(Debug, Clone, PartialEq, Eq)]
enum SoakEnd {
    /// All promises were kept.
    Kept,
    /// These promises were broken.
    Broken(BTreeSet<Promise>),
    /// It did not run to its end.
    Unfinished,
}

/// Runs a plan and checks its history. The files of a failure go into the directory, with `keep_all` those of any soak.
fn soak(plan: &SoakPlan, directory: &Path, keep_all: bool) -> SoakEnd {
    println!("seed {}, {} s, {} faults:\n{}", plan.seed, plan.seconds, plan.faults.len(), plan.to_text());
    let record = match run_to_end(plan) {
        Ok(record) => record,
        Err(problem) => {
            eprintln!("seamhatch-lab: the soak of seed {} did not run to its end: {problem}", plan.seed);
            print_kept(directory, keep_plan(directory, plan));
            return SoakEnd::Unfinished;
        }
    };
    print_answers(&record.history);
    let violations = check(&record.history);
    if keep_all || !violations.is_empty() {
        print_kept(directory, keep_plan(directory, plan).and_then(|()| keep_record(directory, &record)));
    }
    if violations.is_empty() {
        println!("seed {}: all promises kept", plan.seed);
        return SoakEnd::Kept;
    }
    println!("seed {}: {} violations", plan.seed, violations.len());
    print_violations(&violations);
    SoakEnd::Broken(promises_of(&violations))
}

fn promises_of(violations: &[Violation]) -> BTreeSet<Promise> {
    violations.iter().map(|violation| violation.promise).collect()
}

/// Writes the smallest part of the plan that breaks one of these promises. A part that does not run to its end counts as not failing.
fn shrink_into(directory: &Path, plan: &SoakPlan, promises: &BTreeSet<Promise>) -> std::io::Result<()> {
    let shrunk = shrink::shrink(plan, MOST_TRIES, |smaller| {
        let broken = match run_to_end(smaller) {
            Ok(record) => promises_of(&check(&record.history)),
            Err(problem) => {
                eprintln!("seamhatch-lab: a smaller plan did not run to its end: {problem}");
                BTreeSet::new()
            }
        };
        let fails = !broken.is_disjoint(promises);
        println!("with {} faults: {}", smaller.faults.len(), if fails { "fails" } else { "does not fail" });
        fails
    });
    let end = if shrunk.complete { "no other fault can be dropped" } else { "given up" };
    println!(
        "{} of {} faults left after {} tries, {end}",
        shrunk.plan.faults.len(),
        plan.faults.len(),
        shrunk.tries
    );
    std::fs::write(directory.join(SMALLEST_FILE), shrunk.plan.to_text())
}

/// Runs a plan. The deployment's processes end with it, also when it is interrupted.
fn run_to_end(plan: &SoakPlan) -> Result<SoakRecord, String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    runtime.block_on(async {
        let running = tokio::spawn({
            let plan = plan.clone();
            async move { runner::run_plan(&plan, program).await }
        });
        tokio::select! {
            record = running => record.map_err(|error| error.to_string())?,
            _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
        }
    })
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
