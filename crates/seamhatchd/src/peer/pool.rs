//! The pool of connections to other daemons, opened on first use and shared by all calls and requests.
//!
//! Owns at most one connection in use per daemon, and the outlier ejection of unreachable daemons. Connections run
//! on the traffic runtime, regardless of the thread that requests them. Used by dispatch, claims, quotas and
//! controllers.

use crate::base::clock;
use crate::base::lock::lock;
use crate::peer::connection::PeerConnection;
use crate::peer::handshake;
use crate::peer::host::LinkHost;
use crate::peer::sent_calls::UnsettledCalls;
use futures_util::FutureExt;
use futures_util::future::{BoxFuture, Shared};
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
use tokio::task::JoinError;

/// Time limit for a control request, including the time to connect.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// A daemon could not be connected to; nothing was sent.
#[derive(Debug, Clone, Error)]
#[error("the daemon at {address} can't be reached: {detail}; it is tried again")]
pub struct PeerUnreachable {
    /// The daemon's peer address.
    pub address: Address,
    /// The cause.
    pub detail: String,
}

/// An attempt to open a connection, whose result all that wait for it share.
type Opening = Shared<BoxFuture<'static, Result<PeerConnection, PeerUnreachable>>>;

#[derive(Debug, Default)]
struct PoolEntry {
    connection: Option<PeerConnection>,
    /// The attempt in progress.
    opening: Option<Opening>,
    failures: Ejection,
}

/// Whether the failure of an attempt to connect counts towards the ejection of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptCount {
    Counted,
    Uncounted,
}

/// All outgoing connections of this daemon.
#[derive(Debug)]
pub struct PeerPool {
    runtime: Handle,
    /// The daemon that owns the pool.
    host: Weak<dyn LinkHost>,
    entries: Mutex<HashMap<Address, PoolEntry>>,
    /// Calls that may still run at other daemons.
    pub(super) unsettled: UnsettledCalls,
}

impl PeerPool {
    /// Creates the pool of the daemon `host`, whose connections run on `runtime`.
    #[must_use]
    pub fn new(runtime: Handle, host: Weak<dyn LinkHost>) -> Arc<Self> {
        Arc::new(Self { runtime, host, entries: Mutex::default(), unsettled: UnsettledCalls::default() })
    }

    /// Returns the usable connection to a daemon, or opens one. All concurrent requests share one attempt, which goes on
    /// when none waits for it any more.
    ///
    /// # Errors
    /// [`PeerUnreachable`] if no connection can be opened.
    pub async fn get(self: &Arc<Self>, address: Address) -> Result<PeerConnection, PeerUnreachable> {
        match self.usable(address) {
            Some(connection) => Ok(connection),
            None => self.opening(address, AttemptCount::Counted).await,
        }
    }

    /// As [`Self::get`], but a failure doesn't count towards the ejection of the daemon. For attempts that are repeated
    /// while a daemon is known to be away, and would eject it for long after its return.
    pub(super) async fn get_uncounted(
        self: &Arc<Self>,
        address: Address,
    ) -> Result<PeerConnection, PeerUnreachable> {
        match self.usable(address) {
            Some(connection) => Ok(connection),
            None => self.opening(address, AttemptCount::Uncounted).await,
        }
    }

    /// Joins the attempt to connect to a daemon that is in progress, or starts one.
    fn opening(self: &Arc<Self>, address: Address, count: AttemptCount) -> Opening {
        let mut entries = self.lock();
        let entry = entries.entry(address).or_default();
        // A finished attempt is still here only if its task has failed.
        if let Some(opening) = entry.opening.as_ref().filter(|opening| opening.peek().is_none()) {
            return opening.clone();
        }
        let pool = self.clone();
        let opened = self.runtime.spawn(async move { pool.open(address, count).await });
        let ended = move |error: JoinError| PeerUnreachable { address, detail: error.to_string() };
        let opening = opened.map(move |opened| opened.map_err(ended).flatten()).boxed().shared();
        entry.opening = Some(opening.clone());
        opening
    }

