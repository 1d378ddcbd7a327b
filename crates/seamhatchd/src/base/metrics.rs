//! Counters, gauges and latency histograms in the Prometheus text format.

use crate::base::clock;
use crate::base::lock::lock;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::priority::PriorityClass;
use std::sync::Mutex;

/// Labels of a refused call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    outcome: &'static str,
    reason: &'static str,
    class: &'static str,
}

/// Labels of a request that is over.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    outcome: &'static str,
    class: &'static str,
}

/// A single class label.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabel {
    class: &'static str,
}

/// A single label that names a kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

/// Kinds of input that a daemon turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadInput {
    /// A datagram on the gossip port.
    Datagram,
    /// A connection on the peer port.
    PeerConnection,
    /// An HTTP request.
    Request,
    /// A heartbeat of a back end.
    Heartbeat,
    /// A context header that this daemon didn't make.
    Context,
    /// A policy function that failed at run time.
    Policy,
    /// A late or unknown answer from a peer.
    LateAnswer,
}

impl BadInput {
    fn name(self) -> &'static str {
        match self {
            Self::Datagram => "datagram",
            Self::PeerConnection => "peer-connection",
            Self::Request => "request",
            Self::Heartbeat => "heartbeat",
            Self::Context => "context",
            Self::Policy => "policy",
            Self::LateAnswer => "late-answer",
        }
    }
}

/// From half a millisecond to about four seconds, doubling.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.0005, 2.0, 14))
}

/// A span in the unit that histograms use.
#[must_use]
pub fn seconds(span: Microseconds) -> f64 {
    span as f64 / 1e6
}

