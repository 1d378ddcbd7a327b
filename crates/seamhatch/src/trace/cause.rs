//! One sentence that names why a request ended as it did, with the figures that decided it.
//!
//! A request ends with a line of the daemon that took it; where its server answered with an error, the cause is the first
//! of the deepest calls that failed.

use super::meaning::explained;
use super::{CALL_REFUSED, CALL_SEPARATOR, TraceLine};

/// Event of the daemon that took a request: a server's answer went to the caller.
const ANSWERED: &str = "request answered";
/// Event of the daemon that took a request: it sent the caller a refusal of its own.
const NOT_ANSWERED: &str = "request not answered";
/// First HTTP status that means a failure of the server.
const SERVER_ERROR: u64 = 500;

/// The cause, from the lines of a request and of its calls, in order of time.
#[must_use]
pub fn cause(request: &str, lines: &[TraceLine]) -> String {
    let own = lines.iter().rev().filter(|line| line.request.as_deref() == Some(request));
    let end = own.into_iter().find(|line| [ANSWERED, NOT_ANSWERED].contains(&line.event.as_str()));
    let Some(end) = end else {
        return "no line tells how the request ended: give the log of the daemon that it was sent to".into();
    };
    if end.event == NOT_ANSWERED {
        return unanswered(request, end, lines);
    }
    let status = end.number("status");
    if status < SERVER_ERROR {
        return format!("answered with status {status} by {} after {}", end.shown("server"), took(end));
    }
    match first_failure_below(request, lines) {
        Some(line) => format!(
            "the server of {} answered {status} after {}, since its call {} failed: {}",
            end.shown("service"),
            took(end),
            line.request.as_deref().unwrap_or_default(),
            explained(line),
        ),
        None => format!(
            "the server of {} answered {status} after {} by itself: no call of it is seen to fail; look into its own log",
            end.shown("service"),
            took(end),
        ),
    }
}

fn unanswered(request: &str, end: &TraceLine, lines: &[TraceLine]) -> String {
    let refusals = lines.iter().filter(|line| line.request.as_deref() == Some(request));
    let last = refusals.into_iter().rev().find(|line| line.event == CALL_REFUSED);
    let told = last.filter(|line| line.fields.get("reason") == end.fields.get("reason"));
    format!("not answered after {} ({}): {}", took(end), end.shown("outcome"), explained(told.unwrap_or(end)))
}

/// The deepest of the calls that failed, the first where there are several: what failed above it failed
/// through it.
fn first_failure_below<'a>(request: &str, lines: &'a [TraceLine]) -> Option<&'a TraceLine> {
    let depth =
        |line: &TraceLine| line.request.as_deref().map_or(0, |name| name.matches(CALL_SEPARATOR).count());
    let own = request.matches(CALL_SEPARATOR).count();
    let failed = |line: &&TraceLine| [CALL_REFUSED, NOT_ANSWERED].contains(&line.event.as_str());
    let below = lines.iter().filter(failed).filter(|line| depth(line) > own);
    below.reduce(|deepest, line| if depth(line) > depth(deepest) { line } else { deepest })
}

fn took(end: &TraceLine) -> String {
    format!("{} ms", end.shown("took_ms"))
}
