//! Watches the operators' configuration in the store.

use super::store_calls::{Backoff, call_store};
use crate::base::clock;
use crate::base::metrics::Metrics;
use crate::control::{ConfigurationEvent, ConfigurationSource, ControlHandle};
use crate::ports::{DocumentFormat, FollowedStore};
use crate::store::{Change, Item, Revision, StoreError};
use log::{error, info, warn};
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::freshness::FreshnessProof;
use seamhatch_core::generation::Generation;
use seamhatch_policy::StoredConfiguration;
use std::sync::Arc;
use std::time::Duration;

/// Maximum duration of one watch. Each renewal is a call to the store; a connection that fails in the meantime is detected
/// by TCP keep-alive probes, which need no call.
const WATCH_WAIT: Duration = Duration::from_secs(25);
/// Time past [`WATCH_WAIT`] after which a watch is treated as lost: the store acknowledges probes but doesn't answer.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(3);
/// Minimum duration of a watch in microseconds; a shorter one is always followed by a backoff pause.
const MIN_WATCH: Microseconds = SECOND;
/// Time after which a watch counts as silent if it has not delivered a configuration that is already in force here.
const SILENT_WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a change before the next watch, so that changes in quick succession arrive in one response.
const COALESCING_PAUSE: Duration = Duration::from_millis(250);

/// State of this daemon's watch of the configuration.
struct Follower {
    followed: FollowedStore,
    documents: Arc<dyn DocumentFormat>,
    control: ControlHandle,
    metrics: Arc<Metrics>,
    /// Whether the last call was answered, so that a loss is logged only once.
    reachable: bool,
    /// The newest generation that this task's own calls have returned.
    newest: Generation,
}

/// Follows the configuration until the process ends, and sends each version found to the control thread.
pub async fn follow_configuration(
    followed: FollowedStore,
    documents: Arc<dyn DocumentFormat>,
    control: ControlHandle,
    metrics: Arc<Metrics>,
) {
    let mut follower =
        Follower { followed, documents, control, metrics, reachable: true, newest: Generation::default() };
    let mut backoff = Backoff::default();
    loop {
        let began = clock::now();
        let failure = match follower.read().await {
            Ok(at) => {
                backoff.succeeded();
                follower.watch_from(at).await
            }
            Err(error) => error,
        };
        follower.note_failure(&failure);
        let is_renewed = matches!(failure, StoreError::HistoryLost | StoreError::WatchSilent);
        // A store without any history ends each watch at once, so a short watch also needs the pause.
        if !is_renewed || clock::now().since(began) < MIN_WATCH {
            backoff.pause().await;
        }
    }
}

impl Follower {
    /// Reads the current configuration. Returns the store revision of the read.
    async fn read(&mut self) -> Result<Revision, StoreError> {
        let sent = clock::now();
        let reading = self.followed.store.get(&self.followed.configuration_key);
        let reading = call_store(&self.metrics, reading).await?;
        self.note_answer();
        if let Some(stored) = reading.found.and_then(|item| self.parse(&item)) {
            self.newest = self.newest.max(stored.generation);
            let proof = FreshnessProof { generation: stored.generation, at: sent };
            self.control.send(ConfigurationEvent::Offered(stored, ConfigurationSource::Store));
            self.control.send(ConfigurationEvent::Proved(proof));
        }
        self.control.send(ConfigurationEvent::FollowedStoreRead);
        Ok(reading.at)
    }

    /// Watches for changes after a revision until the watch fails. Returns the failure.
    async fn watch_from(&mut self, mut after: Revision) -> StoreError {
        loop {
            self.metrics.store_requests.inc();
            let watch = self.followed.store.watch(&self.followed.configuration_key, after, WATCH_WAIT);
            let known = self.newest.max(self.control.generation_in_force());
            let answer = tokio::select! {
                answer = tokio::time::timeout(WATCH_WAIT + WATCH_TIMEOUT_MARGIN, watch) => answer,
                () = watch_fell_silent(&self.control, known) => return StoreError::WatchSilent,
            };
            let changes = match answer {
                Ok(Ok(changes)) => changes,
                Ok(Err(error)) => return error,
                Err(_) => return StoreError::timed_out(),
            };
            self.note_answer();
            after = changes.at;
            let versions: Vec<StoredConfiguration> =
                changes.found.iter().filter_map(|change| self.changed(change)).collect();
            if let Some(newest) = versions.iter().map(|version| version.generation).max() {
                self.newest = self.newest.max(newest);
                self.control.send(ConfigurationEvent::OfferedSeries(versions, ConfigurationSource::Watch));
                tokio::time::sleep(COALESCING_PAUSE).await;
            }
        }
    }

    /// Returns the configuration that a change has written, if the change is of the configuration and readable.
    fn changed(&self, change: &Change) -> Option<StoredConfiguration> {
        match change {
            Change::Put(item) if item.key == self.followed.configuration_key => self.parse(item),
            _ => None,
        }
    }

    fn parse(&self, item: &Item) -> Option<StoredConfiguration> {
        match self.documents.read(&item.value) {
            Ok(stored) => Some(stored),
            Err(problem) => {
                error!(
                    revision = item.revision.0,
                    problem = problem.to_string().as_str();
                    "the store's configuration can't be read; the earlier one stays in force"
                );
                None
            }
        }
    }

    fn note_answer(&mut self) {
        if !std::mem::replace(&mut self.reachable, true) {
            info!("store regained");
        }
    }

    fn note_failure(&mut self, failure: &StoreError) {
        self.metrics.store_failures.inc();
        if matches!(failure, StoreError::HistoryLost) {
            info!(error = failure.to_string().as_str(); "store history lost");
        } else if matches!(failure, StoreError::WatchSilent) {
            info!(error = failure.to_string().as_str(); "store watch silent");
        } else if std::mem::replace(&mut self.reachable, false) {
            warn!(error = failure.to_string().as_str(); "store lost");
        }
    }
}

/// Resolves when a configuration newer than `known` has been in force for [`SILENT_WATCH_TIMEOUT`].
async fn watch_fell_silent(control: &ControlHandle, known: Generation) {
    loop {
        let seen = control.generation_in_force();
        tokio::time::sleep(SILENT_WATCH_TIMEOUT).await;
        if seen > known {
            return;
        }
    }
}
