//! The retry ratio as the traffic threads share it.

use seamhatch_core::retry::{RetryRatio, RetryRatioPolicy};
use seamhatch_policy::ServiceSettings;
use std::sync::Mutex;

/// Retries of this daemon, by target service.
#[derive(Debug, Default)]
pub struct RetryBudget(Mutex<RetryRatio>);

fn policy(settings: &ServiceSettings) -> RetryRatioPolicy {
    RetryRatioPolicy { ratio: settings.retry_ratio, burst: settings.retry_burst }
}

impl RetryBudget {
    /// Counts a first try.
    pub fn first_try(&self, service: &str, settings: &ServiceSettings) {
        self.0.lock().expect("retry ratio lock").first_try(service, policy(settings));
    }

    /// Takes one retry; false when the share is used up.
    pub fn try_retry(&self, service: &str, settings: &ServiceSettings) -> bool {
        self.0.lock().expect("retry ratio lock").try_retry(service, policy(settings))
    }
}
