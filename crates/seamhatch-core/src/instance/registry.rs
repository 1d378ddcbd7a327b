//! The registered instance, the instances that it superseded, and those that have departed.

use super::{Heartbeat, HeartbeatVerdict, InstanceId, InstanceState, RegisteredInstance};
use crate::clock::{Instant, Microseconds, SECOND};
use std::collections::VecDeque;

/// Number of departed instances that are remembered; the oldest are forgotten.
pub const REMEMBERED_DEPARTURES: usize = 32;

/// An instance that has sent no heartbeat for this long counts as gone until its next one: several heartbeats were
/// lost or are late.
pub const HEARTBEAT_TIMEOUT: Microseconds = 6 * SECOND;

/// Number of superseded instances that may still come back; the oldest are forgotten. Each crash leaves one, whose
/// late heartbeats arrive within seconds.
const REMEMBERED_SUPERSEDED: usize = 4;

/// Newer heartbeats of a superseded instance that refute a confirmed supersession, with none of the superseding
/// instance in between. A single one may be late.
const HEARTBEATS_TO_REFUTE: u32 = 2;

/// Effect of an answer by which the back end turned out to be another instance than the one that was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refutation {
    /// The called instance took no calls before.
    Unchanged,
    /// No instance takes calls from now on.
    Closed,
    /// The instance that the called one had superseded takes calls again.
    Replaced,
}

/// An instance that another one has superseded.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Superseded {
    instance: RegisteredInstance,
    /// Newer heartbeats of this instance since the last one of the superseding instance.
    newer_heartbeats: u32,
}

/// Instances of the back end beside the daemon: the registered one, and those that never come back.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct InstanceRegistry {
    registered: Option<RegisteredInstance>,
    /// Oldest first.
    superseded: VecDeque<Superseded>,
    departed: VecDeque<InstanceId>,
}

impl InstanceRegistry {
    /// The registered instance, if one is known.
    #[must_use]
    pub fn registered(&self) -> Option<&RegisteredInstance> {
        self.registered.as_ref()
    }

    /// The registered instance, if it takes calls.
    #[must_use]
    pub fn open(&self) -> Option<&RegisteredInstance> {
        self.registered.as_ref().filter(|known| known.state == InstanceState::Ready && !known.suspended)
    }

    /// Instances that never come back, oldest first.
    pub fn departed(&self) -> impl Iterator<Item = &InstanceId> {
        self.departed.iter()
    }

    /// Whether this instance, or a later one of the same name, has departed.
    #[must_use]
    pub fn has_departed(&self, instance: &InstanceId) -> bool {
        self.departed.iter().any(|departed| departed.is_same_or_later_than(instance))
    }

    /// Whether this instance has reported that it leaves.
    #[must_use]
    pub fn is_leaving(&self, instance: &InstanceId) -> bool {
        let drains =
            |known: &RegisteredInstance| known.id == *instance && known.state == InstanceState::Draining;
        self.has_departed(instance) || self.registered.as_ref().is_some_and(drains)
    }

    /// If only a name is given and the registered instance has it, returns the identity of that instance, with its
    /// start time.
    #[must_use]
    pub fn resolve(&self, instance: InstanceId) -> InstanceId {
        match &self.registered {
            Some(known) if instance.born.is_none() && known.id.name == instance.name => known.id.clone(),
            _ => instance,
        }
    }

