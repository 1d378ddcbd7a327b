//! The machine list and the witness roster.

use super::{ControlThread, FANOUT, ROSTER_RECHECK};
use crate::base::clock;
use crate::control::{MemberEvent, RosterEvent, TransitionResult};
use crate::controllers::ask::ask_daemon;
use crate::controllers::roster_change::Transition;
use crate::ports::Backing;
use crate::store::{ListedMachine, MachineState, ROSTER_KEY, StoreError, Stored, Swap, read_machines};
use log::{info, warn};
use seamhatch_core::Instant;
use seamhatch_core::identity::Address;
use seamhatch_core::membership::MemberRecord;
use seamhatch_core::roster::Roster;
use seamhatch_wire::{ControlReply, ControlRequest};

impl ControlThread {
    pub(super) fn handle_roster(&mut self, event: RosterEvent) {
        match event {
            RosterEvent::Check => self.pull_roster(),
            RosterEvent::Read(result) => self.roster_read(result),
            RosterEvent::Offered(roster) => self.offer_roster(roster),
            RosterEvent::Transition(result) => self.finish_transition(&result),
        }
    }

    pub(super) fn handle_member(&mut self, event: MemberEvent) {
        match event {
            MemberEvent::Connected(gossip) => self.met(gossip),
            MemberEvent::Discovered(discovery) => self.discovered(discovery),
            MemberEvent::MachinesRead(result) => self.machines_read(result),
        }
    }

    pub(super) fn read_machines(&self) {
        let alone = self.membership.state.live_count() == 1;
        let Some(address) = self.shared.settings.machines else { return };
        if !(alone || self.membership.is_watcher()) {
            return;
        }
        let control = self.control.clone();
        tokio::spawn(async move {
            control.send(MemberEvent::MachinesRead(read_machines(address).await));
        });
    }

    pub(super) fn machines_read(&mut self, result: Result<Vec<ListedMachine>, StoreError>) {
        let Ok(machines) = result else { return };
        let listed = machines.iter().map(|machine| machine.address).collect();
        self.roster.take_machines(listed);
        let gossip_port = self.shared.settings.advertise.gossip.port;
        for machine in machines {
            let same_machine = |record: &&MemberRecord| record.info.gossip.ip == machine.address;
            let members: Vec<Address> = std::iter::once(self.membership.state.me())
                .chain(self.membership.state.others())
                .filter(same_machine)
                .map(|record| record.info.gossip)
                .collect();
            match machine.state {
                MachineState::Leaving => {
                    members.into_iter().for_each(|member| self.membership.state.mark_leaving(member));
                }
                MachineState::Live if members.is_empty() => {
                    self.membership.state.add_seeds([Address { ip: machine.address, port: gossip_port }]);
                }
                MachineState::Live => {}
            }
        }
    }

    pub(super) fn look_after_roster(&mut self, now: Instant) {
        if !self.is_ready() || !self.membership.is_coordinator() {
            return;
        }
        if now >= self.schedule.recheck {
            self.schedule.recheck = now.plus(ROSTER_RECHECK);
            self.roster.recheck();
        }
        if let Some(next) = self.roster.plan(&self.all_members()) {
            self.write_roster(next);
        }
        self.start_transitions(now);
    }

    pub(super) fn start_transitions(&mut self, now: Instant) {
        let members = self.all_members();
        for (shard, target) in self.roster.start_transitions() {
            let transition = Transition {
                shared: self.shared.clone(),
                shard,
                ended: self.roster.ended(&target, &members),
                target,
                waited: self.roster.waited(shard, now),
                newest: self.configuration.highest(),
            };
            let control = self.control.clone();
            tokio::spawn(async move { control.send(RosterEvent::Transition(transition.run().await)) });
        }
    }

    pub(super) fn finish_transition(&mut self, result: &TransitionResult) {
        for epoch in self.roster.finish_transition(result, clock::now()) {
            warn!(shard = result.shard, epoch = epoch.0; "claims may be lost: the shard waits");
        }
    }

    /// Writes a planned roster, if the store still holds the one it was planned from.
    pub(super) fn write_roster(&self, next: Roster) {
        let Backing::Witnessed(store) = &self.backing else { return };
        let (store, control) = (store.clone(), self.control.clone());
        let known = self.roster.roster().clone();
        tokio::spawn(async move {
            let Ok(stored) = store.read::<Roster>(ROSTER_KEY).await else { return };
            if let Some(newer) = stored.value.filter(|stored| stored.version > known.version) {
                return control.send(RosterEvent::Offered(newer));
            }
            // A lost answer is resolved by the next read.
            if let Ok(Swap::Written) = store.swap(ROSTER_KEY, stored.revision, &next).await {
                info!(version = next.version; "witness roster changed");
                control.send(RosterEvent::Offered(next));
            }
        });
    }

    pub(super) fn roster_read(&mut self, result: Result<Stored<Option<Roster>>, StoreError>) {
        if let Ok(Stored { value: Some(roster), .. }) = result {
            self.offer_roster(roster);
        }
    }

    pub(super) fn offer_roster(&mut self, roster: Roster) {
        if !self.roster.offer(roster) {
            return;
        }
        let version = self.roster.roster().version;
        self.membership.state.set_roster_version(version);
        self.publish();
        let request = ControlRequest::PutRoster(Roster::clone(self.roster.roster()));
        for peer in self.membership.random_peers(FANOUT) {
            self.tell(peer, request.clone());
        }
        if self.is_ready() && self.membership.is_coordinator() {
            // No claim is granted in a changed shard until its new witnesses are installed.
            self.start_transitions(clock::now());
        }
    }

    pub(super) fn pull_roster(&self) {
        let Some(peer) = self.membership.random_peers(1).first().copied() else { return };
        let (shared, control) = (self.shared.clone(), self.control.clone());
        tokio::spawn(async move {
            let reply = ask_daemon(&shared, peer, ControlRequest::GetRoster).await;
            if let Some(ControlReply::Roster(roster)) = reply {
                control.send(RosterEvent::Offered(roster));
            }
        });
    }
}
