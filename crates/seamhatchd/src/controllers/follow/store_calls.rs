//! How the tasks of this folder call the followed store: one time-out for an answer, and pauses after failures.

use crate::base::metrics::Metrics;
use crate::store::StoreError;
use std::future::Future;
use std::time::Duration;

/// Longest wait for the store, except for a watch, which waits there for changes. Chosen, not measured.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// First pause after a failure of the store; doubled at each further one. Chosen, not measured.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a failure of the store. Chosen, not measured.
const MAX_PAUSE: Duration = Duration::from_millis(1200);
/// Pause after a failure for those few daemons on which the others depend. With growing pauses, an outage of 4.5 s ended all leases of
/// shards, as a renewal was tried again only up to 1.8 s after a failure; the figure itself was not compared with others.
const FIXED_PAUSE: Duration = Duration::from_millis(300);

/// Calls the store: counts the call, measures how long its answer takes, and gives it up after [`STORE_TIMEOUT`].
///
/// # Errors
/// [`StoreError::AnswerLost`] after the time-out: a write may have been done, or may be later.
pub(super) async fn call_store<T>(
    metrics: &Metrics,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let answer = metrics.time_store_call(tokio::time::timeout(STORE_TIMEOUT, call)).await;
    answer.unwrap_or_else(|_| Err(StoreError::timed_out()))
}

/// Pauses between attempts to reach a store that fails.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Waits longer after each failure in a row, with jitter so that daemons don't act in step.
    pub(super) async fn pause(&mut self) {
        let span = FIRST_PAUSE.saturating_mul(1 << self.failures.min(8)).min(MAX_PAUSE);
        self.failures += 1;
        tokio::time::sleep(span.mul_f64(0.5 + rand::random::<f64>())).await;
    }

    /// Waits the same short time after each failure, for a daemon on which others depend.
    pub(super) async fn fixed_pause(&self) {
        tokio::time::sleep(FIXED_PAUSE).await;
    }
}
