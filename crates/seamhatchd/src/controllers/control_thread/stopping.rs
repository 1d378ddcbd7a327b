//! Announces to the other members whether this daemon takes work, and drains it.

use super::ControlThread;
use crate::control::DrainTarget;
use log::info;
use seamhatch_core::membership::Lifecycle;
use tokio::sync::oneshot;

impl ControlThread {
    /// Handles a change in whether the back end takes work, and notifies peers at once.
    pub(super) fn availability_changed(&mut self) {
        if !self.shared.server.instances.is_open() {
            self.shared.server.gate.close();
        }
        self.shared.lifecycle.notify_peers();
        self.update_lifecycle();
    }

    /// Announces this daemon's lifecycle state if it has changed.
    fn update_lifecycle(&mut self) {
        let lifecycle = if self.shared.accepts_work() {
            Lifecycle::Ready
        } else if self.shared.is_draining() {
            Lifecycle::Draining
        } else {
            Lifecycle::Joining
        };
        if self.membership.state.me().lifecycle != lifecycle {
            self.membership.state.set_lifecycle(lifecycle);
            self.announce();
            self.publish();
        }
    }

    /// Drains this daemon, or marks another member as leaving so that it drains. Returns false for an unknown member.
    pub(super) fn drain(&mut self, target: DrainTarget) -> bool {
        match target {
            DrainTarget::Own => self.start_drain(),
            DrainTarget::Member(address) => {
                let own = self.membership.state.me().info.gossip == address;
                if !own && self.membership.state.member(address).is_none() {
                    return false;
                }
                self.membership.state.mark_leaving(address);
                if own {
                    self.start_drain();
                }
            }
        }
        true
    }

    pub(super) fn start_drain(&mut self) {
        info!("draining: new work is accepted only if no other daemon can take it");
        self.shared.lifecycle.start_draining();
        self.shared.limits.quota.start_handover();
        self.availability_changed();
        // No other daemon chooses this one as a witness from now on. Earlier choices must be known before it may end, so
        // the roster is read from the store.
        self.read_store();
    }

    /// Announces that this daemon has left.
    pub(super) fn leave(&mut self, reply: oneshot::Sender<()>) {
        self.membership.state.set_lifecycle(Lifecycle::Left);
        self.announce();
        // Fails if the stop sequence has stopped waiting.
        let _ = reply.send(());
    }

    /// Sends this daemon's record to the other members.
    pub(super) fn announce(&mut self) {
        let outgoing = self.membership.state.announce();
        self.membership.send_all(outgoing);
    }
}
