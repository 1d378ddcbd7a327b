//! The retry ratio as the traffic threads share it.
//!
//! Where a bound holds for a whole deployment, it is kept without agreement: each daemon earns from its
//! own first tries, has at hand what it earned in the last seconds, and starts with nothing; the calls
//! that a repeated run makes are charged to the services that they go to. So at every service, however
//! deep, repeats of both kinds together stay within the ratio, in any window of some seconds.

use crate::base::clock;
use crate::base::lock::lock;
use crate::settings::RetryBound;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::retry::{RetryRatio, RetryRatioPolicy};
use seamhatch_policy::ServiceSettings;
use std::sync::{Mutex, MutexGuard};

/// Part of the deployment's ratio that is used. The rest is for what is not seen here, as a call whose
/// cause is not known to be a repeat.
const USED_SHARE: f64 = 0.8;
/// Time in which what a daemon has saved up halves: short against the window of the bound, and long
/// against the clumps in which answers are lost.
const SAVED_HALF_LIFE: Microseconds = SECOND;

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
        self.lock().first_try(service, self.policy(settings), clock::now());
    }

    /// Counts a call that a repeated run makes.
    pub fn count_repeat(&self, service: &str, settings: &ServiceSettings) {
        self.lock().count_repeat(service, self.policy(settings), clock::now());
    }

    /// Takes one retry; false when the share is used up.
    pub fn try_retry(&self, service: &str, settings: &ServiceSettings) -> bool {
        self.lock().try_retry(service, self.policy(settings), clock::now())
    }

    fn policy(&self, settings: &ServiceSettings) -> RetryRatioPolicy {
        let (ratio, burst) = (settings.retry_ratio, settings.retry_burst);
        match self.bound {
            None => RetryRatioPolicy { ratio, burst, half_life: None, initial: burst },
            Some(bound) => RetryRatioPolicy {
                ratio: bound.ratio * USED_SHARE,
                burst: f64::INFINITY,
                half_life: Some(SAVED_HALF_LIFE),
                initial: 0.0,
            },
        }
    }

    fn lock(&self) -> MutexGuard<'_, RetryRatio> {
        lock(&self.ratio)
    }
}
