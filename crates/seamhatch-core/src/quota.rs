//! Limits on the requests of a tenant over all daemons together, kept without a meeting on each request.
//!
//! A tenant's limit is divided among a fixed number of *shards*. Whoever holds a shard fills a token bucket for
//! each tenant with the shard's part of the rate, and hands out tokens on demand. A daemon admits a request of
//! the tenant with a token, which is worth nothing once its lifetime, counted from when it was *asked for*, is over.
//! So the tokens that are used in a window were granted in that window or one lifetime before it, and a bucket
//! that is smaller by what its rate fills in a lifetime keeps the bound whatever is lost, delayed, cut or restarted:
//!
//! - A token that is lost on its way, or with a daemon, was granted and is never used.
//! - A shard has one holder at a time, by a lease in the store that its holder takes to end no later than the
//!   store does ([`ShardLease`]). A new holder begins with empty buckets.
//! - What a shard's part allows is allowed at that shard only, so that one that nobody holds, or that can't be reached,
//!   takes its part away and nothing else.
//!
//! Each daemon alone with its share of the limit is exact too, but refuses where a tenant's requests come in
//! at few daemons. Tokens handed out ahead by demand are K. Raghavan et al., "Cloud Control with Distributed
//! Rate Limiting" (2007), and the leases of capacity of Doorman, with expiry in place of trust.

use crate::clock::{Instant, MILLISECOND, Microseconds, SECOND};
use std::collections::VecDeque;

/// Number of one part of all limits.
pub type ShardNumber = u32;

/// Shortest and longest time after which a daemon that got no token asks the same shard again. The bounds are a
/// few round trips, and a lifetime of tokens.
const SHORTEST_PAUSE: Microseconds = 50 * MILLISECOND;
const LONGEST_PAUSE: Microseconds = 500 * MILLISECOND;
/// Span over which it is counted how many tokens are asked for.
const DEMAND_WINDOW: Microseconds = 500 * MILLISECOND;
/// Part of the requests expected within a lifetime that tokens are taken ahead for: the rest may come elsewhere.
const TAKEN_AHEAD: f64 = 0.5;

/// A tenant's limit over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests on top of these, in any span.
    pub burst: f64,
}

/// How exactly limits are kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaPolicy {
    /// Span in which a limit is judged.
    pub window: Microseconds,
    /// Part of the limit that may be exceeded in a window.
    pub overage: f64,
    /// Requests by which it may be exceeded besides.
    pub slack: f64,
    /// Parts that each limit is divided into.
    pub shards: ShardNumber,
}

impl QuotaPolicy {
    /// How long a token counts from when it was asked for: what is filled meanwhile is the allowed excess of the
    /// rate, so that a tenant's whole burst is left for its bucket.
    #[must_use]
    pub fn token_lifetime(&self) -> Microseconds {
        ((self.window as f64 * self.overage) as Microseconds).clamp(SHORTEST_PAUSE, SECOND)
    }

    /// What one shard may hand out of a limit. A bucket holds one token at least.
    #[must_use]
    pub fn shard_limit(&self, limit: TenantLimit) -> TenantLimit {
        let seconds = |span: Microseconds| span as f64 / SECOND as f64;
        let excess = self.overage * (limit.rate * seconds(self.window) + limit.burst) + self.slack;
        let burst = limit.burst + excess - limit.rate * seconds(self.token_lifetime());
        let shards = f64::from(self.shards);
        TenantLimit { rate: limit.rate / shards, burst: (burst / shards).max(1.0) }
    }
}

/// What a holder of a shard answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaGrant {
    /// Tokens handed out.
    pub tokens: u32,
    /// When to ask again; zero where there were some.
    pub pause: Microseconds,
}

/// The tokens of one tenant at one shard.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBucket {
    tokens: f64,
    filled_at: Instant,
    window_start: Instant,
    asked: u32,
    asked_before: u32,
}

impl QuotaBucket {
    /// An empty bucket: what an earlier holder has handed out is not known.
    #[must_use]
    pub fn empty(now: Instant) -> Self {
        Self { tokens: 0.0, filled_at: now, window_start: now, asked: 0, asked_before: 0 }
    }

    /// Hands out up to `wanted` tokens of the shard's `limit`.
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

    /// Until one of those who ask gets the next token, if all ask as often as now.
    fn pause(&self, limit: TenantLimit) -> Microseconds {
        let waiting = f64::from(self.asked.max(self.asked_before).max(1));
        let missing = (1.0 - self.tokens).max(0.0);
        let seconds = missing * waiting / limit.rate.max(f64::MIN_POSITIVE);
        let pause = (seconds * SECOND as f64).min(LONGEST_PAUSE as f64) as Microseconds;
        pause.max(SHORTEST_PAUSE)
    }
}

/// Tokens of one grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeldTokens {
    count: u32,
    until: Instant,
}

/// A token that was taken for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaToken {
    /// When it ceases to count.
    pub until: Instant,
}

/// What one daemon has of one tenant's limit.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TokenCache {
    held: VecDeque<HeldTokens>,
    /// Until when each shard that had no token is not asked again.
    paused: Vec<(ShardNumber, Instant)>,
    rate: f64,
    seen: Instant,
}

impl TokenCache {
    /// Takes in that a request has come.
    pub fn note_request(&mut self, now: Instant) {
        let passed = now.since(self.seen) as f64 / SECOND as f64;
        // The mean over about a second.
        self.rate = self.rate * (-passed).exp() + 1.0;
        self.seen = now;
    }

    /// When it was last used.
    #[must_use]
    pub fn seen(&self) -> Instant {
        self.seen
    }

    /// Takes a token, if one is there that still counts.
    pub fn take(&mut self, now: Instant) -> Option<QuotaToken> {
        self.held.retain(|held| held.count > 0 && held.until > now);
        let first = self.held.front_mut()?;
        first.count -= 1;
        Some(QuotaToken { until: first.until })
    }

    /// Puts back the token of a request that did not run.
    pub fn put_back(&mut self, token: QuotaToken, now: Instant) {
        if token.until > now {
            self.held.push_front(HeldTokens { count: 1, until: token.until });
        }
    }

    /// How many tokens to ask for: one for the request that waits, and some for those expected while they count.
    #[must_use]
    pub fn wanted(&self, lifetime: Microseconds) -> u32 {
        let expected = (self.rate - 1.0).max(0.0) * lifetime as f64 / SECOND as f64;
        1 + (expected * TAKEN_AHEAD) as u32
    }

    /// Takes in what a shard answered a question sent at `asked`.
    pub fn take_in(
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
    pub fn room_at(&self, now: Instant) -> Option<Instant> {
        self.paused.iter().map(|(_, until)| *until).filter(|until| *until > now).min()
    }
}

/// Until when a holder may go by its shard.
///
/// The store counts a lease from the arrival of the call that made or renewed it, its holder from the sending, which
/// is earlier: it has always ceased before the store lets anybody else in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct ShardLease {
    until: Instant,
}

impl ShardLease {
    /// Takes in that a call sent at `sent` made or renewed the lease for `span`.
    pub fn renewed(&mut self, sent: Instant, span: Microseconds) {
        self.until = self.until.max(sent.plus(span));
    }

    /// Takes in that the lease is over.
    pub fn end(&mut self) {
        self.until = Instant::default();
    }

    /// Whether it counts.
    #[must_use]
    pub fn holds(&self, now: Instant) -> bool {
        now < self.until
    }
}
