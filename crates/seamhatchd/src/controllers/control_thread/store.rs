//! Reading and restoring the store, and becoming ready.

use super::{ControlThread, WITNESS_PATIENCE};
use crate::control::{ConfigurationEvent, RosterEvent};
use crate::controllers::registration;
use crate::controllers::registration::Held;
use crate::ports::Backing;
use crate::store::{CONFIGURATION_KEY, ROSTER_KEY, StoreError, Stored};
use log::{info, warn};
use seamhatch_core::Instant;
use seamhatch_core::generation::Generation;
use seamhatch_policy::StoredConfiguration;

impl ControlThread {
    pub(super) fn read_store(&mut self) {
        let Backing::Witnessed(store) = &self.backing else { return };
        if std::mem::replace(&mut self.reading_store, true) {
            return;
        }
        let (store, control, metrics) = (store.clone(), self.control.clone(), self.shared.metrics.clone());
        tokio::spawn(async move {
            metrics.store_requests.inc_by(2);
            let roster = store.read(ROSTER_KEY).await;
            control.send(RosterEvent::Read(roster));
            control.send(ConfigurationEvent::StoreRead(store.read(CONFIGURATION_KEY).await));
        });
    }

    pub(super) fn store_read(&mut self, result: Result<Stored<Option<StoredConfiguration>>, StoreError>) {
        self.reading_store = false;
        let stored = match result {
            Ok(stored) => stored,
            Err(error) => {
                self.shared.metrics.store_failures.inc();
                if !self.is_ready() {
                    warn!(error = error.to_string().as_str(); "the store can't be read at the start");
                }
                return;
            }
        };
        let in_store = stored.value.as_ref().map(|stored| stored.generation).unwrap_or_default();
        self.store_seen = true;
        if self.configuration.generation() > in_store && self.membership.is_coordinator() {
            self.restore_store(stored.revision);
        }
        self.from_store = stored.value;
        if let (true, Some(found)) = (self.verified, self.from_store.clone()) {
            self.register(found);
        }
    }

    /// The store came back with an older copy: writes the newest accepted configuration over it.
    pub(super) fn restore_store(&self, revision: u64) {
        let Some(newest) = self.configuration.newest().cloned() else { return };
        warn!(generation = newest.generation.0; "the store holds an older configuration; restoring the newest");
        let Backing::Witnessed(store) = &self.backing else { return };
        let store = store.clone();
        tokio::spawn(async move {
            // Refused or lost: the next read shows it, and it is tried again.
            let _ = store.swap(CONFIGURATION_KEY, revision, &newest).await;
        });
    }

    /// Brings an accepted configuration into force, once a majority of the
    /// witnesses holds it.
    pub(super) fn register(&mut self, stored: StoredConfiguration) {
        let generation = stored.generation;
        let newer = generation > self.configuration.generation();
        if !newer || self.registering.is_some_and(|registering| registering >= generation) {
            return;
        }
        self.registering = Some(generation);
        let (shared, control) = (self.shared.clone(), self.control.clone());
        tokio::spawn(async move {
            let held = registration::register(&shared, &stored).await;
            control.send(if held {
                ConfigurationEvent::Offered(stored)
            } else {
                ConfigurationEvent::NotRegistered
            });
        });
    }

    /// A starting daemon takes the newest of what the store has and what a
    /// majority of the witnesses holds. Without the store, the witnesses are
    /// enough; without the witnesses, the store is, after some patience.
    pub(super) fn verify(&mut self, now: Instant) {
        if self.verified || self.verifying {
            return;
        }
        if self.roster.roster().shards.is_empty() {
            self.pull_roster();
        }
        let store_alone = self.store_seen && now.since(self.started) > WITNESS_PATIENCE;
        let from_store = self.from_store.clone();
        let first_start = self.store_seen && self.roster.roster().shards.is_empty();
        self.verifying = true;
        let (shared, control) = (self.shared.clone(), self.control.clone());
        tokio::spawn(async move {
            let held = match registration::ask_held(&shared, Generation::default()).await {
                Held::Newest(held) => held,
                Held::NoRoster if first_start => None,
                Held::NoRoster | Held::NoMajority if store_alone => None,
                Held::NoRoster | Held::NoMajority => return control.send(ConfigurationEvent::NotVerified),
            };
            if let Some(newest) = registration::newer(held, from_store) {
                if !registration::register(&shared, &newest).await && !store_alone {
                    return control.send(ConfigurationEvent::NotVerified);
                }
                control.send(ConfigurationEvent::Offered(newest));
            }
            control.send(ConfigurationEvent::Verified);
        });
    }

    pub(super) fn is_ready(&self) -> bool {
        self.shared.lifecycle.is_ready()
    }

    pub(super) fn become_ready_if_verified(&mut self) {
        let decidable = self.configuration.in_force().is_some();
        if self.is_ready() || !self.verified || !decidable || self.shared.is_draining() {
            return;
        }
        info!(generation = self.configuration.generation().0; "ready");
        self.shared.lifecycle.become_ready();
        self.work_changed();
    }
}
