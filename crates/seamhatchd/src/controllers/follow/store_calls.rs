//! Calls to the followed store with a common time-out, and backoff after failures.

use crate::base::metrics::Metrics;
use crate::store::StoreError;
use std::future::Future;
use std::time::Duration;

/// Time-out of a call to the store. Watches are exempt, since they wait in the store for changes.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after the first failure of the store; doubled after each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Maximum pause after a failure of the store, before jitter.
const MAX_PAUSE: Duration = Duration::from_millis(1200);
/// Pause after a failure for the few daemons on which others depend. With exponential backoff, an outage of 4.5 s let all
/// leases of shards expire, since a renewal was retried only up to 1.8 s after a failure.
const FIXED_PAUSE: Duration = Duration::from_millis(300);

/// Calls the store: counts the call, measures its response time, and abandons it after [`STORE_TIMEOUT`].
///
/// # Errors
/// [`StoreError::AnswerLost`] after the time-out: a write may have taken effect, or may still do so.
pub(super) async fn call_store<T>(
    metrics: &Metrics,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    call_store_within(STORE_TIMEOUT, metrics, call).await
}

/// Like [`call_store`], with another time-out.
pub(super) async fn call_store_within<T>(
    limit: Duration,
    metrics: &Metrics,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let answer = metrics.time_store_call(tokio::time::timeout(limit, call)).await;
    answer.unwrap_or_else(|_| Err(StoreError::timed_out()))
}

/// Backoff between attempts to reach a failing store.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Waits with exponential backoff, and with jitter so that daemons don't act in step.
    pub(super) async fn pause(&mut self) {
        let span = FIRST_PAUSE.saturating_mul(1 << self.failures.min(8)).min(MAX_PAUSE);
        self.failures += 1;
        tokio::time::sleep(span.mul_f64(0.5 + rand::random::<f64>())).await;
    }

    /// Waits a fixed short time after each failure, for a daemon on which others depend.
    pub(super) async fn fixed_pause(&self) {
        tokio::time::sleep(FIXED_PAUSE).await;
    }
}
