//! Applies configurations, distributes them to other daemons, and accepts submissions from operators.

use super::ControlThread;
use crate::base::clock;
use crate::control::{ConfigurationEvent, ConfigurationSource, ReportSource, SubmitError, SubmitRequest};
use crate::controllers::ask::ask_generation;
use crate::controllers::submission::Submission;
use crate::limits::freshness::ProofSource;
use crate::ports::Backing;
use log::warn;
use seamhatch_core::generation::{AskedPeers, Generation, Offer};
use seamhatch_core::identity::Address;
use seamhatch_core::membership::GossipMessage;
use seamhatch_policy::{Configuration, StoredConfiguration};
use seamhatch_wire::{ControlReply, ControlRequest};
use tokio::sync::oneshot;

/// Number of peers to which each daemon that adopts a new configuration or roster forwards it. A push to all members
/// would cost the accepting daemon a connection to each.
pub(super) const FANOUT: usize = 4;

/// Requests to other daemons about a newer configuration that are in progress.
#[derive(Debug, Default)]
pub(super) struct ConfigurationExchanges {
    /// Generation whose registration with the witnesses is in progress.
    registering: Option<Generation>,
    asked: AskedPeers,
}

impl ConfigurationExchanges {
    /// Starts the registration of a generation. Returns false when this or a later generation is being registered.
    pub(super) fn begin_registration(&mut self, generation: Generation) -> bool {
        if self.registering.is_some_and(|registering| registering >= generation) {
            return false;
        }
        self.registering = Some(generation);
        true
    }

    fn end_registration(&mut self) {
        self.registering = None;
    }

    /// Clears all requests in progress after a configuration has arrived, so that a generation still missing is requested
    /// again.
    fn end_all(&mut self) {
        self.registering = None;
        self.asked.clear();
    }
}

impl ControlThread {
    pub(super) fn handle_configuration(&mut self, event: ConfigurationEvent) {
        match event {
            ConfigurationEvent::PeerGeneration { peer, generation } => match self.backing {
                Backing::Witnessed(_) => self.pull_if_behind(peer, generation),
                Backing::Followed(_) => self.record_newer_generation(peer, generation),
            },
            ConfigurationEvent::Offered(stored, source) => {
                self.exchanges.end_all();
                self.offer(stored, source);
            }
            ConfigurationEvent::OfferedSeries(series, source) => {
                self.exchanges.end_all();
                self.offer_series(series, source);
            }
            ConfigurationEvent::Proved(proof) => {
                self.shared.limits.freshness.record(proof, ProofSource::Store);
            }
            ConfigurationEvent::StoreRead(result) => self.store_read(result),
            ConfigurationEvent::FollowedStoreRead => self.followed_store_read(),
            ConfigurationEvent::Verified => self.verified(),
            ConfigurationEvent::NotVerified => self.not_verified(),
            ConfigurationEvent::NotRegistered => self.exchanges.end_registration(),
        }
    }

    /// Adopts the last usable configuration of a series, if it is newer than the one held.
    fn offer_series(&mut self, series: Vec<StoredConfiguration>, source: ConfigurationSource) {
        for stored in series.into_iter().rev() {
            let version = stored.version();
            self.offer(stored, source);
            if !self.configuration.has_refused(version) {
                return;
            }
        }
    }

    /// Adopts a configuration if it is newer than the one held.
    pub(super) fn offer(&mut self, stored: StoredConfiguration, source: ConfigurationSource) -> Offer {
        let version = stored.version();
        let offer = self.configuration.offer(stored, source);
        if self.configuration.has_refused(version) {
            // This daemon doesn't know what the refused configuration allows, so the earlier one must not reject requests
            // permanently.
            self.shared.control.record_generation(version.generation, ReportSource::Received, clock::now());
        }
        if offer != Offer::Adopt {
            return offer;
        }
        let generation = self.configuration.generation();
        self.membership.state.set_generation(generation);
        self.apply_service_settings();
        self.publish();
        // Recorded after the snapshot is published, and only for a usable generation: until then this daemon counts as
        // behind.
        self.shared.control.record_generation(generation, ReportSource::Received, clock::now());
        if let Some((in_force, configuration)) = self.configuration.in_force() {
            self.shared.control.set_generation(in_force);
            self.shared.server.running.note_longest_timeout(configuration.longest_timeout());
            self.apply_tenants(in_force, &configuration);
        }
        if self.followed().is_none() {
            // Daemons that follow a store receive the configuration from it.
            self.pass_on_configuration();
        }
        offer
    }

