//! `seamhatch-lab report`: one HTML page for the history of a soak, with plots over time, the faults as bands, and the promises
//! that were broken.
//!
//! It reads a kept history and nothing else; `series` counts, `plots` draws.

mod plots;
mod series;

pub use series::{AnswerKind, SecondCounts, SoakSeries};

use super::checks::check;
use super::history::{HistoryEvent, from_lines};
use super::spans::{FaultSpan, fault_spans};
use pico_args::Arguments;
use plots::PlotError;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const HELP: &str = "\
seamhatch-lab report HISTORY [--out FILE]

Draws what callers saw of a soak, second by second: answers by outcome, the time until they came, and
refusals by reason, with the faults as bands behind. HISTORY is a file that `soak` has kept.

  --out FILE   the page (HISTORY with .html in place of its ending)

Exit codes: 0 written, 1 it can't be written, 2 wrong arguments.
";
const EXIT_ARGUMENTS: u8 = 2;

/// Why a page can't be made.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file can't be read or written.
    #[error("{path}: {source}; check the path and its permissions")]
    File {
        /// The file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file is not a history.
    #[error("{path} is not the history of a soak: {source}; name a history.jsonl that `soak` has kept")]
    History {
        /// The file.
        path: String,
        /// The line, and why it can't be read.
        source: super::history::HistoryError,
    },
    /// A plot can't be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
}

/// Runs the command.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let (out, history) = match parse(arguments) {
        Ok(parsed) => parsed,
        Err(problem) => {
            eprintln!("seamhatch-lab: {problem}; see seamhatch-lab report --help");
            return ExitCode::from(EXIT_ARGUMENTS);
        }
    };
    match write(&history, &out) {
        Ok(()) => {
            println!("{}", out.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("seamhatch-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse(mut arguments: Arguments) -> Result<(PathBuf, PathBuf), String> {
    let out: Option<PathBuf> =
        arguments.opt_value_from_str("--out").map_err(|error: pico_args::Error| error.to_string())?;
    let history: PathBuf = arguments.free_from_str().map_err(|_| "report needs a history".to_owned())?;
    if let Some(unknown) = arguments.finish().first() {
        return Err(format!("unknown argument {unknown:?}"));
    }
    Ok((out.unwrap_or_else(|| history.with_extension("html")), history))
}

fn write(path: &Path, out: &Path) -> Result<(), ReportError> {
    let file_error = |path: &Path| {
        let path = path.display().to_string();
        move |source| ReportError::File { path, source }
    };
    let text = std::fs::read_to_string(path).map_err(file_error(path))?;
    let history = from_lines(&text)
        .map_err(|source| ReportError::History { path: path.display().to_string(), source })?;
    let page = page(&history, &path.display().to_string())?;
    std::fs::write(out, page).map_err(file_error(out))
}

/// The page of a history.
///
/// # Errors
/// A plot can't be drawn.
pub fn page(history: &[HistoryEvent], name: &str) -> Result<String, ReportError> {
    let series = SoakSeries::of(history);
    let bands = fault_spans(history);
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title>\n\
         <style>body{{font-family:sans-serif;margin:2em}}table{{border-collapse:collapse}}\
         td,th{{padding:.2em .8em;text-align:left;border-bottom:1px solid #ccc}}</style>\n<h1>{0}</h1>\n",
        escaped(name)
    );
    page.push_str(&format!("<p>{} requests in {} s.</p>\n", series.total(), series.seconds.len()));
    for plot in plots::draw_all(&series, &bands)? {
        page.push_str(&plot);
    }
    page.push_str(&fault_table(&bands));
    page.push_str(&promise_list(history));
    Ok(page)
}

fn fault_table(bands: &[FaultSpan]) -> String {
    let mut table = String::from("<h2>Faults</h2>\n<table><tr><th>from s<th>to s<th>what\n");
    for band in bands {
        let to = if band.to_ms == u64::MAX { "end".to_owned() } else { seconds(band.to_ms) };
        let what = escaped(&format!("{:?}", band.fault));
        table.push_str(&format!("<tr><td>{}<td>{to}<td>{what}\n", seconds(band.from_ms)));
    }
    table.push_str("</table>\n");
    table
}

fn promise_list(history: &[HistoryEvent]) -> String {
    let mut list = String::from("<h2>Promises</h2>\n");
    let violations = check(history);
    if violations.is_empty() {
        list.push_str("<p>All were kept.</p>\n");
    }
    for violation in violations {
        let text = format!("{:?} at {}: {}", violation.promise, violation.subject, violation.detail);
        list.push_str(&format!("<p>{}</p>\n", escaped(&text)));
    }
    list
}

fn seconds(milliseconds: u64) -> String {
    format!("{:.1}", milliseconds as f64 / 1000.0)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
