//! Discovery of other daemons through the store's records, connections, and the platform's list of machines.

use super::ControlThread;
use crate::control::{Discovery, MemberEvent};
use crate::controllers::follow::EvidenceUpdate;
use crate::store::{ListedMachine, MachineState, StoreError, read_machines};
use log::{debug, info};
use seamhatch_core::identity::Address;
use seamhatch_core::membership::MemberRecord;

/// Number of daemons to which a starting daemon sends its record at once; the others receive it by gossip.
const SYNC_FANOUT: usize = 6;

impl ControlThread {
    pub(super) fn handle_member(&mut self, event: MemberEvent) {
        match event {
            MemberEvent::Connected(gossip) => self.connected(gossip),
            MemberEvent::Discovered(discovery) => self.discovered(discovery),
            MemberEvent::MachinesRead(result) => self.machines_read(result),
        }
    }

    /// Applies the records of all daemons that this daemon has read from the store at its start.
    fn discovered(&mut self, discovery: Discovery) {
        let Discovery { members, evidence, own_evidence, shards } = discovery;
        self.shared.suspects.merge(&evidence);
        self.remember_evidence(EvidenceUpdate::InOwnRecord(own_evidence));
        self.learn_quota_shards(&shards);
        info!(members = members.len(); "read the daemons' records");
        self.holders_named();
        let own = self.shared.settings.advertise.gossip;
        let mut others: Vec<Address> = members.iter().copied().filter(|member| *member != own).collect();
        let mut sync_targets: Vec<Address> = Vec::new();
        while sync_targets.len() < SYNC_FANOUT && !others.is_empty() {
            sync_targets.push(others.swap_remove(rand::random_range(0..others.len())));
        }
        self.membership.state.add_seeds(members);
        let outgoing = self.membership.state.sync_with(&sync_targets);
        self.membership.send_all(outgoing);
    }

    /// Handles a connection from a daemon that may have restarted: starts a membership exchange with it at once if it isn't
    /// known as live.
    fn connected(&mut self, gossip: Address) {
        if self.followed().is_none() || gossip == self.shared.settings.advertise.gossip {
            return;
        }
        let is_known = self.membership.state.member(gossip).is_some_and(MemberRecord::is_live);
        if !is_known {
            self.membership.state.add_seeds([gossip]);
            let outgoing = self.membership.state.sync_with(&[gossip]);
            self.membership.send_all(outgoing);
        }
    }

    /// Reads the platform's list of machines, if configured, on a watcher or while no other live member is known.
    pub(super) fn read_machines(&self) {
        let is_alone = self.membership.state.live_count() == 1;
        let Some(address) = self.shared.settings.machines else { return };
        if !(is_alone || self.membership.is_watcher()) {
            return;
        }
        let control = self.shared.control.clone();
        tokio::spawn(async move {
            control.send(MemberEvent::MachinesRead(read_machines(address).await));
        });
    }

    fn machines_read(&mut self, result: Result<Vec<ListedMachine>, StoreError>) {
        let machines = match result {
            Ok(machines) => machines,
            Err(error) => {
                debug!(error = error.to_string().as_str(); "the list of machines can't be read; retrying");
                return;
            }
        };
        self.roster.update_machines(machines.iter().map(|machine| machine.address).collect());
        for machine in &machines {
            self.note_machine(machine);
        }
    }

    /// Marks members on a leaving machine as leaving. For a live machine without a member, adds the expected address as a
    /// seed.
    fn note_machine(&mut self, machine: &ListedMachine) {
        let state = &self.membership.state;
        let members: Vec<Address> = std::iter::once(state.me())
            .chain(state.others())
            .filter(|record| record.info.gossip.ip == machine.address)
            .map(|record| record.info.gossip)
            .collect();
        match machine.state {
            MachineState::Leaving => {
                members.into_iter().for_each(|member| self.membership.state.mark_leaving(member));
            }
            MachineState::Live if members.is_empty() => {
                let port = self.shared.settings.advertise.gossip.port;
                self.membership.state.add_seeds([Address { ip: machine.address, port }]);
            }
            MachineState::Live => {}
        }
    }
}
