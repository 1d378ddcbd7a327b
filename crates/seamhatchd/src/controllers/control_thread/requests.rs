//! Answers requests from other daemons' controllers and from operators.

use super::ControlThread;
use crate::control::{ConfigurationSource, OperatorEvent, StatusReport};
use crate::controllers::status::StatusInput;
use crate::controllers::{registration, status};
use log::debug;
use seamhatch_core::claims::{Claim, Epoch};
use seamhatch_core::generation::{Generation, Offer};
use seamhatch_core::roster::{CONFIGURATION_SHARD, Roster};
use seamhatch_policy::StoredConfiguration;
use seamhatch_wire::{ControlReply, ControlRequest, SealedMemory};
use tokio::sync::oneshot;

impl ControlThread {
    /// Answers a request from another daemon's controller.
    pub(super) fn answer(&mut self, request: ControlRequest) -> ControlReply {
        match request {
            ControlRequest::GetConfiguration { have } => self.configuration_above(have),
            ControlRequest::PutConfiguration(stored) => self.take_configuration(stored),
            ControlRequest::HoldConfiguration { epoch, stored } => self.hold_configuration(epoch, &stored),
            ControlRequest::GetHeld { epoch, have } => self.held_above(epoch, have),
            ControlRequest::PutRoster(roster) => {
                self.offer_roster(roster);
                ControlReply::Done
            }
            ControlRequest::GetRoster => ControlReply::Roster(Roster::clone(self.roster.roster())),
            ControlRequest::WitnessStatus { shard } => {
                ControlReply::Serving(self.shared.claims.witnesses.serving(shard))
            }
            ControlRequest::Seal { shard, epoch } => self.seal(shard, epoch),
            ControlRequest::Install { shard, epoch, claims, held } => {
                self.install(shard, epoch, claims, held)
            }
            ControlRequest::RememberDeparture { member, instance } => self.hold_departure(member, instance),
            ControlRequest::GetDepartures { member } => self.held_departures(member),
            ControlRequest::GetRecorded { key, holder } => {
                ControlReply::Recorded(self.shared.claims.records.get(key, holder))
            }
            ControlRequest::HoldSealed(memory) => {
                self.shared.claims.sealed.hold(memory);
                ControlReply::Done
            }
            ControlRequest::HoldRecorded { key, holder, answer } => {
                self.shared.claims.records.hold(key, holder, answer);
                ControlReply::Done
            }
            ControlRequest::GetSealed { shard, witness } => {
                match self.shared.claims.sealed.get(shard, witness) {
                    Some(SealedMemory { claims, held, .. }) => ControlReply::Sealed { claims, held },
                    None => ControlReply::Declined,
                }
            }
            // The threads that carry traffic answer this request.
            ControlRequest::GetTokens { .. } => ControlReply::Declined,
        }
    }

    fn configuration_above(&self, have: Generation) -> ControlReply {
        match self.configuration.newest() {
            Some(stored) if stored.generation > have => ControlReply::Configuration(stored.clone()),
            _ => ControlReply::Generation(self.configuration.generation_in_force()),
        }
    }

    /// Adopts a configuration that is in force at the sending daemon, or returns the newer one held here.
    fn take_configuration(&mut self, stored: StoredConfiguration) -> ControlReply {
        match self.offer(stored, ConfigurationSource::Peer) {
            Offer::Stale => {
                let newest = self.configuration.newest().cloned();
                newest.map_or(ControlReply::Done, ControlReply::Configuration)
            }
            Offer::Adopt | Offer::Same => ControlReply::Done,
            Offer::Conflict => ControlReply::Declined,
        }
    }

    /// As a witness, holds a configuration that the store has accepted.
    fn hold_configuration(&mut self, epoch: Epoch, stored: &StoredConfiguration) -> ControlReply {
        done_or_declined(registration::is_holder(&self.shared, epoch) && self.configuration.hold(stored))
    }

    /// As a witness, returns the newest configuration held.
    fn held_above(&self, epoch: Epoch, have: Generation) -> ControlReply {
        if !registration::is_holder(&self.shared, epoch) {
            return ControlReply::Declined;
        }
        match self.configuration.highest() {
            Some(stored) if stored.generation > have => ControlReply::Configuration(stored),
            other => ControlReply::Generation(other.map(|stored| stored.generation).unwrap_or_default()),
        }
    }

    /// As a witness, seals an epoch: grants no more claims in it, and returns the recorded claims.
    fn seal(&self, shard: u32, epoch: Epoch) -> ControlReply {
        let Some(claims) = self.shared.claims.witnesses.seal(shard, epoch) else {
            return ControlReply::Declined;
        };
        let holds = shard as usize == CONFIGURATION_SHARD;
        ControlReply::Sealed { claims, held: self.configuration.highest().filter(|_| holds) }
    }

    /// As a witness, starts to grant claims in an epoch, with the claims recorded by the witnesses of earlier epochs.
    fn install(
        &mut self,
        shard: u32,
        epoch: Epoch,
        claims: Vec<Claim>,
        held: Option<StoredConfiguration>,
    ) -> ControlReply {
        if let Some(held) = held
            && !self.configuration.hold(&held)
        {
            // The configuration held here is kept, and is returned to daemons that request it.
            debug!(generation = held.generation.0; "a configuration received in a change of witnesses does not match the one held here");
        }
        done_or_declined(self.shared.claims.witnesses.install(shard, epoch, claims))
    }

    pub(super) fn handle_operator(&mut self, event: OperatorEvent) {
        match event {
            OperatorEvent::Submit(request, reply) => self.submit(request, reply),
            OperatorEvent::Status(reply) => self.report_status(reply),
            OperatorEvent::GetConfiguration(reply) => {
                // Fails if the operator has disconnected.
                let _ = reply.send(self.configuration.newest().cloned());
            }
            OperatorEvent::Drain(target, reply) => {
                // The drain continues even if the operator has disconnected.
                let _ = reply.send(self.drain(target));
            }
        }
    }

    fn report_status(&mut self, reply: oneshot::Sender<StatusReport>) {
        // The report must match the snapshot that routes traffic.
        self.publish_if_changed();
        let input = StatusInput {
            me: self.membership.state.me().clone(),
            others: self.membership.state.others().cloned().collect(),
            roster: self.roster.roster().clone(),
            generation: self.configuration.generation_in_force(),
        };
        let shared = self.shared.clone();
        tokio::spawn(async move {
            // Fails if the operator has disconnected.
            let _ = reply.send(status::report(shared, input).await);
        });
    }
}

fn done_or_declined(done: bool) -> ControlReply {
    if done { ControlReply::Done } else { ControlReply::Declined }
}
