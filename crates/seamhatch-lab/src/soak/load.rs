//! The load of a soak: requests at drawn times to drawn daemons, clients that keep one connection each, some of them slow readers of large answers,
//! and callers that repeat a request that crashes back ends.
//!
//! Times, daemons and kinds are drawn from the plan's seed. Each request and answer is recorded.

use super::fleet::DaemonIndex;
use super::history::{HistoryEvent, SeenAnswer};
use super::plan::SoakPlan;
use super::recorder::Recorder;
use crate::backends::{DEADLY_PATH, DEEP_DEADLY_PATH, LARGE_PATH};
use crate::client::{CallerAnswer, CallerRequest};
use crate::connection::{Caller, CallerConnection};
use crate::load::{draw_kind, exponential};
use crate::topology::{RequestKind, Topology};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use seamhatch_core::identity::Address;
use std::ops::Range;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Requests that are due longer ago than this, as this machine was too busy, are left out. Chosen, not measured.
const MOST_BACKLOG: Duration = Duration::from_secs(1);
/// Requests a second of a client that keeps its connection, as long as it is answered at once.
const CLIENT_RATE: f64 = 3.0;
/// Pause of a client whose new connection was refused. Chosen, not measured.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Clients that ask for large answers, in addition to the others where there are any.
const SLOW_CLIENTS: usize = 4;
/// How long such a client reads nothing after each of its requests, in milliseconds.
const SLOW_MS: Range<u64> = 200..2_500;

/// Name prefix of the requests that crash back ends.
pub const DEADLY_PREFIX: &str = "deadly-";
/// Every so many daemons, one has a caller that repeats such a request. Chosen, not measured.
const DEADLY_CALLER_EACH: usize = 3;
/// Pause between two attempts of such a caller, and between the first attempts at neighbouring daemons. Chosen, not measured.
const DEADLY_PAUSE: Duration = Duration::from_millis(50);
/// More daemons than a soak can have: the copies of a request are numbered by daemon plus this for each attempt.
const MOST_DAEMONS: usize = 1000;

/// Sends the load of a plan and waits for all answers.
pub async fn send_load(plan: SoakPlan, topology: Topology, ingresses: Vec<Address>, recorder: Recorder) {
    let end = recorder.start() + Duration::from_secs(plan.seconds);
    let mut clients = JoinSet::new();
    let slow = plan.clients.min(SLOW_CLIENTS);
    for number in 0..plan.clients + slow {
        let mut rng = SmallRng::seed_from_u64(plan.seed.wrapping_add(number as u64 + 1));
        let is_slow = number >= plan.clients;
        let pause = is_slow.then(|| Duration::from_millis(rng.random_range(SLOW_MS)));
        let client = KeepingClient {
            number,
            pause,
            rng,
            topology: topology.clone(),
            ingresses: ingresses.clone(),
            recorder: recorder.clone(),
        };
        clients.spawn(client.run(end));
    }
    send_anywhere(&plan, &topology, &ingresses, &recorder).await;
    clients.join_all().await;
}

/// Requests at drawn times, each to a drawn daemon, over any connection.
async fn send_anywhere(plan: &SoakPlan, topology: &Topology, ingresses: &[Address], recorder: &Recorder) {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let caller = Caller::default();
    let mut tasks = JoinSet::new();
    let end = recorder.start() + Duration::from_secs(plan.seconds);
    let mut at = recorder.start();
    let mut number = 0_u64;
    while at < end {
        tokio::time::sleep_until(at.into()).await;
        at = at.max(Instant::now().checked_sub(MOST_BACKLOG).unwrap_or(at));
        let daemon = rng.random_range(0..ingresses.len());
        let kind = &topology.kinds[draw_kind(&topology.kinds, &mut rng)];
        let request = SoakRequest::new(topology, kind, format!("soak-{number}"));
        tasks.spawn(send(caller.clone(), ingresses[daemon], daemon, request, recorder.clone()));
        number += 1;
        at += exponential(plan.rate, &mut rng);
        while tasks.try_join_next().is_some() {}
    }
    tasks.join_all().await;
}

/// A request that crashes back ends, which all its copies share.
#[derive(Debug, Clone, Copy)]
pub struct DeadlyRequest {
    /// Its number.
    pub number: u64,
    /// Only the back ends at the end of its chain crash.
    pub deep: bool,
}

/// A request and the service that it goes to.
pub struct SoakRequest {
    /// What the caller sends.
    pub request: CallerRequest,
    service: String,
}

impl SoakRequest {
    /// A request of this kind with this name.
    #[must_use]
    pub fn new(topology: &Topology, kind: &RequestKind, name: String) -> Self {
        let request = CallerRequest {
            method: kind.method,
            path: format!("{}/{name}", kind.path),
            key: kind.keyed.then(|| name.clone()),
            request: name,
        };
        Self { request, service: topology.entry_service(kind).unwrap_or_default().to_owned() }
    }

