//! The retry budget of a daemon at each service: retries stay a share of first tries.
//!
//! Decides whether a daemon may send one retry to a service. Inputs: first tries and retries of this daemon to that
//! service, and the time since the last of them. It protects a service that fails from the extra load of its callers'
//! repeats.
//!
//! Two regimes. [`RetryRatioPolicy::of_service`] bounds one daemon, by the share and burst of the policy program.
//! [`RetryRatioPolicy::of_deployment`] keeps a bound that holds for a whole deployment, without agreement: each daemon
//! earns from its own first tries, has at hand what it earned in the last seconds and starts with nothing; the calls that
//! a repeated run makes are charged to the services that they go to. So at every service, however deep in a chain, repeats
//! of both kinds together stay within the ratio in any window of some seconds. Alternatives:
//! docs/DESIGN.md#the-retry-budget-of-a-service.

use crate::clock::{Instant, Microseconds, SECOND};
use std::collections::HashMap;

/// Part of a deployment's ratio that is used; the rest is for calls whose cause is not known to be a repeat. Chosen; with
/// half of the ratio, half of the losses were not repeated.
const USED_SHARE: f64 = 0.8;

/// Time in which the saved retries of a daemon halve: short against the window of a deployment's bound, long against the
/// clumps in which answers are lost. The figure is chosen; with one saved retry that did not fade, and calls of repeated runs
/// counted as first tries, 0.898 of a day with lost answers was served in place of 0.909.
const SAVED_HALF_LIFE: Microseconds = SECOND;

/// Largest debt of a daemon at a service, in retries. Chosen, not measured: a deployment's bound is counted over some
/// seconds, so older debts don't matter.
const LARGEST_DEBT: f64 = 50.0;

/// Saved retries that never fade: where calls are rare, less would never come to a whole retry.
const KEPT_BALANCE: f64 = 1.0;

/// How many retries a daemon may cause at one service, relative to first tries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRatioPolicy {
    /// Retries earned by each first try, 0 to 1.
    pub ratio: f64,
    /// Retries that may be saved up.
    pub burst: f64,
    /// Time in which what is saved up beyond one retry halves; none where it is kept.
    pub half_life: Option<Microseconds>,
    /// Retries that a daemon has when it starts.
    pub initial: f64,
}

impl RetryRatioPolicy {
    /// Bounds each daemon by itself: it may save up `burst` retries, and starts with them.
    #[must_use]
    pub fn of_service(ratio: f64, burst: f64) -> Self {
        Self { ratio, burst, half_life: None, initial: burst }
    }

    /// Keeps the `ratio` of a whole deployment. A restart makes no new retries.
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
    /// Retries, negative for a debt.
    amount: f64,
    updated: Instant,
}

/// Keeps retries a small share of first tries, per target service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RetryRatio {
    balances: HashMap<String, Balance>,
}

impl RetryRatio {
    /// Counts a first try to `service`.
    pub fn first_try(&mut self, service: &str, policy: RetryRatioPolicy, now: Instant) {
        let balance = self.balance(service, policy, now);
        *balance = (*balance + policy.ratio).min(policy.burst);
    }

    /// Spends one retry to `service`; false when there is none.
    pub fn try_retry(&mut self, service: &str, policy: RetryRatioPolicy, now: Instant) -> bool {
        let balance = self.balance(service, policy, now);
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }

    /// Counts a call that a repeated run makes. It is not refused, as the run would be in vain, but retries of this daemon wait
    /// until its price has been earned.
    pub fn charge_call_of_repeat(&mut self, service: &str, policy: RetryRatioPolicy, now: Instant) {
        let balance = self.balance(service, policy, now);
        *balance = (*balance - 1.0).max(-LARGEST_DEBT);
    }

    /// The balance of `service` as it counts at `now`.
    fn balance(&mut self, service: &str, policy: RetryRatioPolicy, now: Instant) -> &mut f64 {
        if !self.balances.contains_key(service) {
            self.balances.insert(service.to_owned(), Balance { amount: policy.initial, updated: now });
        }
        let balance = self.balances.get_mut(service).expect("inserted above");
        if let Some(half_life) = policy.half_life {
            let age = now.since(balance.updated) as f64 / half_life as f64;
            let beyond = (balance.amount - KEPT_BALANCE).max(0.0);
            balance.amount -= beyond * (1.0 - (-age).exp2());
        }
        balance.updated = now;
        &mut balance.amount
    }
}
