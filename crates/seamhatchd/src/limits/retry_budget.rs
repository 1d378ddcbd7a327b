//! The retry budget of this daemon, shared by the traffic threads.
//!
//! Locks [`seamhatch_core::retry::RetryRatio`], which decides, and picks its policy: the settings' bound for the whole
//! deployment where there is one, else the service's own ratio and burst. Dispatch calls it.

use crate::base::clock;
use crate::base::lock::lock;
use crate::settings::RetryBound;
use seamhatch_core::retry::{RetryRatio, RetryRatioPolicy};
use seamhatch_policy::ServiceSettings;
use std::sync::{Mutex, MutexGuard};

/// Retries of this daemon, by target service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    bound: Option<RetryBound>,
    ratio: Mutex<RetryRatio>,
}

impl RetryBudget {
    /// The budget of one daemon of a deployment with this bound.
    #[must_use]
    pub fn new(bound: Option<RetryBound>) -> Self {
        Self { bound, ratio: Mutex::default() }
    }

    /// Counts a first try.
    pub fn first_try(&self, service: &str, settings: &ServiceSettings) {
        self.lock().first_try(service, self.policy(settings), clock::now());
    }

    /// Counts a call that a repeated run makes.
    pub fn charge_call_of_repeat(&self, service: &str, settings: &ServiceSettings) {
        self.lock().charge_call_of_repeat(service, self.policy(settings), clock::now());
    }

    /// Spends one retry; false when the budget is used up.
    pub fn try_retry(&self, service: &str, settings: &ServiceSettings) -> bool {
        self.lock().try_retry(service, self.policy(settings), clock::now())
    }

    fn policy(&self, settings: &ServiceSettings) -> RetryRatioPolicy {
        match self.bound {
            None => RetryRatioPolicy::of_service(settings.retry_ratio, settings.retry_burst),
            Some(bound) => RetryRatioPolicy::of_deployment(bound.ratio),
        }
    }

    fn lock(&self) -> MutexGuard<'_, RetryRatio> {
        lock(&self.ratio)
    }
}
