//! The instances of the back end beside one daemon, as their heartbeats tell.
//!
//! An instance is one life of a back end process. Heartbeats may arrive late and
//! out of order, so the sequence decides within an instance, and an instance
//! that has departed or was superseded never comes back.

use crate::clock::{Instant, Microseconds};
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use std::collections::VecDeque;

/// Departed instances that are remembered, the latest ones.
pub const REMEMBERED_DEPARTURES: usize = 32;

/// Names one life of a back end; chosen by the back end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct InstanceId(pub String);

/// What an instance says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InstanceState {
    /// It takes work.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// One heartbeat of the back end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Heartbeat {
    /// Who speaks.
    pub instance: InstanceId,
    /// Grows with each heartbeat of one instance.
    pub sequence: u64,
    /// What it says of itself.
    pub state: InstanceState,
    /// Calls that it works on at once.
    pub slots: u32,
    /// For how long it stays slow after its start.
    pub cold_for: Microseconds,
}

/// What became of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// It told nothing new.
    Known,
    /// The instance takes work from now on.
    Opened,
    /// The instance takes no new work from now on.
    Closed,
    /// It is older than what is known, or of an instance that has departed.
    Stale,
}

/// The instance that is registered.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Registered {
    /// Its name.
    pub id: InstanceId,
    /// What it said last.
    pub state: InstanceState,
    /// Calls that it works on at once.
    pub slots: u32,
    /// When it is as fast as it gets, in the local clock.
    pub warm_at: Instant,
    /// When its last heartbeat arrived.
    pub heard: Instant,
    sequence: u64,
    suspended: bool,
}

/// Which instance is registered beside the daemon, and which ones never come back.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct InstanceRegistry {
    registered: Option<Registered>,
    departed: VecDeque<InstanceId>,
}

impl InstanceRegistry {
    /// The registered instance, if one is known.
    #[must_use]
    pub fn registered(&self) -> Option<&Registered> {
        self.registered.as_ref()
    }

    /// The registered instance, if it takes work.
    #[must_use]
    pub fn open(&self) -> Option<&Registered> {
        self.registered.as_ref().filter(|known| known.state == InstanceState::Ready && !known.suspended)
    }

    /// Gives the open instance no work until its next heartbeat, as it can't be reached. True when
    /// that closes it.
    pub fn suspend(&mut self, instance: &InstanceId) -> bool {
        let Some(known) = self.registered.as_mut().filter(|known| known.id == *instance) else {
            return false;
        };
        !std::mem::replace(&mut known.suspended, true) && known.state == InstanceState::Ready
    }

    /// Instances that never come back, the latest last.
    pub fn departed(&self) -> impl Iterator<Item = &InstanceId> {
        self.departed.iter()
    }

    /// Whether an instance has departed or was superseded.
    #[must_use]
    pub fn has_departed(&self, instance: &InstanceId) -> bool {
        self.departed.contains(instance)
    }

    /// Takes in a heartbeat that arrived at `now`.
    pub fn heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) -> HeartbeatVerdict {
        if self.has_departed(&heartbeat.instance) {
            return HeartbeatVerdict::Stale;
        }
        if let Some(known) = &mut self.registered
            && known.id == heartbeat.instance
        {
            return known.take(&heartbeat, now);
        }
        if let Some(earlier) = self.registered.take() {
            self.remember_departure(earlier.id);
        }
        let state = heartbeat.state;
        self.registered = Some(Registered {
            id: heartbeat.instance,
            state,
            slots: heartbeat.slots,
            warm_at: now.plus(heartbeat.cold_for),
            heard: now,
            sequence: heartbeat.sequence,
            suspended: false,
        });
        match state {
            InstanceState::Ready => HeartbeatVerdict::Opened,
            InstanceState::Draining => HeartbeatVerdict::Closed,
        }
    }

    /// Takes in that an instance has departed, by its own word or by what others remember.
    /// True when that closes the registered one.
    pub fn depart(&mut self, instance: &InstanceId) -> bool {
        self.remember_departure(instance.clone());
        let registered = self.registered.as_ref().is_some_and(|known| known.id == *instance);
        if registered {
            self.registered = None;
        }
        registered
    }

    fn remember_departure(&mut self, instance: InstanceId) {
        if self.has_departed(&instance) {
            return;
        }
        if self.departed.len() == REMEMBERED_DEPARTURES {
            self.departed.pop_front();
        }
        self.departed.push_back(instance);
    }
}

impl Registered {
    fn take(&mut self, heartbeat: &Heartbeat, now: Instant) -> HeartbeatVerdict {
        if heartbeat.sequence <= self.sequence {
            return HeartbeatVerdict::Stale;
        }
        self.sequence = heartbeat.sequence;
        self.heard = now;
        self.slots = heartbeat.slots;
        self.warm_at = now.plus(heartbeat.cold_for);
        let suspended = std::mem::take(&mut self.suspended);
        match (self.state, heartbeat.state) {
            // An instance that drains never takes work again.
            (InstanceState::Draining, _) => HeartbeatVerdict::Known,
            (InstanceState::Ready, InstanceState::Ready) if suspended => HeartbeatVerdict::Opened,
            (InstanceState::Ready, InstanceState::Ready) => HeartbeatVerdict::Known,
            (InstanceState::Ready, InstanceState::Draining) => {
                self.state = InstanceState::Draining;
                HeartbeatVerdict::Closed
            }
        }
    }
}
