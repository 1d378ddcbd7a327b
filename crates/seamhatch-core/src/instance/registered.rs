//! The instance that is registered.

use super::{Heartbeat, HeartbeatVerdict, InstanceId, InstanceState};
use crate::clock::Instant;

/// Sequence up to which a heartbeat can be the first of a new instance, whether it counts from 0 or from 1.
const FIRST_SEQUENCE: u64 = 1;

/// The instance that is registered.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Registered {
    /// Its name.
    pub id: InstanceId,
    /// What it reported last.
    pub state: InstanceState,
    /// Calls that it runs at once.
    pub slots: u32,
    /// When it is as fast as it gets, in the local clock.
    pub warm_at: Instant,
    /// When its last heartbeat arrived.
    pub last_heartbeat: Instant,
    sequence: u64,
    /// It gets no calls until its next heartbeat.
    pub(super) suspended: bool,
    /// More than one late heartbeat shows that it is there: it began here, or was heard again.
    pub(super) confirmed: bool,
}

impl Registered {
    /// The instance by its first heartbeat; `follows_known` says that it is a later one of the registered name.
    pub(super) fn new(heartbeat: Heartbeat, follows_known: bool, now: Instant) -> Self {
        Self {
            id: heartbeat.instance,
            state: heartbeat.state,
            slots: heartbeat.slots,
            warm_at: now.plus(heartbeat.cold_for),
            last_heartbeat: now,
            sequence: heartbeat.sequence,
            suspended: false,
            confirmed: follows_known || heartbeat.sequence <= FIRST_SEQUENCE,
        }
    }

    /// Records a further heartbeat of the same instance.
    pub(super) fn update(&mut self, heartbeat: &Heartbeat, now: Instant) -> HeartbeatVerdict {
        if heartbeat.sequence <= self.sequence {
            return HeartbeatVerdict::Stale;
        }
        self.sequence = heartbeat.sequence;
        self.confirmed = true;
        self.last_heartbeat = now;
        self.slots = heartbeat.slots;
        self.warm_at = now.plus(heartbeat.cold_for);
        let suspended = std::mem::take(&mut self.suspended);
        match (self.state, heartbeat.state) {
            // An instance that drains never takes calls again.
            (InstanceState::Draining, _) => HeartbeatVerdict::Unchanged,
            (InstanceState::Ready, InstanceState::Ready) if suspended => HeartbeatVerdict::Opened,
            (InstanceState::Ready, InstanceState::Ready) => HeartbeatVerdict::Unchanged,
            (InstanceState::Ready, InstanceState::Draining) => {
                self.state = InstanceState::Draining;
                HeartbeatVerdict::Closed
            }
        }
    }
}
