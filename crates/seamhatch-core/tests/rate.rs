//! Request rates and the limiter that keeps them.

use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, SECOND};
use seamhatch_core::rate::{BURST_SPAN, MAX_INTERVAL, RateLimiter, RequestRate};

const NOW: Instant = Instant(1_000 * SECOND);

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).expect("a rate")
}

/// Instants at which requests start that are tried each millisecond from `from` on.
fn started(limiter: &mut RateLimiter, from: Instant, span: u64) -> Vec<Instant> {
    let mut started = Vec::new();
    for passed in (0..span).step_by(MILLISECOND as usize) {
        let now = from.plus(passed);
        while limiter.is_due(now) && started.len() < 1_000_000 {
            limiter.take(now);
            started.push(now);
        }
    }
    started
}

fn most_in(started: &[Instant], span: u64) -> usize {
    let count =
        |first: &Instant| started.iter().filter(|at| **at >= *first && at.since(*first) < span).count();
    started.iter().map(count).max().unwrap_or_default()
}

#[test]
fn only_finite_non_negative_numbers_are_rates() {
    for none in [-5.0, -0.1, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(RequestRate::per_second(none), None, "{none}");
    }
    for some in [0.0, 0.2, 1.5, 10.0, 1e9] {
        assert_eq!(rate(some).as_per_second(), some);
    }
    assert_eq!(rate(1e300).interval(), 0);
}

#[test]
fn a_rate_is_kept_and_used_in_every_span_of_four_seconds() {
    for per_second in [0.2, 1.5, 10.0, 10.4, 100.0, 900.0] {
        let mut limiter = RateLimiter::new(rate(per_second), NOW);
        let started = started(&mut limiter, NOW, 40 * SECOND);
        let burst = 1.0 + per_second * BURST_SPAN as f64 / SECOND as f64;
        let most = most_in(&started, 4 * SECOND) as f64;
        assert!(most <= 4.0 * per_second + burst, "{per_second}: {most} in 4 s");
        assert!(started.len() as f64 >= 0.99 * 40.0 * per_second, "{per_second}: {} in 40 s", started.len());
    }
}

/// Guards against a burst by a daemon that was frozen, of all requests that it could have sent meanwhile.
#[test]
fn unused_time_is_saved_only_up_to_the_burst_span() {
    let mut limiter = RateLimiter::new(rate(10.0), NOW);
    limiter.take(NOW);
    assert_eq!(started(&mut limiter, NOW.plus(600 * SECOND), MILLISECOND).len(), 2);
}

/// Guards against a back end that gets no request any more and so cannot show that its rate has changed.
#[test]
fn a_rate_of_zero_lets_a_request_through_at_the_longest_interval() {
    for per_second in [0.0, 1e-9, 0.01] {
        let mut limiter = RateLimiter::new(rate(per_second), NOW);
        let started = started(&mut limiter, NOW, 3 * MAX_INTERVAL);
        assert_eq!(started.len(), 3, "{per_second}");
    }
}

#[test]
fn higher_and_lower_rates_apply_at_once() {
    let mut limiter = RateLimiter::new(rate(0.1), NOW);
    limiter.take(NOW);
    limiter.set_rate(rate(10.0), NOW);
    assert_eq!(limiter.turn_in(0, NOW), SECOND / 10);
    assert_eq!(limiter.turn_in(3, NOW), 4 * SECOND / 10);
    limiter.set_rate(rate(0.5), NOW);
    limiter.take(NOW.plus(SECOND / 10));
    assert_eq!(started(&mut limiter, NOW.plus(SECOND / 10), 5 * SECOND).len(), 2);
}

#[test]
fn an_unused_turn_goes_to_another_request() {
    let mut limiter = RateLimiter::new(rate(1.0), NOW);
    limiter.take(NOW);
    assert!(!limiter.is_due(NOW));
    limiter.give_back();
    assert!(limiter.is_due(NOW));
}
