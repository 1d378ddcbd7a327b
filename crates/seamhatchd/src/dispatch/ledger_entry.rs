//! A call's entry in the retry ledger of the call that caused it.

use crate::server::running::RunningCall;
use seamhatch_core::identity::Fingerprint;
use seamhatch_core::retry::{ChildEnd, Dispatch, TokensExhausted};
use std::sync::Arc;

/// A call's entry in its parent's retry ledger. If the entry is dropped before
/// [`LedgerEntry::finish`], the call counts as failed, and the tokens passed on with it count as
/// spent.
pub(super) struct LedgerEntry {
    parent: Arc<RunningCall>,
    call: Fingerprint,
    /// Retry tokens passed on with the attempt in progress.
    pub(super) handed_over: u32,
    pub(super) finished: bool,
}

impl LedgerEntry {
    /// Enters a call that is about to be sent.
    ///
    /// # Errors
    /// Returns [`TokensExhausted`] if the call repeats an earlier one and no token is left for the
    /// repeat.
    pub(super) fn begin(
        parent: &Arc<RunningCall>,
        call: Fingerprint,
    ) -> Result<(Self, Dispatch), TokensExhausted> {
        let dispatch = parent.ledger().begin(call)?;
        Ok((Self { parent: parent.clone(), call, handed_over: 0, finished: false }, dispatch))
    }

    /// Takes the tokens that are passed on with the next attempt.
    pub(super) fn hand_over(&mut self) -> u32 {
        self.handed_over = self.parent.ledger().hand_over();
        self.handed_over
    }

    /// Puts the tokens that the last attempt did not spend back into the ledger.
    pub(super) fn give_back(&mut self, unspent: u32) {
        self.parent.ledger().give_back(unspent, self.handed_over);
        self.handed_over = 0;
    }

    /// Records how the call ended.
    pub(super) fn finish(&mut self, end: ChildEnd) {
        self.finished = true;
        self.parent.ledger().finish(self.call, end);
    }
}

impl Drop for LedgerEntry {
    fn drop(&mut self) {
        if !self.finished {
            self.finish(ChildEnd::Failed);
        }
    }
}
