//! Connections to other daemons, opened when they are first needed.

use crate::base::clock;
use crate::base::lock::lock;
use crate::peer::connection::PeerConnection;
use crate::peer::handshake;
use crate::shared::Shared;
use seamhatch_core::Instant;
use seamhatch_core::balance::{CallEnd, Ejection};
use seamhatch_core::identity::Address;
use seamhatch_core::roster::WitnessId;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use thiserror::Error;
use tokio::runtime::Handle;

/// No connection to a daemon; nothing was sent.
#[derive(Debug, Clone, Error)]
#[error("the daemon at {address} can't be reached: {detail}; it is tried again")]
pub struct PeerUnreachable {
    /// Its peer address.
    pub address: Address,
    /// Why.
    pub detail: String,
}

#[derive(Debug, Default)]
struct PoolEntry {
    connection: Option<PeerConnection>,
    opening: Arc<tokio::sync::Mutex<()>>,
    failures: Ejection,
}

/// All connections on which this daemon sends.
#[derive(Debug)]
pub struct PeerPool {
    runtime: Handle,
    entries: Mutex<HashMap<Address, PoolEntry>>,
}

impl PeerPool {
    /// A pool whose connections live on `runtime`.
    #[must_use]
    pub fn new(runtime: Handle) -> Self {
        Self { runtime, entries: Mutex::default() }
    }

    /// The open connection to a daemon, or a new one.
    ///
    /// # Errors
    /// [`PeerUnreachable`].
    pub async fn get(
        &self,
        shared: &Arc<Shared>,
        address: Address,
    ) -> Result<PeerConnection, PeerUnreachable> {
        if let Some(connection) = self.usable(address) {
            return Ok(connection);
        }
        let opening = self.lock().entry(address).or_default().opening.clone();
        let _only_one = opening.lock().await;
        if let Some(connection) = self.usable(address) {
            return Ok(connection);
        }
        let shared = shared.clone();
        let opened = self.runtime.spawn(async move { handshake::open(&shared, address).await }).await;
        let result = match opened {
            Ok(result) => result.map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        let mut entries = self.lock();
        let entry = entries.entry(address).or_default();
        match result {
            Ok(connection) => {
                entry.connection = Some(connection.clone());
                entry.failures = Ejection::default();
                Ok(connection)
            }
            Err(detail) => {
                entry.failures.record(CallEnd::Lost, clock::now());
                Err(PeerUnreachable { address, detail })
            }
        }
    }

    /// A connection to a witness; none unless this very life of it answers.
    pub async fn get_witness(&self, shared: &Arc<Shared>, witness: WitnessId) -> Option<PeerConnection> {
        let connection = self.get(shared, witness.daemon).await.ok()?;
        (connection.incarnation == witness.incarnation).then_some(connection)
    }

    /// The open connection to a daemon, if there is one.
    #[must_use]
    pub fn existing(&self, address: Address) -> Option<PeerConnection> {
        let entries = self.lock();
        entries.get(&address)?.connection.clone().filter(PeerConnection::is_open)
    }

    /// The open connection, unless it has fallen silent: the peer may have restarted behind a cut, and
    /// a new connection tells. Calls on the old one go on.
    fn usable(&self, address: Address) -> Option<PeerConnection> {
        let now = clock::now();
        self.existing(address).filter(|connection| !connection.view().is_silent(now))
    }

    /// Whether connecting to a daemon failed several times lately.
    #[must_use]
    pub fn is_failing(&self, address: Address, now: Instant) -> bool {
        self.lock().get(&address).is_some_and(|entry| entry.failures.is_ejected(now))
    }

    /// Drops a connection that ended, unless a newer one took its place.
    pub fn forget(&self, ended: &PeerConnection) {
        let mut entries = self.lock();
        let Some(entry) = entries.get_mut(&ended.address) else { return };
        let same = entry.connection.as_ref().is_some_and(|connection| !connection.is_open());
        if same {
            entry.connection = None;
        }
    }

    /// Closes all connections.
    pub fn close(&self) {
        let entries = std::mem::take(&mut *self.lock());
        entries.into_values().filter_map(|entry| entry.connection).for_each(|connection| connection.close());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Address, PoolEntry>> {
        lock(&self.entries)
    }
}
