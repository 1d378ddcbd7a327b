//! Kept connections to the back end beside the daemon.
//!
//! Not the pool of `hyper-util`: a connection may only be kept when the whole request was written and
//! the whole answer read, it must go when the back end's instance changes, and cancelling a call must
//! close its connection at once, since that is how the back end learns of it.

use super::body::HttpRequestBody;
use crate::base::clock;
use crate::base::keepalive::{SilenceCheck, close_when_silent};
use crate::base::lock::lock;
use http::HeaderMap;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use seamhatch_core::Instant;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::identity::Address;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Longest wait for a TCP connection; the back end is on the same machine. Chosen, not measured.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an idle connection is kept when the back end doesn't say, margin included. Chosen, not measured.
const DEFAULT_IDLE: Microseconds = 8 * SECOND;
/// An idle connection is closed this long before the back end does so, so that no call meets the close. Chosen, not measured.
const IDLE_MARGIN: Microseconds = SECOND;
/// Longest wait for a connection to be done with an exchange that has ended. Chosen, not measured.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);

/// An open connection; dropping it closes it at once, whatever is in progress on it.
#[derive(Debug)]
pub struct Connection {
    pub(super) sender: SendRequest<HttpRequestBody>,
    task: JoinHandle<()>,
    check: SilenceCheck,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// The idle connections to one address.
#[derive(Debug, Clone)]
pub struct Connections {
    address: Address,
    idle: Arc<Mutex<Vec<Idle>>>,
}

impl Connections {
    /// No connections yet to the back end at `address`.
    pub fn new(address: Address) -> Self {
        Self { address, idle: Arc::default() }
    }

    /// Takes the connection with this check that was used last, so that the others can age.
    pub fn take_idle(&self, check: SilenceCheck) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.lock();
        idle.retain(|kept| kept.until > now && !kept.connection.sender.is_closed());
        let position = idle.iter().rposition(|kept| kept.connection.check == check)?;
        Some(idle.remove(position).connection)
    }

    /// Opens a connection, in place of the one that has been idle for longest, if any: that one has the other check, and the
    /// back end takes only so many connections.
    ///
    /// # Errors
    /// It was refused or did not come up in time; nothing was written.
    pub async fn open(&self, check: SilenceCheck) -> std::io::Result<Connection> {
        self.drop_oldest();
        let connecting = TcpStream::connect(SocketAddr::from(self.address));
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
        stream.set_nodelay(true)?;
        close_when_silent(&stream, check)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        // The call on the connection gets its error, so the task's result is dropped.
        let task = tokio::spawn(async move { drop(connection.await) });
        Ok(Connection { sender, task, check })
    }

    /// Keeps a connection whose request was written and whose answer was read as a whole.
    pub fn keep(&self, mut connection: Connection, idle_span: Microseconds) {
        let connections = self.clone();
        tokio::spawn(async move {
            let settled = tokio::time::timeout(SETTLE_TIMEOUT, connection.sender.ready()).await;
            if matches!(settled, Ok(Ok(()))) {
                let until = clock::now().plus(idle_span);
                connections.lock().push(Idle { connection, until });
            }
        });
    }

    fn drop_oldest(&self) {
        let mut idle = self.lock();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    /// Closes all idle connections.
    pub fn forget(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        lock(&self.idle)
    }
}

/// How long a connection may be kept idle after an answer with these fields: what `Keep-Alive` says, less a margin.
pub fn idle_span(headers: &HeaderMap) -> Microseconds {
    let stated = headers.get("keep-alive").and_then(|value| value.to_str().ok()).and_then(|value| {
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.parse::<u64>().ok()
    });
    stated.map_or(DEFAULT_IDLE, |seconds| seconds * SECOND).saturating_sub(IDLE_MARGIN)
}
