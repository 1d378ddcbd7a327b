//! Requests of other daemons and of operators.

use super::ControlThread;
use crate::control::{DrainTarget, OperatorEvent, StatusReport};
use crate::controllers::status::StatusInput;
use crate::controllers::{registration, status};
use log::info;
use seamhatch_core::claims::Epoch;
use seamhatch_core::generation::Offer;
use seamhatch_core::membership::Lifecycle;
use seamhatch_core::roster::{CONFIGURATION_SHARD, Roster};
use seamhatch_wire::{ControlReply, ControlRequest};
use tokio::sync::oneshot;

impl ControlThread {
    pub(super) fn answer(&mut self, request: ControlRequest) -> ControlReply {
        match request {
            ControlRequest::RememberDeparture { member, instance } => self.hold_departure(member, instance),
            ControlRequest::GetDepartures { member } => self.held_departures(member),
            ControlRequest::GetConfiguration { have } => match self.configuration.newest() {
                Some(stored) if stored.generation > have => ControlReply::Configuration(stored.clone()),
                _ => ControlReply::Generation(self.configuration.generation()),
            },
            ControlRequest::PutConfiguration(stored) => match self.offer(stored) {
                Offer::Stale => self
                    .configuration
                    .newest()
                    .cloned()
                    .map_or(ControlReply::Done, ControlReply::Configuration),
                Offer::Adopt | Offer::Same => ControlReply::Done,
                Offer::Conflict => ControlReply::Declined,
            },
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
                if let Some(held) = held {
                    self.configuration.hold(&held);
                }
                if self.shared.claims.witnesses.install(shard, epoch, claims) {
                    ControlReply::Done
                } else {
                    ControlReply::Declined
                }
            }
            ControlRequest::HoldConfiguration { epoch, stored } => {
                if registration::is_holder(&self.shared, epoch) && self.configuration.hold(&stored) {
                    ControlReply::Done
                } else {
                    ControlReply::Declined
                }
            }
            ControlRequest::GetHeld { epoch, .. } if !registration::is_holder(&self.shared, epoch) => {
                ControlReply::Declined
            }
            ControlRequest::GetHeld { have, .. } => match self.configuration.highest() {
                Some(stored) if stored.generation > have => ControlReply::Configuration(stored),
                other => ControlReply::Generation(other.map(|stored| stored.generation).unwrap_or_default()),
            },
            // Answered by the thread that carries traffic.
            ControlRequest::GetTokens { .. } => ControlReply::Declined,
            ControlRequest::GetRecorded { key, holder } => {
                ControlReply::Recorded(self.shared.claims.records.get(key, holder))
            }
        }
    }

    pub(super) fn seal(&self, shard: u32, epoch: Epoch) -> ControlReply {
        let Some(claims) = self.shared.claims.witnesses.seal(shard, epoch) else {
            return ControlReply::Declined;
        };
        let holds = shard as usize == CONFIGURATION_SHARD;
        ControlReply::Sealed { claims, held: self.configuration.highest().filter(|_| holds) }
    }

    pub(super) fn handle_operator(&mut self, event: OperatorEvent) {
        // An operator who is answered may have gone away.
        match event {
            OperatorEvent::Submit(request, reply) => self.submit(request, reply),
            OperatorEvent::Status(reply) => self.report_status(reply),
            OperatorEvent::GetConfiguration(reply) => {
                let _ = reply.send(self.configuration.newest().cloned());
            }
            OperatorEvent::Drain(target, reply) => {
                let _ = reply.send(self.drain(target));
            }
        }
    }

    pub(super) fn report_status(&mut self, reply: oneshot::Sender<StatusReport>) {
        // What operators are told is what traffic goes by.
        self.publish_if_changed();
        let input = StatusInput {
            me: self.membership.state.me().clone(),
            others: self.membership.state.others().cloned().collect(),
            roster: self.roster.roster().clone(),
            generation: self.configuration.generation(),
        };
        let shared = self.shared.clone();
        tokio::spawn(async move { reply.send(status::report(shared, input).await) });
    }

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
        self.work_changed();
    }

    pub(super) fn leave(&mut self, reply: oneshot::Sender<()>) {
        self.membership.state.set_lifecycle(Lifecycle::Left);
        self.announce();
        // The process may have stopped waiting.
        let _ = reply.send(());
    }

    pub(super) fn announce(&mut self) {
        let outgoing = self.membership.state.announce();
        self.membership.send_all(outgoing);
    }
}
