//! Stand-ins of the platform, and the cases of the review that use them. `review/REPORT.md` lists the cases.
//!
//! Usage, from the root of the repository: `standin CASE RECORD`, where RECORD is the file for what was sent, answered and run.
//! Exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it does the same without the disruption.

mod client;
mod departure;
mod deployment;
mod http;
mod json;
mod memory;
mod server;
mod slots;
mod store;

use deployment::Record;
use std::path::Path;
use std::process::ExitCode;

/// Result of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun(&'static str),
}

/// Whether the case brings its disruption about.
pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::new();
    let verdict = match case.as_str() {
        "departure" => departure::run(&record),
        "memory" => memory::run(&record),
        "slots" => slots::run(&record),
        _ => Verdict::NotRun("there is no such case"),
    };
    record.note(format!("{verdict:?}"));
    record.write(Path::new(&path));
    println!("{case}: {verdict:?}");
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun(_) => ExitCode::from(2),
    }
}
