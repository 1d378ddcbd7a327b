//! Report to operators about requests that were running when servers crashed.

use crate::server::crashes::SuspectRegistry;
use seamhatch_core::Instant;
use seamhatch_core::clock::MILLISECOND;
use seamhatch_core::crashes::SuspectStanding;
use seamhatch_core::identity::RequestDigest;
use serde::{Deserialize, Serialize};

/// All suspects that a daemon knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crashes of the local back end since the start of the daemon.
    pub crashes_here: u64,
    /// Suspects, those with the most crashes first.
    pub suspects: Vec<SuspectStatus>,
}

/// A suspect request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectStatus {
    /// Digest of the request, as in the log.
    pub digest: String,
    /// Crashes during which the request was running, since its last successful run.
    pub crashes: u32,
    /// For a condemned request: milliseconds that callers are told to stay away, after which one
    /// copy is tried.
    pub turned_away_for_ms: Option<u64>,
    /// The request has used up its trial runs and is rejected until an operator clears it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub until_cleared: bool,
}

/// Returns what this daemon knows; `crashes_here` counts the crashes of the local back end.
#[must_use]
pub fn crash_report(suspects: &SuspectRegistry, crashes_here: u64) -> CrashReport {
    let status = |(digest, standing): (RequestDigest, SuspectStanding)| {
        let condemned_until = match standing {
            SuspectStanding::Condemned { until, .. } => Some(until),
            SuspectStanding::Clear | SuspectStanding::Suspect { .. } => None,
        };
        SuspectStatus {
            digest: digest.to_string(),
            crashes: standing.crashes(),
            turned_away_for_ms: condemned_until.map(|_| suspects.pause_left(digest) / MILLISECOND),
            until_cleared: condemned_until == Some(Instant::NEVER),
        }
    };
    CrashReport { crashes_here, suspects: suspects.suspects().into_iter().map(status).collect() }
}
