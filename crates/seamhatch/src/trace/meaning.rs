//! What a reason in a log line means, and where to look next.

use super::{CALL_REFUSED, TraceLine};

/// Meanings that need no figures of the line. `docs/OPERATIONS.md` has the same reasons.
const MEANINGS: [(&str, &str); 25] = [
    ("deadline-exceeded", "its time was over: follow its calls to the one that ran longest"),
    ("admission-floor", "a service on its way sheds requests of this priority: see `admission_floor`"),
    ("retry-ratio", "it would have had to be repeated, and no retry was left"),
    ("retries-exhausted", "it would have had to be repeated, and no retry was left"),
    ("no-server", "no server of the service could be reached: see `seamhatch status`"),
    ("no-instance", "the back end there has not registered, or has left"),
    ("other-instance", "another back end answered at that address"),
    ("draining", "the daemon there was leaving"),
    ("not-ready", "the daemon had no configuration yet"),
    ("no-route", "no route of the configuration in force has its host and path"),
    ("peer-lost", "the daemon beside the server fell silent or was lost: look into its log"),
    ("backend-unreachable", "the back end took no connection"),
    ("backend-crashed", "the back end crashed with the call at work on it"),
    (
        "crashes-servers",
        "the request was at work in crash after crash and is turned away: see `seamhatch crashes`",
    ),
    ("backend-refused", "the back end turned it away by itself"),
    ("cancelled", "its caller had left"),
    ("no-claim-majority", "no majority of the witnesses of its key answered: see `seamhatch status`"),
    ("key-held", "another request has its idempotency key"),
    ("key-mismatch", "another request has its idempotency key"),
    (
        "parent-unknown",
        "it is a call of a request that the daemon does not know, as it has restarted or the request was given up",
    ),
    ("no-key", "it brought no tenant's key, and its route needs one"),
    ("unknown-key", "no tenant of the configuration in force has its key: it is wrong, or was taken away"),
    (
        "no-proof",
        "the daemon could not show that its keys are the newest: see the store, and `tenants.revocation_ms`",
    ),
    (
        "backend-rate",
        "the server has named how many calls a second it takes, and no turn came in time: see `seamhatch status`",
    ),
    ("no-quota-shard", "no daemon that hands out the tenants' limits answered: see the store"),
];
/// Meaning of the reasons for too large a request.
const TOO_LARGE: &str = "it is larger than the configuration's limits";
/// Meaning of the reasons of later versions, and of those that say enough by themselves.
const OTHER: &str = "docs/OPERATIONS.md lists the reasons";

/// Reason and daemon of a line, and what the reason means.
pub(super) fn explained(line: &TraceLine) -> String {
    let reason = line.shown("reason");
    format!("{reason} at {}: {}", line.daemon, meaning(&reason, line))
}

fn meaning(reason: &str, line: &TraceLine) -> String {
    let full = || format!("{} of {} slots", line.shown("load"), line.shown("limit"));
    match reason {
        "queue-full" | "evicted" => {
            format!("the server's queue was full ({}): capacity of its service is missing", full())
        }
        "deadline-exceeded" if line.event == CALL_REFUSED => format!(
            "it could not have been served in time there ({}): capacity of its service is missing",
            full()
        ),
        "backend-failed" => {
            format!("the back end broke off or gave no answer ({})", line.shown("detail"))
        }
        "over-quota" => {
            format!("the tenant {} was at its limit: see `rate` and `burst`", line.shown("tenant"))
        }
        "head-too-large" | "body-too-large" => TOO_LARGE.into(),
        _ => constant_meaning(reason).into(),
    }
}

fn constant_meaning(reason: &str) -> &'static str {
    MEANINGS.iter().find(|(known, _)| *known == reason).map_or(OTHER, |(_, meaning)| meaning)
}
