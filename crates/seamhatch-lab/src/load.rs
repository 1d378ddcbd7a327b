//! Open-loop load: requests are sent at drawn times whatever became of earlier ones, and latency counts from the time at which
//! a request was due.
//!
//! `demo` and the experiments send it; the soak draws its own load with the same functions.

use crate::client::{CallerAnswer, CallerRequest};
use crate::connection::Caller;
use crate::topology::RequestKind;
use hdrhistogram::Histogram;
use rand::RngExt;
use seamhatch_core::identity::Address;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Longest latency that a histogram holds, in microseconds; longer ones count as this. Chosen, not measured.
const LONGEST_LATENCY: u64 = 60_000_000;
/// Seconds after the load for which good answers are counted second by second. Chosen, not measured.
const SECONDS_AFTER: usize = 30;

/// How callers repeat what failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerRetries {
    /// Most repeats after the first attempt.
    pub most: u32,
    /// Waits as long as `Retry-After` says, a second without it; else repeats at once.
    pub honour_retry_after: bool,
}

/// A time of higher demand.
#[derive(Debug, Clone, Copy)]
pub struct Surge {
    /// Its beginning, from the beginning of the load.
    pub start: Duration,
    /// Its end.
    pub end: Duration,
    /// The rate is multiplied by this.
    pub factor: f64,
}

/// What load to send.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Requests a second, of all kinds.
    pub rate: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// Kinds and their shares.
    pub kinds: Vec<RequestKind>,
    /// Where to send, in turn: one list for all kinds, or one for each kind.
    pub targets: Vec<Vec<Address>>,
    /// Higher demand for a time.
    pub surge: Option<Surge>,
    /// What callers do after a failure.
    pub retries: CallerRetries,
    /// Prefix of the requests' names, unique in a run.
    pub name: String,
}

/// What became of one kind of request.
#[derive(Debug, Clone)]
pub struct KindResult {
    /// Requests sent, repeats not counted.
    pub sent: u64,
    /// Complete and correct answers.
    pub good: u64,
    /// Failed requests by outcome and reason of the last attempt.
    pub failures: BTreeMap<String, u64>,
    /// Latency of good answers in microseconds, from the time at which the request was due.
    pub latency: Histogram<u64>,
    /// Latency of refusals (`not-run`) in microseconds.
    pub refusal_latency: Histogram<u64>,
    /// Good answers by second of the run.
    pub good_by_second: Vec<u64>,
}

impl KindResult {
    fn new(seconds: usize) -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, LONGEST_LATENCY, 3).expect("constant bounds are valid");
        Self {
            sent: 0,
            good: 0,
            failures: BTreeMap::new(),
            latency: histogram(),
            refusal_latency: histogram(),
            good_by_second: vec![0; seconds],
        }
    }
}

/// Results by kind of request, in the order of the plan.
pub type LoadResult = Vec<(&'static str, KindResult)>;

struct Run {
    plan: LoadPlan,
    caller: Caller,
    start: Instant,
    results: Mutex<Vec<KindResult>>,
}

/// Sends the load and waits for all answers.
pub async fn run(plan: LoadPlan) -> LoadResult {
    let seconds = plan.duration.as_secs() as usize + SECONDS_AFTER;
    let names: Vec<&'static str> = plan.kinds.iter().map(|kind| kind.name).collect();
    let results = Mutex::new(plan.kinds.iter().map(|_| KindResult::new(seconds)).collect());
    let run = Arc::new(Run { plan, caller: Caller::default(), start: Instant::now(), results });
    let mut tasks = JoinSet::new();
    let mut intended = run.start;
    let mut number = 0_u64;
    while intended < run.start + run.plan.duration {
        tokio::time::sleep_until(intended).await;
        let kind = draw_kind(&run.plan.kinds, &mut rand::rng());
        tasks.spawn(run.clone().request(kind, number, intended));
        number += 1;
        intended += exponential(run.plan.rate_at(intended - run.start), &mut rand::rng());
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    let results = std::mem::take(&mut *run.results.lock().expect("results lock"));
    names.into_iter().zip(results).collect()
}

impl LoadPlan {
    fn rate_at(&self, time: Duration) -> f64 {
        match self.surge {
            Some(surge) if (surge.start..surge.end).contains(&time) => self.rate * surge.factor,
            _ => self.rate,
        }
    }
}

impl Run {
    fn targets(&self, kind: usize) -> &[Address] {
        let targets = &self.plan.targets;
        targets.get(kind).unwrap_or(&targets[0])
    }

    async fn request(self: Arc<Self>, kind: usize, number: u64, intended: Instant) {
        let shape = &self.plan.kinds[kind];
        let name = format!("{}-{number}", self.plan.name);
        let request = CallerRequest {
            method: shape.method,
            path: format!("{}/{number}", shape.path),
            key: shape.keyed.then(|| name.clone()),
            request: name,
        };
        let mut tries = 0;
        loop {
            let targets = self.targets(kind);
            let target = targets[(number + u64::from(tries)) as usize % targets.len()];
            let sent = if tries == 0 { intended } else { Instant::now() };
            let answer = self.caller.send(target, &request).await;
            let last = answer.is_good() || tries >= self.plan.retries.most;
            self.record(kind, &answer, sent, last, intended);
            if last {
                return;
            }
            tries += 1;
            if self.plan.retries.honour_retry_after {
                tokio::time::sleep(Duration::from_secs(answer.retry_after.unwrap_or(1))).await;
            }
        }
    }

    fn record(&self, kind: usize, answer: &CallerAnswer, sent: Instant, last: bool, intended: Instant) {
        let now = Instant::now();
        let mut results = self.results.lock().expect("results lock");
        let result = &mut results[kind];
        result.sent += u64::from(last);
        if answer.is_good() {
            result.good += 1;
            result.latency.saturating_record((now - intended).as_micros() as u64);
            let second = (now - self.start).as_secs() as usize;
            if let Some(count) = result.good_by_second.get_mut(second) {
                *count += 1;
            }
            return;
        }
        if answer.outcome == "not-run" {
            result.refusal_latency.saturating_record((now - sent).as_micros() as u64);
        }
        if last {
            let cause = if answer.outcome.is_empty() {
                format!("{} {}", answer.status, answer.reason)
            } else {
                format!("{} {}", answer.outcome, answer.reason)
            };
            *result.failures.entry(cause).or_default() += 1;
        }
    }
}

/// Index of a request kind, drawn by the kinds' shares.
pub(crate) fn draw_kind(kinds: &[RequestKind], rng: &mut impl RngExt) -> usize {
    let total: f64 = kinds.iter().map(|kind| kind.share).sum();
    let mut drawn = rng.random::<f64>() * total;
    for (index, kind) in kinds.iter().enumerate() {
        drawn -= kind.share;
        if drawn < 0.0 {
            return index;
        }
    }
    kinds.len() - 1
}

/// Time to the next event of a Poisson process with this rate.
pub(crate) fn exponential(per_second: f64, rng: &mut impl RngExt) -> Duration {
    let uniform: f64 = rng.random::<f64>().max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(-uniform.ln() / per_second)
}
