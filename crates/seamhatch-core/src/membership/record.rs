//! What is known of a member.

use crate::identity::{Address, Incarnation};
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// What a daemon does at present, as it reports itself.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// Started, without a configuration yet.
    Joining,
    /// Accepts calls.
    Ready,
    /// Finishes what it has, and accepts new calls only where no other server can take them.
    Draining,
    /// Stopped in an orderly way.
    Left,
}

/// What others observe of a daemon.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Liveness {
    /// It answers probes.
    Alive,
    /// It missed a probe and has not refuted that yet.
    Suspect,
    /// It missed a probe and did not refute that in time.
    Dead,
}

/// What a daemon reports of itself. All but the slots and the shards is fixed during one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct MemberInfo {
    /// UDP address of gossip; identifies the member.
    pub gossip: Address,
    /// TCP address for calls and control messages.
    pub peer: Address,
    /// HTTP address for operators.
    pub admin: Address,
    /// Region name.
    pub region: String,
    /// Zone name.
    pub zone: String,
    /// Service that the back end beside it belongs to.
    pub service: String,
    /// Slots that the back end reports.
    pub slots: u32,
    /// Shards that it holds of the tenants' limits, a bit each.
    pub quota_shards: u64,
}

/// A member as known somewhere.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct MemberRecord {
    /// What it reports of itself.
    pub info: MemberInfo,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Grows with each change that it reports within one incarnation.
    pub revision: u32,
    /// What it does, by its own report.
    pub lifecycle: Lifecycle,
    /// What others observe of this revision.
    pub liveness: Liveness,
    /// The platform's list of machines or an operator says that it leaves; holds for the rest of the incarnation.
    pub leaving: bool,
}

impl MemberRecord {
    /// Whether it may get new calls.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.lifecycle == Lifecycle::Ready && self.liveness != Liveness::Dead && !self.leaving
    }

    /// Whether it accepts calls at least where no other member can take them.
    #[must_use]
    pub fn takes_fallback_work(&self) -> bool {
        let drains = self.lifecycle == Lifecycle::Draining && self.is_live() && !self.leaving;
        self.takes_work() || drains
    }

    /// Whether it takes part in the protocol.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.liveness != Liveness::Dead && self.lifecycle != Lifecycle::Left
    }

    pub(super) fn supersedes(&self, known: &Self) -> bool {
        let rank = |record: &Self| (record.incarnation, record.revision, record.liveness);
        rank(self) > rank(known)
    }
}
