//! The registered instance, those that it superseded, and those that have departed.

use super::{Heartbeat, HeartbeatVerdict, InstanceId, InstanceState, Registered};
use crate::clock::{Instant, Microseconds, SECOND};
use std::collections::VecDeque;

/// Departed instances that are remembered, the latest ones. Chosen, not measured.
pub const REMEMBERED_DEPARTURES: usize = 32;

/// An instance that was silent for this long is taken to be gone until it is heard again: several heartbeats were lost or
/// are late. Chosen, not measured.
pub const HEARTBEAT_TIMEOUT: Microseconds = 6 * SECOND;

/// Superseded instances that may still come back, the latest ones. Chosen, not measured: each crash leaves one, and its
/// late heartbeats arrive within seconds.
const REMEMBERED_SUPERSEDED: usize = 4;

/// Newer heartbeats of a superseded instance that refute a confirmed supersession, with none of the superseding instance in
/// between. Chosen, not measured: a single one may be late.
const HEARTBEATS_TO_REFUTE: u32 = 2;

/// What became of an instance as which the back end did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refutation {
    /// It took no calls before.
    Unchanged,
    /// No instance takes calls from now on.
    Closed,
    /// The instance that it had superseded takes calls again.
    Replaced,
}

/// An instance that another one has superseded.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Superseded {
    instance: Registered,
    /// Its newer heartbeats since the superseding instance was heard last.
    newer_heartbeats: u32,
}

/// Which instance is registered beside the daemon, and which ones never come back.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct InstanceRegistry {
    registered: Option<Registered>,
    /// The latest last.
    superseded: VecDeque<Superseded>,
    departed: VecDeque<InstanceId>,
}

impl InstanceRegistry {
    /// The registered instance, if one is known.
    #[must_use]
    pub fn registered(&self) -> Option<&Registered> {
        self.registered.as_ref()
    }

    /// The registered instance, if it takes calls.
    #[must_use]
    pub fn open(&self) -> Option<&Registered> {
        self.registered.as_ref().filter(|known| known.state == InstanceState::Ready && !known.suspended)
    }

    /// Instances that never come back, the latest last.
    pub fn departed(&self) -> impl Iterator<Item = &InstanceId> {
        self.departed.iter()
    }

    /// Whether an instance has departed, or a later one under its name.
    #[must_use]
    pub fn has_departed(&self, instance: &InstanceId) -> bool {
        self.departed.iter().any(|departed| departed.covers(instance))
    }

    /// Whether an instance has reported that it leaves.
    #[must_use]
    pub fn is_leaving(&self, instance: &InstanceId) -> bool {
        let drains = |known: &Registered| known.id == *instance && known.state == InstanceState::Draining;
        self.has_departed(instance) || self.registered.as_ref().is_some_and(drains)
    }

    /// The instance that is meant where only its name is known: the registered one, if it has that name.
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
        if self.has_departed(&heartbeat.instance) || self.is_outlived(&heartbeat.instance) {
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
                // It leaves; that says nothing about the registered one.
                self.depart(&heartbeat.instance);
                HeartbeatVerdict::Unchanged
            }
            (InstanceState::Ready, Some(position)) => self.hear_superseded(position, &heartbeat, now),
            _ => self.register(heartbeat, now),
        }
    }

    /// Gives the open instance no calls until its next heartbeat, as it can't be reached. True when that closes it.
    pub fn suspend(&mut self, instance: &InstanceId) -> bool {
        let Some(known) = self.registered.as_mut().filter(|known| known.id == *instance) else {
            return false;
        };
        !std::mem::replace(&mut known.suspended, true) && known.state == InstanceState::Ready
    }

    /// The back end answered a call for `instance` as another one: that takes no calls until its next heartbeat, and the
    /// instance that it had superseded, if that was heard recently, is taken to be there.
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

    /// Records that an instance has departed, by its own word or by what others remember. True when that closes the
    /// registered one.
    pub fn depart(&mut self, instance: &InstanceId) -> bool {
        self.remember_departure(instance.clone());
        self.superseded.retain(|earlier| !instance.covers(&earlier.instance.id));
        let registered = self.registered.as_ref().is_some_and(|known| instance.covers(&known.id));
        if registered {
            self.registered = None;
        }
        registered
    }

    /// Whether a later instance under its name has been heard.
    fn is_outlived(&self, instance: &InstanceId) -> bool {
        let registered = self.registered.iter();
        let mut known = registered.chain(self.superseded.iter().map(|earlier| &earlier.instance));
        known.any(|known| known.id.follows(instance))
    }

    fn register(&mut self, heartbeat: Heartbeat, now: Instant) -> HeartbeatVerdict {
        let follows_known =
            self.registered.as_ref().is_some_and(|known| heartbeat.instance.follows(&known.id));
        self.supersede_registered();
        // An earlier instance under this name has ended, whatever it reported last.
        self.superseded.retain(|earlier| !heartbeat.instance.follows(&earlier.instance.id));
        let state = heartbeat.state;
        self.registered = Some(Registered::new(heartbeat, follows_known, now));
        match state {
            InstanceState::Ready => HeartbeatVerdict::Opened,
            InstanceState::Draining => HeartbeatVerdict::Closed,
        }
    }

    fn hear_superseded(&mut self, position: usize, heartbeat: &Heartbeat, now: Instant) -> HeartbeatVerdict {
        let earlier = &mut self.superseded[position];
        if earlier.instance.update(heartbeat, now) == HeartbeatVerdict::Stale {
            return HeartbeatVerdict::Stale;
        }
        earlier.newer_heartbeats += 1;
        let registered = self.registered.as_ref();
        let doubtful = registered.is_some_and(|known| !known.confirmed);
        let lost = registered.is_some_and(|known| known.suspended);
        let refuted = doubtful || lost || earlier.newer_heartbeats >= HEARTBEATS_TO_REFUTE;
        if !refuted {
            return HeartbeatVerdict::Stale;
        }
        self.restore(position, doubtful);
        HeartbeatVerdict::Opened
    }

    /// Registers a superseded instance again; `confirmed` where more than its own heartbeats show that it is there.
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
            // It has not reported that it leaves: should it live, its next heartbeat is that of a new one.
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
