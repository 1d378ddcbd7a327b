//! Retry budget of one daemon for each service: limits retries to a share of first tries.
//!
//! Decides whether this daemon may send one retry to a service, from its own first tries and retries to that
//! service and the time since the last of them. The budget protects a failing service from the extra load of
//! its callers' retries.
//!
//! There are two policies. [`RetryRatioPolicy::of_service`] bounds each daemon by itself, with the ratio and
//! burst that the policy program sets. [`RetryRatioPolicy::of_deployment`] keeps a bound for the whole
//! deployment without coordination: each daemon earns from its own first tries, can spend only what it earned
//! within the last seconds, and starts with nothing. Calls made by a repeated run are charged to the services
//! that they go to. So at every service, however deep in a chain, retries and calls of repeated runs together
//! stay within the ratio in any window of some seconds. Alternatives:
//! docs/DESIGN.md#the-retry-budget-of-a-service.

use crate::clock::{Instant, Microseconds, SECOND};
use std::collections::HashMap;

/// Part of a deployment's ratio that daemons use; the rest covers calls that are not known to be caused by a
/// repeat. With half of the ratio, half of the lost calls are not retried.
const USED_SHARE: f64 = 0.8;

/// Half-life of a daemon's saved retries: short against the window of a deployment's bound, long against the
/// bursts in which answers are lost. A single saved retry that does not decay, together with counting calls
/// of repeated runs as first tries, serves fewer requests when answers are lost.
const SAVED_HALF_LIFE: Microseconds = SECOND;

/// Maximum debt of a daemon at a service, in retries. A deployment's bound is counted over some seconds, so
/// older debts do not matter.
const MAX_RETRY_DEBT: f64 = 50.0;

/// Saved retries that do not decay: where calls are rare, a smaller balance would never reach a whole retry.
const NON_DECAYING_BALANCE: f64 = 1.0;

/// How many retries a daemon may cause at one service, relative to first tries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRatioPolicy {
    /// Retries earned by each first try, 0 to 1.
    pub ratio: f64,
    /// Maximum number of retries that can be saved.
    pub burst: f64,
    /// Half-life of the saved retries beyond one; `None` if they do not decay.
    pub half_life: Option<Microseconds>,
    /// Balance of a daemon at its start, in retries.
    pub initial: f64,
}

impl RetryRatioPolicy {
    /// Bounds each daemon by itself: it can save up to `burst` retries and starts with that many.
    #[must_use]
    pub fn of_service(ratio: f64, burst: f64) -> Self {
        Self { ratio, burst, half_life: None, initial: burst }
    }

    /// Keeps `ratio` over a whole deployment. The balance starts at zero, so that a restart creates no
    /// retries.
    #[must_use]
    pub fn of_deployment(ratio: f64) -> Self {
        Self {
            ratio: ratio * USED_SHARE,
            burst: f64::INFINITY,
            half_life: Some(SAVED_HALF_LIFE),
            initial: 0.0,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Balance {
    /// In retries; negative for a debt.
    amount: f64,
    updated: Instant,
}

/// Retry balances of one daemon, by target service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RetryRatio {
    balances: HashMap<String, Balance>,
}

impl RetryRatio {
    /// Credits a first try to `service`.
    pub fn first_try(&mut self, service: &str, policy: RetryRatioPolicy, now: Instant) {
        let balance = self.balance(service, policy, now);
        *balance = (*balance + policy.ratio).min(policy.burst);
    }

    /// Spends one retry to `service`; returns `false` if the balance does not cover it.
    pub fn try_retry(&mut self, service: &str, policy: RetryRatioPolicy, now: Instant) -> bool {
        let balance = self.balance(service, policy, now);
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }

    /// Charges a call that a repeated run makes. The call is not refused, since the run would then be wasted;
    /// instead this daemon's own retries wait until its cost has been earned.
    pub fn charge_call_of_repeat(&mut self, service: &str, policy: RetryRatioPolicy, now: Instant) {
        let balance = self.balance(service, policy, now);
        *balance = (*balance - 1.0).max(-MAX_RETRY_DEBT);
    }

    /// The balance of `service` after decay up to `now`.
    fn balance(&mut self, service: &str, policy: RetryRatioPolicy, now: Instant) -> &mut f64 {
        if !self.balances.contains_key(service) {
            self.balances.insert(service.to_owned(), Balance { amount: policy.initial, updated: now });
        }
        let balance = self.balances.get_mut(service).expect("inserted above");
        if let Some(half_life) = policy.half_life {
            let age = now.since(balance.updated) as f64 / half_life as f64;
            let beyond = (balance.amount - NON_DECAYING_BALANCE).max(0.0);
            balance.amount -= beyond * (1.0 - (-age).exp2());
        }
        balance.updated = now;
        &mut balance.amount
    }
}
