//! State that the control thread publishes to the traffic threads: configuration, servers, and witnesses.
//!
//! A [`Snapshot`] is immutable, so that a request sees one consistent state. The control thread creates and replaces it; the request
//! path reads it without blocking.

use seamhatch_core::claims::{ClaimKey, Epoch};
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::Address;
use seamhatch_core::roster::{Roster, WitnessId};
use seamhatch_policy::Configuration;
use std::collections::HashMap;
use std::sync::Arc;

/// A server that may be given work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Peer address of the daemon beside it.
    pub peer: Address,
    /// Its zone.
    pub zone: String,
    /// Number of slots that it reported.
    pub slots: u32,
    /// Whether its daemon drains: it is used only for calls that no other server can take.
    pub leaving: bool,
}

/// Witnesses of one shard.
#[derive(Debug, Clone)]
pub struct ShardView<'a> {
    /// Number of the shard.
    pub shard: u32,
    /// Epoch for new claims.
    pub epoch: Epoch,
    /// The witnesses to ask.
    pub witnesses: &'a [WitnessId],
}

/// An immutable snapshot of all state that determines where calls are sent.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Configuration in force and its generation; `None` before the first.
    pub configuration: Option<(Generation, Arc<Configuration>)>,
    /// Servers by service.
    pub servers: HashMap<String, Vec<Server>>,
    /// Witnesses of the claims.
    pub roster: Arc<Roster>,
}

impl Snapshot {
    /// Generation in force; zero for none.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.configuration.as_ref().map(|(generation, _)| *generation).unwrap_or_default()
    }

    /// The compiled configuration.
    #[must_use]
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref().map(|(_, configuration)| configuration)
    }

    /// Whether there is a configuration in force and at least one server for each of its services.
    #[must_use]
    pub fn has_servers_for_all_services(&self) -> bool {
        let known = |service: &str| self.servers.get(service).is_some_and(|servers| !servers.is_empty());
        self.configuration().is_some_and(|configuration| configuration.services().all(known))
    }

    /// The witnesses that decide claims of `key`; `None` before the first roster.
    #[must_use]
    pub fn shard_of(&self, key: ClaimKey) -> Option<ShardView<'_>> {
        let index = key.shard(self.roster.shards.len());
        let shard = self.roster.shards.get(index)?;
        Some(ShardView {
            shard: index as u32,
            epoch: shard.current.epoch,
            witnesses: &shard.current.witnesses,
        })
    }
}
