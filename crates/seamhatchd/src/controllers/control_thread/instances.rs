//! The back end instance beside this daemon: heartbeats, announced departure, and loss.
//!
//! [`crate::server::instances`] tracks which instance takes work; this file applies the consequences of a change to the gate's
//! slots, the connections to the back end, and the state announced to other daemons.

use super::ControlThread;
use crate::base::clock;
use crate::control::{InstanceAnswer, InstanceEvent};
use crate::server::instances::OpenInstance;
use log::{info, warn};
use seamhatch_core::Instant;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::departure::{DepartureSource, InquiryVerdict};
use seamhatch_core::instance::{
    HEARTBEAT_TIMEOUT, Heartbeat, HeartbeatVerdict, InstanceId, InstanceState, Refutation,
};
use seamhatch_core::outcome::Reason;
use std::time::Duration;
use tokio::sync::oneshot;

/// Divisor of the initial slots of a cold back end.
const COLD_DIVISOR: u32 = 2;
/// Interval between two checks whether an unnamed back end that is leaving has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an unnamed back end that still listens receives calls again. Its answers then report whether it is
/// leaving.
const MAX_EXIT_WAIT: Microseconds = 60 * SECOND;

impl ControlThread {
    pub(super) fn handle_instance(&mut self, event: InstanceEvent) {
        match event {
            InstanceEvent::Heartbeat(heartbeat, reply) => self.heartbeat(heartbeat, reply),
            InstanceEvent::Departs(instance, reply) => self.instance_departs(instance, reply),
            InstanceEvent::SaysLeaving(instance) => self.says_leaving(instance),
            InstanceEvent::AwaitRecord(instance, reply) => self.await_record(instance, reply),
            InstanceEvent::LeftUnnamed => self.left_unnamed(),
            InstanceEvent::Lost(instance, Reason::OtherInstance) => self.refute_instance(&instance),
            InstanceEvent::Lost(instance, reason) => self.lost_instance(&instance, reason.name()),
            InstanceEvent::DepartureWritten { instance, recorded } => {
                self.departure_written(instance, recorded);
            }
            InstanceEvent::DeparturesRead(instances) => {
                self.departures_learned(DepartureSource::Store, &instances);
            }
            InstanceEvent::DeparturesHeld(source, answers) => self.departures_held(source, answers),
            InstanceEvent::DeparturesNotLearned => self.departures_not_learned(),
        }
    }

    /// Applies a heartbeat of the back end. A heartbeat that reports draining is answered after the store has recorded the
    /// departure.
    fn heartbeat(&mut self, heartbeat: Heartbeat, reply: oneshot::Sender<InstanceAnswer>) {
        let instance = self.shared.server.instances.resolve(heartbeat.instance.clone());
        if heartbeat.state == InstanceState::Draining {
            self.apply_heartbeat(heartbeat);
            return self.acknowledge_departure(instance, reply);
        }
        if self.departures.verdict == InquiryVerdict::Settled || self.followed().is_none() {
            self.apply_heartbeat(heartbeat);
        } else {
            self.keep_early_heartbeat(heartbeat);
        }
        // Fails if the back end has disconnected.
        let _ = reply.send(InstanceAnswer::Acknowledged);
    }

    pub(super) fn apply_heartbeat(&mut self, heartbeat: Heartbeat) {
        let (instance, sequence, now) = (heartbeat.instance.name.clone(), heartbeat.sequence, clock::now());
        let before = self.shared.server.instances.current();
        let opened = |instance: &InstanceId| self.shared.server.note_open(instance);
        match self.shared.server.instances.heartbeat(heartbeat, now, opened) {
            HeartbeatVerdict::Opened => {
                info!(instance = instance.as_str(), sequence = sequence; "instance opened");
                self.shared.server.backend.close_idle_connections();
                self.open_instance();
                self.note_replaced(before);
            }
            HeartbeatVerdict::Closed => {
                info!(instance = instance.as_str(), sequence = sequence; "instance closed: it drains");
                self.availability_changed();
            }
            HeartbeatVerdict::Stale => {
                info!(instance = instance.as_str(), sequence = sequence; "stale heartbeat ignored");
            }
            HeartbeatVerdict::Unchanged => self.warm_up(now),
        }
    }

    /// Records a crash of `before` if another instance has replaced it. An instance that was leaving has ended as planned
    /// and is not a crash.
    fn note_replaced(&self, before: Option<InstanceId>) {
        let open = self.shared.server.instances.open().and_then(|open| open.id);
        let replaced = before.filter(|before| Some(before) != open.as_ref());
        let crashed = replaced.filter(|before| !self.shared.server.instances.is_leaving(before));
        if let Some(instance) = crashed {
            self.shared.crash_context().record_replaced_instance(&instance);
        }
    }

