//! Results that tasks of the control thread report as events.

use crate::store::ShardRecord;
use seamhatch_core::claims::Epoch;
use seamhatch_core::crashes::SuspectReport;
use seamhatch_core::identity::{Address, RequestDigest};
use seamhatch_core::quota::ShardNumber;

/// Contents of the records of all daemons in the store.
#[derive(Debug, Default)]
pub struct Discovery {
    /// Gossip addresses of the daemons.
    pub members: Vec<Address>,
    /// Evidence against requests that crash servers, as recorded by any daemon.
    pub evidence: Vec<SuspectReport>,
    /// Requests against which this daemon has recorded evidence.
    pub own_evidence: Vec<RequestDigest>,
    /// Shards of the tenants' limits with their holders.
    pub shards: Vec<(ShardNumber, ShardRecord)>,
}

/// Progress of a change of a shard's witnesses.
#[derive(Debug, Clone)]
pub struct TransitionResult {
    /// Number of the shard.
    pub shard: usize,
    /// Its current epoch.
    pub epoch: Epoch,
    /// Whether the epoch is installed at a majority of the witnesses.
    pub confirmed: bool,
    /// Whether the epoch is installed at all witnesses.
    pub complete: bool,
    /// Sealed earlier epochs whose claims may be lost; the change waits until those claims have expired.
    pub lossy: Vec<Epoch>,
}
