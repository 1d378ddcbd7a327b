//! Counters, gauges and latency histograms in the Prometheus text format.
//!
//! [`Metrics`] owns them for the whole daemon; every layer updates them, and the operators' listener exports them. Names and help
//! texts are part of the operators' interface (docs/OPERATIONS.md).

use crate::base::clock;
use crate::base::lock::lock;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry};
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

/// Labels of a finished request.
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

/// A single label that says whether the store had recorded something.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RecordedLabel {
    recorded: &'static str,
}

/// A single label that names a cause.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

/// Reason for opening a connection to the back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenCause {
    /// All connections were in use, or had been idle for too long.
    NoneIdle,
    /// The back end had closed an idle connection that could have been used.
    ClosedByServer,
    /// A connection had been closed to cancel its call.
    Cancelled,
    /// A connection had been closed because its call was not answered by its deadline.
    Unanswered,
    /// A connection had been closed because of an unusable answer, or an answer that arrived before the whole request was written.
    UnusableAnswer,
    /// The connection tests whether the back end has ended.
    Probe,
}

impl OpenCause {
    fn name(self) -> &'static str {
        match self {
            Self::NoneIdle => "none-idle",
            Self::ClosedByServer => "closed-by-server",
            Self::Cancelled => "cancelled",
            Self::Unanswered => "unanswered",
            Self::UnusableAnswer => "unusable-answer",
            Self::Probe => "probe",
        }
    }
}

/// Kinds of input that a daemon rejects.
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
    /// A context header that this daemon did not create.
    Context,
    /// A policy function that failed at run time.
    Policy,
    /// A late or unknown answer from a peer.
    LateAnswer,
    /// A field of a back end's answer.
    Answer,
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
            Self::Answer => "answer",
        }
    }
}

/// Why a configuration that decides a request may be outdated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutdatedCause {
    /// A newer one is known here and not in force yet.
    NewerKnown,
    /// There is no recent proof that it is the newest.
    NoProof,
}

impl OutdatedCause {
    fn name(self) -> &'static str {
        match self {
            Self::NewerKnown => "newer-known",
            Self::NoProof => "no-proof",
        }
    }
}

/// Buckets from half a millisecond to about four seconds, doubling.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.0005, 2.0, 14))
}

/// Value of [`Metrics::named_rate`] when there is no rate.
pub const NO_NAMED_RATE: i64 = -1;

/// Value of [`Metrics::pace_percent`] and [`Metrics::work_milliseconds`] when the back end reports no percentage.
pub const NO_PACE: i64 = -1;

/// Value of [`Metrics::proof_age`] when there is no proof.
pub const NO_PROOF: i64 = -1;

/// Converts a span to seconds, the unit of the histograms.
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
    backend_connections: Family<CauseLabel, Counter>,
    outdated_decisions: Family<CauseLabel, Counter>,
    departure_answers: Family<RecordedLabel, Counter>,
    missing_parents: Family<CauseLabel, Counter>,
    request_seconds: Family<EndLabels, Histogram>,
    /// Dispatches that consumed a retry token.
    pub retries: Counter,
    /// Time that the back end took for answered calls, in seconds.
    pub backend_seconds: Histogram,
    /// Time that the store took to answer, excluding watches, in seconds.
    pub store_seconds: Histogram,
    /// Time until the store had recorded a departure of the back end, or the attempts had failed, in seconds.
    pub departure_seconds: Histogram,
    /// Time that calls waited for a slot, in seconds.
    pub queue_seconds: Histogram,
    /// Crashes of the back end.
    pub crashes: Counter,
    /// Calls that were running on the back end when it crashed.
    pub crashed_calls: Counter,
    /// Requests that end here without an answer because a back end crashed while running them.
    pub crash_losses: Counter,
    /// Requests in progress here that the end of a stop cut off.
    pub cut_requests: Counter,
    /// Requests started before the answers to earlier ones on their connections were written.
    pub started_ahead: Counter,
    /// Requests whose clients disconnected before they had the whole answer. All but those with a claim are cancelled.
    pub left_requests: Counter,
    /// Requests that are refused because they crash servers.
    pub condemned: Gauge,
    /// Calls running on the back end.
    pub running: Gauge,
    /// Calls waiting for a slot.
    pub waiting: Gauge,
    /// Calls that may run at once.
    pub limit: Gauge,
    /// Rate that the back end names, in thousandths of a call per second; -1 when it names none.
    pub named_rate: Gauge,
    /// Service time last reported by the back end, in percent of the usual service time; -1 when it reports none.
    pub pace_percent: Gauge,
    /// Usual service time of the back end's calls as this daemon measures it, in milliseconds; 0 without a recent sample,
    /// -1 while the back end reports no pace percentage.
    pub work_milliseconds: Gauge,
    /// Calls whose answer appears to be lost and that no longer hold a slot.
    pub lost: Gauge,
    /// Calls that hold a slot after their deadline.
    pub overdue: Gauge,
    /// 1 while the back end has stopped answering.
    pub silent: Gauge,
    /// Calls that the back end had not answered by their deadline.
    pub unanswered: Counter,
    /// Answers of the back end, or of another daemon for its back end, that can't be understood.
    pub unsound_answers: Counter,
    /// First refused priority level.
    pub floor: Gauge,
    /// Generation of the configuration in force.
    pub generation: Gauge,
    /// Newest generation that this daemon holds; higher than the one in force when it can't be used.
    pub newest_generation: Gauge,
    /// Age of the proof that the configuration in force is the newest, in milliseconds; -1 without one.
    pub proof_age: Gauge,
    /// Live members.
    pub members: Gauge,
    /// Gossip bytes sent.
    pub gossip_sent_bytes: Counter,
    /// Gossip bytes received.
    pub gossip_received_bytes: Counter,
    /// Requests to the store.
    pub store_requests: Counter,
    /// Failed requests to the store.
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

