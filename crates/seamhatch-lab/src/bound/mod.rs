//! `seamhatch-lab bound`: the most credit that any admission and placement could earn on a day, as a linear program.
//!
//! A measured day is judged against it: what lies between is what better decisions could gain, the rest is missing capacity.
//! It starts nothing. `plan` reads the day, `program` solves it.

pub mod plan;
pub mod program;

use plan::DayPlan;
use program::DayBound;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const HELP: &str = "\
seamhatch-lab bound - the most credit that any admission could earn on a day

USAGE: seamhatch-lab bound PLAN.toml...

A plan names services with their servers, and the requests that come; see docs/OPERATIONS.md.
";

/// Runs the command: prints the bound of each plan.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    if arguments.iter().any(|argument| argument == "--help" || argument == "-h") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.is_empty() {
        eprint!("{HELP}");
        return ExitCode::from(2);
    }
    for path in arguments.into_iter().map(PathBuf::from) {
        match bound_of(&path) {
            Ok(bound) => print!("{}", table(&path.display().to_string(), &bound)),
            Err(error) => {
                eprintln!("seamhatch-lab: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn bound_of(path: &Path) -> Result<DayBound, Box<dyn std::error::Error>> {
    Ok(program::solve(&DayPlan::read(path)?)?)
}

/// One line for the day, one for its kinds of requests, and one for the services that are full at times.
fn table(name: &str, bound: &DayBound) -> String {
    let requests: Vec<String> =
        bound.requests.iter().map(|request| format!("{} {:.3}", request.name, request.credit)).collect();
    let full: Vec<String> = bound
        .services
        .iter()
        .filter(|service| service.full_seconds > 0)
        .map(|service| format!("{} {} s", service.name, service.full_seconds))
        .collect();
    let full = if full.is_empty() { "none".to_owned() } else { full.join(", ") };
    format!("{name}: credit {:.3}\n    {}\n    full: {full}\n", bound.credit, requests.join(", "))
}