    /// Applies the tenant settings of the configuration.
    fn apply_tenants(&self, generation: Generation, configuration: &Configuration) {
        let tenants = configuration.tenants();
        self.shared.limits.freshness.set_in_force(generation);
        let is_limited = tenants.iter().any(|tenant| tenant.limit.is_some());
        let can_be_limited = self.followed().is_some();
        if is_limited && !can_be_limited {
            warn!(
                "limits of tenants are not kept: operators of this deployment submit to daemons, not to its store"
            );
        }
        self.shared.limits.quota.set_needed(is_limited && can_be_limited);
    }

    /// Applies the crash settings and the settings of this daemon's own service.
    fn apply_service_settings(&self) {
        let Some((_, configuration)) = self.configuration.in_force() else { return };
        self.shared.suspects.set_settings(configuration.crashes());
        if let Some(service) = configuration.service(&self.shared.settings.service) {
            self.shared.server.gate.set_queue_per_slot(service.queue_per_slot);
        }
    }

    fn pass_on_configuration(&self) {
        let Some(stored) = self.configuration.newest() else { return };
        let request = ControlRequest::PutConfiguration(stored.clone());
        for peer in self.membership.random_peers(FANOUT) {
            self.send_to_peer(peer, request.clone());
        }
    }

    /// Sends a configuration or roster to a peer, which may return a newer configuration.
    pub(super) fn send_to_peer(&self, peer: Address, request: ControlRequest) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            if let Some(ControlReply::Configuration(newer)) = shared.pool.ask(peer, request).await {
                shared.control.send(ConfigurationEvent::Offered(newer, ConfigurationSource::Peer));
            }
        });
    }

    /// Requests the configuration from a peer if `generation`, reported by that peer or another daemon, is newer than the
    /// one held.
    fn pull_if_behind(&mut self, peer: Option<Address>, generation: Generation) {
        let have = self.configuration.generation();
        if generation <= have {
            return;
        }
        let peer = peer.or_else(|| self.membership.random_peers(1).first().copied());
        let Some(peer) = peer.filter(|peer| self.exchanges.asked.begin(*peer, clock::now())) else { return };
        let shared = self.shared.clone();
        tokio::spawn(async move {
            if let Some(ControlReply::Configuration(newer)) = ask_generation(&shared.pool, peer, have).await {
                shared.control.send(ConfigurationEvent::Offered(newer, ConfigurationSource::Peer));
            }
        });
    }

    /// Compares the configuration and roster versions in a datagram with those held here, and requests newer ones.
    pub(super) fn note_versions(&mut self, message: &GossipMessage) {
        let source = ReportSource::Gossip(message.from);
        self.shared.control.record_generation(message.generation, source, clock::now());
        if message.generation > self.configuration.generation() {
            let peer = self.membership.state.member(message.from).map(|record| record.info.peer);
            match self.backing {
                Backing::Witnessed(_) => self.pull_if_behind(peer, message.generation),
                Backing::Followed(_) => self.record_newer_generation(peer, message.generation),
            }
        }
        if message.roster_version > self.roster.roster().version {
            let sender = self.membership.state.member(message.from);
            self.pull_roster(sender.map(|record| record.info.peer));
        }
    }

    pub(super) fn submit(
        &mut self,
        request: SubmitRequest,
        reply: oneshot::Sender<Result<Generation, SubmitError>>,
    ) {
        let Backing::Witnessed(store) = &self.backing else {
            let detail = "operators of this deployment write into its store, not to daemons".into();
            // Fails if the operator has disconnected.
            let _ = reply.send(Err(SubmitError::Unavailable { detail }));
            return;
        };
        let shared = self.shared.clone();
        let submission =
            Submission::new(shared.clone(), store.clone(), request, self.configuration.highest());
        tokio::spawn(async move {
            let result = match submission {
                Ok(submission) => submission.run().await,
                Err(error) => Err(error),
            };
            let result = result.map(|accepted| {
                shared
                    .control
                    .send(ConfigurationEvent::Offered(accepted.newest, ConfigurationSource::Submission));
                accepted.generation
            });
            // Fails if the operator has disconnected; the submission remains in effect.
            let _ = reply.send(result);
        });
    }
}
