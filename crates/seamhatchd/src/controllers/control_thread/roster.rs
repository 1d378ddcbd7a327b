//! The roster of witnesses: maintenance by the coordinator, and adoption of changes.

use super::ControlThread;
use super::configuration::FANOUT;
use crate::base::clock;
use crate::control::{Retirement, RosterEvent, TransitionResult};
use crate::controllers::roster::candidates;
use crate::controllers::roster_change::Transition;
use crate::ports::Backing;
use crate::store::{ROSTER_KEY, StoreClient, StoreError, Stored, Swap};
use log::{debug, info, warn};
use seamhatch_core::Instant;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::identity::Address;
use seamhatch_core::roster::{CONFIGURATION_SHARD, Roster, WitnessDuty, WitnessId};
use seamhatch_wire::{ControlReply, ControlRequest, SealedMemory};
use std::collections::BTreeSet;

/// Interval between two checks of shards without pending changes, which detect a witness that restarted unnoticed.
const ROSTER_RECHECK_INTERVAL: Microseconds = 30 * SECOND;

/// Time after the start by which a daemon knows all members: a few exchanges of full member lists, one per second.
const MEMBERSHIP_SETTLE_TIME: Microseconds = 5 * SECOND;

/// Progress of the coordinator's maintenance of the roster.
#[derive(Debug, Default)]
pub(super) struct RosterMaintenance {
    /// Whether a changed roster is being written. Further changes are written immediately after it.
    writing: bool,
    /// Membership change counter at the last check; none before the first check, or to force one.
    member_changes: Option<u64>,
}

impl ControlThread {
    pub(super) fn handle_roster(&mut self, event: RosterEvent) {
        match event {
            RosterEvent::Check(reported_by) => self.pull_roster(reported_by),
            RosterEvent::Read(result) => self.roster_read(result),
            RosterEvent::Offered(roster) => self.offer_roster(roster),
            RosterEvent::Transition(result) => self.finish_transition(&result),
            RosterEvent::WriteEnded => self.roster_maintenance.writing = false,
            RosterEvent::Duty(reply) => {
                // Fails if the stop sequence has stopped waiting.
                let _ = reply.send(self.witness_duty());
            }
            RosterEvent::Retire(reply) => {
                // Fails if the stop sequence has stopped waiting.
                let _ = reply.send(self.retire_if_needed());
            }
        }
    }

    /// This daemon's remaining duty as a witness.
    fn witness_duty(&self) -> WitnessDuty {
        let witnesses = &self.shared.claims.witnesses;
        self.roster.duty(&self.own_witness(), |shard| witnesses.epoch(shard), &self.all_members())
    }

    /// Retires as a witness if the store is failing or no duty remains. While the store works, other witnesses will take
    /// over, and a witness that has retired would delay them.
    fn retire_if_needed(&mut self) -> Option<Retirement> {
        if self.store_view.is_failing() || self.witness_duty() == WitnessDuty::Released {
            return Some(self.retire());
        }
        self.read_store();
        None
    }

    /// Retires as a witness. Returns the recorded claims and configuration, and the daemons that can hold them.
    fn retire(&self) -> Retirement {
        let claims = &self.shared.claims;
        let retired = claims.witnesses.retire();
        let witness = self.own_witness();
        let held = |shard| self.configuration.highest().filter(|_| shard as usize == CONFIGURATION_SHARD);
        let own = retired.into_iter().map(|(shard, claims)| SealedMemory {
            shard,
            witness,
            claims,
            held: held(shard),
        });
        let memories = own.chain(claims.sealed.all()).collect();
        let holders = candidates(&self.all_members()).into_iter().map(|candidate| candidate.id.daemon);
        Retirement { memories, holders: holders.filter(|holder| *holder != witness.daemon).collect() }
    }

    fn own_witness(&self) -> WitnessId {
        WitnessId { daemon: self.shared.settings.advertise.peer, incarnation: self.shared.incarnation }
    }

    /// Maintains the roster immediately if the membership has changed, since a stopping witness waits for others to take
    /// over.
    pub(super) fn maintain_roster_on_member_change(&mut self, now: Instant) {
        let changes = self.membership.state.changes();
        if self.roster_maintenance.member_changes != Some(changes) {
            self.roster_maintenance.member_changes = Some(changes);
            self.maintain_roster(now);
        }
    }

    /// As the coordinator, plans the next roster and starts pending transitions.
    pub(super) fn maintain_roster(&mut self, now: Instant) {
        if !self.is_ready() || !self.membership.is_coordinator() {
            return;
        }
        if now >= self.schedule.roster_recheck {
            self.schedule.roster_recheck = now.plus(ROSTER_RECHECK_INTERVAL);
            self.roster.recheck();
        }
        let knows_all_members = now.since(self.started) > MEMBERSHIP_SETTLE_TIME;
        if !self.roster_maintenance.writing
            && let Some(next) = self.roster.plan(&self.all_members(), knows_all_members)
        {
            self.write_roster(next);
        }
        self.start_transitions(now);
    }

