//! Retry budget of this daemon, shared by the traffic threads.
//!
//! Wraps [`seamhatch_core::retry::RetryRatio`], which makes the decisions, in a lock and chooses
//! its policy: the bound for the whole deployment if the settings have one, otherwise the ratio and
//! burst of the service. Used by dispatch.

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
    /// Creates the budget of one daemon in a deployment with this bound.
    #[must_use]
    pub fn new(bound: Option<RetryBound>) -> Self {
        Self { bound, ratio: Mutex::default() }
    }

    /// Counts a first try.
    pub fn first_try(&self, service: &str, settings: &ServiceSettings) {
        self.lock().first_try(service, self.policy(settings), clock::now());
    }

    /// Charges a call that is made by a repeated run.
    pub fn charge_call_of_repeat(&self, service: &str, settings: &ServiceSettings) {
        self.lock().charge_call_of_repeat(service, self.policy(settings), clock::now());
    }

    /// Spends one retry; returns false if the budget is used up.
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
