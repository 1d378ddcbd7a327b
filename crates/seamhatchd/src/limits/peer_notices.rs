//! Notices of the back ends of other daemons, as those daemons report them: the rate limit that a back
//! end names in its answers, or that it leaves.
//!
//! A notice outlives the connection, so that it can be handed back to a restarted daemon before the
//! first call to it. Heartbeats and answers write the notices; the handshake reads them.

use crate::base::lock::lock;
use seamhatch_core::identity::Address;
use seamhatch_core::notice::BackEndNotice;
use std::collections::HashMap;
use std::sync::Mutex;

/// The last notice of each daemon's back end, by the daemon's peer address. Most back ends have
/// none.
#[derive(Debug, Default)]
pub struct PeerNotices(Mutex<HashMap<Address, BackEndNotice>>);

impl PeerNotices {
    /// Records the notice that a daemon reports for its back end.
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

    /// Returns the last notice of the back end of a daemon.
    #[must_use]
    pub fn of(&self, peer: Address) -> Option<BackEndNotice> {
        lock(&self.0).get(&peer).cloned()
    }
}
