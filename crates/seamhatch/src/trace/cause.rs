//! One sentence that names why a request ended as it did, with the figures that decided it.

use super::{CALL_SEPARATOR, TraceLine};
use serde_json::Value;

/// The daemon that a request was sent to says that it has answered it.
const ANSWERED: &str = "request answered";
/// It has not.
const NOT_ANSWERED: &str = "request not answered";
/// The daemon beside a server did not have a call run to its end.
const REFUSED: &str = "call refused";
/// First status that tells of a failure of the server.
const SERVER_ERROR: u64 = 500;

/// The cause, from the lines of a request and of its calls in order of time.
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
    let status = number(end, "status");
    if status < SERVER_ERROR {
        return format!("answered with status {status} by {} after {}", shown(end, "server"), took(end));
    }
    match first_failure_below(request, lines) {
        Some(line) => format!(
            "the server of {} answered {status} after {}, since its call {} failed: {}",
            shown(end, "service"),
            took(end),
            line.request.as_deref().unwrap_or_default(),
            explained(line),
        ),
        None => format!(
            "the server of {} answered {status} after {} by itself: no call of it is seen to fail; look into its own log",
            shown(end, "service"),
            took(end),
        ),
    }
}

fn unanswered(request: &str, end: &TraceLine, lines: &[TraceLine]) -> String {
    let refusals = lines.iter().filter(|line| line.request.as_deref() == Some(request));
    let last = refusals.into_iter().rev().find(|line| line.event == REFUSED);
    let told = last.filter(|line| line.fields.get("reason") == end.fields.get("reason"));
    format!(
        "not answered after {} ({}): {}",
        took(end),
        shown(end, "outcome"),
        explained(told.unwrap_or(end))
    )
}

/// The deepest of the calls that failed, the first where there are several: what failed above it failed
/// through it.
fn first_failure_below<'a>(request: &str, lines: &'a [TraceLine]) -> Option<&'a TraceLine> {
    let depth =
        |line: &TraceLine| line.request.as_deref().map_or(0, |name| name.matches(CALL_SEPARATOR).count());
    let own = request.matches(CALL_SEPARATOR).count();
    let failed = |line: &&TraceLine| [REFUSED, NOT_ANSWERED].contains(&line.event.as_str());
    let below = lines.iter().filter(failed).filter(|line| depth(line) > own);
    below.reduce(|deepest, line| if depth(line) > depth(deepest) { line } else { deepest })
}

/// What the reason of a line means, and where to look.
fn explained(line: &TraceLine) -> String {
    let reason = shown(line, "reason");
    let at = format!("{} at {}", reason, line.daemon);
    let full = format!("{} of {} slots", shown(line, "load"), shown(line, "limit"));
    let meaning = match reason.as_str() {
        "queue-full" | "evicted" => {
            format!("the server's queue was full ({full}): capacity of its service is missing")
        }
        "deadline-exceeded" if line.event == REFUSED => {
            format!(
                "it could not have been served in time there ({full}): capacity of its service is missing"
            )
        }
        "deadline-exceeded" => "its time was over: follow its calls to the one that ran longest".into(),
        "admission-floor" => {
            "a service on its way sheds requests of this priority: see `admission_floor`".into()
        }
        "retry-ratio" | "retries-exhausted" => {
            "it would have had to be repeated, and no retry was left".into()
        }
        "no-server" => "no server of the service could be reached: see `seamhatch status`".into(),
        "no-instance" => "the back end there has not registered, or has left".into(),
        "other-instance" => "another back end answered at that address".into(),
        "draining" => "the daemon there was leaving".into(),
        "not-ready" => "the daemon had no configuration yet".into(),
        "no-route" => "no route of the configuration in force has its host and path".into(),
        "peer-lost" => "the daemon beside the server fell silent or was lost: look into its log".into(),
        "backend-unreachable" => "the back end took no connection".into(),
        "backend-crashed" => "the back end crashed with the call at work on it".into(),
        "crashes-servers" => {
            "the request was at work in crash after crash and is turned away: see `seamhatch crashes`".into()
        }
        "backend-failed" => format!("the back end broke off or gave no answer ({})", shown(line, "detail")),
        "backend-refused" => "the back end turned it away by itself".into(),
        "cancelled" => "its caller had left".into(),
        "no-claim-majority" => {
            "no majority of the witnesses of its key answered: see `seamhatch status`".into()
        }
        "key-held" | "key-mismatch" => "another request has its idempotency key".into(),
        "no-key" => "it brought no tenant's key, and its route needs one".into(),
        "unknown-key" => {
            "no tenant of the configuration in force has its key: it is wrong, or was taken away".into()
        }
        "no-proof" => {
            "the daemon could not show that its keys are the newest: see the store, and `tenants.revocation_ms`".into()
        }
        "over-quota" => format!("the tenant {} was at its limit: see `rate` and `burst`", shown(line, "tenant")),
        "no-quota-shard" => "no daemon that hands out the tenants' limits answered: see the store".into(),
        "head-too-large" | "body-too-large" => "it is larger than the configuration's limits".into(),
        _ => "docs/OPERATIONS.md lists the reasons".into(),
    };
    format!("{at}: {meaning}")
}

fn shown(line: &TraceLine, key: &str) -> String {
    match line.fields.get(key) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => "unknown".into(),
    }
}

fn number(line: &TraceLine, key: &str) -> u64 {
    line.fields.get(key).and_then(Value::as_u64).unwrap_or_default()
}

fn took(line: &TraceLine) -> String {
    format!("{} ms", shown(line, "took_ms"))
}
