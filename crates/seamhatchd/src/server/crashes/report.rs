//! What operators see of requests that ran when servers crashed.

use crate::base::clock;
use crate::server::crashes::SuspectBook;
use seamhatch_core::clock::MILLISECOND;
use seamhatch_core::crashes::SuspectStanding;
use serde::{Deserialize, Serialize};

/// All suspects that a daemon knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crashes of the back end beside the daemon since its start.
    pub crashes_here: u64,
    /// Suspects, those with the most crashes first.
    pub suspects: Vec<SuspectStatus>,
}

/// One suspect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectStatus {
    /// Digest of what is asked, as in the log.
    pub digest: String,
    /// Crashes it was at work in without a good end since.
    pub crashes: u32,
    /// Where it is turned away: milliseconds until one copy is tried.
    pub turned_away_for_ms: Option<u64>,
}

/// What this daemon knows; `crashes_here` are those of the back end beside it.
#[must_use]
pub fn crash_report(suspects: &SuspectBook, crashes_here: u64) -> CrashReport {
    let now = clock::now();
    let suspects = suspects.suspects().into_iter().map(|(digest, standing)| SuspectStatus {
        digest: digest.to_string(),
        crashes: standing.crashes(),
        turned_away_for_ms: match standing {
            SuspectStanding::Condemned { until, .. } => Some(until.since(now) / MILLISECOND),
            SuspectStanding::Clear | SuspectStanding::Suspect { .. } => None,
        },
    });
    CrashReport { crashes_here, suspects: suspects.collect() }
}
