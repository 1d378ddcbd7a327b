//! The state of the deployment as one daemon reports it to operators. Its JSON form is part of the operators' interface.

use seamhatch_core::membership::{Lifecycle, Liveness};
use serde::{Deserialize, Serialize};

/// One member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Gossip address, which identifies the member.
    pub member: String,
    /// Zone.
    pub zone: String,
    /// Service.
    pub service: String,
    /// Slots.
    pub slots: u32,
    /// State that the member reports itself.
    pub lifecycle: Lifecycle,
    /// State that the other members attribute to it.
    pub liveness: Liveness,
    /// Whether it was told to leave.
    pub leaving: bool,
    /// Generation of the configuration in force there; `None` when it did not answer.
    pub generation: Option<u64>,
    /// Rate named by the server beside it, in thousandths of a call per second; `None` when the reporting daemon knows of no such rate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_millis: Option<u64>,
}

/// Proof that the reporting daemon's configuration is the newest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofStatus {
    /// Its age, in milliseconds.
    pub age_ms: u64,
    /// Who provided it: `store`, or the peer address of a daemon.
    pub source: String,
}

/// The witnesses of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// Number.
    pub shard: usize,
    /// Epoch.
    pub epoch: u64,
    /// Peer addresses.
    pub witnesses: Vec<String>,
    /// Number of witnesses that grant claims in this epoch.
    pub serving: usize,
}

/// Usage of one service by requests of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CostStatus {
    /// Kind of request.
    pub kind: String,
    /// The service.
    pub service: String,
    /// Slot time per answered request, in milliseconds.
    pub slot_ms: u64,
}

/// The state of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The daemon that reports, by its gossip address.
    pub member: String,
    /// Whether it accepts work.
    pub ready: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// Requests and calls in progress there.
    pub in_flight: usize,
    /// Configuration in force there.
    pub generation: u64,
    /// Proof that no newer configuration has been accepted; none without a followed store, and before the first proof.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub proof: Option<ProofStatus>,
    /// First priority level that it refuses for its server; 512 admits all.
    pub floor: u16,
    /// All members known to it.
    pub members: Vec<MemberStatus>,
    /// Witnesses of the claims.
    pub shards: Vec<ShardStatus>,
    /// Cost of requests that arrived there, the most expensive first; empty when the deployment doesn't order by cost.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub costs: Vec<CostStatus>,
}
