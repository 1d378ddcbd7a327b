//! Connections to other daemons, opened when they are first needed and shared by all calls and requests.
//!
//! Owns at most one connection in use for each daemon, and the outlier ejection of daemons that can't be reached.
//! Connections live on the traffic runtime, whichever thread asks for them. Used by dispatch, claims, quotas and
//! controllers.

use crate::base::clock;
use crate::base::lock::lock;
use crate::peer::connection::PeerConnection;
use crate::peer::handshake;
use crate::peer::host::LinkHost;
use crate::peer::view::PeerView;
use seamhatch_core::Instant;
use seamhatch_core::balance::{CallEnd, Ejection};
use seamhatch_core::identity::Address;
use seamhatch_core::roster::WitnessId;
use seamhatch_wire::{ControlReply, ControlRequest};
use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;
use thiserror::Error;
use tokio::runtime::Handle;

/// Longest wait for a daemon's answer to a control request, the connection to it included. Chosen, not measured.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// No connection to a daemon; nothing was sent.
#[derive(Debug, Clone, Error)]
#[error("the daemon at {address} can't be reached: {detail}; it is tried again")]
pub struct PeerUnreachable {
    /// Its peer address.
    pub address: Address,
    /// Why.
    pub detail: String,
}

/// What is known of a daemon, as the choice of a server reads it.
pub enum KnownPeer<'a> {
    /// There is an open connection to it.
    Connected {
        /// Calls in flight on it.
        in_flight: u32,
        /// What is known from its messages.
        view: &'a PeerView,
    },
    /// There is none.
    Unconnected {
        /// Connecting to it failed several times recently.
        failing: bool,
    },
}

#[derive(Debug, Default)]
struct PoolEntry {
    connection: Option<PeerConnection>,
    /// Held by the task that opens a connection, so that others wait for it.
    opening: Arc<tokio::sync::Mutex<()>>,
    failures: Ejection,
}

/// All connections on which this daemon sends.
#[derive(Debug)]
pub struct PeerPool {
    runtime: Handle,
    /// The daemon that the pool is a part of.
    host: Weak<dyn LinkHost>,
    entries: Mutex<HashMap<Address, PoolEntry>>,
}

impl PeerPool {
    /// A pool of the daemon `host` whose connections live on `runtime`.
    #[must_use]
    pub fn new(runtime: Handle, host: Weak<dyn LinkHost>) -> Arc<Self> {
        Arc::new(Self { runtime, host, entries: Mutex::default() })
    }

    /// The open connection to a daemon, or a new one.
    ///
    /// # Errors
    /// [`PeerUnreachable`].
    pub async fn get(self: &Arc<Self>, address: Address) -> Result<PeerConnection, PeerUnreachable> {
        if let Some(connection) = self.usable(address) {
            return Ok(connection);
        }
        let opening = self.lock().entry(address).or_default().opening.clone();
        let _only_one = opening.lock().await;
        if let Some(connection) = self.usable(address) {
            return Ok(connection);
        }
        let opened = self.open(address).await;
        let mut entries = self.lock();
        let entry = entries.entry(address).or_default();
        match opened {
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

    async fn open(self: &Arc<Self>, address: Address) -> Result<PeerConnection, String> {
        let Some(host) = self.host.upgrade() else { return Err("this daemon has ended".to_owned()) };
        let pool = self.clone();
        let opening = self.runtime.spawn(async move { handshake::open(&pool, &host, address).await });
        match opening.await {
            Ok(opened) => opened.map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// A connection to a witness; none unless this very incarnation of it answers.
    pub async fn get_witness(self: &Arc<Self>, witness: WitnessId) -> Option<PeerConnection> {
        // A witness that can't be reached counts as one that doesn't answer.
        let connection = self.get(witness.daemon).await.ok()?;
        (connection.incarnation == witness.incarnation).then_some(connection)
    }

    /// Sends a control request to a daemon; none when it can't be reached or doesn't answer within 0.8 s. The asker then asks
    /// another one or tries again.
    pub async fn ask(self: &Arc<Self>, daemon: Address, request: ControlRequest) -> Option<ControlReply> {
        in_time(async {
            let connection = self.get(daemon).await.ok()?;
            connection.control(request).await
        })
        .await
    }

    /// Sends a control request to a witness; none unless this very incarnation of it answers within 0.8 s.
    pub async fn ask_witness(
        self: &Arc<Self>,
        witness: WitnessId,
        request: ControlRequest,
    ) -> Option<ControlReply> {
        in_time(async {
            let connection = self.get_witness(witness).await?;
            connection.control(request).await
        })
        .await
    }

    /// The open connection to a daemon, if there is one.
    #[must_use]
    pub fn existing(&self, address: Address) -> Option<PeerConnection> {
        let entries = self.lock();
        entries.get(&address)?.connection.clone().filter(PeerConnection::is_open)
    }

    /// The open connection, unless it has fallen silent: the peer may have restarted behind a network cut, which only a
    /// new connection shows. Calls on the old one go on.
    fn usable(&self, address: Address) -> Option<PeerConnection> {
        let now = clock::now();
        self.existing(address).filter(|connection| !connection.view().is_silent(now))
    }

    /// Whether a daemon is ejected because connecting to it failed several times recently.
    #[must_use]
    pub fn is_failing(&self, address: Address, now: Instant) -> bool {
        self.lock().get(&address).is_some_and(|entry| entry.failures.is_ejected(now))
    }

    /// Reads under one lock what is known of these daemons, in their order.
    pub fn survey<K, T>(
        &self,
        daemons: &[K],
        address: impl Fn(&K) -> Address,
        now: Instant,
        read: impl Fn(&K, KnownPeer<'_>) -> T,
    ) -> Vec<T> {
        let entries = self.lock();
        let read_one = |daemon: &K| {
            let entry = entries.get(&address(daemon));
            let open = entry.and_then(|entry| entry.connection.as_ref()).filter(|open| open.is_open());
            match open {
                Some(open) => {
                    let in_flight = open.in_flight();
                    read(daemon, KnownPeer::Connected { in_flight, view: &open.state.view() })
                }
                None => {
                    let failing = entry.is_some_and(|entry| entry.failures.is_ejected(now));
                    read(daemon, KnownPeer::Unconnected { failing })
                }
            }
        };
        daemons.iter().map(read_one).collect()
    }

    /// Drops a connection that ended, unless a newer one took its place.
    pub(super) fn forget(&self, ended: &PeerConnection) {
        let mut entries = self.lock();
        let Some(entry) = entries.get_mut(&ended.address) else { return };
        let has_ended = entry.connection.as_ref().is_some_and(|connection| !connection.is_open());
        if has_ended {
            entry.connection = None;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Address, PoolEntry>> {
        lock(&self.entries)
    }
}

async fn in_time(asking: impl Future<Output = Option<ControlReply>>) -> Option<ControlReply> {
    tokio::time::timeout(ASK_TIMEOUT, asking).await.ok().flatten()
}
