//! Which instance of the back end takes calls, as the traffic threads see it.
//!
//! Owns the registry of instances where the back end registers with heartbeats; the control thread changes it, and calls read it
//! right before they are written. The rules are [`seamhatch_core::instance`].

use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::instance::{Heartbeat, HeartbeatVerdict, InstanceId, InstanceRegistry, Refutation};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether the back end takes calls, and under which name.
#[derive(Debug)]
pub enum Instances {
    /// The back end has no name; it is there unless it has said that it leaves.
    Fixed {
        /// It has said so, and has not ended yet.
        leaving: AtomicBool,
    },
    /// It registers with heartbeats.
    Registered(Mutex<InstanceRegistry>),
}

/// An instance that takes calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenInstance {
    /// Its name, where instances register.
    pub id: Option<InstanceId>,
}

impl Instances {
    /// Instances that register; none is known yet.
    #[must_use]
    pub fn registered() -> Self {
        Self::Registered(Mutex::default())
    }

    /// A back end without a name.
    #[must_use]
    pub fn fixed() -> Self {
        Self::Fixed { leaving: AtomicBool::new(false) }
    }

    /// Records that a back end without a name leaves, or that this one has ended. True when that is news.
    pub fn set_leaving(&self, is_leaving: bool) -> bool {
        match self {
            Self::Fixed { leaving } => leaving.swap(is_leaving, Ordering::AcqRel) != is_leaving,
            Self::Registered(_) => false,
        }
    }

    /// The instance that takes calls, if there is one.
    #[must_use]
    pub fn open(&self) -> Option<OpenInstance> {
        match self {
            Self::Fixed { .. } => self.is_open().then_some(OpenInstance { id: None }),
            Self::Registered(registry) => {
                let id = lock(registry).open()?.id.clone();
                Some(OpenInstance { id: Some(id) })
            }
        }
    }

    /// Whether an instance takes calls.
    #[must_use]
    pub fn is_open(&self) -> bool {
        match self {
            Self::Fixed { leaving } => !leaving.load(Ordering::Acquire),
            Self::Registered(registry) => lock(registry).open().is_some(),
        }
    }

    /// Whether instances report by themselves that they leave.
    #[must_use]
    pub fn reports_departure(&self) -> bool {
        matches!(self, Self::Registered(_))
    }

    /// Slots of the open instance and when it is warm; none where instances don't register.
    #[must_use]
    pub fn capacity(&self) -> Option<(u32, Instant)> {
        match self {
            Self::Fixed { .. } => None,
            Self::Registered(registry) => lock(registry).open().map(|open| (open.slots, open.warm_at)),
        }
    }

    /// When the registered instance last sent a heartbeat.
    #[must_use]
    pub fn last_heartbeat(&self) -> Option<Instant> {
        match self {
            Self::Fixed { .. } => None,
            Self::Registered(registry) => lock(registry).registered().map(|known| known.last_heartbeat),
        }
    }

    /// Records a heartbeat; stale where instances don't register. An instance that it opens is given to `opened` before it gets a call.
    pub fn heartbeat(
        &self,
        heartbeat: Heartbeat,
        now: Instant,
        opened: impl FnOnce(&InstanceId),
    ) -> HeartbeatVerdict {
        match self {
            Self::Fixed { .. } => HeartbeatVerdict::Stale,
            Self::Registered(registry) => {
                let mut registry = lock(registry);
                let verdict = registry.heartbeat(heartbeat, now);
                if verdict == HeartbeatVerdict::Opened {
                    give_open(&registry, opened);
                }
                verdict
            }
        }
    }

    /// The instance meant by a name without a start time, as far as is known.
    #[must_use]
    pub fn resolve(&self, instance: InstanceId) -> InstanceId {
        match self {
            Self::Fixed { .. } => instance,
            Self::Registered(registry) => lock(registry).resolve(instance),
        }
    }

    /// Records departures. True when that closes the registered instance.
    pub fn depart<'a>(&self, departed: impl IntoIterator<Item = &'a InstanceId>) -> bool {
        match self {
            Self::Fixed { .. } => false,
            Self::Registered(registry) => {
                let mut registry = lock(registry);
                let closed = departed.into_iter().filter(|instance| registry.depart(instance));
                closed.count() > 0
            }
        }
    }

    /// Sends an instance no calls until its next heartbeat. True when that closes it.
    pub fn suspend(&self, instance: &InstanceId) -> bool {
        match self {
            Self::Fixed { .. } => false,
            Self::Registered(registry) => lock(registry).suspend(instance),
        }
    }

    /// Records that the back end answered a call for this instance as another one. An instance that this opens is given to `opened` before
    /// it gets a call.
    pub fn refute(
        &self,
        instance: &InstanceId,
        now: Instant,
        opened: impl FnOnce(&InstanceId),
    ) -> Refutation {
        match self {
            Self::Fixed { .. } => Refutation::Unchanged,
            Self::Registered(registry) => {
                let mut registry = lock(registry);
                let refutation = registry.refute(instance, now);
                if refutation == Refutation::Replaced {
                    give_open(&registry, opened);
                }
                refutation
            }
        }
    }

    /// Whether an instance has departed.
    #[must_use]
    pub fn has_departed(&self, instance: &InstanceId) -> bool {
        match self {
            Self::Fixed { .. } => false,
            Self::Registered(registry) => lock(registry).has_departed(instance),
        }
    }

    /// The registered instance, whether or not it takes calls.
    #[must_use]
    pub fn current(&self) -> Option<InstanceId> {
        match self {
            Self::Fixed { .. } => None,
            Self::Registered(registry) => lock(registry).registered().map(|known| known.id.clone()),
        }
    }

    /// Whether an instance has reported that it leaves, so that its end is planned.
    #[must_use]
    pub fn is_leaving(&self, instance: &InstanceId) -> bool {
        match self {
            Self::Fixed { .. } => false,
            Self::Registered(registry) => lock(registry).is_leaving(instance),
        }
    }

    /// Departed instances, the latest last.
    #[must_use]
    pub fn departed(&self) -> Vec<InstanceId> {
        match self {
            Self::Fixed { .. } => Vec::new(),
            Self::Registered(registry) => lock(registry).departed().cloned().collect(),
        }
    }
}

/// Gives the instance that takes calls now to `opened`.
fn give_open(registry: &InstanceRegistry, opened: impl FnOnce(&InstanceId)) {
    if let Some(open) = registry.open() {
        opened(&open.id);
    }
}
