//! What tasks of the control thread found out and report as an event.

use crate::store::ShardRecord;
use seamhatch_core::claims::Epoch;
use seamhatch_core::crashes::SuspectReport;
use seamhatch_core::identity::{Address, RequestDigest};
use seamhatch_core::quota::ShardNumber;

/// What the records of all daemons in the store contain.
#[derive(Debug, Default)]
pub struct Discovery {
    /// Gossip addresses of the daemons.
    pub members: Vec<Address>,
    /// Evidence against requests that crash servers, as any of them has noted.
    pub evidence: Vec<SuspectReport>,
    /// Requests that this daemon has noted.
    pub own_evidence: Vec<RequestDigest>,
    /// Shards of the tenants' limits and who holds them.
    pub shards: Vec<(ShardNumber, ShardRecord)>,
}

/// How far a shard's change of witnesses came.
#[derive(Debug, Clone)]
pub struct TransitionResult {
    /// Number of the shard.
    pub shard: usize,
    /// Its present epoch.
    pub epoch: Epoch,
    /// Installed at a majority.
    pub confirmed: bool,
    /// Installed at all witnesses.
    pub complete: bool,
    /// Earlier epochs that are over and whose claims may be lost: the change waits them out.
    pub lossy: Vec<Epoch>,
}
