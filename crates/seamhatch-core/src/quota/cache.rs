//! Tokens that one daemon holds for one tenant.

use super::{QuotaGrant, ShardNumber};
use crate::clock::{Instant, Microseconds, SECOND};
use std::collections::VecDeque;

/// Part of the requests expected within a token's lifetime for which tokens are fetched in advance; the rest
/// may arrive at other daemons.
const PREFETCH_SHARE: f64 = 0.5;

/// Tokens of one grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeldTokens {
    count: u32,
    until: Instant,
}

/// A token taken for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaToken {
    /// When the token expires.
    pub until: Instant,
}

/// Tokens that one daemon holds for one tenant.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TokenCache {
    held: VecDeque<HeldTokens>,
    /// Shards that had no token, and when each may be asked again.
    paused: Vec<(ShardNumber, Instant)>,
    rate: f64,
    last_used: Instant,
}

impl TokenCache {
    /// Records the arrival of a request.
    pub fn note_request(&mut self, now: Instant) {
        let passed = now.since(self.last_used) as f64 / SECOND as f64;
        // Average over about a second.
        self.rate = self.rate * (-passed).exp() + 1.0;
        self.last_used = now;
    }

    /// When the cache was last used.
    #[must_use]
    pub fn last_used(&self) -> Instant {
        self.last_used
    }

    /// Takes a token that has not expired.
    pub fn take(&mut self, now: Instant) -> Option<QuotaToken> {
        self.held.retain(|held| held.count > 0 && held.until > now);
        let first = self.held.front_mut()?;
        first.count -= 1;
        Some(QuotaToken { until: first.until })
    }

    /// Returns the token of a request that did not run.
    pub fn put_back(&mut self, token: QuotaToken, now: Instant) {
        if token.until > now {
            self.held.push_front(HeldTokens { count: 1, until: token.until });
        }
    }

    /// Number of tokens to ask for: one for the waiting request, and some for the requests expected within
    /// their lifetime.
    #[must_use]
    pub fn wanted(&self, lifetime: Microseconds) -> u32 {
        let expected = (self.rate - 1.0).max(0.0) * lifetime as f64 / SECOND as f64;
        1 + (expected * PREFETCH_SHARE) as u32
    }

    /// Records the grant of a shard that was asked at `asked`.
    pub fn add(
        &mut self,
        shard: ShardNumber,
        grant: QuotaGrant,
        asked: Instant,
        lifetime: Microseconds,
        now: Instant,
    ) {
        self.paused.retain(|(paused, until)| *paused != shard && *until > now);
        if grant.tokens > 0 {
            self.held.push_back(HeldTokens { count: grant.tokens, until: asked.plus(lifetime) });
        } else {
            self.paused.push((shard, now.plus(grant.pause)));
        }
    }

    /// Whether a shard may be asked.
    #[must_use]
    pub fn may_ask(&self, shard: ShardNumber, now: Instant) -> bool {
        !self.paused.iter().any(|(paused, until)| *paused == shard && *until > now)
    }

    /// When the first shard that had no token may be asked again.
    #[must_use]
    pub fn next_ask_at(&self, now: Instant) -> Option<Instant> {
        self.paused.iter().map(|(_, until)| *until).filter(|until| *until > now).min()
    }
}
