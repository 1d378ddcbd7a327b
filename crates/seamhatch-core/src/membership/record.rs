//! What is known of a member.

use crate::identity::{Address, Incarnation};
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// Where a daemon is in its life, as it says itself.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// Started, without a configuration yet.
    Joining,
    /// Takes work.
    Ready,
    /// Finishes what it has, and takes new work only where nobody else can.
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
    /// It missed a probe and has not denied it yet.
    Suspect,
    /// It missed a probe and did not deny it in time.
    Dead,
}

/// What a daemon tells of itself; fixed during one incarnation.
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
    /// What it tells of itself.
    pub info: MemberInfo,
    /// Its life.
    pub incarnation: Incarnation,
    /// Grows with each thing it says within one incarnation.
    pub revision: u32,
    /// Its own word.
    pub lifecycle: Lifecycle,
    /// The others' word on this revision.
    pub liveness: Liveness,
    /// The machine list or an operator says that it leaves; sticks to the incarnation.
    pub leaving: bool,
}

impl MemberRecord {
    /// Whether it may be given new work.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.lifecycle == Lifecycle::Ready && self.liveness != Liveness::Dead && !self.leaving
    }

    /// Whether it takes work at least where no other member can.
    #[must_use]
    pub fn may_take_work(&self) -> bool {
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
