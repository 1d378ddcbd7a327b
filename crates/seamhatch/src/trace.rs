//! A request's path, gathered from the logs of many daemons.

use crate::arguments::TraceOptions;
use crate::error::CliError;
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::io::{BufRead, BufReader};
use std::path::Path;

/// Between the name of a request and what names the call that it causes.
const CALL_SEPARATOR: char = '.';
/// Fields that are shown in their own place.
const SHOWN_APART: [&str; 4] = ["time", "level", "message", "request"];

/// One line of a log that tells of the request, or of what a daemon on its way came to believe.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TraceLine {
    /// Time as the daemon wrote it.
    pub time: String,
    /// Name of the daemon: of its log file, or what stands before the line.
    pub daemon: String,
    /// The request or call that it tells of; none for what the daemon came to believe.
    pub request: Option<String>,
    /// What happened.
    pub event: String,
    /// What decided it, and the outcome.
    pub fields: Map<String, Value>,
}

/// Reads logs and keeps what tells of a request, in order of time.
///
/// # Errors
/// A file can't be read, or no line tells of the request.
pub fn trace(options: &TraceOptions) -> Result<Vec<TraceLine>, CliError> {
    let mut lines = Vec::new();
    if options.files.is_empty() {
        read_log("", std::io::stdin().lock(), &mut lines);
    }
    for file in &options.files {
        let unreadable = |source| CliError::Unreadable { path: file.clone(), source };
        let log = std::fs::File::open(file).map_err(unreadable)?;
        read_log(&daemon_name(file), BufReader::new(log), &mut lines);
    }
    let path = select(lines, &options.request);
    if path.is_empty() {
        let detail = format!(
            "no line tells of the request {:?}; give the logs of the daemon that it was sent to",
            options.request
        );
        return Err(CliError::Refused { detail });
    }
    Ok(path)
}

/// As text, a line each.
#[must_use]
pub fn to_text(lines: &[TraceLine]) -> String {
    let mut text = String::new();
    for line in lines {
        let name = line.request.as_deref().unwrap_or("*");
        // Writing into a string does not fail.
        let _ = write!(text, "{} {:<20} {name} {}", line.time, line.daemon, line.event);
        for (key, value) in &line.fields {
            let shown = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            let _ = write!(text, " {key}={shown}");
        }
        text.push('\n');
    }
    text
}

fn daemon_name(file: &Path) -> String {
    file.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default()
}

/// Lines that aren't JSON objects are passed over: a log may begin with what a shell has written.
fn read_log(daemon: &str, log: impl BufRead, lines: &mut Vec<TraceLine>) {
    for line in log.lines().map_while(Result::ok) {
        let Some(start) = line.find('{') else { continue };
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else { continue };
        let before = line[..start].split_whitespace().last().unwrap_or_default();
        let daemon = if before.is_empty() { daemon } else { before };
        lines.extend(parse(daemon, fields));
    }
}

fn parse(daemon: &str, mut fields: Map<String, Value>) -> Option<TraceLine> {
    let text = |fields: &Map<String, Value>, key: &str| Some(fields.get(key)?.as_str()?.to_owned());
    let (time, event) = (text(&fields, "time")?, text(&fields, "message")?);
    let request = text(&fields, "request");
    fields.retain(|key, _| !SHOWN_APART.contains(&key.as_str()));
    Some(TraceLine { time, daemon: daemon.to_owned(), request, event, fields })
}

fn select(lines: Vec<TraceLine>, request: &str) -> Vec<TraceLine> {
    let tells = |line: &TraceLine| {
        line.request
            .as_deref()
            .and_then(|name| name.strip_prefix(request))
            .is_some_and(|rest| rest.is_empty() || rest.starts_with(CALL_SEPARATOR))
    };
    let own: Vec<&TraceLine> = lines.iter().filter(|line| tells(line)).collect();
    let daemons: BTreeSet<String> = own.iter().map(|line| line.daemon.clone()).collect();
    let Some(first) = own.iter().map(|line| line.time.clone()).min() else { return Vec::new() };
    let last = own.iter().map(|line| line.time.clone()).max().unwrap_or_default();
    let meanwhile = |line: &TraceLine| {
        line.request.is_none() && daemons.contains(&line.daemon) && (&first..=&last).contains(&&line.time)
    };
    let mut path: Vec<TraceLine> =
        lines.iter().filter(|line| tells(line) || meanwhile(line)).cloned().collect();
    path.sort_by(|left, right| left.time.cmp(&right.time));
    path
}
