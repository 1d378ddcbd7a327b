//! The registered instance.

use super::{Heartbeat, HeartbeatVerdict, InstanceId, InstanceState};
use crate::clock::Instant;

/// Largest sequence number of a first heartbeat: instances count from 0 or from 1.
const MAX_FIRST_SEQUENCE: u64 = 1;

/// The registered instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RegisteredInstance {
    /// Identity of the instance.
    pub id: InstanceId,
    /// Reported state. [`InstanceState::Draining`] is final.
    pub state: InstanceState,
    /// Number of calls that the instance runs at once.
    pub slots: u32,
    /// When the instance reaches its full speed, in the local clock.
    pub warm_at: Instant,
    /// When its last heartbeat arrived.
    pub last_heartbeat: Instant,
    sequence: u64,
    /// Gets no calls until its next heartbeat.
    pub(super) suspended: bool,
    /// Whether more than a single, possibly late, heartbeat shows that the instance runs: its first heartbeat arrived
    /// here, it is a later instance of the registered name, or it was heard again.
    pub(super) confirmed: bool,
}

impl RegisteredInstance {
    /// Creates the instance from its first heartbeat here. `follows_known` says that it is a later instance of the
    /// registered name.
    pub(super) fn new(heartbeat: Heartbeat, follows_known: bool, now: Instant) -> Self {
        Self {
            id: heartbeat.instance,
            state: heartbeat.state,
            slots: heartbeat.slots,
            warm_at: now.plus(heartbeat.cold_for),
            last_heartbeat: now,
            sequence: heartbeat.sequence,
            suspended: false,
            confirmed: follows_known || heartbeat.sequence <= MAX_FIRST_SEQUENCE,
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