    fn open_instance(&mut self) {
        if let Some((slots, warm_at)) = self.shared.server.instances.capacity() {
            let is_cold = warm_at > clock::now();
            let initial = if is_cold { slots.div_ceil(COLD_DIVISOR) } else { slots };
            self.shared.server.gate.set_slots(slots, initial);
            self.membership.state.set_slots(slots);
        }
        self.availability_changed();
    }

    /// Raises the gate to all slots of a back end that is no longer cold.
    fn warm_up(&mut self, now: Instant) {
        if let Some((slots, warm_at)) = self.shared.server.instances.capacity()
            && warm_at <= now
            && self.shared.server.gate.limit() < slots
        {
            self.shared.server.gate.set_slots(slots, slots);
        }
    }

    fn instance_departs(&mut self, instance: InstanceId, reply: oneshot::Sender<InstanceAnswer>) {
        let instance = self.departing_instance(instance);
        if self.shared.server.instances.depart([&instance]) {
            info!(instance = instance.name.as_str(); "instance closed: it announced its departure");
            self.availability_changed();
        }
        self.acknowledge_departure(instance, reply);
    }

    /// Handles an answer in which the back end reported that it is leaving; its instance is already closed.
    fn says_leaving(&mut self, instance: Option<InstanceId>) {
        let name = instance.as_ref().map_or("", |instance| instance.name.as_str());
        info!(instance = name; "instance closed: its answers report that it is leaving");
        self.availability_changed();
        match instance {
            Some(instance) => drop(self.record_departure(instance)),
            None => self.wait_for_unnamed_exit(),
        }
    }

    /// Waits until an unnamed back end has exited, for at most [`MAX_EXIT_WAIT`]. Another back end may follow it; one that
    /// still listens after that receives calls again.
    fn wait_for_unnamed_exit(&self) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let deadline = clock::now().plus(MAX_EXIT_WAIT);
            while clock::now() < deadline && !shared.server.backend.has_exited().await {
                tokio::time::sleep(EXIT_POLL_INTERVAL).await;
            }
            shared.control.send(InstanceEvent::LeftUnnamed);
        });
    }

    fn left_unnamed(&mut self) {
        if self.shared.server.instances.set_leaving(false) {
            info!("the back end that was leaving has ended");
            self.shared.server.backend.close_idle_connections();
            self.availability_changed();
        }
    }

    /// Resolves the instance that announces its departure. If its start time is unknown and it isn't the registered instance,
    /// the departure covers every instance of that name that has started by now: a heartbeat of it may still arrive, and a
    /// later instance may have the same name.
    fn departing_instance(&self, instance: InstanceId) -> InstanceId {
        let instance = self.shared.server.instances.resolve(instance);
        let is_registered = self.shared.server.instances.current().as_ref() == Some(&instance);
        let born = instance.born.or_else(|| (!is_registered).then(clock::unix_milliseconds));
        InstanceId { born, ..instance }
    }

    /// Handles an answer of the back end that names another instance than the registered one.
    fn refute_instance(&mut self, instance: &InstanceId) {
        let opened = |instance: &InstanceId| self.shared.server.note_open(instance);
        let refutation = self.shared.server.instances.refute(instance, clock::now(), opened);
        if refutation == Refutation::Unchanged {
            return;
        }
        warn!(instance = instance.name.as_str(), refutation:? = refutation; "another instance answered");
        self.shared.server.backend.close_idle_connections();
        if refutation == Refutation::Replaced {
            self.open_instance();
        } else {
            self.availability_changed();
        }
    }

    /// Suspends an instance that could not be reached: it receives no new work until its next heartbeat.
    fn lost_instance(&mut self, instance: &InstanceId, why: &str) {
        if self.shared.server.instances.suspend(instance) {
            warn!(instance = instance.name.as_str(), why = why; "instance lost");
            self.shared.server.backend.close_idle_connections();
            self.availability_changed();
        }
    }

    /// Closes an instance that has sent no heartbeat for [`HEARTBEAT_TIMEOUT`].
    pub(super) fn watch_heartbeats(&mut self, now: Instant) {
        let is_silent = self
            .shared
            .server
            .instances
            .last_heartbeat()
            .is_some_and(|heard| now.since(heard) > HEARTBEAT_TIMEOUT);
        if let Some(OpenInstance { id: Some(instance) }) =
            self.shared.server.instances.open().filter(|_| is_silent)
        {
            self.lost_instance(&instance, "no heartbeat");
        }
    }
}
