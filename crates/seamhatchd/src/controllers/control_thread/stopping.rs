//! Telling the other members whether this daemon takes work, and draining it.

use super::ControlThread;
use crate::control::DrainTarget;
use log::info;
use seamhatch_core::membership::Lifecycle;
use tokio::sync::oneshot;

impl ControlThread {
    /// Reacts to a back end that started or stopped taking work: peers learn it at once.
    pub(super) fn work_changed(&mut self) {
        if !self.shared.server.instances.is_open() {
            self.shared.server.gate.close();
        }
        self.shared.lifecycle.notify_peers();
        self.update_lifecycle();
    }

    /// Announces where this daemon is between start and end, if that has changed.
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

    /// Drains this daemon, or has another one drain; false when the member isn't known.
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
        info!("draining: new work is taken only where no other daemon can");
        self.shared.lifecycle.start_draining();
        self.shared.limits.quota.start_handover();
        self.work_changed();
        // From now on no other daemon chooses this one as a witness; what was chosen before has to be known before it may end.
        self.read_store();
    }

    /// Announces that this daemon has left.
    pub(super) fn leave(&mut self, reply: oneshot::Sender<()>) {
        self.membership.state.set_lifecycle(Lifecycle::Left);
        self.announce();
        // The stop sequence may have given up waiting.
        let _ = reply.send(());
    }

    /// Sends this daemon's record to the other members.
    pub(super) fn announce(&mut self) {
        let outgoing = self.membership.state.announce();
        self.membership.send_all(outgoing);
    }
}