    /// Records a heartbeat that arrived at `now`.
    pub fn heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) -> HeartbeatVerdict {
        let heartbeat = Heartbeat { instance: self.resolve(heartbeat.instance), ..heartbeat };
        if self.has_departed(&heartbeat.instance) || self.has_successor(&heartbeat.instance) {
            return HeartbeatVerdict::Stale;
        }
        if let Some(known) = &mut self.registered
            && known.id == heartbeat.instance
        {
            let verdict = known.update(&heartbeat, now);
            if verdict != HeartbeatVerdict::Stale {
                self.superseded.iter_mut().for_each(|earlier| earlier.newer_heartbeats = 0);
            }
            return verdict;
        }
        let is_same = |earlier: &Superseded| earlier.instance.id == heartbeat.instance;
        let superseded = self.superseded.iter().position(is_same);
        match (heartbeat.state, superseded) {
            (InstanceState::Draining, _) if superseded.is_some() || self.registered.is_some() => {
                // The instance leaves, which says nothing about the registered one.
                self.depart(&heartbeat.instance);
                HeartbeatVerdict::Unchanged
            }
            (InstanceState::Ready, Some(position)) => self.update_superseded(position, &heartbeat, now),
            _ => self.register(heartbeat, now),
        }
    }

    /// Stops calls to the open instance until its next heartbeat, as it can't be reached. Returns whether that closed
    /// it.
    pub fn suspend(&mut self, instance: &InstanceId) -> bool {
        let Some(known) = self.registered.as_mut().filter(|known| known.id == *instance) else {
            return false;
        };
        !std::mem::replace(&mut known.suspended, true) && known.state == InstanceState::Ready
    }

    /// Records that the back end answered a call for `instance` as another one. `instance` gets no calls until its
    /// next heartbeat; the latest instance that was superseded and heard recently is restored.
    pub fn refute(&mut self, instance: &InstanceId, now: Instant) -> Refutation {
        if !self.suspend(instance) {
            return Refutation::Unchanged;
        }
        let may_live = |earlier: &Superseded| {
            !earlier.instance.suspended && now.since(earlier.instance.last_heartbeat) <= HEARTBEAT_TIMEOUT
        };
        let Some(position) = self.superseded.iter().rposition(may_live) else {
            return Refutation::Closed;
        };
        self.restore(position, true);
        Refutation::Replaced
    }

    /// Records that an instance has departed, by its own report or by a record elsewhere. Returns whether that closed
    /// the registered one.
    pub fn depart(&mut self, instance: &InstanceId) -> bool {
        self.remember_departure(instance.clone());
        self.superseded.retain(|earlier| !instance.is_same_or_later_than(&earlier.instance.id));
        let registered =
            self.registered.as_ref().is_some_and(|known| instance.is_same_or_later_than(&known.id));
        if registered {
            self.registered = None;
        }
        registered
    }

    /// Whether a later instance of the same name has sent a heartbeat.
    fn has_successor(&self, instance: &InstanceId) -> bool {
        let registered = self.registered.iter();
        let mut known = registered.chain(self.superseded.iter().map(|earlier| &earlier.instance));
        known.any(|known| known.id.is_later_than(instance))
    }

    fn register(&mut self, heartbeat: Heartbeat, now: Instant) -> HeartbeatVerdict {
        let follows_known =
            self.registered.as_ref().is_some_and(|known| heartbeat.instance.is_later_than(&known.id));
        self.supersede_registered();
        // Earlier instances of this name have ended, whatever they reported last.
        self.superseded.retain(|earlier| !heartbeat.instance.is_later_than(&earlier.instance.id));
        let state = heartbeat.state;
        self.registered = Some(RegisteredInstance::new(heartbeat, follows_known, now));
        match state {
            InstanceState::Ready => HeartbeatVerdict::Opened,
            InstanceState::Draining => HeartbeatVerdict::Closed,
        }
    }

    fn update_superseded(
        &mut self,
        position: usize,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> HeartbeatVerdict {
        let earlier = &mut self.superseded[position];
        if earlier.instance.update(heartbeat, now) == HeartbeatVerdict::Stale {
            return HeartbeatVerdict::Stale;
        }
        earlier.newer_heartbeats += 1;
        let registered = self.registered.as_ref();
        let unconfirmed = registered.is_some_and(|known| !known.confirmed);
        let lost = registered.is_some_and(|known| known.suspended);
        let refuted = unconfirmed || lost || earlier.newer_heartbeats >= HEARTBEATS_TO_REFUTE;
        if !refuted {
            return HeartbeatVerdict::Stale;
        }
        self.restore(position, unconfirmed);
        HeartbeatVerdict::Opened
    }

    /// Registers a superseded instance again. `confirmed` says that more than its own heartbeats show that it runs.
    fn restore(&mut self, position: usize, confirmed: bool) {
        let Some(Superseded { mut instance, .. }) = self.superseded.remove(position) else { return };
        self.supersede_registered();
        instance.confirmed = confirmed;
        self.registered = Some(instance);
    }

    fn supersede_registered(&mut self) {
        let Some(instance) = self.registered.take() else { return };
        if instance.state == InstanceState::Draining {
            return self.remember_departure(instance.id);
        }
        if self.superseded.len() == REMEMBERED_SUPERSEDED {
            // The forgotten instance has not reported that it leaves. If it still runs, its next heartbeat registers
            // it as a new one.
            self.superseded.pop_front();
        }
        self.superseded.push_back(Superseded { instance, newer_heartbeats: 0 });
    }

    fn remember_departure(&mut self, instance: InstanceId) {
        if self.departed.contains(&instance) {
            return;
        }
        if self.departed.len() == REMEMBERED_DEPARTURES {
            self.departed.pop_front();
        }
        self.departed.push_back(instance);
    }
}
