//! Records of members.

use crate::identity::{Address, Incarnation};
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// Lifecycle state that a daemon reports about itself.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// Started, and without a configuration yet.
    Joining,
    /// Accepts calls.
    Ready,
    /// Finishes calls in progress, and accepts new ones only if no other server can take them.
    Draining,
    /// Shut down gracefully.
    Left,
}

/// Liveness of a daemon as other members observe it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Liveness {
    /// Answers probes.
    Alive,
    /// Missed a probe, and has not refuted the suspicion yet.
    Suspect,
    /// Missed a probe, and did not refute the suspicion in time.
    Dead,
}

/// What a daemon reports about itself. All fields but `slots` and `quota_shards` are fixed for an incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct MemberInfo {
    /// UDP address of the membership protocol; identifies the member.
    pub gossip: Address,
    /// TCP address for calls and control messages.
    pub peer: Address,
    /// HTTP address for operators.
    pub admin: Address,
    /// Region name.
    pub region: String,
    /// Zone name.
    pub zone: String,
    /// Service of the back end beside the daemon.
    pub service: String,
    /// Number of slots that the back end reports.
    pub slots: u32,
    /// Bit set of the shards of the tenants' limits that the daemon holds.
    pub quota_shards: u64,
}

/// What one daemon knows about a member.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct MemberRecord {
    /// What the member reports about itself.
    pub info: MemberInfo,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Grows with each change that the member reports within an incarnation, and with each suspicion that it refutes.
    pub revision: u32,
    /// Lifecycle state that the member reports.
    pub lifecycle: Lifecycle,
    /// Liveness at this revision, as other members observe it.
    pub liveness: Liveness,
    /// The platform's list of machines or an operator says that the member leaves. Holds for the rest of the
    /// incarnation.
    pub leaving: bool,
}

impl MemberRecord {
    /// Whether the member may get new calls.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.lifecycle == Lifecycle::Ready && self.liveness != Liveness::Dead && !self.leaving
    }

    /// Whether the member accepts calls, at least those that no other member can take.
    #[must_use]
    pub fn takes_fallback_work(&self) -> bool {
        let drains = self.lifecycle == Lifecycle::Draining && self.is_live() && !self.leaving;
        self.takes_work() || drains
    }

    /// Whether the member takes part in the protocol, that is, is neither dead nor left.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.liveness != Liveness::Dead && self.lifecycle != Lifecycle::Left
    }

    pub(super) fn supersedes(&self, known: &Self) -> bool {
        let rank = |record: &Self| (record.incarnation, record.revision, record.liveness);
        rank(self) > rank(known)
    }
}
