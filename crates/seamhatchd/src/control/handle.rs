//! How other threads reach the control thread.

use super::{
    ConfigurationEvent, ControlEvent, DrainTarget, InstanceAnswer, InstanceEvent, MemberEvent, OperatorEvent,
    RosterEvent, StatusReport, SubmitError, SubmitRequest, SuspectEvent,
};
use crate::base::clock;
use seamhatch_core::Instant;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::{Address, RequestDigest};
use seamhatch_core::instance::{Heartbeat, InstanceId};
use seamhatch_core::outcome::Reason;
use seamhatch_policy::StoredConfiguration;
use seamhatch_wire::{ControlReply, ControlRequest};
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Longest wait for the control thread when a drain begins or the process ends.
const STOP_TIMEOUT: Duration = Duration::from_millis(400);

/// A generation that nobody has is not waited for longer. Whoever tells one has it, and gives it within a second.
const LONGEST_BEHIND: Microseconds = 10 * SECOND;

/// Sends events to the control thread; cheap to clone.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    events: mpsc::UnboundedSender<ControlEvent>,
    generation_in_force: Arc<AtomicU64>,
    /// The newest that any daemon has told.
    generation_told: Arc<AtomicU64>,
    /// When it was first told, in microseconds of the boot clock.
    told_at: Arc<AtomicU64>,
}

impl ControlHandle {
    /// A handle and the events it sends.
    #[must_use]
    pub fn new() -> (Self, mpsc::UnboundedReceiver<ControlEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let (generation_in_force, generation_told, told_at) = Default::default();
        (Self { events, generation_in_force, generation_told, told_at }, receiver)
    }

    /// Puts an event in; lost when the control thread has ended, as at a stop.
    pub fn send(&self, event: impl Into<ControlEvent>) {
        let _ = self.events.send(event.into());
    }

    /// A daemon told its generation. Cheap unless it is news.
    pub fn note_peer_generation(&self, peer: Address, generation: Generation) {
        self.note_generation(Some(peer), generation);
    }

    /// A call told its sender's generation.
    pub fn note_call_generation(&self, generation: Generation) {
        self.note_generation(None, generation);
    }

    /// A claim found no majority.
    pub fn check_roster(&self) {
        self.send(RosterEvent::Check);
    }

    /// Asks as another daemon's controller; declined when the thread has ended.
    pub fn ask(&self, request: ControlRequest) -> impl Future<Output = ControlReply> + Send + use<> {
        let (sender, receiver) = oneshot::channel();
        self.send(ControlEvent::Request(request, sender));
        async { receiver.await.unwrap_or(ControlReply::Declined) }
    }

    /// Takes in a heartbeat of the back end.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> InstanceAnswer {
        let (sender, receiver) = oneshot::channel();
        self.send(InstanceEvent::Heartbeat(heartbeat, sender));
        receiver.await.unwrap_or(InstanceAnswer::NotRemembered)
    }

    /// Takes in that an instance of the back end says goodbye.
    pub async fn instance_departs(&self, instance: InstanceId) -> InstanceAnswer {
        let (sender, receiver) = oneshot::channel();
        self.send(InstanceEvent::Departs(instance, sender));
        receiver.await.unwrap_or(InstanceAnswer::NotRemembered)
    }

    /// An instance of the back end could not be reached.
    pub fn lost_instance(&self, instance: InstanceId, reason: Reason) {
        self.send(InstanceEvent::Lost(instance, reason));
    }

    /// What is known of these suspects has changed here.
    pub fn tell_suspects(&self, requests: Vec<RequestDigest>) {
        self.send(SuspectEvent::Changed(requests));
    }

    /// A crash of this daemon's back end condemned these requests.
    pub fn remember_condemned(&self, requests: Vec<RequestDigest>) {
        self.send(SuspectEvent::Condemned(requests));
    }

    /// A daemon has connected.
    pub fn met(&self, gossip: Address) {
        self.send(MemberEvent::Connected(gossip));
    }

    /// Submits a configuration.
    ///
    /// # Errors
    /// [`SubmitError`].
    pub async fn submit(&self, request: SubmitRequest) -> Result<Generation, SubmitError> {
        let (sender, receiver) = oneshot::channel();
        let id = request.id;
        self.send(OperatorEvent::Submit(request, sender));
        let stopped = SubmitError::Unknown { id: id.0, based_on: None, detail: "the daemon stopped".into() };
        receiver.await.unwrap_or(Err(stopped))
    }

    /// The state as operators see it.
    pub async fn status(&self) -> Option<StatusReport> {
        let (sender, receiver) = oneshot::channel();
        self.send(OperatorEvent::Status(sender));
        receiver.await.ok()
    }

    /// The configuration in force.
    pub async fn stored(&self) -> Option<StoredConfiguration> {
        let (sender, receiver) = oneshot::channel();
        self.send(OperatorEvent::GetConfiguration(sender));
        receiver.await.ok().flatten()
    }

    /// Drains a daemon; false when it isn't known.
    pub async fn drain(&self, target: DrainTarget) -> bool {
        let (sender, receiver) = oneshot::channel();
        self.send(OperatorEvent::Drain(target, sender));
        let answer = tokio::time::timeout(STOP_TIMEOUT, receiver).await;
        matches!(answer, Ok(Ok(true)))
    }

    /// Tells everyone that this daemon has left; waits for that no longer than 0.4 s.
    pub async fn leave(&self) {
        let (sender, receiver) = oneshot::channel();
        self.send(ControlEvent::Leave(sender));
        // When the control thread has ended or is held up, nobody can be told.
        let _ = tokio::time::timeout(STOP_TIMEOUT, receiver).await;
    }

    fn note_generation(&self, peer: Option<Address>, generation: Generation) {
        if self.note_told(generation, clock::now()) {
            self.send(ConfigurationEvent::PeerGeneration { peer, generation });
        }
    }

    /// Notes a generation that a daemon told. True when it is newer than the one in force.
    pub fn note_told(&self, generation: Generation, now: Instant) -> bool {
        let newer = generation.0 > self.generation_in_force.load(Ordering::Relaxed);
        if newer && self.generation_told.fetch_max(generation.0, Ordering::Relaxed) < generation.0 {
            self.told_at.store(now.0, Ordering::Relaxed);
        }
        newer
    }

    /// Whether a daemon has lately told a newer generation than the one in force.
    #[must_use]
    pub fn is_behind(&self, now: Instant) -> bool {
        let told = self.generation_told.load(Ordering::Relaxed);
        let told_at = Instant(self.told_at.load(Ordering::Relaxed));
        told > self.generation_in_force.load(Ordering::Relaxed) && now.since(told_at) < LONGEST_BEHIND
    }

    /// Sets the generation in force; only higher ones are passed on from here on.
    pub fn set_generation(&self, generation: Generation) {
        self.generation_in_force.fetch_max(generation.0, Ordering::Relaxed);
    }
}
