//! Tenant limits: the tokens used stay within the bound through delays, losses, restarts and changes of shard
//! holders, and the remaining limit can be used.

use proptest::prelude::*;
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::quota::{QuotaBucket, QuotaGrant, QuotaPolicy, TenantLimit, TokenCache};

const POLICY: QuotaPolicy = QuotaPolicy { window: 5 * SECOND, overage: 0.1, slack: 20.0, shards: 8 };
/// Start of each simulation; buckets fill from here on.
const START: Instant = Instant(1_000 * SECOND);

/// Answer of a shard in transit to a daemon.
#[derive(Debug, Clone, Copy)]
struct Answer {
    daemon: usize,
    shard: usize,
    asked: Instant,
    arrives: Instant,
    grant: QuotaGrant,
}

/// A random event of the simulation, some time after the previous one.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A request arrives at a daemon, which asks a shard if it has no token; the answer takes `delay_ms`.
    Request { daemon: usize, shard: usize, delay_ms: u64 },
    /// A daemon restarts and loses its tokens.
    Restart { daemon: usize },
    /// Another daemon becomes the holder of a shard.
    NewHolder { shard: usize },
}

fn event() -> impl Strategy<Value = (u64, Event)> {
    let request = (0..4_usize, 0..8_usize, 0..900_u64).prop_map(|(daemon, shard, delay_ms)| Event::Request {
        daemon,
        shard,
        delay_ms,
    });
    let failure = prop_oneof![
        (0..4_usize).prop_map(|daemon| Event::Restart { daemon }),
        (0..8_usize).prop_map(|shard| Event::NewHolder { shard }),
    ];
    (0..20_u64, prop_oneof![60 => request, 1 => failure])
}

/// Largest number of tokens used in any window.
fn most_in_a_window(used: &[Instant]) -> usize {
    let within =
        |from: Instant| used.iter().filter(|at| **at >= from && **at < from.plus(POLICY.window)).count();
    used.iter().map(|from| within(*from)).max().unwrap_or_default()
}

fn bound(limit: TenantLimit) -> f64 {
    let whole = limit.rate * POLICY.window as f64 / SECOND as f64 + limit.burst;
    whole * (1.0 + POLICY.overage) + POLICY.slack
}

proptest! {
    #[test]
    fn used_tokens_stay_within_the_bound(
        rate in 1.0..200.0_f64,
        burst in 0.0..100.0_f64,
        events in proptest::collection::vec(event(), 200..1500),
    ) {
        let limit = TenantLimit { rate, burst };
        let shard_limit = POLICY.shard_limit(limit);
        let lifetime = POLICY.token_lifetime();
        // The buckets are full at first, as after a long idle time.
        let mut shards = [QuotaBucket::empty(START); 8];
        let mut caches: Vec<TokenCache> = vec![TokenCache::default(); 4];
        let mut answers: Vec<Answer> = Vec::new();
        let mut used = Vec::new();
        let mut now = START.plus(100 * SECOND);
        for (pause, event) in events {
            now = now.plus(pause * MILLISECOND);
            let (arrived, later): (Vec<Answer>, _) = answers.into_iter().partition(|answer| answer.arrives <= now);
            answers = later;
            for Answer { daemon, shard, asked, grant, .. } in arrived {
                caches[daemon].add(shard as u32, grant, asked, lifetime, now);
            }
            match event {
                Event::Request { daemon, shard, delay_ms } => {
                    let cache = &mut caches[daemon];
                    cache.note_request(now);
                    if cache.take(now).is_some() {
                        used.push(now);
                    } else if cache.may_ask(shard as u32, now) {
                        let grant = shards[shard].grant(shard_limit, cache.wanted(lifetime), now);
                        let arrives = now.plus(delay_ms * MILLISECOND);
                        answers.push(Answer { daemon, shard, asked: now, arrives, grant });
                    }
                }
                Event::Restart { daemon } => {
                    caches[daemon] = TokenCache::default();
                    answers.retain(|answer| answer.daemon != daemon);
                }
                Event::NewHolder { shard } => shards[shard] = QuotaBucket::empty(now),
            }
        }
        // Buckets of less than one token are rounded up, so each shard may add one.
        let rounded = if shard_limit.burst > 1.0 { 0.0 } else { f64::from(POLICY.shards) };
        prop_assert!(most_in_a_window(&used) as f64 <= bound(limit) + rounded);
    }
}