/// Registers a metric under its name and help text, and returns it.
fn register<M: Metric + Clone>(registry: &mut Registry, name: &str, help: &str, metric: M) -> M {
    registry.register(name, help, metric.clone());
    metric
}

fn counter(registry: &mut Registry, name: &str, help: &str) -> Counter {
    register(registry, name, help, Counter::default())
}

fn gauge(registry: &mut Registry, name: &str, help: &str) -> Gauge {
    register(registry, name, help, Gauge::default())
}

/// A gauge with the initial value `none`.
fn gauge_or_none(registry: &mut Registry, name: &str, help: &str, none: i64) -> Gauge {
    let gauge = gauge(registry, name, help);
    gauge.set(none);
    gauge
}

fn latency(registry: &mut Registry, name: &str, help: &str) -> Histogram {
    register(registry, name, help, latency_histogram())
}

impl Metrics {
    /// Metrics with their initial values, registered in export order.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("seamhatch");
        let to = &mut registry;
        let request_seconds = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        Self {
            requests: register(to, "requests", "Requests from outside, by class", Family::default()),
            refusals: register(to, "refusals", "Calls without a back end answer", Family::default()),
            executions: register(to, "executions", "Calls given to the back end", Family::default()),
            bad_input: register(to, "bad_input", "Input that was turned away", Family::default()),
            backend_connections: register(
                to,
                "backend_connections_opened",
                "Connections opened to the back end, by cause",
                Family::default(),
            ),
            outdated_decisions: register(
                to,
                "outdated_decisions",
                "Requests decided by a configuration that may be outdated, by cause",
                Family::default(),
            ),
            departure_answers: register(
                to,
                "departure_answers",
                "Answers to a back end that leaves, by whether the store had recorded it in time",
                Family::default(),
            ),
            missing_parents: register(
                to,
                "missing_parents",
                "Requests that name a parent call which this daemon does not know, by cause",
                Family::default(),
            ),
            retries: counter(to, "retries", "Dispatches that cost a retry token"),
            request_seconds: register(
                to,
                "request_seconds",
                "Time from a request's arrival to the head of its answer",
                request_seconds,
            ),
            backend_seconds: latency(to, "backend_seconds", "Time the back end took"),
            store_seconds: latency(to, "store_seconds", "Time the key-value service took"),
            departure_seconds: latency(to, "departure_seconds", "Time until a departure was recorded"),
            queue_seconds: latency(to, "queue_seconds", "Wait for a slot"),
            crashes: counter(to, "crashes", "Crashes of the back end"),
            crashed_calls: counter(to, "crashed_calls", "Calls that ran on the back end when it crashed"),
            crash_losses: counter(
                to,
                "crash_losses",
                "Requests not answered as a back end crashed under them",
            ),
            cut_requests: counter(to, "cut_requests", "Requests cut off by the end of a stop"),
            started_ahead: counter(
                to,
                "started_ahead",
                "Requests started while earlier ones of their connection were unanswered",
            ),
            left_requests: counter(
                to,
                "left_requests",
                "Requests whose clients disconnected before the whole answer",
            ),
            condemned: gauge(to, "condemned_requests", "Requests turned away as they crash servers"),
            running: gauge(to, "running_calls", "Calls the back end works on"),
            waiting: gauge(to, "waiting_calls", "Calls that wait for a slot"),
            lost: gauge(to, "lost_calls", "Calls whose answer seems to be lost"),
            overdue: gauge(to, "overdue_calls", "Calls without an answer after their deadline"),
            silent: gauge(to, "backend_silent", "1 while the back end answers no calls"),
            unanswered: counter(
                to,
                "unanswered_calls",
                "Calls that the back end had not answered by their deadline",
            ),
            unsound_answers: counter(to, "unsound_answers", "Answers that can't be understood"),
            limit: gauge(to, "limit_calls", "Calls that may run at once"),
            floor: gauge(to, "admission_floor", "First refused priority level"),
            named_rate: gauge_or_none(
                to,
                "named_rate_millis",
                "Rate the back end names, in thousandths of a call a second; -1 for none",
                NO_NAMED_RATE,
            ),
            pace_percent: gauge_or_none(
                to,
                "pace_percent",
                "Time that work takes at the back end by its own figure, in percent of the usual; -1 for none",
                NO_PACE,
            ),
            work_milliseconds: gauge_or_none(
                to,
                "work_milliseconds",
                "Usual service time of a back end that tells its pace; -1 for none",
                NO_PACE,
            ),
            generation: gauge(to, "generation", "Configuration in force"),
            newest_generation: gauge(to, "newest_generation", "Newest configuration held"),
            proof_age: gauge_or_none(
                to,
                "proof_age_milliseconds",
                "Age of the proof that the configuration in force is the newest; -1 without one",
                NO_PROOF,
            ),
            members: gauge(to, "live_members", "Live members, this one included"),
            gossip_sent_bytes: counter(to, "gossip_sent_bytes", "Gossip sent"),
            gossip_received_bytes: counter(to, "gossip_received_bytes", "Gossip received"),
            store_requests: counter(to, "store_requests", "Requests to the key-value service"),
            store_failures: counter(to, "store_failures", "Failed ones"),
            control_cpu_milliseconds: gauge(
                to,
                "control_cpu_milliseconds",
                "Processor time of the control thread",
            ),
            claims: gauge(to, "claims", "Claims remembered as a witness"),
            registry: Mutex::new(registry),
        }
    }

    /// Counts a request from outside.
    pub fn request(&self, class: PriorityClass) {
        self.requests.get_or_create(&ClassLabel { class: class.name() }).inc();
    }

    /// Records how long a request took from its arrival to the head of its answer.
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

    /// Counts a call to the store and records how long its answer takes.
    pub async fn time_store_call<T>(&self, call: impl Future<Output = T>) -> T {
        self.store_requests.inc();
        let started = clock::now();
        let answer = call.await;
        self.store_seconds.observe(seconds(clock::now().since(started)));
        answer
    }

    /// Counts rejected input.
    pub fn bad_input(&self, kind: BadInput) {
        self.bad_input.get_or_create(&KindLabel { kind: kind.name() }).inc();
    }

    /// Counts a connection opened to the back end.
    pub fn backend_connection(&self, cause: OpenCause) {
        self.backend_connections.get_or_create(&CauseLabel { cause: cause.name() }).inc();
    }

    /// Counts an answer to a back end that leaves. An answer is an acknowledgement only if the store has recorded the departure.
    pub fn departure_answered(&self, is_recorded: bool) {
        let labels = RecordedLabel { recorded: if is_recorded { "yes" } else { "no" } };
        self.departure_answers.get_or_create(&labels).inc();
    }

    /// Counts a request that names a parent call which this daemon does not know.
    pub fn missing_parent(&self, cause: &'static str) {
        self.missing_parents.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Counts a request that a configuration decides which may be outdated.
    pub fn outdated_decision(&self, cause: OutdatedCause) {
        self.outdated_decisions.get_or_create(&CauseLabel { cause: cause.name() }).inc();
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