    /// Writes a roster without the witnesses that are no longer needed, if there are any and no write is in progress: they
    /// may be waiting for their release. Other changes follow on the next tick, so that two coordinators with different
    /// views of the membership don't keep overwriting each other's rosters.
    fn release_witnesses(&mut self) {
        self.roster_maintenance.member_changes = None;
        if self.roster_maintenance.writing || !self.is_ready() || !self.membership.is_coordinator() {
            return;
        }
        if let Some(next) = self.roster.plan_releases() {
            self.write_roster(next);
        }
    }

    fn start_transitions(&mut self, now: Instant) {
        let members = self.all_members();
        for (shard, target) in self.roster.start_transitions() {
            let transition = Transition {
                pool: self.shared.pool.clone(),
                shard,
                ended: self.roster.ended(&target, &members),
                target,
                waited_out: self.roster.waited_out(shard, now),
                holders: candidates(&members).into_iter().map(|candidate| candidate.id.daemon).collect(),
                newest: self.configuration.highest(),
            };
            let control = self.shared.control.clone();
            tokio::spawn(async move { control.send(RosterEvent::Transition(transition.run().await)) });
        }
    }

    fn finish_transition(&mut self, result: &TransitionResult) {
        let now = clock::now();
        for epoch in self.roster.finish_transition(result, now) {
            warn!(shard = result.shard, epoch = epoch.0; "claims may be lost; the shard grants none until the waiting period ends");
        }
        if result.confirmed {
            self.release_witnesses();
        }
    }

    /// Writes a planned roster if the store still holds the version from which it was planned.
    fn write_roster(&mut self, next: Roster) {
        let Backing::Witnessed(store) = &self.backing else { return };
        let (store, control) = (store.clone(), self.shared.control.clone());
        let known_version = self.roster.roster().version;
        self.roster_maintenance.writing = true;
        tokio::spawn(async move {
            let newest = swap_roster(&store, known_version, next).await;
            control.send(RosterEvent::WriteEnded);
            newest.into_iter().for_each(|roster| control.send(RosterEvent::Offered(roster)));
        });
    }

    fn roster_read(&mut self, result: Result<Stored<Option<Roster>>, StoreError>) {
        // A failure is reported with the read of the configuration, which follows.
        if let Ok(Stored { value: Some(roster), .. }) = result {
            self.offer_roster(roster);
        }
    }

    /// Adopts a roster if it is newer, and distributes it.
    pub(super) fn offer_roster(&mut self, roster: Roster) {
        let earlier_witnesses = self.roster.witnesses();
        if !self.roster.offer(roster) {
            return;
        }
        let version = self.roster.roster().version;
        self.membership.state.set_roster_version(version);
        self.publish();
        let is_coordinator = self.is_ready() && self.membership.is_coordinator();
        let mut targets: BTreeSet<Address> = self.membership.random_peers(FANOUT).into_iter().collect();
        if is_coordinator {
            // New witnesses are about to be installed, and released witnesses wait only for this roster.
            targets.extend(self.roster.witnesses().into_iter().chain(earlier_witnesses));
            targets.remove(&self.shared.settings.advertise.peer);
        }
        let request = ControlRequest::PutRoster(Roster::clone(self.roster.roster()));
        for peer in targets {
            self.send_to_peer(peer, request.clone());
        }
        if is_coordinator {
            // A changed shard grants no claims until its new witnesses are installed.
            self.start_transitions(clock::now());
            self.release_witnesses();
        }
    }

    /// Requests the roster from the peer that reported a newer one, or from a random peer.
    pub(super) fn pull_roster(&self, reported_by: Option<Address>) {
        let peer = reported_by.or_else(|| self.membership.random_peers(1).first().copied());
        let Some(peer) = peer else { return };
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let reply = shared.pool.ask(peer, ControlRequest::GetRoster).await;
            if let Some(ControlReply::Roster(roster)) = reply {
                shared.control.send(RosterEvent::Offered(roster));
            }
        });
    }
}

/// Writes a roster if the store holds none newer than `known_version`. Returns the newest roster known after that.
async fn swap_roster(store: &StoreClient, known_version: u64, next: Roster) -> Option<Roster> {
    let stored = match store.read::<Roster>(ROSTER_KEY).await {
        Ok(stored) => stored,
        Err(error) => {
            log_write_failure(&error);
            return None;
        }
    };
    if let Some(newer) = stored.value.filter(|stored| stored.version > known_version) {
        return Some(newer);
    }
    match store.swap(ROSTER_KEY, stored.revision, &next).await {
        Ok(Swap::Written) => {
            info!(version = next.version; "witness roster changed");
            Some(next)
        }
        Ok(Swap::Refused) => {
            debug!("another coordinator changed the witness roster; rereading it");
            None
        }
        // If the write took effect despite the error, the next read returns it.
        Err(error) => {
            log_write_failure(&error);
            None
        }
    }
}

fn log_write_failure(error: &StoreError) {
    debug!(error = error.to_string().as_str(); "the witness roster was not written; retrying");
}
