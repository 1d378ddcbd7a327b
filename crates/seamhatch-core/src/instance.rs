//! The instances of the back end beside one daemon, as their heartbeats tell.
//!
//! An instance is one life of a back end process. Heartbeats may arrive late and
//! out of order, so the sequence decides within an instance, and an instance
//! that has departed by its own word never comes back. A back end may start again under
//! the name that it had; then the moment of its start tells its lives apart, and the latest one counts.
//!
//! An instance that is heard for the first time supersedes the registered one. That is a guess: a
//! heartbeat of a crashed instance may come after its successor has registered. It is refuted by
//! further heartbeats of the superseded instance, or by a back end that answers as another instance.

use crate::clock::{Instant, Microseconds, SECOND};
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use std::collections::VecDeque;

/// Departed instances that are remembered, the latest ones.
pub const REMEMBERED_DEPARTURES: usize = 32;

/// An instance that was silent for this long is taken to be gone until it is heard again: several
/// heartbeats were lost or are late.
pub const HEARTBEAT_SILENCE: Microseconds = 6 * SECOND;

/// Superseded instances that may still come back, the latest ones. Each crash leaves one, and its
/// late heartbeats come within seconds.
const REMEMBERED_SUPERSEDED: usize = 4;

/// Sequence up to which a heartbeat can be the first of a new life.
const FIRST_SEQUENCE: u64 = 1;

/// Newer heartbeats of a superseded instance that refute a supersession for which something speaks,
/// with none of the superseding instance in between. A single one may be late.
const HEARTBEATS_TO_REFUTE: u32 = 2;

/// Names one life of a back end; chosen by the back end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
#[serde(from = "WrittenId", into = "WrittenId")]
pub struct InstanceId {
    /// Its name. A later life may have the same.
    pub name: String,
    /// When it started, in milliseconds since the Unix epoch by its own clock; none where it doesn't tell, so that
    /// each life has a name of its own.
    pub born: Option<u64>,
}

/// An [`InstanceId`] as it lies in the store: the name alone where nothing else is known.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum WrittenId {
    Name(String),
    Life { name: String, born: u64 },
}

impl From<WrittenId> for InstanceId {
    fn from(written: WrittenId) -> Self {
        match written {
            WrittenId::Name(name) => Self { name, born: None },
            WrittenId::Life { name, born } => Self { name, born: Some(born) },
        }
    }
}

impl From<InstanceId> for WrittenId {
    fn from(InstanceId { name, born }: InstanceId) -> Self {
        match born {
            None => Self::Name(name),
            Some(born) => Self::Life { name, born },
        }
    }
}

impl InstanceId {
    /// A life of which only the name is told.
    #[must_use]
    pub fn named(name: impl Into<String>) -> Self {
        Self { name: name.into(), born: None }
    }

    /// Whether `other` is this life or an earlier one under the same name, as far as is told.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        let not_later = match (self.born, other.born) {
            (Some(own), Some(others)) => others <= own,
            _ => true,
        };
        self.name == other.name && not_later
    }

    /// Whether `other` is an earlier life under the same name.
    fn follows(&self, other: &Self) -> bool {
        self.name == other.name && self.born.zip(other.born).is_some_and(|(own, others)| others < own)
    }
}

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
    /// It is older than what is known, of an instance that has departed, or not enough to bring back
    /// one that was superseded.
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
    /// More than one late heartbeat speaks for it: it began its life here, or was heard again.
    confirmed: bool,
}

