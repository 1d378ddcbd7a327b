//! The handle through which other threads reach the control thread.
//!
//! Events go through an unbounded queue, in order. The handle also owns the newest generation that any daemon has reported, so that the
//! request path sees without waiting whether this daemon's configuration may be out of date.

use super::{
    ConfigurationEvent, ControlEvent, DrainTarget, InstanceAnswer, InstanceEvent, MemberEvent, OperatorEvent,
    Retirement, RosterEvent, StatusReport, SubmitError, SubmitRequest, SuspectEvent,
};
use crate::base::clock;
use seamhatch_core::Instant;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::{Address, RequestDigest};
use seamhatch_core::instance::{Heartbeat, InstanceId};
use seamhatch_core::outcome::Reason;
use seamhatch_core::roster::WitnessDuty;
use seamhatch_policy::StoredConfiguration;
use seamhatch_wire::{ControlReply, ControlRequest};
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Longest wait for the control thread when a drain begins or the process ends: the process must end also where that thread is stuck.
const STOP_TIMEOUT: Duration = Duration::from_millis(400);

/// A reported generation counts as missing here for this long, in microseconds: the daemon that reports one has it and hands it over
/// within a second, so one that is missing for longer exists nowhere.
const LONGEST_BEHIND: Microseconds = 10 * SECOND;

/// Sends events to the control thread; cheap to clone.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    events: mpsc::UnboundedSender<ControlEvent>,
    generation_in_force: Arc<AtomicU64>,
    /// The newest generation that any daemon has reported.
    generation_reported: Arc<AtomicU64>,
    /// When it was first reported, in microseconds of the boot clock.
    reported_at: Arc<AtomicU64>,
}

impl ControlHandle {
    /// A handle, and the receiving end of its queue.
    #[must_use]
    pub fn new() -> (Self, mpsc::UnboundedReceiver<ControlEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let handle = Self {
            events,
            generation_in_force: Arc::default(),
            generation_reported: Arc::default(),
            reported_at: Arc::default(),
        };
        (handle, receiver)
    }

    /// Puts an event into the queue.
    pub fn send(&self, event: impl Into<ControlEvent>) {
        // Lost when the control thread has ended, which only the end of the process does.
        let _ = self.events.send(event.into());
    }

    /// A daemon reported its generation. Cheap unless that is newer than the one in force.
    pub fn note_peer_generation(&self, peer: Address, generation: Generation) {
        self.note_generation(Some(peer), generation);
    }

    /// A call carried the generation of the daemon that sent it.
    pub fn note_call_generation(&self, generation: Generation) {
        self.note_generation(None, generation);
    }

    /// A claim or a configuration found no majority of witnesses; `ahead` is a daemon that knows a later epoch.
    pub fn check_roster(&self, ahead: Option<Address>) {
        self.send(RosterEvent::Check(ahead));
    }

    /// What this daemon still owes the others as a witness; none when the control thread doesn't answer within 0.4 s.
    pub async fn witness_duty(&self) -> Option<WitnessDuty> {
        let (sender, receiver) = oneshot::channel();
        self.send(RosterEvent::Duty(sender));
        tokio::time::timeout(STOP_TIMEOUT, receiver).await.ok()?.ok()
    }

    /// Retires this daemon as a witness if the store is out, or others have taken over its shards; none otherwise, and when the control thread doesn't
    /// answer within 0.4 s.
    pub async fn retire(&self) -> Option<Retirement> {
        let (sender, receiver) = oneshot::channel();
        self.send(RosterEvent::Retire(sender));
        tokio::time::timeout(STOP_TIMEOUT, receiver).await.ok()?.ok()?
    }

    /// Asks on behalf of another daemon's controller; declined when the control thread has ended.
    pub fn ask(&self, request: ControlRequest) -> impl Future<Output = ControlReply> + Send + use<> {
        let (sender, receiver) = oneshot::channel();
        self.send(ControlEvent::Request(request, sender));
        async { receiver.await.unwrap_or(ControlReply::Declined) }
    }

