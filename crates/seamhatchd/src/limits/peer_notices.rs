//! What the back ends beside other daemons have said of themselves, as those daemons tell it.
//!
//! It outlives connections, so that it can be handed back to a daemon that has restarted, before the first call that goes there. Heartbeats
//! and answers write it; the handshake reads it.

use crate::base::lock::lock;
use seamhatch_core::identity::Address;
use seamhatch_core::notice::BackEndNotice;
use std::collections::HashMap;
use std::sync::Mutex;

/// The last notice of each daemon's back end, by the daemon's peer address; most have none.
#[derive(Debug, Default)]
pub struct PeerNotices(Mutex<HashMap<Address, BackEndNotice>>);

impl PeerNotices {
    /// Records what a daemon tells of its back end.
    pub fn note(&self, peer: Address, notice: Option<&BackEndNotice>) {
        let mut notices = lock(&self.0);
        match notice {
            Some(notice) if notices.get(&peer) != Some(notice) => {
                notices.insert(peer, notice.clone());
            }
            Some(_) => {}
            None => {
                notices.remove(&peer);
            }
        }
    }

    /// What is known of the back end beside a daemon.
    #[must_use]
    pub fn of(&self, peer: Address) -> Option<BackEndNotice> {
        lock(&self.0).get(&peer).cloned()
    }
}
