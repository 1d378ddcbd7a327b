//! Limits for condemning a request: the evidence needed, the pauses, the number of trial runs, and what is
//! forgotten.

use super::SuspectRecord;
use crate::clock::{Microseconds, SECOND};

/// When a request is condemned, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashPolicy {
    /// Crashes without a successful run in between that condemn a request, if at least one of them happened
    /// on trial.
    pub condemned_after: u32,
    /// Pause between the condemning crash and the trial run of one copy. Each further crash doubles it.
    pub first_pause: Microseconds,
    /// Crashes on trial after which no trial run follows.
    pub most_trials: u32,
    /// Upper bound of the doubled pause.
    pub longest_pause: Microseconds,
    /// How long evidence of fewer crashes than condemn a request counts after the last crash.
    pub evidence_lifetime: Microseconds,
    /// Maximum number of requests that are kept as suspects; those with the least and oldest evidence are
    /// dropped first.
    pub most_suspects: usize,
    /// Maximum number of requests that are kept as condemned. Suspects never displace them.
    pub most_condemned: usize,
}

impl Default for CrashPolicy {
    fn default() -> Self {
        Self {
            // The first crash makes suspects of all calls that ran. A third one while the request runs
            // isolated is not a coincidence. Without the condition on isolation, a popular request with
            // copies on three servers that are lost at once would be condemned.
            condemned_after: 3,
            // A trial run may make a server unavailable for some seconds; this limits that to once in 30 s.
            first_pause: 30 * SECOND,
            // If copies crash three servers at the same time, the first trial run follows the third crash.
            most_trials: 3,
            longest_pause: 3600 * SECOND,
            evidence_lifetime: 600 * SECOND,
            // About a third of a megabyte at 80 bytes each.
            most_suspects: 4096,
            most_condemned: 1024,
        }
    }
}

impl CrashPolicy {
    /// Whether the evidence condemns the request.
    pub(super) fn condemns(&self, record: &SuspectRecord) -> bool {
        record.open_crashes() >= self.condemned_after && record.failed_trials() > 0
    }

    /// Whether the request may have another trial run. Without this bound, callers that keep sending it would
    /// crash servers indefinitely.
    pub(super) fn has_trials(&self, record: &SuspectRecord) -> bool {
        record.failed_trials() < self.most_trials && record.has_room_for_trial()
    }

    /// Whether the evidence expires with time. Evidence that condemns a request does not, since each return
    /// of the request would crash as many servers again; a successful run or an operator clears it.
    pub(super) fn expires(&self, record: &SuspectRecord) -> bool {
        record.open_crashes() < self.condemned_after
    }

    /// Pause after this number of crashes.
    #[must_use]
    pub fn pause_after(&self, crashes: u32) -> Microseconds {
        let doublings = crashes.saturating_sub(self.condemned_after).min(20);
        (self.first_pause << doublings).min(self.longest_pause)
    }
}
