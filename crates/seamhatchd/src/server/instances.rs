//! The instance of the back end that takes calls, as the traffic threads see it.
//!
//! If the back end registers with heartbeats, this module owns the registry of its instances. The
//! control thread changes the registry, and calls read it right before they are written. The rules
//! are in [`seamhatch_core::instance`].

use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::instance::{Heartbeat, HeartbeatVerdict, InstanceId, InstanceRegistry, Refutation};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether the back end takes calls, and the name of the instance that does.
#[derive(Debug)]
pub enum Instances {
    /// The back end's instances have no names. The back end takes calls unless it has announced
    /// that it leaves.
    Fixed {
        /// Whether the back end has announced that it leaves and has not ended yet.
        leaving: AtomicBool,
    },
    /// Instances register with heartbeats.
    Registered(Mutex<InstanceRegistry>),
}

/// An instance that takes calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenInstance {
    /// Id of the instance, if instances register.
    pub id: Option<InstanceId>,
}

impl Instances {
    /// Creates the state of a back end whose instances register. No instance is known yet.
    #[must_use]
    pub fn registered() -> Self {
        Self::Registered(Mutex::default())
    }

    /// Creates the state of a back end whose instances have no names.
    #[must_use]
    pub fn fixed() -> Self {
        Self::Fixed { leaving: AtomicBool::new(false) }
    }

    /// Records that a back end without a name leaves, or that a leaving one has ended. Returns true
    /// if the state changes.
    pub fn set_leaving(&self, is_leaving: bool) -> bool {
        match self {
            Self::Fixed { leaving } => leaving.swap(is_leaving, Ordering::AcqRel) != is_leaving,
            Self::Registered(_) => false,
        }
    }

    /// Returns the instance that takes calls, if there is one.
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

    /// Returns the slots of the open instance and the time at which it is warm; `None` if instances
    /// don't register.
    #[must_use]
    pub fn capacity(&self) -> Option<(u32, Instant)> {
        match self {
            Self::Fixed { .. } => None,
            Self::Registered(registry) => lock(registry).open().map(|open| (open.slots, open.warm_at)),
        }
    }

    /// Returns the time of the registered instance's last heartbeat.
    #[must_use]
    pub fn last_heartbeat(&self) -> Option<Instant> {
        match self {
            Self::Fixed { .. } => None,
            Self::Registered(registry) => lock(registry).registered().map(|known| known.last_heartbeat),
        }
    }

    /// Records a heartbeat; it is stale if instances don't register. If the heartbeat opens an
    /// instance, `opened` is called with it before the instance receives a call.
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
                    notify_opened(&registry, opened);
                }
                verdict
            }
        }
    }

    /// Adds the start time to the id of an instance given by name only, as far as it is known.
    #[must_use]
    pub fn resolve(&self, instance: InstanceId) -> InstanceId {
        match self {
            Self::Fixed { .. } => instance,
            Self::Registered(registry) => lock(registry).resolve(instance),
        }
    }

    /// Records departures. Returns true if that closes the registered instance.
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

    /// Stops sending calls to an instance until its next heartbeat. Returns true if that closes the
    /// instance.
    pub fn suspend(&self, instance: &InstanceId) -> bool {
        match self {
            Self::Fixed { .. } => false,
            Self::Registered(registry) => lock(registry).suspend(instance),
        }
    }

    /// Records that the back end answered a call for this instance as another instance. If that
    /// opens an instance, `opened` is called with it before the instance receives a call.
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
                    notify_opened(&registry, opened);
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

    /// Returns the registered instance, whether or not it takes calls.
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

    /// Returns the departed instances, the latest last.
    #[must_use]
    pub fn departed(&self) -> Vec<InstanceId> {
        match self {
            Self::Fixed { .. } => Vec::new(),
            Self::Registered(registry) => lock(registry).departed().cloned().collect(),
        }
    }
}

/// Calls `opened` with the instance that takes calls now.
fn notify_opened(registry: &InstanceRegistry, opened: impl FnOnce(&InstanceId)) {
    if let Some(open) = registry.open() {
        opened(&open.id);
    }
}
