//! Which evidence condemns a request, for how long, how often it is tried again, and what is forgotten.

use super::SuspectRecord;
use crate::clock::{Microseconds, SECOND};

/// When a request is condemned, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashPolicy {
    /// Crashes without a good end between them after which a request isn't sent to servers any more, where the last one
    /// happened on its trial.
    pub condemned_after: u32,
    /// Pause after the crash that condemned it, before the trial run of one copy. Doubled by each further crash.
    pub first_pause: Microseconds,
    /// Crashes on trial runs after which there are no more of them.
    pub most_trials: u32,
    /// Longest such pause.
    pub longest_pause: Microseconds,
    /// How long evidence of fewer crashes than condemn a request counts after the last one.
    pub memory: Microseconds,
    /// Requests that are kept as suspects; the ones with the least and oldest evidence are dropped first.
    pub most_suspects: usize,
    /// Requests that are kept as condemned. Suspects never push one of them out.
    pub most_condemned: usize,
}

impl Default for CrashPolicy {
    fn default() -> Self {
        Self {
            // One crash makes a suspect of every call that ran; a third one, alone among its kind, is no accident. Without
            // the trial run, a popular request whose copies ran at three servers that were lost at once was condemned.
            condemned_after: 3,
            // A trial run may cost a server that is away for some seconds, once in half a minute.
            first_pause: 30 * SECOND,
            // With copies that crash three servers in one moment, the first trial run follows the third crash.
            most_trials: 3,
            longest_pause: 3600 * SECOND,
            memory: 600 * SECOND,
            // At 80 bytes each, a third of a megabyte.
            most_suspects: 4096,
            most_condemned: 1024,
        }
    }
}

impl CrashPolicy {
    /// Whether the evidence is enough.
    pub(super) fn condemns(&self, record: &SuspectRecord) -> bool {
        record.open_crashes() >= self.condemned_after && record.failed_trials() > 0
    }

    /// Whether a request may have another trial run. Without an end, callers who insist would crash servers for ever.
    pub(super) fn has_trials(&self, record: &SuspectRecord) -> bool {
        record.failed_trials() < self.most_trials && record.has_room_for_trial()
    }

    /// Whether the evidence is forgotten with time. What is enough to condemn is not, as each return of the request would
    /// crash as many servers again; a good end or an operator clears it.
    pub(super) fn lapses(&self, record: &SuspectRecord) -> bool {
        record.open_crashes() < self.condemned_after
    }

    /// Pause after this many crashes.
    #[must_use]
    pub fn pause_after(&self, crashes: u32) -> Microseconds {
        let doublings = crashes.saturating_sub(self.condemned_after).min(20);
        (self.first_pause << doublings).min(self.longest_pause)
    }
}
