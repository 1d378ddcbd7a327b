//! Asks the store whether the configuration in force is still the newest.
//!
//! A silent watch proves nothing: its connection may deliver no data while its other end still acknowledges. Each daemon that
//! follows a store therefore keeps a freshness proof, and reads the store itself when the proof becomes too old. The result
//! of the read is sent to the control thread like the changes of the watch.
//!
//! The daemons' heartbeats carry the proofs, so that few daemons have to ask: the first in an order that all members derive
//! from the membership, and each later one only if it has received no recent proof by then. A daemon whose proof becomes too
//! old opens a connection to its upstream member in that order. No daemon has to know which one is the first, and the next
//! in the order replaces one that the store refuses or that is cut off from the others. [`crate::limits::freshness`] owns the
//! proof.

use super::store_calls::{Backoff, call_store};
use crate::base::clock;
use crate::base::metrics::Metrics;
use crate::control::{ConfigurationEvent, ConfigurationSource, ControlHandle};
use crate::limits::SharedLimits;
use crate::limits::freshness::Freshness;
use crate::peer::PeerPool;
use crate::ports::{DocumentFormat, FollowedStore};
use crate::store::StoreError;
use log::debug;
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::freshness::FreshnessProof;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two checks of the age of the proof.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the proof in microseconds at which a daemon asks the store, by its rank; all further ranks use the last value.
///
/// A configuration must be in force 2 s after it was accepted: the last age leaves 0.7 s for the poll, the read and the
/// compilation. A proof reaches a direct peer of the first daemon within the age at which the first one asks, a poll and a
/// heartbeat: 0.9 s.
const REFRESH_AGES: [Microseconds; 4] =
    [400 * MILLISECOND, 1050 * MILLISECOND, 1150 * MILLISECOND, 1200 * MILLISECOND];
/// Age of the proof in microseconds at which a daemon opens a connection to its upstream member: just above the age that a
/// working connection allows.
const CONNECT_AGE: Microseconds = 950 * MILLISECOND;
/// Interval in microseconds between two attempts to connect to the upstream member.
const CONNECT_INTERVAL: Microseconds = 500 * MILLISECOND;
/// Number of first ranks that retry at short fixed pauses. After an outage the other daemons receive the proof from them.
const FIXED_PAUSE_RANKS: usize = 3;

/// Dependencies of the task that keeps the freshness proof recent.
pub struct ProofKeeper {
    /// The store to ask.
    pub followed: FollowedStore,
    /// Reads the configuration in it.
    pub documents: Arc<dyn DocumentFormat>,
    /// Holds the proof, and this daemon's rank in the order.
    pub limits: Arc<SharedLimits>,
    /// Receives proofs.
    pub control: ControlHandle,
    /// Counts the calls.
    pub metrics: Arc<Metrics>,
    /// Connections to the members whose heartbeats bring proofs.
    pub pool: Arc<PeerPool>,
}

/// Keeps the proof recent until the process ends.
pub async fn keep_proof_fresh(keeper: ProofKeeper) {
    let freshness = &keeper.limits.freshness;
    let mut backoff = Backoff::default();
    // The watch starts with a read, which yields a proof.
    let mut asked = clock::now();
    let mut connected = clock::now();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let now = clock::now();
        if is_older(freshness, CONNECT_AGE, now) && now.since(connected) >= CONNECT_INTERVAL {
            connected = now;
            keeper.connect_upstream();
        }
        if !is_due(freshness, asked, now) {
            continue;
        }
        asked = now;
        match keeper.ask().await {
            Ok(()) => backoff.succeeded(),
            Err(error) => {
                keeper.metrics.store_failures.inc();
                debug!(error = error.to_string().as_str(); "the store can't be asked whether the configuration is the newest");
                if freshness.relay_position().rank < FIXED_PAUSE_RANKS {
                    backoff.fixed_pause().await;
                } else {
                    backoff.pause().await;
                }
            }
        }
    }
}

/// Whether both the proof and the last attempt to get one are too old. An attempt may yield no proof, for example if the
/// store has no configuration.
fn is_due(freshness: &Freshness, asked: Instant, now: Instant) -> bool {
    let refresh_age = REFRESH_AGES[freshness.relay_position().rank.min(REFRESH_AGES.len() - 1)];
    now.since(asked) >= refresh_age && is_older(freshness, refresh_age, now)
}

fn is_older(freshness: &Freshness, than: Microseconds, now: Instant) -> bool {
    freshness.age(now).is_none_or(|age| age >= than)
}

impl ProofKeeper {
    /// Opens a connection to the upstream member if there is none. Its first heartbeat carries that member's proof.
    fn connect_upstream(&self) {
        let Some(upstream) = self.limits.freshness.relay_position().upstream else { return };
        let pool = self.pool.clone();
        // If this fails, the daemon asks the store itself.
        tokio::spawn(async move { drop(pool.get(upstream).await) });
    }

    async fn ask(&self) -> Result<(), StoreError> {
        let sent = clock::now();
        let reading = self.followed.store.get(&self.followed.configuration_key);
        let Some(item) = call_store(&self.metrics, reading).await?.found else { return Ok(()) };
        // The watch logs an unreadable configuration, which proves nothing.
        let Ok(stored) = self.documents.read(&item.value) else { return Ok(()) };
        let proof = FreshnessProof { generation: stored.generation, at: sent };
        self.control.send(ConfigurationEvent::Offered(stored, ConfigurationSource::Store));
        self.control.send(ConfigurationEvent::Proved(proof));
        Ok(())
    }
}
