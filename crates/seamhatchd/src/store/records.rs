//! What daemons write into a followed store: one record for each daemon, and one for each shard of the tenants' limits.
//!
//! Only forms and key names; the controllers decide what is written and what follows from it. Stored records of earlier versions
//! have to stay readable.

use super::Item;
use log::warn;
use seamhatch_core::crashes::CondemnedRecord;
use seamhatch_core::departure::DepartureRecord;
use seamhatch_core::identity::{Address, Incarnation};
use seamhatch_core::quota::ShardNumber;
use serde::{Deserialize, Serialize};

/// Begins the names of the shards' keys, behind the prefix of the daemons' records.
const SHARD_KEY: &str = "quota-shard-";

/// What a daemon must remember beyond its own end.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRecord {
    /// Departed instances of its back end.
    #[serde(flatten)]
    pub departures: DepartureRecord,
    /// Requests that were condemned by a crash of its back end.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub condemned: Vec<CondemnedRecord>,
}

impl DaemonRecord {
    /// Key of the record of the daemon with this gossip address.
    #[must_use]
    pub fn key(member_prefix: &str, gossip: Address) -> String {
        format!("{member_prefix}{gossip}")
    }

    /// Gossip address of the daemon whose record lies at `key`; none for other keys.
    #[must_use]
    pub fn member(member_prefix: &str, key: &str) -> Option<Address> {
        // Other programs may write keys of other forms below the prefix.
        key.strip_prefix(member_prefix)?.parse().ok()
    }

    /// The record in an item; an empty one where it can't be read, which is logged.
    #[must_use]
    pub fn read(item: &Item) -> Self {
        serde_json::from_slice(&item.value).unwrap_or_else(|error| {
            let (key, error) = (item.key.as_str(), error.to_string());
            warn!(key = key, error = error.as_str(); "a daemon's record in the store can't be read and counts as empty");
            Self::default()
        })
    }

    /// The record as it lies in the store.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain data has a JSON form")
    }
}

/// Who holds a shard of the tenants' limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// Gossip address of the daemon that holds it.
    pub holder: Address,
    /// Incarnation of that daemon.
    pub incarnation: u64,
    /// The lease that the key goes with.
    pub lease: u64,
    /// Peer address of the daemon.
    pub peer: Address,
    /// Its zone.
    pub zone: String,
}

impl ShardRecord {
    /// Key of a shard's record.
    #[must_use]
    pub fn key(member_prefix: &str, shard: ShardNumber) -> String {
        format!("{member_prefix}{SHARD_KEY}{shard}")
    }

    /// The shard's number and its record; none where the item is no shard's, or can't be read.
    #[must_use]
    pub fn read(member_prefix: &str, item: &Item) -> Option<(ShardNumber, Self)> {
        let number = item.key.strip_prefix(member_prefix)?.strip_prefix(SHARD_KEY)?;
        // Other programs may write below the prefix, and a record that can't be read has no holder.
        Some((number.parse().ok()?, serde_json::from_slice(&item.value).ok()?))
    }

    /// The record as it lies in the store.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain data has a JSON form")
    }

    /// Whether an earlier incarnation of the daemon at this address held it.
    #[must_use]
    pub fn is_of_earlier_incarnation(&self, holder: Address, incarnation: Incarnation) -> bool {
        self.holder == holder && self.incarnation != incarnation.0
    }
}
