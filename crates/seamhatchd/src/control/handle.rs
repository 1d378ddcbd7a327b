//! The handle through which other threads send events to the control thread.
//!
//! Events go through an unbounded queue, in order. The handle also owns the newest generation that any daemon has reported, so that
//! the request path can check without blocking whether this daemon's configuration may be out of date.

use super::{
    ConfigurationEvent, ControlEvent, DrainTarget, InstanceAnswer, InstanceEvent, MemberEvent, OperatorEvent,
    Retirement, RosterEvent, StatusReport, SubmitError, SubmitRequest, SuspectEvent,
};
use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::{Address, RequestDigest};
use seamhatch_core::instance::{Heartbeat, InstanceId};
use seamhatch_core::outcome::Reason;
use seamhatch_core::roster::WitnessDuty;
use seamhatch_policy::StoredConfiguration;
use seamhatch_wire::{ControlReply, ControlRequest};
use std::fmt;
use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Timeout for the control thread when a drain begins or the process ends, so that the process ends even if that thread is stuck.
const STOP_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time for which a reported generation counts as missing here, in microseconds. The daemon that reports a generation hands it
/// over within a second, so a generation that is missing for longer does not exist.
const MAX_GENERATION_LAG: Microseconds = 10 * SECOND;

/// Sends events to the control thread; cheap to clone.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    events: mpsc::UnboundedSender<ControlEvent>,
    generation_in_force: Arc<AtomicU64>,
    /// The newest generation that has been reported.
    generation_reported: Arc<AtomicU64>,
    /// Its first report.
    first_report: Arc<Mutex<Option<GenerationReport>>>,
}

/// How this daemon learnt that a generation exists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportSource {
    /// A heartbeat of the daemon with this peer address.
    Heartbeat(Address),
    /// A call of another daemon.
    Call,
    /// A gossip message of the daemon with this gossip address.
    Gossip(Address),
    /// The configuration itself was received here.
    Received,
}

impl fmt::Display for ReportSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Heartbeat(peer) => write!(formatter, "heartbeat of {peer}"),
            Self::Call => formatter.write_str("call"),
            Self::Gossip(member) => write!(formatter, "gossip of {member}"),
            Self::Received => formatter.write_str("received here"),
        }
    }
}

/// The first report of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationReport {
    /// The generation.
    pub generation: Generation,
    /// When the report arrived.
    pub at: Instant,
    /// Who reported it.
    pub source: ReportSource,
}

impl ControlHandle {
    /// A handle with the receiving end of its queue.
    #[must_use]
    pub fn new() -> (Self, mpsc::UnboundedReceiver<ControlEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let handle = Self {
            events,
            generation_in_force: Arc::default(),
            generation_reported: Arc::default(),
            first_report: Arc::default(),
        };
        (handle, receiver)
    }

    /// Enqueues an event.
    pub fn send(&self, event: impl Into<ControlEvent>) {
        // The event is lost if the control thread has ended, which happens only when the process ends.
        let _ = self.events.send(event.into());
    }

    /// Handles a generation that a daemon reported. Cheap unless it is newer than the one in force.
    pub fn note_peer_generation(&self, peer: Address, generation: Generation) {
        self.note_generation(Some(peer), generation, ReportSource::Heartbeat(peer));
    }

    /// Handles the generation that a call carried from its sender.
    pub fn note_call_generation(&self, generation: Generation) {
        self.note_generation(None, generation, ReportSource::Call);
    }

    /// Requests a roster check after a claim or a configuration found no majority of witnesses; `newer_witness` is a daemon that
    /// knows a later epoch.
    pub fn check_roster(&self, newer_witness: Option<Address>) {
        self.send(RosterEvent::Check(newer_witness));
    }

    /// The duties that this daemon still has as a witness; `None` when the control thread doesn't answer within 0.4 s.
    pub async fn witness_duty(&self) -> Option<WitnessDuty> {
        let (sender, receiver) = oneshot::channel();
        self.send(RosterEvent::Duty(sender));
        tokio::time::timeout(STOP_TIMEOUT, receiver).await.ok()?.ok()
    }

    /// Retires this daemon as a witness if the store is unavailable or others have taken over its shards. Returns `None` otherwise, and
    /// when the control thread doesn't answer within 0.4 s.
    pub async fn retire(&self) -> Option<Retirement> {
        let (sender, receiver) = oneshot::channel();
        self.send(RosterEvent::Retire(sender));
        tokio::time::timeout(STOP_TIMEOUT, receiver).await.ok()?.ok()?
    }

    /// Forwards a request of another daemon's controller; declined when the control thread has ended.
    pub fn ask(&self, request: ControlRequest) -> impl Future<Output = ControlReply> + Send + use<> {
        let (sender, receiver) = oneshot::channel();
        self.send(ControlEvent::Request(request, sender));
        async { receiver.await.unwrap_or(ControlReply::Declined) }
    }

