//! Token bucket of one tenant at one shard.

use super::{MIN_PAUSE, TenantLimit};
use crate::clock::{Instant, MILLISECOND, Microseconds, SECOND};

/// Maximum time before a daemon that got no token asks the same shard again: the lifetime of a token with the
/// default window of 5 s and an overage of a tenth.
const MAX_PAUSE: Microseconds = 500 * MILLISECOND;

/// Span over which the requested tokens are counted.
const DEMAND_WINDOW: Microseconds = 500 * MILLISECOND;

/// Answer of the holder of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaGrant {
    /// Tokens granted.
    pub tokens: u32,
    /// Time before asking again, in microseconds; zero if tokens were granted.
    pub pause: Microseconds,
}

/// Token bucket of one tenant at one shard.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBucket {
    tokens: f64,
    filled_at: Instant,
    window_start: Instant,
    asked: u32,
    asked_before: u32,
}

impl QuotaBucket {
    /// Creates an empty bucket, as it is unknown what an earlier holder of the shard has granted.
    #[must_use]
    pub fn empty(now: Instant) -> Self {
        Self { tokens: 0.0, filled_at: now, window_start: now, asked: 0, asked_before: 0 }
    }

    /// Grants up to `wanted` tokens within the shard's `limit`.
    pub fn grant(&mut self, limit: TenantLimit, wanted: u32, now: Instant) -> QuotaGrant {
        let passed = now.since(self.filled_at) as f64 / SECOND as f64;
        self.tokens = (self.tokens + passed * limit.rate).min(limit.burst);
        self.filled_at = self.filled_at.max(now);
        self.count(wanted, now);
        let tokens = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(tokens);
        let pause = if tokens > 0 { 0 } else { self.pause(limit) };
        QuotaGrant { tokens, pause }
    }

    fn count(&mut self, wanted: u32, now: Instant) {
        let passed = now.since(self.window_start);
        if passed >= DEMAND_WINDOW {
            self.asked_before = if passed < 2 * DEMAND_WINDOW { self.asked } else { 0 };
            self.asked = 0;
            self.window_start = now;
        }
        self.asked = self.asked.saturating_add(wanted);
    }

    /// Time until one of the asking daemons gets the next token, if all keep asking at the current rate.
    fn pause(&self, limit: TenantLimit) -> Microseconds {
        let waiting = f64::from(self.asked.max(self.asked_before).max(1));
        let missing = (1.0 - self.tokens).max(0.0);
        let seconds = missing * waiting / limit.rate.max(f64::MIN_POSITIVE);
        let pause = (seconds * SECOND as f64).min(MAX_PAUSE as f64) as Microseconds;
        pause.max(MIN_PAUSE)
    }
}