    /// Opens a connection and records the result.
    async fn open(
        self: &Arc<Self>,
        address: Address,
        count: AttemptCount,
    ) -> Result<PeerConnection, PeerUnreachable> {
        let opened = match self.host.upgrade() {
            Some(host) => handshake::open(self, &host, address).await.map_err(|error| error.to_string()),
            None => Err("this daemon has ended".to_owned()),
        };
        let mut entries = self.lock();
        let entry = entries.entry(address).or_default();
        entry.opening = None;
        match opened {
            Ok(connection) => {
                entry.connection = Some(connection.clone());
                entry.failures = Ejection::default();
                Ok(connection)
            }
            Err(detail) => {
                if count == AttemptCount::Counted {
                    entry.failures.record(CallEnd::Lost, clock::now());
                }
                Err(PeerUnreachable { address, detail })
            }
        }
    }

    /// Returns a connection to a witness, or none if the daemon is unreachable or runs as another incarnation.
    pub async fn get_witness(self: &Arc<Self>, witness: WitnessId) -> Option<PeerConnection> {
        // An unreachable witness counts as one that does not answer.
        let connection = self.get(witness.daemon).await.ok()?;
        (connection.incarnation == witness.incarnation).then_some(connection)
    }

    /// Sends a control request to a daemon. Returns none if the daemon is unreachable or does not reply in 0.8 s;
    /// the requester then asks another daemon or retries.
    pub async fn ask(self: &Arc<Self>, daemon: Address, request: ControlRequest) -> Option<ControlReply> {
        with_timeout(async {
            let connection = self.get(daemon).await.ok()?;
            connection.control(request).await
        })
        .await
    }

    /// Sends a control request to a witness. Returns none unless the same incarnation of the witness replies
    /// within 0.8 s.
    pub async fn ask_witness(
        self: &Arc<Self>,
        witness: WitnessId,
        request: ControlRequest,
    ) -> Option<ControlReply> {
        with_timeout(async {
            let connection = self.get_witness(witness).await?;
            connection.control(request).await
        })
        .await
    }

    /// Returns the open connection to a daemon, if any.
    #[must_use]
    pub fn existing(&self, address: Address) -> Option<PeerConnection> {
        self.read().connection(address).cloned()
    }

    /// Returns the open connection unless its peer is silent: the peer may have restarted during a network
    /// partition, which only a new connection reveals. Calls on the old connection continue.
    fn usable(&self, address: Address) -> Option<PeerConnection> {
        let now = clock::now();
        let pool = self.read();
        pool.connection(address)
            .filter(|connection| !connection.with_view(|view| view.is_silent(now)))
            .cloned()
    }

    /// Locks the pool to read the state of several daemons without copying it.
    #[must_use]
    pub fn read(&self) -> PoolReader<'_> {
        PoolReader(self.lock())
    }

    /// Whether a daemon is ejected because recent connection attempts failed repeatedly.
    #[must_use]
    pub fn is_failing(&self, address: Address, now: Instant) -> bool {
        self.read().is_failing(address, now)
    }

    /// Removes a closed connection, unless a newer one has replaced it.
    pub(super) fn remove_closed(&self, ended: &PeerConnection) {
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

/// Read access to the locked pool. Its holder must not block or await.
#[derive(Debug)]
pub struct PoolReader<'a>(MutexGuard<'a, HashMap<Address, PoolEntry>>);

impl PoolReader<'_> {
    /// Returns the open connection to a daemon, if any.
    #[must_use]
    pub fn connection(&self, address: Address) -> Option<&PeerConnection> {
        self.0.get(&address)?.connection.as_ref().filter(|connection| connection.is_open())
    }

    /// Whether a daemon is ejected because recent connection attempts failed repeatedly.
    #[must_use]
    pub fn is_failing(&self, address: Address, now: Instant) -> bool {
        self.0.get(&address).is_some_and(|entry| entry.failures.is_ejected(now))
    }
}

async fn with_timeout(exchange: impl Future<Output = Option<ControlReply>>) -> Option<ControlReply> {
    tokio::time::timeout(ASK_TIMEOUT, exchange).await.ok().flatten()
}