    /// Forwards a heartbeat of the back end; the answer is `NotRecorded` when the control thread has ended.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> InstanceAnswer {
        let (sender, receiver) = oneshot::channel();
        self.send(InstanceEvent::Heartbeat(heartbeat, sender));
        receiver.await.unwrap_or(InstanceAnswer::NotRecorded)
    }

    /// Forwards the deregistration of a back-end instance; the answer is `NotRecorded` when the control thread has ended.
    pub async fn instance_departs(&self, instance: InstanceId) -> InstanceAnswer {
        let (sender, receiver) = oneshot::channel();
        self.send(InstanceEvent::Departs(instance, sender));
        receiver.await.unwrap_or(InstanceAnswer::NotRecorded)
    }

    /// Reports that a back-end instance could not be reached.
    pub fn lost_instance(&self, instance: InstanceId, reason: Reason) {
        self.send(InstanceEvent::Lost(instance, reason));
    }

    /// Reports that the back end announced in an answer that it leaves; `None` for an unnamed instance.
    pub fn says_leaving(&self, instance: Option<InstanceId>) {
        self.send(InstanceEvent::SaysLeaving(instance));
    }

    /// Waits until the store has recorded the departure of an instance. Returns false if that failed for long, or when the control
    /// thread has ended.
    pub async fn departure_recorded(&self, instance: InstanceId) -> bool {
        let (sender, receiver) = oneshot::channel();
        self.send(InstanceEvent::AwaitRecord(instance, sender));
        receiver.await.unwrap_or(false)
    }

    /// Reports that the evidence about these requests has changed here.
    pub fn suspects_changed(&self, requests: Vec<RequestDigest>) {
        self.send(SuspectEvent::Changed(requests));
    }

    /// Has the evidence against these requests written to the store: they were running when this daemon's back end crashed, or are
    /// condemned and have a trial run there.
    pub fn remember_evidence(&self, requests: Vec<RequestDigest>) {
        self.send(SuspectEvent::CrashedHere(requests));
    }

    /// Reports that a daemon has connected.
    pub fn daemon_connected(&self, gossip: Address) {
        self.send(MemberEvent::Connected(gossip));
    }

    /// Submits a configuration.
    ///
    /// # Errors
    /// [`SubmitError`]; [`SubmitError::Unknown`] when the control thread ended before it replied.
    pub async fn submit(&self, request: SubmitRequest) -> Result<Generation, SubmitError> {
        let (sender, receiver) = oneshot::channel();
        let id = request.id;
        self.send(OperatorEvent::Submit(request, sender));
        let stopped = SubmitError::Unknown { id: id.0, based_on: None, detail: "the daemon stopped".into() };
        receiver.await.unwrap_or(Err(stopped))
    }

    /// The state of the deployment for operators; `None` when the control thread has ended.
    pub async fn status(&self) -> Option<StatusReport> {
        let (sender, receiver) = oneshot::channel();
        self.send(OperatorEvent::Status(sender));
        receiver.await.ok()
    }

    /// The newest configuration; `None` when there is none or the control thread has ended.
    pub async fn configuration(&self) -> Option<StoredConfiguration> {
        let (sender, receiver) = oneshot::channel();
        self.send(OperatorEvent::GetConfiguration(sender));
        receiver.await.ok().flatten()
    }

    /// Drains a daemon. Returns false when the daemon is unknown or the control thread doesn't answer within 0.4 s.
    pub async fn drain(&self, target: DrainTarget) -> bool {
        let (sender, receiver) = oneshot::channel();
        self.send(OperatorEvent::Drain(target, sender));
        let answer = tokio::time::timeout(STOP_TIMEOUT, receiver).await;
        matches!(answer, Ok(Ok(true)))
    }

    /// Announces to all members that this daemon has left. Waits at most 0.4 s for the announcement.
    pub async fn leave(&self) {
        let (sender, receiver) = oneshot::channel();
        self.send(ControlEvent::Leave(sender));
        // If the control thread has ended or is stuck, the members detect that this daemon no longer responds.
        let _ = tokio::time::timeout(STOP_TIMEOUT, receiver).await;
    }

    fn note_generation(&self, peer: Option<Address>, generation: Generation, source: ReportSource) {
        if self.record_generation(generation, source, clock::now()) {
            self.send(ConfigurationEvent::PeerGeneration { peer, generation });
        }
    }

    /// Records a generation that was reported. Returns true when it is newer than the one in force.
    pub fn record_generation(&self, generation: Generation, source: ReportSource, at: Instant) -> bool {
        let newer = generation.0 > self.generation_in_force.load(Ordering::Relaxed);
        if newer && self.generation_reported.fetch_max(generation.0, Ordering::Relaxed) < generation.0 {
            let mut first = lock(&self.first_report);
            if first.is_none_or(|report| report.generation < generation) {
                *first = Some(GenerationReport { generation, at, source });
            }
        }
        newer
    }

    /// The first report of the newest generation, if it was recent and that generation is not in force here.
    #[must_use]
    pub fn newer_generation(&self, now: Instant) -> Option<GenerationReport> {
        let in_force = self.generation_in_force.load(Ordering::Relaxed);
        if self.generation_reported.load(Ordering::Relaxed) <= in_force {
            return None;
        }
        let report = (*lock(&self.first_report))?;
        (report.generation.0 > in_force && now.since(report.at) < MAX_GENERATION_LAG).then_some(report)
    }

    /// Whether a newer generation than the one in force was reported recently.
    #[must_use]
    pub fn is_behind(&self, now: Instant) -> bool {
        self.newer_generation(now).is_some()
    }

    /// The generation in force.
    #[must_use]
    pub fn generation_in_force(&self) -> Generation {
        Generation(self.generation_in_force.load(Ordering::Relaxed))
    }

    /// Sets the generation in force. Afterwards only reports of higher generations are forwarded.
    pub fn set_generation(&self, generation: Generation) {
        self.generation_in_force.fetch_max(generation.0, Ordering::Relaxed);
    }
}
