//! Kept connections to the back end beside the daemon.
//!
//! Not the pool of `hyper-util`: a connection may only be kept when the whole request was written and
//! the whole answer read, it must go when the back end's instance changes, and cancelling a call must
//! close its connection at once, since that is how the back end learns of it.

use super::body::HttpRequestBody;
use super::stream::{CheckedStream, SharedCheck};
use crate::base::clock;
use crate::base::keepalive::{SilenceCheck, close_when_silent};
use crate::base::lock::lock;
use crate::base::metrics::{Metrics, OpenCause};
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use seamhatch_core::Instant;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::identity::Address;
use std::collections::VecDeque;
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
/// Most lost connections that are remembered as causes to open others. Bounds the memory; more than this are not in use at once.
const MOST_LOSSES: usize = 256;

/// An open connection; dropping it closes it at once, whatever is in progress on it.
#[derive(Debug)]
struct Link {
    sender: SendRequest<HttpRequestBody>,
    task: JoinHandle<()>,
    check: SharedCheck,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection in use. Dropping it closes it, which cancels its call.
#[derive(Debug)]
pub struct Connection {
    /// None once the connection has been kept or lost.
    link: Option<Link>,
    pool: Connections,
}

impl Connection {
    /// Writes a request and waits for the head of the answer.
    ///
    /// # Errors
    /// No answer came. The error holds the request where nothing of it was written.
    pub async fn try_send(
        &mut self,
        message: Request<HttpRequestBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<HttpRequestBody>>> {
        match &mut self.link {
            Some(link) => link.sender.try_send_request(message).await,
            None => unreachable!("a connection is used up only by value"),
        }
    }

    /// Whether nothing can be sent any more.
    pub fn is_closed(&self) -> bool {
        self.link.as_ref().is_none_or(|link| link.sender.is_closed())
    }

    /// Keeps a connection whose request was written and whose answer was read as a whole. Where it is ready for the next request, no
    /// task has to wait for that.
    pub fn keep(mut self, idle_span: Microseconds) {
        let Some(mut link) = self.link.take() else { return };
        let pool = self.pool.clone();
        if link.sender.is_ready() {
            return pool.add(link, idle_span);
        }
        tokio::spawn(async move {
            match tokio::time::timeout(SETTLE_TIMEOUT, link.sender.ready()).await {
                Ok(Ok(())) => pool.add(link, idle_span),
                Ok(Err(_)) => pool.note_loss(OpenCause::ClosedByServer),
                Err(_) => pool.note_loss(OpenCause::UnusableAnswer),
            }
        });
    }

    /// Closes the connection for this cause.
    pub fn lose(mut self, cause: OpenCause) {
        self.link = None;
        self.pool.note_loss(cause);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.link.take().is_some() {
            self.pool.note_loss(OpenCause::Cancelled);
        }
    }
}

#[derive(Debug)]
struct Idle {
    link: Link,
    until: Instant,
}

/// A connection that was closed and would be idle now.
#[derive(Debug)]
struct Loss {
    cause: OpenCause,
    until: Instant,
}

#[derive(Debug, Default)]
struct Pool {
    /// In the order in which they were used last.
    idle: VecDeque<Idle>,
    /// In the order of time. Each stands for one connection that has to be opened in its place.
    losses: VecDeque<Loss>,
}

/// The idle connections to one address.
#[derive(Debug, Clone)]
pub struct Connections {
    address: Address,
    pool: Arc<Mutex<Pool>>,
    metrics: Arc<Metrics>,
}

impl Connections {
    /// No connections yet to the back end at `address`.
    pub fn new(address: Address, metrics: Arc<Metrics>) -> Self {
        Self { address, pool: Arc::default(), metrics }
    }

    /// Takes the connection that was used last, so that the others can age. From now on it is watched by `check`.
    pub fn take_idle(&self, check: SilenceCheck) -> Option<Connection> {
        let now = clock::now();
        let mut pool = self.lock();
        // Each is removed once, so that a call does not pay for the number of those that stay.
        while pool.idle.front().is_some_and(|oldest| oldest.until <= now) {
            pool.idle.pop_front();
        }
        while let Some(Idle { link, until }) = pool.idle.pop_back() {
            if until <= now {
                continue;
            }
            if link.sender.is_closed() {
                pool.note_loss(OpenCause::ClosedByServer, now);
                continue;
            }
            link.check.set(check);
            return Some(Connection { link: Some(link), pool: self.clone() });
        }
        None
    }

    /// Why a connection has to be opened now: in place of the one that was lost last, unless that one would not be idle any more.
    pub fn cause_to_open(&self) -> OpenCause {
        let now = clock::now();
        let mut pool = self.lock();
        let lost = pool.losses.pop_back().filter(|loss| loss.until > now);
        lost.map_or(OpenCause::NoneIdle, |loss| loss.cause)
    }

    /// Closes the connection that has been idle for longest, if any: the back end takes only so many connections.
    pub fn make_room(&self) {
        self.lock().idle.pop_front();
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// It was refused or did not come up in time; nothing was written.
    pub async fn open(&self, check: SilenceCheck, cause: OpenCause) -> std::io::Result<Connection> {
        self.metrics.backend_connection(cause);
        let connecting = TcpStream::connect(SocketAddr::from(self.address));
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
        stream.set_nodelay(true)?;
        close_when_silent(&stream, check)?;
        let shared_check = SharedCheck::new(check);
        let stream = CheckedStream::new(stream, shared_check.clone());
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        // The call on the connection gets its error, so the task's result is dropped.
        let task = tokio::spawn(async move { drop(connection.await) });
        Ok(Connection { link: Some(Link { sender, task, check: shared_check }), pool: self.clone() })
    }

    fn add(&self, link: Link, idle_span: Microseconds) {
        let until = clock::now().plus(idle_span);
        self.lock().idle.push_back(Idle { link, until });
    }

    fn note_loss(&self, cause: OpenCause) {
        self.lock().note_loss(cause, clock::now());
    }

    /// Closes all idle connections.
    pub fn forget(&self) {
        self.lock().idle.clear();
    }

    fn lock(&self) -> MutexGuard<'_, Pool> {
        lock(&self.pool)
    }
}

impl Pool {
    fn note_loss(&mut self, cause: OpenCause, now: Instant) {
        if self.losses.len() >= MOST_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(Loss { cause, until: now.plus(DEFAULT_IDLE) });
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
