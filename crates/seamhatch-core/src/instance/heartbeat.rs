//! What an instance reports of itself.

use super::InstanceId;
use crate::clock::Microseconds;

/// What an instance reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InstanceState {
    /// It takes calls.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// One heartbeat of the back end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Heartbeat {
    /// Whose it is.
    pub instance: InstanceId,
    /// Grows with each heartbeat of one instance.
    pub sequence: u64,
    /// What it reports of itself.
    pub state: InstanceState,
    /// Calls that it runs at once.
    pub slots: u32,
    /// For how long it stays slow after its start, in microseconds.
    pub cold_for: Microseconds,
}

/// What became of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// It brought nothing new.
    Unchanged,
    /// The instance takes calls from now on.
    Opened,
    /// The instance takes no new calls from now on.
    Closed,
    /// It is older than what is known, of an instance that has departed, or not enough to bring back one that was
    /// superseded.
    Stale,
}
