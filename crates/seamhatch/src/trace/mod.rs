//! A request's path, gathered from the logs of many daemons (JSON lines).
//!
//! [`trace`] keeps the lines of the request and of its calls, and what the daemons on its way logged meanwhile; `cause`
//! sums it up in a sentence. Event names and keys are those of the daemon's log lines.

mod cause;
mod log;
mod meaning;

use crate::arguments::TraceOptions;
use crate::error::CliError;
use log::LogSource;
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt::Write;

/// Between the name of a request and what names the call that it causes.
const CALL_SEPARATOR: char = '.';
/// Event of the daemon beside a server: a call was not run, or not to its end.
const CALL_REFUSED: &str = "call refused";
/// Lines without this are about no request.
const REQUEST_KEY: &str = "\"request\"";

/// What the logs say about a request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestTrace {
    /// One sentence: why it ended as it did.
    pub cause: String,
    /// In order of time.
    pub lines: Vec<TraceLine>,
}

/// One line of a log that is about the request, or about what a daemon on its way found out.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TraceLine {
    /// Time as the daemon wrote it.
    pub time: String,
    /// Name of the daemon: of its log file, or what stands before the line.
    pub daemon: String,
    /// The request or call that it is about; none for what the daemon found out.
    pub request: Option<String>,
    /// What happened.
    pub event: String,
    /// What decided it, and the outcome.
    pub fields: Map<String, Value>,
}

impl TraceLine {
    /// A field as text; "unknown" where the line does not have it.
    fn shown(&self, key: &str) -> String {
        match self.fields.get(key) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => "unknown".into(),
        }
    }

    /// A field that is a number; 0 where the line does not have it.
    fn number(&self, key: &str) -> u64 {
        self.fields.get(key).and_then(Value::as_u64).unwrap_or_default()
    }
}

/// Reads logs and keeps the lines about a request, in order of time.
///
/// # Errors
/// A file can't be read, or no line is about the request.
pub fn trace(options: &TraceOptions) -> Result<RequestTrace, CliError> {
    let sources = LogSource::open(&options.files)?;
    let request = options.request.as_str();
    let mut lines = Vec::new();
    for source in &sources {
        let named = source.lines(|line| line.contains(request))?;
        lines.extend(named.into_iter().filter(|line| is_about(line, request)));
    }
    if lines.is_empty() {
        let detail = format!(
            "no line tells of the request {request:?}; give the logs of the daemon that it was sent to"
        );
        return Err(CliError::Refused { detail });
    }
    let findings = meanwhile(&sources, &lines)?;
    lines.extend(findings);
    lines.sort_by(|left, right| left.time.cmp(&right.time));
    Ok(RequestTrace { cause: cause::cause(request, &lines), lines })
}

/// As text, a line each, the cause last.
#[must_use]
pub fn to_text(trace: &RequestTrace) -> String {
    let mut text = String::new();
    for line in &trace.lines {
        let name = line.request.as_deref().unwrap_or("*");
        // Writing into a string does not fail.
        let _ = write!(text, "{} {:<20} {name} {}", line.time, line.daemon, line.event);
        for (key, value) in &line.fields {
            let shown = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            let _ = write!(text, " {key}={shown}");
        }
        text.push('\n');
    }
    let _ = writeln!(text, "cause: {}", trace.cause);
    text
}

/// Whether a line is about the request or a call that it caused.
fn is_about(line: &TraceLine, request: &str) -> bool {
    let rest = line.request.as_deref().and_then(|name| name.strip_prefix(request));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(CALL_SEPARATOR))
}

/// What the daemons on a request's way found out while it was under way.
fn meanwhile(sources: &[LogSource], own: &[TraceLine]) -> Result<Vec<TraceLine>, CliError> {
    let daemons: BTreeSet<&str> = own.iter().map(|line| line.daemon.as_str()).collect();
    let first = own.iter().map(|line| line.time.as_str()).min().unwrap_or_default();
    let last = own.iter().map(|line| line.time.as_str()).max().unwrap_or_default();
    let belongs = |line: &TraceLine| {
        line.request.is_none()
            && daemons.contains(line.daemon.as_str())
            && (first..=last).contains(&line.time.as_str())
    };
    let mut found = Vec::new();
    for source in sources {
        let lines = source.lines(|line| !line.contains(REQUEST_KEY))?;
        found.extend(lines.into_iter().filter(|line| belongs(line)));
    }
    Ok(found)
}
