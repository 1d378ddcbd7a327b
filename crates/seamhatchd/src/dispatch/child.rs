//! A call's place in the retry ledger of the call that caused it.

use crate::server::running::RunningCall;
use seamhatch_core::identity::Fingerprint;
use seamhatch_core::retry::{ChildEnd, Dispatch, TokensExhausted};
use std::sync::Arc;

/// A call's place in its parent's ledger. Unless [`Child::finish`] is called,
/// the call counts as failed and the tokens it had as spent.
pub(super) struct Child {
    parent: Arc<RunningCall>,
    call: Fingerprint,
    pub(super) handed_over: u32,
    pub(super) finished: bool,
}

impl Child {
    pub(super) fn begin(
        parent: &Arc<RunningCall>,
        call: Fingerprint,
    ) -> Result<(Self, Dispatch), TokensExhausted> {
        let dispatch = parent.ledger().begin(call)?;
        Ok((Self { parent: parent.clone(), call, handed_over: 0, finished: false }, dispatch))
    }

    pub(super) fn hand_over(&mut self) -> u32 {
        self.handed_over = self.parent.ledger().hand_over();
        self.handed_over
    }

    pub(super) fn give_back(&mut self, unspent: u32) {
        self.parent.ledger().give_back(unspent, self.handed_over);
        self.handed_over = 0;
    }

    pub(super) fn finish(&mut self, end: ChildEnd) {
        self.finished = true;
        self.parent.ledger().finish(self.call, end);
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        if !self.finished {
            self.finish(ChildEnd::Failed);
        }
    }
}
