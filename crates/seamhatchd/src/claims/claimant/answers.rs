//! Looks up the answer to a claimed call: at the daemon that made the claim and, after that daemon has ended, at the daemons that
//! hold its answers.

use super::Claimant;
use crate::snapshot::Server;
use seamhatch_core::claims::{Claim, ClaimKey};
use seamhatch_core::identity::Address;
use seamhatch_core::rendezvous;
use seamhatch_wire::{ControlReply, ControlRequest, RecordedState};

/// Maximum number of daemons asked for an answer of a daemon that has ended. More than the number that hold it, since members may
/// have joined or left in the meantime.
const MAX_ANSWER_HOLDERS: usize = 4;

impl Claimant {
    /// Asks the holder of a claim for its state and, if that is unknown there, the daemons that may hold the answer.
    pub(super) async fn ask_holder(&self, held: &Claim) -> RecordedState {
        let mut known = self.ask_recorded(held.holder.daemon, held).await;
        for daemon in self.answer_holders(held.key, held.holder.daemon, MAX_ANSWER_HOLDERS) {
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
            // Without a reply the earlier attempt is treated as one that may have run.
            _ => RecordedState::Forgotten,
        }
    }

    /// The daemons that hold the answers for this key of a daemon that has ended, in rendezvous order.
    #[must_use]
    pub fn answer_holders(&self, key: ClaimKey, ended: Address, count: usize) -> Vec<Address> {
        let snapshot = self.published.load();
        let servers = snapshot.servers.values().flatten().filter(|server| server.peer != ended);
        let peer = |server: &Server| server.peer.to_string().into_bytes();
        rendezvous::choose(key.0 as u64, servers, peer, count).into_iter().map(|server| server.peer).collect()
    }
}
