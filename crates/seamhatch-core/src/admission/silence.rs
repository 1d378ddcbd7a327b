//! Detection of a back end that has stopped answering.
//!
//! Decides whether another call may be given to the back end now. A call that is still unanswered some time after its
//! deadline will never be answered, since a back end stops its work at the deadline. After several such calls in a row
//! the back end is silent: it then gets one call per [`PROBE_PAUSE`], so that few calls are lost, and the first answer
//! of any kind ends the silence at once. Connections that close without an answer count neither way, because a process
//! that closes them does not hang. Alternatives: docs/DESIGN.md#a-back-end-that-hangs.

use crate::clock::{Instant, MILLISECOND, Microseconds};

/// Consecutive unanswered calls after which the back end counts as silent.
const CALLS_TO_SILENCE: u32 = 3;

/// Time between the starts of two calls while the back end is silent, in microseconds.
const PROBE_PAUSE: Microseconds = 500 * MILLISECOND;

/// Whether a back end answers.
#[derive(Debug, Default)]
pub(super) struct SilenceDetector {
    /// Unanswered calls since the last answer.
    unanswered: u32,
    last_start: Instant,
}

impl SilenceDetector {
    /// Whether the back end has stopped answering.
    pub(super) fn is_silent(&self) -> bool {
        self.unanswered >= CALLS_TO_SILENCE
    }

    /// Whether a call may start at `now`.
    pub(super) fn may_start(&self, now: Instant) -> bool {
        !self.is_silent() || now >= self.next_start()
    }

    /// Time until a call may start that arrives now with `ahead` calls before it; 0 unless the back end is silent.
    pub(super) fn turn_in(&self, ahead: usize, now: Instant) -> Microseconds {
        if !self.is_silent() {
            return 0;
        }
        self.next_start().plus(PROBE_PAUSE * ahead as u64).since(now)
    }

    /// Records that a call starts.
    pub(super) fn note_start(&mut self, now: Instant) {
        self.last_start = now;
    }

    /// Records an answer of any kind.
    pub(super) fn note_answer(&mut self) {
        self.unanswered = 0;
    }

    /// Records a call that was not answered by its deadline.
    pub(super) fn note_unanswered(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    fn next_start(&self) -> Instant {
        self.last_start.plus(PROBE_PAUSE)
    }
}
