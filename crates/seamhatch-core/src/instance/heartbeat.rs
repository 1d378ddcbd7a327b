//! Heartbeats of a back end's instances.

use super::InstanceId;
use crate::clock::Microseconds;

/// State that an instance reports in its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InstanceState {
    /// Takes calls.
    Ready,
    /// Finishes calls in progress, and takes no new ones.
    Draining,
}

/// One heartbeat of an instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Heartbeat {
    /// Instance that sent the heartbeat.
    pub instance: InstanceId,
    /// Sequence number; grows with each heartbeat of an instance.
    pub sequence: u64,
    /// State of the instance.
    pub state: InstanceState,
    /// Number of calls that the instance runs at once.
    pub slots: u32,
    /// How long the instance stays slow after its start, in microseconds.
    pub cold_for: Microseconds,
}

/// Effect of a heartbeat on which instance takes calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// No effect.
    Unchanged,
    /// The instance takes calls from now on.
    Opened,
    /// The instance takes no new calls from now on.
    Closed,
    /// Ignored: the heartbeat is older than what is known, comes from a departed instance, or is not enough to
    /// restore a superseded one.
    Stale,
}
