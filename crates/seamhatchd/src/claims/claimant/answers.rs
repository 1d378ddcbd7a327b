//! Where the answer to a claimed call is asked for: at the daemon that made the claim, and once that has ended at those that hold its answers.

use super::Claimant;
use crate::snapshot::Server;
use seamhatch_core::claims::{Claim, ClaimKey};
use seamhatch_core::identity::Address;
use seamhatch_core::rendezvous;
use seamhatch_wire::{ControlReply, ControlRequest, RecordedState};

/// Daemons that are asked for the answer of one that has ended: more than hold it, as members may have come and gone since.
const ASKED_FOR_ANSWERS: usize = 4;

impl Claimant {
    /// Asks the daemon that holds a claim what became of it, and where that has ended those that may hold its answer.
    pub(super) async fn ask_holder(&self, held: &Claim) -> RecordedState {
        let mut known = self.ask_recorded(held.holder.daemon, held).await;
        for daemon in self.answer_holders(held.key, held.holder.daemon, ASKED_FOR_ANSWERS) {
            if known != RecordedState::Forgotten {
                break;
            }
            known = self.ask_recorded(daemon, held).await;
        }
        known
    }

    async fn ask_recorded(&self, daemon: Address, held: &Claim) -> RecordedState {
        if daemon == self.daemon {
            return self.claims.records.get(held.key, held.holder);
        }
        let request = ControlRequest::GetRecorded { key: held.key, holder: held.holder };
        match self.pool.ask(daemon, request).await {
            Some(ControlReply::Recorded(state)) => state,
            // Without an answer the earlier attempt counts as one that may have run.
            _ => RecordedState::Forgotten,
        }
    }

    /// The daemons that hold answers to this key of a daemon that has ended, in the order in which they are chosen.
    #[must_use]
    pub fn answer_holders(&self, key: ClaimKey, ended: Address, count: usize) -> Vec<Address> {
        let snapshot = self.published.load();
        let servers = snapshot.servers.values().flatten().filter(|server| server.peer != ended);
        let peer = |server: &Server| server.peer.to_string().into_bytes();
        rendezvous::choose(key.0 as u64, servers, peer, count).into_iter().map(|server| server.peer).collect()
    }
}
