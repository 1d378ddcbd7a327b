//! Asking the store whether the configuration in force is still the newest.
//!
//! The daemons' heartbeats pass proofs on, so only a few have to ask: the first in an order that all members
//! know, and each later one if it has heard no young proof by then. Nobody has to know who the first is, and
//! whoever is turned away by the store, or cut off from the others, is made up for by the next.
//!
//! On a deployment of 71 daemons the first asks once a second, and the proofs of the others are 0.4 to 1.2 s
//! older than its own; with each daemon asking for itself there were 71 calls a second.

use super::{ANSWER_TIMEOUT, Backoff};
use crate::base::clock;
use crate::control::ConfigurationEvent;
use crate::ports::{DocumentFormat, FollowedStore};
use crate::shared::Shared;
use crate::store::StoreError;
use log::debug;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::freshness::FreshnessProof;
use std::sync::Arc;
use std::time::Duration;

/// Pause between two looks at the age of the proof.
const POLL: Duration = Duration::from_millis(100);
/// Age of its proof at which the first in the order asks. Four more attempts fit into a bound of five seconds.
const FIRST_ASKS_AFTER: Microseconds = SECOND;
/// How much later each next one asks: two heartbeats, which bring the proof of the one before.
const NEXT_ASKS_AFTER: Microseconds = 400 * MILLISECOND;
/// Place in the order from which all are alike: these ask when several before them could not.
const LAST_PLACE: usize = 5;

/// Places in the order that ask a store which fails at short, even pauses: after an outage the others hear the proof from them.
const EAGER: usize = 3;
/// Their pause.
const EAGER_PAUSE: Duration = Duration::from_millis(300);

/// Keeps the proof young for ever, while anything depends on it.
pub async fn keep_fresh(shared: Arc<Shared>, followed: FollowedStore, documents: Arc<dyn DocumentFormat>) {
    let mut backoff = Backoff::default();
    loop {
        tokio::time::sleep(POLL).await;
        if !shared.limits.freshness.is_needed() || !is_due(&shared) {
            continue;
        }
        match ask(&shared, &followed, &documents).await {
            Ok(()) => backoff.succeeded(),
            Err(error) => {
                shared.metrics.store_failures.inc();
                debug!(error = error.to_string().as_str(); "the store does not tell whether the configuration is the newest");
                if shared.limits.freshness.rank() < EAGER {
                    tokio::time::sleep(EAGER_PAUSE).await
                } else {
                    backoff.pause().await
                }
            }
        }
    }
}

fn is_due(shared: &Shared) -> bool {
    let place = shared.limits.freshness.rank().min(LAST_PLACE) as Microseconds;
    let asks_after = FIRST_ASKS_AFTER + place * NEXT_ASKS_AFTER;
    shared.limits.freshness.age(clock::now()).is_none_or(|age| age >= asks_after)
}

async fn ask(
    shared: &Shared,
    followed: &FollowedStore,
    documents: &Arc<dyn DocumentFormat>,
) -> Result<(), StoreError> {
    let sent = clock::now();
    let reading = tokio::time::timeout(ANSWER_TIMEOUT, followed.store.get(&followed.configuration_key));
    let timed_out = |_| StoreError::AnswerLost { detail: "no answer in time".into() };
    let reading = shared.metrics.time_store_call(reading).await.map_err(timed_out)??;
    let Some(item) = reading.found else { return Ok(()) };
    // One that can't be read is reported by who follows it, and nothing is proved.
    let Ok(stored) = documents.read(&item.value) else { return Ok(()) };
    let proof = FreshnessProof { generation: stored.generation, at: sent };
    shared.control.send(ConfigurationEvent::Offered(stored));
    shared.control.send(ConfigurationEvent::Proved(proof));
    Ok(())
}
