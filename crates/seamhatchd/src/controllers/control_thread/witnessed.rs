//! Deployments in which daemons accept configurations: reads the store, restores it, and registers its configuration with the
//! witnesses.
//!
//! The store may revert to an older state. A configuration therefore takes effect only after a majority of the witnesses
//! holds it, and an older copy in the store is overwritten. Only a few members, the watchers, read the store.

use super::{ControlThread, HOUSEKEEPING_INTERVAL, jittered};
use crate::base::clock;
use crate::control::{ConfigurationEvent, ConfigurationSource, RosterEvent};
use crate::controllers::registration;
use crate::ports::Backing;
use crate::store::{CONFIGURATION_KEY, ROSTER_KEY, StoreError, Stored, Swap};
use log::{debug, warn};
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_policy::StoredConfiguration;

/// Interval between two reads of the store, or of the platform's list of machines, by a watcher. An accepted change reaches
/// the watcher's zone within this time even if it is not forwarded.
const WATCHER_INTERVAL: Microseconds = 2 * SECOND;
/// Interval between two reads of the store while this daemon isn't ready.
const STARTUP_INTERVAL: Microseconds = 500 * MILLISECOND;

/// The store's configuration as it was last read, and whether a read is in progress.
#[derive(Debug, Default)]
pub(super) struct StoreView {
    reading: bool,
    /// Whether the last read failed.
    failing: bool,
    content: StoreContent,
}

#[derive(Debug, Default)]
enum StoreContent {
    /// No read has succeeded yet.
    #[default]
    Unread,
    /// The store had no configuration.
    Empty,
    /// The store had this configuration.
    Configuration(StoredConfiguration),
}

impl StoreView {
    /// Marks a read as started. Returns false when one is already in progress.
    fn begin_read(&mut self) -> bool {
        !std::mem::replace(&mut self.reading, true)
    }

    fn end_read(&mut self, has_failed: bool) {
        self.reading = false;
        self.failing = has_failed;
    }

    pub(super) fn is_failing(&self) -> bool {
        self.failing
    }

    fn update(&mut self, value: Option<StoredConfiguration>) {
        self.content = value.map_or(StoreContent::Empty, StoreContent::Configuration);
    }

    /// Whether a read has succeeded in this process.
    pub(super) fn was_read(&self) -> bool {
        !matches!(self.content, StoreContent::Unread)
    }

    /// The configuration that the last successful read returned.
    pub(super) fn configuration(&self) -> Option<&StoredConfiguration> {
        match &self.content {
            StoreContent::Configuration(stored) => Some(stored),
            StoreContent::Unread | StoreContent::Empty => None,
        }
    }
}

impl ControlThread {
    pub(super) fn tick_witnessed(&mut self, now: Instant) {
        if now >= self.schedule.store && (!self.is_ready() || self.membership.is_watcher()) {
            let interval = if self.is_ready() { WATCHER_INTERVAL } else { STARTUP_INTERVAL };
            self.schedule.store = now.plus(jittered(interval));
            self.read_store();
            self.verify(now);
        }
        if now >= self.schedule.machines {
            self.schedule.machines = now.plus(jittered(WATCHER_INTERVAL));
            self.read_machines();
        }
        self.maintain_roster_on_member_change(now);
        if now >= self.schedule.housekeeping {
            self.schedule.housekeeping = now.plus(jittered(HOUSEKEEPING_INTERVAL));
            self.maintain_roster(now);
            // The daemon that accepted this configuration may have ended before it took effect.
            if let Some(held) = self.configuration.held_not_in_force().cloned() {
                self.register(held);
            }
            self.update_metrics();
        }
    }

    pub(super) fn read_store(&mut self) {
        let Backing::Witnessed(store) = &self.backing else { return };
        if !self.store_view.begin_read() {
            return;
        }
        let (store, shared) = (store.clone(), self.shared.clone());
        tokio::spawn(async move {
            shared.metrics.store_requests.inc_by(2);
            let roster = store.read(ROSTER_KEY).await;
            shared.control.send(RosterEvent::Read(roster));
            let configuration = store.read(CONFIGURATION_KEY).await;
            shared.control.send(ConfigurationEvent::StoreRead(configuration));
        });
    }

    pub(super) fn store_read(&mut self, result: Result<Stored<Option<StoredConfiguration>>, StoreError>) {
        self.store_view.end_read(result.is_err());
        let stored = match result {
            Ok(stored) => stored,
            Err(error) => return self.record_read_failure(&error),
        };
        let in_store = stored.value.as_ref().map(|stored| stored.generation).unwrap_or_default();
        if self.configuration.generation() > in_store && self.membership.is_coordinator() {
            self.restore_store(stored.revision);
        }
        self.store_view.update(stored.value);
        if !self.is_verified() {
            // Verification doesn't wait for the next read: this one may have returned the roster, and the witnesses answer
            // within milliseconds.
            self.verify(clock::now());
        }
        if let (true, Some(found)) = (self.is_verified(), self.store_view.configuration().cloned()) {
            self.register(found);
        }
    }

    fn record_read_failure(&self, error: &StoreError) {
        self.shared.metrics.store_failures.inc();
        if !self.is_ready() {
            warn!(error = error.to_string().as_str(); "the store can't be read during startup");
        }
    }

    /// Overwrites an older copy, with which the store came back, with the newest accepted configuration.
    fn restore_store(&self, revision: u64) {
        let Some(newest) = self.configuration.newest().cloned() else { return };
        warn!(generation = newest.generation.0; "the store holds an older configuration; restoring the newest");
        let Backing::Witnessed(store) = &self.backing else { return };
        let store = store.clone();
        tokio::spawn(async move {
            match store.swap(CONFIGURATION_KEY, revision, &newest).await {
                Ok(Swap::Written) => {}
                // The next read returns the store's content, and the write is retried if needed.
                Ok(Swap::Refused) => debug!("the store changed before it was restored; rereading it"),
                Err(error) => {
                    debug!(error = error.to_string().as_str(); "the store was not restored; retrying")
                }
            }
        });
    }

    /// Registers an accepted configuration with the witnesses, and applies it once a majority holds it.
    fn register(&mut self, stored: StoredConfiguration) {
        let is_newer = stored.generation > self.configuration.generation();
        if !is_newer || !self.exchanges.begin_registration(stored.generation) {
            return;
        }
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let held = registration::register(&shared, &stored).await;
            shared.control.send(if held {
                ConfigurationEvent::Offered(stored, ConfigurationSource::Store)
            } else {
                ConfigurationEvent::NotRegistered
            });
        });
    }
}