/// All metrics of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    requests: Family<ClassLabel, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    executions: Family<ClassLabel, Counter>,
    bad_input: Family<KindLabel, Counter>,
    request_seconds: Family<EndLabels, Histogram>,
    /// Dispatches that cost a retry token.
    pub retries: Counter,
    /// Time that the back end took for calls that it answered, in seconds.
    pub backend_seconds: Histogram,
    /// Time that the store took to answer, watches left out, in seconds.
    pub store_seconds: Histogram,
    /// Time that calls waited for a slot, in seconds.
    pub queue_seconds: Histogram,
    /// Crashes of the back end.
    pub crashes: Counter,
    /// Requests that are turned away as they crash servers.
    pub condemned: Gauge,
    /// Calls that the back end works on.
    pub running: Gauge,
    /// Calls that wait.
    pub waiting: Gauge,
    /// Calls that may run at once.
    pub limit: Gauge,
    /// Calls whose answer seems to be lost, and that hold no slot.
    pub lost: Gauge,
    /// First refused priority level.
    pub floor: Gauge,
    /// Configuration in force.
    pub generation: Gauge,
    /// Live members.
    pub members: Gauge,
    /// Gossip bytes sent.
    pub gossip_sent_bytes: Counter,
    /// Gossip bytes received.
    pub gossip_received_bytes: Counter,
    /// Requests to the key-value service.
    pub store_requests: Counter,
    /// Those that failed.
    pub store_failures: Counter,
    /// Processor time of the control thread, in milliseconds.
    pub control_cpu_milliseconds: Gauge,
    /// Claims remembered as a witness.
    pub claims: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Metrics at zero.
    #[must_use]
    pub fn new() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("seamhatch")),
            requests: Family::default(),
            refusals: Family::default(),
            executions: Family::default(),
            bad_input: Family::default(),
            request_seconds: Family::new_with_constructor(latency_histogram),
            retries: Counter::default(),
            backend_seconds: latency_histogram(),
            store_seconds: latency_histogram(),
            queue_seconds: latency_histogram(),
            crashes: Counter::default(),
            condemned: Gauge::default(),
            running: Gauge::default(),
            waiting: Gauge::default(),
            limit: Gauge::default(),
            lost: Gauge::default(),
            floor: Gauge::default(),
            generation: Gauge::default(),
            members: Gauge::default(),
            gossip_sent_bytes: Counter::default(),
            gossip_received_bytes: Counter::default(),
            store_requests: Counter::default(),
            store_failures: Counter::default(),
            control_cpu_milliseconds: Gauge::default(),
            claims: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = lock(&self.registry);
        registry.register("requests", "Requests from outside, by class", self.requests.clone());
        registry.register("refusals", "Calls without a back end answer", self.refusals.clone());
        registry.register("executions", "Calls given to the back end", self.executions.clone());
        registry.register("bad_input", "Input that was turned away", self.bad_input.clone());
        registry.register("retries", "Dispatches that cost a retry token", self.retries.clone());
        registry.register(
            "request_seconds",
            "Time from a request's arrival to the head of its answer",
            self.request_seconds.clone(),
        );
        registry.register("backend_seconds", "Time the back end took", self.backend_seconds.clone());
        registry.register("store_seconds", "Time the key-value service took", self.store_seconds.clone());
        registry.register("queue_seconds", "Wait for a slot", self.queue_seconds.clone());
        registry.register("crashes", "Crashes of the back end", self.crashes.clone());
        registry.register(
            "condemned_requests",
            "Requests turned away as they crash servers",
            self.condemned.clone(),
        );
        registry.register("running_calls", "Calls the back end works on", self.running.clone());
        registry.register("waiting_calls", "Calls that wait for a slot", self.waiting.clone());
        registry.register("lost_calls", "Calls whose answer seems to be lost", self.lost.clone());
        registry.register("limit_calls", "Calls that may run at once", self.limit.clone());
        registry.register("admission_floor", "First refused priority level", self.floor.clone());
        registry.register("generation", "Configuration in force", self.generation.clone());
        registry.register("live_members", "Live members, this one included", self.members.clone());
        registry.register("gossip_sent_bytes", "Gossip sent", self.gossip_sent_bytes.clone());
        registry.register("gossip_received_bytes", "Gossip received", self.gossip_received_bytes.clone());
        registry.register("store_requests", "Requests to the key-value service", self.store_requests.clone());
        registry.register("store_failures", "Failed ones", self.store_failures.clone());
        registry.register(
            "control_cpu_milliseconds",
            "Processor time of the control thread",
            self.control_cpu_milliseconds.clone(),
        );
        registry.register("claims", "Claims remembered as a witness", self.claims.clone());
    }

    /// Counts a request from outside.
    pub fn request(&self, class: PriorityClass) {
        self.requests.get_or_create(&ClassLabel { class: class.name() }).inc();
    }

    /// Takes in how long a request took from its arrival to the head of its answer.
    pub fn request_ended(&self, outcome: Outcome, class: PriorityClass, took: Microseconds) {
        let labels = EndLabels { outcome: outcome.name(), class: class.name() };
        self.request_seconds.get_or_create(&labels).observe(seconds(took));
    }

    /// Counts a call given to the back end.
    pub fn execution(&self, class: PriorityClass) {
        self.executions.get_or_create(&ClassLabel { class: class.name() }).inc();
    }

    /// Counts a call without a back end answer.
    pub fn refusal(&self, outcome: Outcome, reason: Reason, class: PriorityClass) {
        let labels = RefusalLabels { outcome: outcome.name(), reason: reason.name(), class: class.name() };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts a call to the store and takes in how long its answer takes.
    pub async fn time_store_call<T>(&self, call: impl Future<Output = T>) -> T {
        self.store_requests.inc();
        let started = clock::now();
        let answer = call.await;
        self.store_seconds.observe(seconds(clock::now().since(started)));
        answer
    }

    /// Counts input that was turned away.
    pub fn bad_input(&self, kind: BadInput) {
        self.bad_input.get_or_create(&KindLabel { kind: kind.name() }).inc();
    }

    /// All metrics as text.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let registry = lock(&self.registry);
        // Writing into a string does not fail.
        let _ = encode(&mut text, &registry);
        text
    }
}
