//! Verifies on startup that this daemon knows the newest accepted configuration, and makes it ready.
//!
//! In deployments where daemons accept configurations, the daemon asks a majority of the witnesses; where a store is
//! followed, `followed` reads the store. Verification happens once per process: afterwards the daemon receives newer
//! configurations like all other daemons.

use super::ControlThread;
use crate::base::clock;
use crate::control::{ConfigurationEvent, ConfigurationSource};
use crate::controllers::registration::{Held, ask_held, newer, register};
use crate::shared::Shared;
use log::info;
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::generation::Generation;
use seamhatch_policy::StoredConfiguration;
use std::sync::Arc;

/// Time during which a starting daemon asks the witnesses before the content of the store alone is accepted.
const WITNESS_TIMEOUT: Microseconds = 10 * SECOND;

/// Maximum time that a starting daemon waits for the member list of another daemon. Without a list, calls of its back end
/// find no server; in a deployment of a single daemon no list ever arrives.
const MEMBER_LIST_TIMEOUT: Microseconds = 600 * MILLISECOND;

/// State of the verification that this daemon knows the newest accepted configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Verification {
    /// Not verified, and no witness is being asked.
    #[default]
    Pending,
    /// A task is asking the witnesses.
    AskingWitnesses,
    /// Verified, until the process ends.
    Done,
}

/// One attempt to learn the newest accepted configuration from the witnesses.
struct VerificationAttempt {
    shared: Arc<Shared>,
    in_store: Option<StoredConfiguration>,
    /// The store was read and no roster exists, so witnesses have never accepted a configuration.
    first_start: bool,
    /// The store was read and [`WITNESS_TIMEOUT`] has passed.
    store_is_enough: bool,
}

impl ControlThread {
    /// Starts an attempt to find the newest of the store's configuration and the one that a majority of the witnesses holds.
    /// If the store is unavailable, the witnesses suffice; if the witnesses are unavailable, the store suffices after
    /// [`WITNESS_TIMEOUT`].
    pub(super) fn verify(&mut self, now: Instant) {
        if self.verification != Verification::Pending {
            return;
        }
        let no_roster = self.roster.roster().shards.is_empty();
        if no_roster {
            self.pull_roster(None);
        }
        let store_was_read = self.store_view.was_read();
        let attempt = VerificationAttempt {
            shared: self.shared.clone(),
            in_store: self.store_view.configuration().cloned(),
            first_start: store_was_read && no_roster,
            store_is_enough: store_was_read && now.since(self.started) > WITNESS_TIMEOUT,
        };
        self.verification = Verification::AskingWitnesses;
        tokio::spawn(attempt.run());
    }

    pub(super) fn verified(&mut self) {
        self.verification = Verification::Done;
        self.become_ready_if_verified();
    }

    pub(super) fn not_verified(&mut self) {
        self.verification = Verification::Pending;
    }

    pub(super) fn is_verified(&self) -> bool {
        self.verification == Verification::Done
    }

    pub(super) fn is_ready(&self) -> bool {
        self.shared.lifecycle.is_ready()
    }

    /// Whether another daemon has sent its member list, or [`MEMBER_LIST_TIMEOUT`] has passed. Always true with a followed
    /// store, which has the daemons' records.
    fn knows_members(&self) -> bool {
        let waited = clock::now().since(self.started) >= MEMBER_LIST_TIMEOUT;
        self.followed().is_some() || self.membership.state.has_received_list() || waited
    }

    /// Makes the daemon ready once the newest configuration is known and usable, and other members are known.
    pub(super) fn become_ready_if_verified(&mut self) {
        let has_configuration = self.configuration.in_force().is_some();
        let may_begin = self.is_verified() && has_configuration && self.knows_members();
        if self.is_ready() || !may_begin || self.shared.is_draining() {
            return;
        }
        info!(generation = self.configuration.generation().0; "ready");
        self.shared.lifecycle.become_ready();
        self.availability_changed();
    }
}

impl VerificationAttempt {
    async fn run(self) {
        let control = self.shared.control.clone();
        let succeeded = self.succeeds().await;
        control.send(if succeeded { ConfigurationEvent::Verified } else { ConfigurationEvent::NotVerified });
    }

    async fn succeeds(self) -> bool {
        let held = match ask_held(&self.shared, Generation::default()).await {
            Held::Newest(held) => held,
            Held::NoRoster if self.first_start => None,
            Held::NoRoster | Held::NoMajority if self.store_is_enough => None,
            Held::NoRoster | Held::NoMajority => return false,
        };
        let Some(newest) = newer(held, self.in_store) else { return true };
        if !register(&self.shared, &newest).await && !self.store_is_enough {
            return false;
        }
        self.shared.control.send(ConfigurationEvent::Offered(newest, ConfigurationSource::Witnesses));
        true
    }
}