/// What became of an instance as which the back end did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refutation {
    /// It took no work before.
    Known,
    /// No instance takes work from now on.
    Closed,
    /// The instance that it had superseded takes work again.
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

    /// The back end answered a call for `instance` as another one: that takes no work until its next
    /// heartbeat, and the instance that it had superseded, if that was heard lately, is taken to be there.
    pub fn refute(&mut self, instance: &InstanceId, now: Instant) -> Refutation {
        if !self.suspend(instance) {
            return Refutation::Known;
        }
        let may_live = |earlier: &Superseded| {
            !earlier.instance.suspended && now.since(earlier.instance.heard) <= HEARTBEAT_SILENCE
        };
        let Some(position) = self.superseded.iter().rposition(may_live) else {
            return Refutation::Closed;
        };
        self.restore(position, true);
        Refutation::Replaced
    }

    /// Instances that never come back, the latest last.
    pub fn departed(&self) -> impl Iterator<Item = &InstanceId> {
        self.departed.iter()
    }

    /// Whether an instance has departed, or a later life under its name.
    #[must_use]
    pub fn has_departed(&self, instance: &InstanceId) -> bool {
        self.departed.iter().any(|departed| departed.covers(instance))
    }

    /// The life that is meant by who tells the name alone: the registered one, if it has that name.
    #[must_use]
    pub fn resolve(&self, instance: InstanceId) -> InstanceId {
        match &self.registered {
            Some(known) if instance.born.is_none() && known.id.name == instance.name => known.id.clone(),
            _ => instance,
        }
    }

    /// Whether a later life under its name has been heard.
    fn is_outlived(&self, instance: &InstanceId) -> bool {
        let registered = self.registered.iter();
        let mut known = registered.chain(self.superseded.iter().map(|earlier| &earlier.instance));
        known.any(|known| known.id.follows(instance))
    }

    /// Whether an instance has told that it leaves.
    #[must_use]
    pub fn is_leaving(&self, instance: &InstanceId) -> bool {
        let drains = |known: &Registered| known.id == *instance && known.state == InstanceState::Draining;
        self.has_departed(instance) || self.registered.as_ref().is_some_and(drains)
    }

    /// Takes in a heartbeat that arrived at `now`.
    pub fn heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) -> HeartbeatVerdict {
        let heartbeat = Heartbeat { instance: self.resolve(heartbeat.instance), ..heartbeat };
        if self.has_departed(&heartbeat.instance) || self.is_outlived(&heartbeat.instance) {
            return HeartbeatVerdict::Stale;
        }
        if let Some(known) = &mut self.registered
            && known.id == heartbeat.instance
        {
            let verdict = known.take(&heartbeat, now);
            if verdict != HeartbeatVerdict::Stale {
                self.superseded.iter_mut().for_each(|earlier| earlier.newer_heartbeats = 0);
            }
            return verdict;
        }
        let is_same = |earlier: &Superseded| earlier.instance.id == heartbeat.instance;
        let superseded = self.superseded.iter().position(is_same);
        match (heartbeat.state, superseded) {
            (InstanceState::Draining, _) if superseded.is_some() || self.registered.is_some() => {
                // It leaves; that tells nothing of the registered one.
                self.depart(&heartbeat.instance);
                HeartbeatVerdict::Known
            }
            (InstanceState::Ready, Some(position)) => self.hear_superseded(position, &heartbeat, now),
            _ => self.register(heartbeat, now),
        }
    }

    fn register(&mut self, heartbeat: Heartbeat, now: Instant) -> HeartbeatVerdict {
        let is_later_life =
            self.registered.as_ref().is_some_and(|known| heartbeat.instance.follows(&known.id));
        self.supersede_registered();
        // An earlier life under this name has ended, whatever it said last.
        self.superseded.retain(|earlier| !heartbeat.instance.follows(&earlier.instance.id));
        let state = heartbeat.state;
        self.registered = Some(Registered {
            id: heartbeat.instance,
            state,
            slots: heartbeat.slots,
            warm_at: now.plus(heartbeat.cold_for),
            heard: now,
            sequence: heartbeat.sequence,
            suspended: false,
            confirmed: is_later_life || heartbeat.sequence <= FIRST_SEQUENCE,
        });
        match state {
            InstanceState::Ready => HeartbeatVerdict::Opened,
            InstanceState::Draining => HeartbeatVerdict::Closed,
        }
    }

    fn hear_superseded(&mut self, position: usize, heartbeat: &Heartbeat, now: Instant) -> HeartbeatVerdict {
        let earlier = &mut self.superseded[position];
        if earlier.instance.take(heartbeat, now) == HeartbeatVerdict::Stale {
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

    /// Registers a superseded instance again; `confirmed` where more than its own heartbeats speak for it.
    fn restore(&mut self, position: usize, confirmed: bool) {
        let Some(Superseded { instance, .. }) = self.superseded.remove(position) else { return };
        self.supersede_registered();
        self.registered = Some(Registered { confirmed, ..instance });
    }

    fn supersede_registered(&mut self) {
        let Some(instance) = self.registered.take() else { return };
        if instance.state == InstanceState::Draining {
            return self.remember_departure(instance.id);
        }
        if self.superseded.len() == REMEMBERED_SUPERSEDED {
            // It has not said that it leaves: should it live, its next heartbeat is that of a new one.
            self.superseded.pop_front();
        }
        self.superseded.push_back(Superseded { instance, newer_heartbeats: 0 });
    }

    /// Takes in that an instance has departed, by its own word or by what others remember.
    /// True when that closes the registered one.
    pub fn depart(&mut self, instance: &InstanceId) -> bool {
        self.remember_departure(instance.clone());
        self.superseded.retain(|earlier| !instance.covers(&earlier.instance.id));
        let registered = self.registered.as_ref().is_some_and(|known| instance.covers(&known.id));
        if registered {
            self.registered = None;
        }
        registered
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

impl Registered {
    fn take(&mut self, heartbeat: &Heartbeat, now: Instant) -> HeartbeatVerdict {
        if heartbeat.sequence <= self.sequence {
            return HeartbeatVerdict::Stale;
        }
        self.sequence = heartbeat.sequence;
        self.confirmed = true;
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