    /// A request of this kind with this name and a large answer.
    #[must_use]
    pub fn large(topology: &Topology, kind: &RequestKind, name: String) -> Self {
        let path = format!("{}{LARGE_PATH}{name}", kind.path);
        let request = Self::new(topology, kind, name);
        Self { request: CallerRequest { path, ..request.request }, ..request }
    }

    /// A copy of a request that crashes each back end that runs it.
    #[must_use]
    pub fn deadly(topology: &Topology, kind: &RequestKind, deadly: DeadlyRequest, copy: usize) -> Self {
        let DeadlyRequest { number, deep } = deadly;
        let request = Self::new(topology, kind, format!("{DEADLY_PREFIX}{number}-{copy}"));
        let part = if deep { DEEP_DEADLY_PATH } else { DEADLY_PATH };
        let path = format!("{}{part}{number}", kind.path);
        Self { request: CallerRequest { path, key: None, ..request.request }, ..request }
    }

    fn note_sent(&self, daemon: DaemonIndex, recorder: &Recorder) {
        recorder.note(HistoryEvent::Sent {
            at_ms: recorder.at_ms(),
            request: self.request.request.clone(),
            daemon,
            service: self.service.clone(),
            keyed: self.request.key.is_some(),
        });
    }

    fn note_answered(self, answer: &CallerAnswer, recorder: &Recorder) {
        let answer = SeenAnswer::from(answer);
        recorder.note(HistoryEvent::Answered {
            at_ms: recorder.at_ms(),
            request: self.request.request,
            answer,
        });
    }
}

/// Starts callers, each at a daemon of its own, that repeat one request that crashes back ends for this long.
pub fn repeat_deadly(
    deadly: DeadlyRequest,
    span: Duration,
    topology: &Topology,
    ingresses: &[Address],
    recorder: &Recorder,
) {
    let Some(kind) = topology.kinds.iter().find(|kind| !kind.keyed).cloned() else { return };
    for (daemon, ingress) in ingresses.iter().copied().enumerate().step_by(DEADLY_CALLER_EACH) {
        let (kind, topology, recorder) = (kind.clone(), topology.clone(), recorder.clone());
        tokio::spawn(async move {
            let caller = Caller::default();
            let end = Instant::now() + span;
            tokio::time::sleep(DEADLY_PAUSE * daemon as u32).await;
            let mut copy = daemon;
            while Instant::now() < end {
                let request = SoakRequest::deadly(&topology, &kind, deadly, copy);
                send(caller.clone(), ingress, daemon, request, recorder.clone()).await;
                copy += MOST_DAEMONS;
                tokio::time::sleep(DEADLY_PAUSE).await;
            }
        });
    }
}

/// Sends a request over any connection and records both it and its answer.
pub async fn send(
    caller: Caller,
    ingress: Address,
    daemon: DaemonIndex,
    request: SoakRequest,
    recorder: Recorder,
) {
    request.note_sent(daemon, &recorder);
    let answer = caller.send(ingress, &request.request).await;
    request.note_answered(&answer, &recorder);
}

/// A client that uses one connection until the daemon closes it.
struct KeepingClient {
    number: usize,
    /// How long it reads nothing after each of its requests, which ask for large answers; none for a usual client.
    pause: Option<Duration>,
    rng: SmallRng,
    topology: Topology,
    ingresses: Vec<Address>,
    recorder: Recorder,
}

impl KeepingClient {
    async fn run(mut self, end: Instant) {
        let mut kept = None;
        let mut sent = 0_u64;
        while Instant::now() < end {
            tokio::time::sleep(exponential(CLIENT_RATE, &mut self.rng)).await;
            let Some((daemon, mut connection)) = self.usable(kept.take(), end).await else { return };
            let request = self.next_request(sent);
            sent += 1;
            request.note_sent(daemon, &self.recorder);
            let answer = connection.send(&request.request).await;
            request.note_answered(&answer, &self.recorder);
            kept = Some((daemon, connection));
        }
    }

    fn next_request(&mut self, sent: u64) -> SoakRequest {
        let kind = &self.topology.kinds[draw_kind(&self.topology.kinds, &mut self.rng)];
        let name = format!("kept-{}-{sent}", self.number);
        if self.pause.is_some() && !kind.keyed {
            return SoakRequest::large(&self.topology, kind, name);
        }
        SoakRequest::new(&self.topology, kind, name)
    }

    /// The kept connection, or a new one to a drawn daemon if that is closed; none when the load ends first.
    async fn usable(
        &mut self,
        kept: Option<(DaemonIndex, CallerConnection)>,
        end: Instant,
    ) -> Option<(DaemonIndex, CallerConnection)> {
        if let Some((daemon, mut connection)) = kept
            && connection.is_usable().await
        {
            return Some((daemon, connection));
        }
        while Instant::now() < end {
            let daemon = self.rng.random_range(0..self.ingresses.len());
            let pause = self.pause.unwrap_or_default();
            if let Some(mut connection) = CallerConnection::open_slow(self.ingresses[daemon], pause).await
                && connection.is_usable().await
            {
                return Some((daemon, connection));
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
        None
    }
}