    /// Passes on a heartbeat of the back end; not remembered when the control thread has ended.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> InstanceAnswer {
        let (sender, receiver) = oneshot::channel();
        self.send(InstanceEvent::Heartbeat(heartbeat, sender));
        receiver.await.unwrap_or(InstanceAnswer::NotRemembered)
    }

    /// Passes on that an instance of the back end says goodbye; not remembered when the control thread has ended.
    pub async fn instance_departs(&self, instance: InstanceId) -> InstanceAnswer {
        let (sender, receiver) = oneshot::channel();
        self.send(InstanceEvent::Departs(instance, sender));
        receiver.await.unwrap_or(InstanceAnswer::NotRemembered)
    }

    /// An instance of the back end could not be reached.
    pub fn lost_instance(&self, instance: InstanceId, reason: Reason) {
        self.send(InstanceEvent::Lost(instance, reason));
    }

    /// The back end has said in an answer that it leaves; none for one without a name.
    pub fn says_leaving(&self, instance: Option<InstanceId>) {
        self.send(InstanceEvent::SaysLeaving(instance));
    }

    /// The evidence about these suspects has changed here.
    pub fn suspects_changed(&self, requests: Vec<RequestDigest>) {
        self.send(SuspectEvent::Changed(requests));
    }

    /// These requests ran in a crash of this daemon's back end, or are condemned and have a trial run there.
    pub fn remember_evidence(&self, requests: Vec<RequestDigest>) {
        self.send(SuspectEvent::CrashedHere(requests));
    }

    /// A daemon has connected.
    pub fn daemon_connected(&self, gossip: Address) {
        self.send(MemberEvent::Connected(gossip));
    }

    /// Submits a configuration.
    ///
    /// # Errors
    /// [`SubmitError`]; [`SubmitError::Unknown`] when the control thread has ended meanwhile.
    pub async fn submit(&self, request: SubmitRequest) -> Result<Generation, SubmitError> {
        let (sender, receiver) = oneshot::channel();
        let id = request.id;
        self.send(OperatorEvent::Submit(request, sender));
        let stopped = SubmitError::Unknown { id: id.0, based_on: None, detail: "the daemon stopped".into() };
        receiver.await.unwrap_or(Err(stopped))
    }

    /// The state of the deployment for operators; none when the control thread has ended.
    pub async fn status(&self) -> Option<StatusReport> {
        let (sender, receiver) = oneshot::channel();
        self.send(OperatorEvent::Status(sender));
        receiver.await.ok()
    }

    /// The newest configuration; none where there is none, or the control thread has ended.
    pub async fn configuration(&self) -> Option<StoredConfiguration> {
        let (sender, receiver) = oneshot::channel();
        self.send(OperatorEvent::GetConfiguration(sender));
        receiver.await.ok().flatten()
    }

    /// Drains a daemon. False when it isn't known, or the control thread has not answered within 0.4 s.
    pub async fn drain(&self, target: DrainTarget) -> bool {
        let (sender, receiver) = oneshot::channel();
        self.send(OperatorEvent::Drain(target, sender));
        let answer = tokio::time::timeout(STOP_TIMEOUT, receiver).await;
        matches!(answer, Ok(Ok(true)))
    }

    /// Announces to all members that this daemon has left; waits for that no longer than 0.4 s.
    pub async fn leave(&self) {
        let (sender, receiver) = oneshot::channel();
        self.send(ControlEvent::Leave(sender));
        // Where the control thread has ended or is stuck, the members find out by its silence.
        let _ = tokio::time::timeout(STOP_TIMEOUT, receiver).await;
    }

    fn note_generation(&self, peer: Option<Address>, generation: Generation) {
        if self.record_generation(generation, clock::now()) {
            self.send(ConfigurationEvent::PeerGeneration { peer, generation });
        }
    }

    /// Records a generation that a daemon reported. True when it is newer than the one in force.
    pub fn record_generation(&self, generation: Generation, now: Instant) -> bool {
        let newer = generation.0 > self.generation_in_force.load(Ordering::Relaxed);
        if newer && self.generation_reported.fetch_max(generation.0, Ordering::Relaxed) < generation.0 {
            self.reported_at.store(now.0, Ordering::Relaxed);
        }
        newer
    }

    /// Whether a daemon has recently reported a newer generation than the one in force.
    #[must_use]
    pub fn is_behind(&self, now: Instant) -> bool {
        let reported = self.generation_reported.load(Ordering::Relaxed);
        let reported_at = Instant(self.reported_at.load(Ordering::Relaxed));
        reported > self.generation_in_force.load(Ordering::Relaxed) && now.since(reported_at) < LONGEST_BEHIND
    }

    /// The generation in force.
    #[must_use]
    pub fn generation_in_force(&self) -> Generation {
        Generation(self.generation_in_force.load(Ordering::Relaxed))
    }

    /// Sets the generation in force; from now on only higher ones are passed on.
    pub fn set_generation(&self, generation: Generation) {
        self.generation_in_force.fetch_max(generation.0, Ordering::Relaxed);
    }
}