/// Arrival pattern of a tenant's requests.
struct SpreadCase {
    name: &'static str,
    daemons: usize,
    rate: f64,
    /// Requests per second, as a fraction of the limit.
    load: f64,
    /// Smallest fraction of the requests, or of the limit, that must be admitted.
    least: f64,
}

const SPREADS: [SpreadCase; 6] = [
    SpreadCase { name: "one daemon, below", daemons: 1, rate: 50.0, load: 0.7, least: 1.0 },
    SpreadCase { name: "many daemons, below", daemons: 70, rate: 50.0, load: 0.7, least: 1.0 },
    SpreadCase { name: "few requests, many daemons", daemons: 70, rate: 5.0, load: 0.7, least: 0.99 },
    SpreadCase { name: "one daemon, just below", daemons: 1, rate: 50.0, load: 0.95, least: 0.99 },
    SpreadCase { name: "one daemon, far above", daemons: 1, rate: 50.0, load: 8.0, least: 0.95 },
    SpreadCase { name: "many daemons, far above", daemons: 70, rate: 50.0, load: 8.0, least: 0.95 },
];

/// Fraction admitted of requests that arrive evenly for ten seconds, each at the next daemon, which asks all
/// shards in turn.
fn admitted(case: &SpreadCase) -> f64 {
    let limit = TenantLimit { rate: case.rate, burst: case.rate };
    let (shard_limit, lifetime) = (POLICY.shard_limit(limit), POLICY.token_lifetime());
    let mut shards = [QuotaBucket::empty(START); 8];
    let mut caches = vec![TokenCache::default(); case.daemons];
    let offered = (case.rate * case.load * 10.0) as u64;
    let mut count = 0_u32;
    for number in 0..offered {
        let now = START.plus(100 * SECOND + number * 10 * SECOND / offered);
        let cache = &mut caches[number as usize % case.daemons];
        cache.note_request(now);
        let mut token = cache.take(now);
        for offset in 0..8_u64 {
            let shard = (number + offset) as usize % 8;
            if token.is_none() && cache.may_ask(shard as u32, now) {
                let grant = shards[shard].grant(shard_limit, cache.wanted(lifetime), now);
                cache.add(shard as u32, grant, now, lifetime, now);
                token = cache.take(now);
            }
        }
        count += u32::from(token.is_some());
    }
    f64::from(count) / (offered as f64).min(case.rate * 10.0)
}

#[test]
fn a_limit_is_usable_whatever_the_spread_of_requests() {
    for case in SPREADS {
        let part = admitted(&case);
        assert!(part >= case.least, "{}: {part:.3}", case.name);
    }
}

/// Fraction admitted if each daemon uses its own share of the limit and asks no shard.
fn admitted_alone(case: &SpreadCase, members: usize) -> f64 {
    let part = QuotaPolicy { shards: members as u32, ..POLICY };
    let limit = part.shard_limit(TenantLimit { rate: case.rate, burst: case.rate });
    let mut buckets = vec![QuotaBucket::empty(START); case.daemons];
    let offered = (case.rate * case.load * 10.0) as u64;
    let mut count = 0;
    for number in 0..offered {
        let now = START.plus(100 * SECOND + number * 10 * SECOND / offered);
        count += buckets[number as usize % case.daemons].grant(limit, 1, now).tokens;
    }
    f64::from(count) / (offered as f64).min(case.rate * 10.0)
}

/// Tokens on demand can be used wherever the requests arrive; a fixed share of each daemon only if they
/// arrive evenly.
#[test]
fn tokens_on_demand_admit_more_than_each_daemon_alone() {
    for case in SPREADS {
        let (on_demand, alone) = (admitted(&case), admitted_alone(&case, 70));
        println!("{}: on demand {on_demand:.3}, each alone {alone:.3}", case.name);
        assert!(on_demand >= alone - 0.01, "{}", case.name);
    }
}

#[test]
fn a_token_expires_after_its_lifetime_and_can_be_put_back_before() {
    let lifetime: Microseconds = 500 * MILLISECOND;
    let grant = QuotaGrant { tokens: 2, pause: 0 };
    let mut cache = TokenCache::default();
    cache.add(0, grant, START, lifetime, START);
    let token = cache.take(START).expect("a token");
    cache.put_back(token, START.plus(1));
    assert!(cache.take(START.plus(2)).is_some() && cache.take(START.plus(3)).is_some());
    assert!(cache.take(START.plus(4)).is_none());
    cache.put_back(token, START.plus(lifetime));
    assert!(cache.take(START.plus(lifetime)).is_none(), "its lifetime is over");
}
