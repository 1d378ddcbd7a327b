//! Timing and fan-out of the membership protocol.

use crate::clock::{MILLISECOND, Microseconds, SECOND};

/// Timing and fan-out of the membership protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Interval between probes.
    pub probe_interval: Microseconds,
    /// How long the answer to a direct probe is awaited before other members are asked to probe.
    pub probe_timeout: Microseconds,
    /// Number of members that are asked to probe.
    pub indirect_probes: usize,
    /// How long a suspect has to refute the suspicion before it counts as dead.
    pub suspicion_timeout: Microseconds,
    /// Interval between syncs of whole member lists, except shortly after the start. Lists are sent only where
    /// digests differ.
    pub sync_interval: Microseconds,
    /// How long the record of a dead or left member is kept.
    pub tombstone_retention: Microseconds,
}

impl Default for MembershipPolicy {
    fn default() -> Self {
        Self {
            probe_interval: SECOND,
            probe_timeout: 300 * MILLISECOND,
            indirect_probes: 3,
            suspicion_timeout: 3 * SECOND,
            sync_interval: 10 * SECOND,
            tombstone_retention: 7_200 * SECOND,
        }
    }
}
