//! Time and size settings of the protocol.

use crate::clock::{MILLISECOND, Microseconds, SECOND};

/// Time and size settings of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// One probe in this time.
    pub probe_interval: Microseconds,
    /// Wait for a direct answer before others are asked to probe.
    pub probe_timeout: Microseconds,
    /// Others that are asked to probe.
    pub indirect_probes: usize,
    /// How long a suspect may refute the suspicion.
    pub suspicion: Microseconds,
    /// One exchange of whole lists in this time, when digests differ.
    pub sync_interval: Microseconds,
    /// How long a dead or left member is remembered.
    pub tombstone: Microseconds,
}

impl Default for MembershipPolicy {
    fn default() -> Self {
        // All chosen, not measured.
        Self {
            probe_interval: SECOND,
            probe_timeout: 300 * MILLISECOND,
            indirect_probes: 3,
            suspicion: 3 * SECOND,
            sync_interval: 10 * SECOND,
            tombstone: 7_200 * SECOND,
        }
    }
}
