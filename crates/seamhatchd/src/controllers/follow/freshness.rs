//! Asks the store whether the configuration in force is still the newest.
//!
//! A silent watch proves nothing: its connection may deliver no data while its other end still acknowledges. Each daemon that
//! follows a store therefore keeps a freshness proof, and reads the store itself when the proof becomes too old. The result
//! of the read is sent to the control thread like the changes of the watch.
//!
//! The daemons' heartbeats carry the proofs, so that few daemons have to ask: the first in an order that all members derive
//! from the membership, and each later one only if it has received no recent proof by then. A daemon whose proof becomes too
//! old opens a connection to its upstream member in that order. No daemon has to know which one is the first, and the next
//! in the order replaces one that the store refuses or that is cut off from the others. [`seamhatch_core::proof_schedule`] decides
//! when a read is due, and [`crate::limits::freshness`] owns the proof.

use super::store_calls::call_store_within;
use crate::base::clock;
use crate::base::metrics::Metrics;
use crate::control::{ConfigurationEvent, ConfigurationSource, ControlHandle};
use crate::limits::SharedLimits;
use crate::peer::PeerPool;
use crate::ports::{DocumentFormat, FollowedStore};
use crate::store::StoreError;
use futures_util::FutureExt;
use futures_util::future::select_ok;
use log::debug;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::freshness::FreshnessProof;
use seamhatch_core::proof_schedule::{HEDGE_DELAY, POLL_INTERVAL, ProofSchedule, READ_TIMEOUT};
use std::sync::Arc;
use std::time::Duration;

/// Age of the proof in microseconds at which a daemon opens a connection to its upstream member: just above the age that a
/// working connection allows.
const CONNECT_AGE: Microseconds = 950 * MILLISECOND;
/// Interval in microseconds between two attempts to connect to the upstream member.
const CONNECT_INTERVAL: Microseconds = 500 * MILLISECOND;
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
    // The watch starts with a read, which yields a proof.
    let mut schedule = ProofSchedule::new(clock::now());
    let mut connected = clock::now();
    loop {
        tokio::time::sleep(Duration::from_micros(POLL_INTERVAL)).await;
        let now = clock::now();
        let (age, rank) = (freshness.age(now), freshness.relay_position().rank);
        if age.is_none_or(|age| age >= CONNECT_AGE) && now.since(connected) >= CONNECT_INTERVAL {
            connected = now;
            keeper.connect_upstream();
        }
        if !schedule.is_due(rank, age, now) {
            continue;
        }
        match hedged(|| keeper.ask()).await {
            Ok(()) => schedule.answered(rank, now),
            Err(error) => {
                keeper.metrics.store_failures.inc();
                debug!(error = error.to_string().as_str(); "the store can't be asked whether the configuration is the newest");
                schedule.failed(rank, clock::now(), rand::random());
            }
        }
    }
}

/// Makes a read, and repeats it if it is not answered within [`HEDGE_DELAY`]. Returns the first success, or the last failure.
async fn hedged<T>(read: impl Fn() -> T) -> T::Output
where
    T: Future<Output = Result<(), StoreError>>,
{
    let first = read();
    tokio::pin!(first);
    tokio::select! {
        biased;
        result = &mut first => return result,
        () = tokio::time::sleep(Duration::from_micros(HEDGE_DELAY)) => {}
    }
    let second = read();
    tokio::pin!(second);
    select_ok([first.left_future(), second.right_future()]).await.map(|(answer, _)| answer)
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
        let limit = Duration::from_micros(READ_TIMEOUT);
        let Some(item) = call_store_within(limit, &self.metrics, reading).await?.found else { return Ok(()) };
        // The watch logs an unreadable configuration, which proves nothing.
        let Ok(stored) = self.documents.read(&item.value) else { return Ok(()) };
        let proof = FreshnessProof { generation: stored.generation, at: sent };
        self.control.send(ConfigurationEvent::Offered(stored, ConfigurationSource::Store));
        self.control.send(ConfigurationEvent::Proved(proof));
        Ok(())
    }
}
