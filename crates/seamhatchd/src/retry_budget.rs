//! The retry ratio as the traffic threads share it.

use crate::settings::RetryBound;
use seamhatch_core::retry::{RetryRatio, RetryRatioPolicy};
use seamhatch_policy::ServiceSettings;
use std::sync::Mutex;

/// Part of the deployment's ratio that daemons earn from their own first tries. The other part is for
/// the calls that repeats cause at services below.
const OWN_SHARE: f64 = 0.5;
/// Retries that one daemon may save up where a bound holds for the whole deployment.
const BOUNDED_BURST: f64 = 1.0;

/// Retries of this daemon, by target service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    bound: Option<RetryBound>,
    ratio: Mutex<RetryRatio>,
}

impl RetryBudget {
    /// Retries of one daemon of a deployment with this bound.
    #[must_use]
    pub fn new(bound: Option<RetryBound>) -> Self {
        Self { bound, ratio: Mutex::default() }
    }

    /// Counts a first try.
    pub fn first_try(&self, service: &str, settings: &ServiceSettings) {
        self.ratio.lock().expect("retry ratio lock").first_try(service, self.policy(settings));
    }

    /// Takes one retry; false when the share is used up.
    pub fn try_retry(&self, service: &str, settings: &ServiceSettings) -> bool {
        self.ratio.lock().expect("retry ratio lock").try_retry(service, self.policy(settings))
    }

    fn policy(&self, settings: &ServiceSettings) -> RetryRatioPolicy {
        let (ratio, burst) = (settings.retry_ratio, settings.retry_burst);
        match self.bound {
            None => RetryRatioPolicy { ratio, burst, initial: burst },
            Some(bound) => RetryRatioPolicy {
                ratio: ratio.min(bound.ratio * OWN_SHARE),
                burst: burst.min(BOUNDED_BURST),
                initial: 0.0,
            },
        }
    }
}
