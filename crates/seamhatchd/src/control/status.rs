//! The state of the deployment as one daemon reports it to operators. Its JSON form is part of the operators' interface.

use seamhatch_core::membership::{Lifecycle, Liveness};
use serde::{Deserialize, Serialize};

/// One member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Gossip address, which names it.
    pub member: String,
    /// Zone.
    pub zone: String,
    /// Service.
    pub service: String,
    /// Slots.
    pub slots: u32,
    /// Its own word.
    pub lifecycle: Lifecycle,
    /// The others' word.
    pub liveness: Liveness,
    /// Told to leave.
    pub leaving: bool,
    /// Configuration in force there; none when it did not answer.
    pub generation: Option<u64>,
    /// Rate that the server beside it names, in thousandths of a call a second; none where it names none, as far as the reporting daemon
    /// knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_millis: Option<u64>,
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
    /// How many of them grant claims in this epoch.
    pub serving: usize,
}

/// What requests of one kind use of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CostStatus {
    /// Kind of request.
    pub kind: String,
    /// The service.
    pub service: String,
    /// Slot time for each answered request, in milliseconds.
    pub slot_ms: u64,
}

/// The whole state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The daemon that reports, by its gossip address.
    pub member: String,
    /// Whether it takes work.
    pub ready: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// Requests and calls in progress there.
    pub in_flight: usize,
    /// Configuration in force there.
    pub generation: u64,
    /// First priority level that it refuses for its server; 512 admits all.
    pub floor: u16,
    /// All members that it knows.
    pub members: Vec<MemberStatus>,
    /// Witnesses of the claims.
    pub shards: Vec<ShardStatus>,
    /// What requests cost that came in there, the dearest first; empty where the deployment doesn't order by cost.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub costs: Vec<CostStatus>,
}
