//! Bringing configurations into force: submissions, registration, spreading, starting.

use super::{ControlThread, FANOUT};
use crate::base::clock;
use crate::control::{ConfigurationEvent, SubmitError, SubmitRequest};
use crate::controllers::ask::{ask_daemon, ask_generation};
use crate::controllers::submission::Submission;
use crate::ports::Backing;
use log::warn;
use seamhatch_core::generation::{Generation, Offer};
use seamhatch_core::identity::Address;
use seamhatch_core::membership::GossipMessage;
use seamhatch_policy::StoredConfiguration;
use seamhatch_wire::{ControlReply, ControlRequest};
use tokio::sync::oneshot;

impl ControlThread {
    pub(super) fn handle_configuration(&mut self, event: ConfigurationEvent) {
        match event {
            ConfigurationEvent::PeerGeneration { peer, generation } => match self.backing {
                Backing::Witnessed(_) => self.pull_if_behind(peer, generation),
                Backing::Followed(_) => self.note_ahead(peer, generation),
            },
            ConfigurationEvent::Offered(stored) => {
                self.pulling.clear();
                self.registering = None;
                self.offer(stored);
            }
            ConfigurationEvent::Proved(proof) => self.shared.limits.freshness.prove(proof),
            ConfigurationEvent::StoreRead(result) => self.store_read(result),
            ConfigurationEvent::FollowedStoreRead => self.configuration_was_read(),
            ConfigurationEvent::Verified => {
                self.verifying = false;
                self.verified = true;
                self.become_ready_if_verified();
            }
            ConfigurationEvent::NotVerified => self.verifying = false,
            ConfigurationEvent::NotRegistered => self.registering = None,
        }
    }

    pub(super) fn offer(&mut self, stored: StoredConfiguration) -> Offer {
        let offer = self.configuration.offer(stored);
        if offer == Offer::Adopt {
            let generation = self.configuration.generation();
            self.membership.state.set_generation(generation);
            self.apply_service_settings();
            self.publish();
            // After the snapshot, and only what can be decided by: until then this daemon is behind.
            self.control.note_told(generation, clock::now());
            if let Some((in_force, configuration)) = self.configuration.in_force() {
                self.control.set_generation(in_force);
                let tenants = configuration.tenants();
                self.shared.limits.freshness.set_in_force(in_force, !tenants.is_empty());
                let limited = tenants.iter().any(|tenant| tenant.limit.is_some());
                if limited && self.followed().is_none() {
                    warn!(
                        "limits of tenants are not kept: operators of this deployment submit to daemons, not to its store"
                    );
                }
                self.shared.limits.quota.set_needed(limited && self.followed().is_some());
            }
            if self.followed().is_none() {
                // Daemons that follow a store hear of it there.
                self.pass_on_configuration();
            }
        }
        offer
    }

    /// Applies what the configuration says of crashes, and of the service beside this daemon.
    pub(super) fn apply_service_settings(&self) {
        let Some((_, configuration)) = self.configuration.in_force() else { return };
        self.shared.suspects.set_settings(configuration.crashes());
        if let Some(service) = configuration.service(&self.shared.settings.service) {
            self.shared.server.gate.set_queue_per_slot(service.queue_per_slot);
        }
    }

    pub(super) fn pass_on_configuration(&self) {
        let Some(stored) = self.configuration.newest() else { return };
        let request = ControlRequest::PutConfiguration(stored.clone());
        for peer in self.membership.random_peers(FANOUT) {
            self.tell(peer, request.clone());
        }
    }

    pub(super) fn tell(&self, peer: Address, request: ControlRequest) {
        let (shared, control) = (self.shared.clone(), self.control.clone());
        tokio::spawn(async move {
            if let Some(ControlReply::Configuration(newer)) = ask_daemon(&shared, peer, request).await {
                control.send(ConfigurationEvent::Offered(newer));
            }
        });
    }

    pub(super) fn pull_if_behind(&mut self, peer: Option<Address>, generation: Generation) {
        let have = self.configuration.generation();
        if generation <= have {
            return;
        }
        let peer = peer.or_else(|| self.membership.random_peers(1).first().copied());
        let Some(peer) = peer.filter(|peer| self.pulling.insert(*peer)) else { return };
        let (shared, control) = (self.shared.clone(), self.control.clone());
        tokio::spawn(async move {
            if let Some(ControlReply::Configuration(newer)) = ask_generation(&shared, peer, have).await {
                control.send(ConfigurationEvent::Offered(newer));
            }
        });
    }

    pub(super) fn note_versions(&mut self, message: &GossipMessage) {
        self.control.note_told(message.generation, clock::now());
        if message.generation > self.configuration.generation() {
            let peer = self.membership.state.member(message.from).map(|record| record.info.peer);
            match self.backing {
                Backing::Witnessed(_) => self.pull_if_behind(peer, message.generation),
                Backing::Followed(_) => self.note_ahead(peer, message.generation),
            }
        }
        if message.roster_version > self.roster.roster().version {
            self.pull_roster();
        }
    }

    pub(super) fn submit(
        &mut self,
        request: SubmitRequest,
        reply: oneshot::Sender<Result<Generation, SubmitError>>,
    ) {
        let Backing::Witnessed(store) = &self.backing else {
            let detail = "operators of this deployment write into its store, not to daemons".into();
            let _ = reply.send(Err(SubmitError::Unavailable { detail }));
            return;
        };
        let submission =
            Submission::new(self.shared.clone(), store.clone(), request, self.configuration.highest());
        let control = self.control.clone();
        tokio::spawn(async move {
            let result = match submission {
                Ok(submission) => submission.run().await,
                Err(error) => Err(error),
            };
            let result = result.map(|accepted| {
                control.send(ConfigurationEvent::Offered(accepted.newest));
                accepted.generation
            });
            // The operator may have gone away; the submission stands all the same.
            let _ = reply.send(result);
        });
    }
}
