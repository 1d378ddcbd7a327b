//! Asking the store whether the configuration in force is still the newest.
//!
//! The daemons' heartbeats carry the proofs, so only a few daemons have to ask: the first in an order that all members know, and each later
//! one if it has received no recent proof by then. No daemon has to know which one is the first, and the next in the order stands in for
//! one that the store refuses or that is cut off from the others. [`crate::limits::freshness`] owns the proof.
//!
//! Measured with 71 daemons: the first asks once a second, and the proofs of the others are 0.4 to 1.2 s older than its own. With
//! each daemon asking for itself there were 71 calls a second.

use super::store_calls::{Backoff, call_store};
use crate::base::clock;
use crate::base::metrics::Metrics;
use crate::control::{ConfigurationEvent, ConfigurationSource, ControlHandle};
use crate::limits::SharedLimits;
use crate::limits::freshness::Freshness;
use crate::ports::{DocumentFormat, FollowedStore};
use crate::store::StoreError;
use log::debug;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::freshness::FreshnessProof;
use std::sync::Arc;
use std::time::Duration;

/// Pause between two checks of the age of the proof. Chosen, not measured.
const POLL: Duration = Duration::from_millis(100);
/// Age of its proof at which the first in the order asks, in microseconds. Chosen, not measured: four more attempts fit into a bound of
/// five seconds.
const FIRST_ASKS_AFTER: Microseconds = SECOND;
/// How much later each next one asks, in microseconds: the time between two idle heartbeats, which bring the proof of the one before.
const NEXT_ASKS_AFTER: Microseconds = 400 * MILLISECOND;
/// Place in the order from which all daemons ask at the same age: they do where several before them could not. Chosen, not measured.
const LAST_PLACE: usize = 5;
/// Places in the order that try again at short, even pauses: after an outage the others receive the proof from them. Chosen, not
/// measured.
const EAGER_PLACES: usize = 3;

/// What this task uses.
pub struct ProofKeeper {
    /// The store to ask.
    pub followed: FollowedStore,
    /// Reads the configuration in it.
    pub documents: Arc<dyn DocumentFormat>,
    /// Holds the proof, and this daemon's place in the order.
    pub limits: Arc<SharedLimits>,
    /// Receives proofs.
    pub control: ControlHandle,
    /// Counts the calls.
    pub metrics: Arc<Metrics>,
}

/// Keeps the proof recent until the process ends, while anything depends on it.
pub async fn keep_fresh(keeper: ProofKeeper) {
    let freshness = &keeper.limits.freshness;
    let mut backoff = Backoff::default();
    loop {
        tokio::time::sleep(POLL).await;
        if !freshness.is_needed() || !is_due(freshness) {
            continue;
        }
        match keeper.ask().await {
            Ok(()) => backoff.succeeded(),
            Err(error) => {
                keeper.metrics.store_failures.inc();
                debug!(error = error.to_string().as_str(); "the store does not tell whether the configuration is the newest");
                if freshness.rank() < EAGER_PLACES {
                    backoff.eager_pause().await;
                } else {
                    backoff.pause().await;
                }
            }
        }
    }
}

fn is_due(freshness: &Freshness) -> bool {
    let place = freshness.rank().min(LAST_PLACE) as Microseconds;
    let asks_after = FIRST_ASKS_AFTER + place * NEXT_ASKS_AFTER;
    freshness.age(clock::now()).is_none_or(|age| age >= asks_after)
}

impl ProofKeeper {
    async fn ask(&self) -> Result<(), StoreError> {
        let sent = clock::now();
        let reading = self.followed.store.get(&self.followed.configuration_key);
        let Some(item) = call_store(&self.metrics, reading).await?.found else { return Ok(()) };
        // One that can't be read is logged by the watch, and proves nothing.
        let Ok(stored) = self.documents.read(&item.value) else { return Ok(()) };
        let proof = FreshnessProof { generation: stored.generation, at: sent };
        self.control.send(ConfigurationEvent::Offered(stored, ConfigurationSource::Store));
        self.control.send(ConfigurationEvent::Proved(proof));
        Ok(())
    }
}
