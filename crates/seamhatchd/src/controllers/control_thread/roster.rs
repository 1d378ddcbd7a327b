//! The roster of witnesses: looking after it as the coordinator, and learning of changes.

use super::ControlThread;
use super::configuration::FANOUT;
use crate::base::clock;
use crate::control::{RosterEvent, TransitionResult};
use crate::controllers::roster_change::Transition;
use crate::ports::Backing;
use crate::store::{ROSTER_KEY, StoreError, Stored, Swap};
use log::{debug, info, warn};
use seamhatch_core::Instant;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::roster::Roster;
use seamhatch_wire::{ControlReply, ControlRequest};

/// Time between two checks of shards that are as they should be: finds a witness that restarted unnoticed. Chosen, not measured.
const ROSTER_RECHECK: Microseconds = 30 * SECOND;

impl ControlThread {
    pub(super) fn handle_roster(&mut self, event: RosterEvent) {
        match event {
            RosterEvent::Check => self.pull_roster(),
            RosterEvent::Read(result) => self.roster_read(result),
            RosterEvent::Offered(roster) => self.offer_roster(roster),
            RosterEvent::Transition(result) => self.finish_transition(&result),
        }
    }

    /// As the coordinator, plans the next roster and carries out changes that are under way.
    pub(super) fn look_after_roster(&mut self, now: Instant) {
        if !self.is_ready() || !self.membership.is_coordinator() {
            return;
        }
        if now >= self.schedule.roster_recheck {
            self.schedule.roster_recheck = now.plus(ROSTER_RECHECK);
            self.roster.recheck();
        }
        if let Some(next) = self.roster.plan(&self.all_members()) {
            self.write_roster(next);
        }
        self.start_transitions(now);
    }

    fn start_transitions(&mut self, now: Instant) {
        let members = self.all_members();
        for (shard, target) in self.roster.start_transitions() {
            let transition = Transition {
                pool: self.shared.pool.clone(),
                shard,
                ended: self.roster.ended(&target, &members),
                target,
                waited: self.roster.waited(shard, now),
                newest: self.configuration.highest(),
            };
            let control = self.shared.control.clone();
            tokio::spawn(async move { control.send(RosterEvent::Transition(transition.run().await)) });
        }
    }

    fn finish_transition(&mut self, result: &TransitionResult) {
        for epoch in self.roster.finish_transition(result, clock::now()) {
            warn!(shard = result.shard, epoch = epoch.0; "claims may be lost: the shard waits");
        }
    }

    /// Writes a planned roster, if the store still holds the one that it was planned from.
    fn write_roster(&self, next: Roster) {
        let Backing::Witnessed(store) = &self.backing else { return };
        let (store, control) = (store.clone(), self.shared.control.clone());
        let known_version = self.roster.roster().version;
        tokio::spawn(async move {
            let stored = match store.read::<Roster>(ROSTER_KEY).await {
                Ok(stored) => stored,
                Err(error) => return log_unwritten(&error),
            };
            if let Some(newer) = stored.value.filter(|stored| stored.version > known_version) {
                return control.send(RosterEvent::Offered(newer));
            }
            match store.swap(ROSTER_KEY, stored.revision, &next).await {
                Ok(Swap::Written) => {
                    info!(version = next.version; "witness roster changed");
                    control.send(RosterEvent::Offered(next));
                }
                Ok(Swap::Refused) => {
                    debug!("another coordinator has changed the witness roster; it is read again")
                }
                // Where the write was done all the same, the next read shows it.
                Err(error) => log_unwritten(&error),
            }
        });
    }

    fn roster_read(&mut self, result: Result<Stored<Option<Roster>>, StoreError>) {
        // A failure is reported with the configuration, which is read next.
        if let Ok(Stored { value: Some(roster), .. }) = result {
            self.offer_roster(roster);
        }
    }

    /// Adopts a roster if it is newer, and spreads it.
    pub(super) fn offer_roster(&mut self, roster: Roster) {
        if !self.roster.offer(roster) {
            return;
        }
        let version = self.roster.roster().version;
        self.membership.state.set_roster_version(version);
        self.publish();
        let request = ControlRequest::PutRoster(Roster::clone(self.roster.roster()));
        for peer in self.membership.random_peers(FANOUT) {
            self.send_to_peer(peer, request.clone());
        }
        if self.is_ready() && self.membership.is_coordinator() {
            // No claim is granted in a changed shard until its new witnesses are installed.
            self.start_transitions(clock::now());
        }
    }

    /// Asks a random peer for its roster.
    pub(super) fn pull_roster(&self) {
        let Some(peer) = self.membership.random_peers(1).first().copied() else { return };
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let reply = shared.pool.ask(peer, ControlRequest::GetRoster).await;
            if let Some(ControlReply::Roster(roster)) = reply {
                shared.control.send(RosterEvent::Offered(roster));
            }
        });
    }
}

fn log_unwritten(error: &StoreError) {
    debug!(error = error.to_string().as_str(); "the witness roster was not written; it is tried again");
}
