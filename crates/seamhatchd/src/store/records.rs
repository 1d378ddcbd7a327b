//! Records that daemons write into a followed store: one per daemon, and one per shard of the tenants' limits.
//!
//! Defines only formats and key names; the controllers decide what is written and how it is used. Records stored by earlier versions
//! must stay readable.

use super::Item;
use log::warn;
use seamhatch_core::crashes::CondemnedRecord;
use seamhatch_core::departure::DepartureRecord;
use seamhatch_core::identity::{Address, Incarnation};
use seamhatch_core::quota::ShardNumber;
use serde::{Deserialize, Serialize};

/// Follows the prefix of the daemons' records in the keys of shards.
const SHARD_KEY: &str = "quota-shard-";

/// State that a daemon must preserve across restarts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRecord {
    /// Departed instances of its back end.
    #[serde(flatten)]
    pub departures: DepartureRecord,
    /// Evidence against requests that ran in several crashes, condemned or not.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub condemned: Vec<CondemnedRecord>,
}

impl DaemonRecord {
    /// Key of the record of the daemon with this gossip address.
    #[must_use]
    pub fn key(member_prefix: &str, gossip: Address) -> String {
        format!("{member_prefix}{gossip}")
    }

    /// Gossip address of the daemon whose record is stored at `key`; `None` for other keys.
    #[must_use]
    pub fn member(member_prefix: &str, key: &str) -> Option<Address> {
        // Other programs may write keys in other formats below the prefix.
        key.strip_prefix(member_prefix)?.parse().ok()
    }

    /// Parses the record in an item. Logs a record that can't be parsed and returns an empty one instead.
    #[must_use]
    pub fn read(item: &Item) -> Self {
        serde_json::from_slice(&item.value).unwrap_or_else(|error| {
            let (key, error) = (item.key.as_str(), error.to_string());
            warn!(key = key, error = error.as_str(); "a daemon's record in the store can't be read and counts as empty");
            Self::default()
        })
    }

    /// The record in its stored form.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain data has a JSON form")
    }
}

/// The holder of a shard of the tenants' limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// Gossip address of the daemon that holds it.
    pub holder: Address,
    /// Incarnation of that daemon.
    pub incarnation: u64,
    /// Lease to which the key is bound.
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

    /// The shard's number and its record; `None` when the item does not belong to a shard or can't be parsed.
    #[must_use]
    pub fn read(member_prefix: &str, item: &Item) -> Option<(ShardNumber, Self)> {
        let number = item.key.strip_prefix(member_prefix)?.strip_prefix(SHARD_KEY)?;
        // Other programs may write below the prefix, and a record that can't be parsed names no holder.
        Some((number.parse().ok()?, serde_json::from_slice(&item.value).ok()?))
    }

    /// The record in its stored form.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain data has a JSON form")
    }

    /// Whether an earlier incarnation of the daemon at this address holds the shard.
    #[must_use]
    pub fn is_of_earlier_incarnation(&self, holder: Address, incarnation: Incarnation) -> bool {
        self.holder == holder && self.incarnation != incarnation.0
    }
}
