//! Idle connections to the local back end.
//!
//! The pool of `hyper-util` is not used, for three reasons. A connection may be kept only if the
//! whole request was written and the whole answer read. It must be closed when the back end's
//! instance changes. Cancelling a call must close its connection at once, since that is how the
//! back end learns of the cancellation.

use super::body::HttpRequestBody;
use super::progress::AnswerProgress;
use super::stream::{CheckedStream, SharedCheck};
use crate::base::clock;
use crate::base::keepalive::{SilenceCheck, close_when_silent};
use crate::base::lock::lock;
use crate::base::metrics::{Metrics, OpenCause};
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, Parts, SendRequest, handshake};
use hyper_util::rt::TokioIo;
use seamhatch_core::Instant;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::identity::Address;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// A connection as the HTTP library drives it.
type ClientConnection = http1::Connection<TokioIo<CheckedStream>, HttpRequestBody>;

/// Longest wait for a TCP connection; the back end is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time in microseconds that the back end is assumed to allow if it states none. The connection
/// is closed [`IDLE_MARGIN`] earlier.
const DEFAULT_IDLE_TIMEOUT: Microseconds = 8 * SECOND;
/// Margin by which an idle connection is closed before the back end closes it, so that no call meets
/// the close, in microseconds.
const IDLE_MARGIN: Microseconds = SECOND;
/// Longest wait for a connection to become ready after an exchange that has ended.
const READY_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of closed connections that are recorded as causes to open others. Bounds the
/// memory; no more connections than this are in use at once.
const MAX_RECORDED_CLOSES: usize = 256;

/// An open connection. Dropping it closes it at once, whatever is in progress on it.
#[derive(Debug)]
struct Link {
    sender: SendRequest<HttpRequestBody>,
    /// Returns the bytes that came last and belong to no answer.
    task: JoinHandle<Bytes>,
    stop: Arc<Notify>,
    check: SharedCheck,
    progress: AnswerProgress,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Why no other request can be sent after an answer that was read to its end; none if one can. After an answer that came earlier,
    /// the rest of the request is still unwritten, and it must not precede the next request.
    async fn cause_to_close(&mut self, request_written: bool) -> Option<OpenCause> {
        if !request_written {
            return Some(OpenCause::UnusableAnswer);
        }
        match tokio::time::timeout(READY_TIMEOUT, self.sender.ready()).await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(OpenCause::ClosedByServer),
            Err(_) => Some(OpenCause::UnusableAnswer),
        }
    }

    /// Closes the connection. Returns the bytes that came last and belong to no answer.
    async fn close(mut self) -> Bytes {
        self.stop.notify_one();
        // The task ends early only with the process.
        (&mut self.task).await.unwrap_or_default()
    }
}

/// A connection in use. Dropping it closes it, which cancels its call.
#[derive(Debug)]
pub struct Connection {
    /// `None` once the connection has been returned to the pool or closed.
    link: Option<Link>,
    pool: Connections,
}

impl Connection {
    /// Writes a request and waits for the head of the answer.
    ///
    /// # Errors
    /// Returns an error if no answer came. The error holds the request if nothing of it was
    /// written.
    pub async fn try_send(
        &mut self,
        message: Request<HttpRequestBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<HttpRequestBody>>> {
        let Some(link) = &mut self.link else { unreachable!("a connection is used up only by value") };
        link.progress.begin();
        let answered = link.sender.try_send_request(message).await;
        link.progress.end_head();
        answered
    }

    /// The progress of the answer on this connection.
    pub fn progress(&self) -> AnswerProgress {
        self.link.as_ref().map(|link| link.progress.clone()).unwrap_or_default()
    }

    /// Whether nothing can be sent any more.
    pub fn is_closed(&self) -> bool {
        self.link.as_ref().is_none_or(|link| link.sender.is_closed())
    }

    /// Returns the connection to the pool. Its request must have been written and its answer read
    /// completely. If the connection is ready for the next request, no task has to wait for that.
    pub fn return_to_pool(mut self, idle_timeout: Microseconds) {
        let Some(mut link) = self.link.take() else { return };
        let pool = self.pool.clone();
        if link.sender.is_ready() {
            return pool.add(link, idle_timeout);
        }
        tokio::spawn(async move {
            match tokio::time::timeout(READY_TIMEOUT, link.sender.ready()).await {
                Ok(Ok(())) => pool.add(link, idle_timeout),
                Ok(Err(_)) => pool.record_close(OpenCause::ClosedByServer),
                Err(_) => pool.record_close(OpenCause::UnusableAnswer),
            }
        });
    }

    /// Ends an exchange whose answer was read to its end, and keeps the connection if it can be used again. Returns the bytes that
    /// came behind the answer, which belong to no request.
    pub async fn end_exchange(mut self, request_written: bool, idle_timeout: Microseconds) -> Bytes {
        let Some(mut link) = self.link.take() else { return Bytes::new() };
        let Some(cause) = link.cause_to_close(request_written).await else {
            self.pool.add(link, idle_timeout);
            return Bytes::new();
        };
        let behind = link.close().await;
        self.pool.record_close(if behind.is_empty() { cause } else { OpenCause::UnusableAnswer });
        behind
    }

    /// Closes the connection and records the cause.
    pub fn close(mut self, cause: OpenCause) {
        self.link = None;
        self.pool.record_close(cause);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.link.take().is_some() {
            self.pool.record_close(OpenCause::Cancelled);
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    link: Link,
    until: Instant,
}

/// A connection that was closed and would otherwise be idle now.
#[derive(Debug)]
struct ClosedConnection {
    cause: OpenCause,
    until: Instant,
}

#[derive(Debug, Default)]
struct Pool {
    /// Ordered by last use.
    idle: VecDeque<IdleConnection>,
    /// Ordered by time. Each entry stands for one connection that has to be opened as a
    /// replacement.
    closed: VecDeque<ClosedConnection>,
}

/// The idle connections to one address.
#[derive(Debug, Clone)]
pub struct Connections {
    address: Address,
    pool: Arc<Mutex<Pool>>,
    metrics: Arc<Metrics>,
}

impl Connections {
    /// Creates a pool without connections for the back end at `address`.
    pub fn new(address: Address, metrics: Arc<Metrics>) -> Self {
        Self { address, pool: Arc::default(), metrics }
    }

    /// Takes the connection that was used last, so that the others can age. The connection uses
    /// `check` from now on.
    pub fn take_idle(&self, check: SilenceCheck) -> Option<Connection> {
        let now = clock::now();
        let mut pool = self.lock();
        // Each expired connection is removed once, so that the cost of a call does not depend on
        // the number of those that stay.
        while pool.idle.front().is_some_and(|oldest| oldest.until <= now) {
            pool.idle.pop_front();
        }
        while let Some(IdleConnection { link, until }) = pool.idle.pop_back() {
            if until <= now {
                continue;
            }
            if link.sender.is_closed() {
                pool.record_close(OpenCause::ClosedByServer, now);
                continue;
            }
            link.check.set(check);
            return Some(Connection { link: Some(link), pool: self.clone() });
        }
        None
    }

    /// Returns the cause for opening a connection now: it replaces the connection that was closed
    /// last, unless that one would no longer be idle.
    pub fn open_cause(&self) -> OpenCause {
        let now = clock::now();
        let mut pool = self.lock();
        let last_closed = pool.closed.pop_back().filter(|closed| closed.until > now);
        last_closed.map_or(OpenCause::NoneIdle, |closed| closed.cause)
    }

    /// Closes the connection that has been idle longest, if any, since the back end accepts a
    /// limited number of connections.
    pub fn close_oldest_idle(&self) {
        self.lock().idle.pop_front();
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// Returns an error if the connection was refused or timed out; nothing was written.
    pub async fn open(&self, check: SilenceCheck, cause: OpenCause) -> std::io::Result<Connection> {
        self.metrics.backend_connection(cause);
        let connecting = TcpStream::connect(SocketAddr::from(self.address));
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
        stream.set_nodelay(true)?;
        close_when_silent(&stream, check)?;
        let shared_check = SharedCheck::new(check);
        let progress = AnswerProgress::default();
        let stream = CheckedStream::new(stream, shared_check.clone(), progress.clone());
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        let stop = Arc::new(Notify::new());
        let task = tokio::spawn(drive(connection, stop.clone()));
        let link = Link { sender, task, stop, check: shared_check, progress };
        Ok(Connection { link: Some(link), pool: self.clone() })
    }

    fn add(&self, link: Link, idle_timeout: Microseconds) {
        let until = clock::now().plus(idle_timeout);
        self.lock().idle.push_back(IdleConnection { link, until });
    }

    fn record_close(&self, cause: OpenCause) {
        self.lock().record_close(cause, clock::now());
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.lock().idle.clear();
    }

    fn lock(&self) -> MutexGuard<'_, Pool> {
        lock(&self.pool)
    }
}

impl Pool {
    fn record_close(&mut self, cause: OpenCause, now: Instant) {
        if self.closed.len() >= MAX_RECORDED_CLOSES {
            self.closed.pop_front();
        }
        self.closed.push_back(ClosedConnection { cause, until: now.plus(DEFAULT_IDLE_TIMEOUT) });
    }
}

/// Drives a connection until it ends or is stopped. Returns the bytes that came last and belong to no answer.
async fn drive(mut exchanges: ClientConnection, stop: Arc<Notify>) -> Bytes {
    let ended = poll_fn(|context| exchanges.poll_without_shutdown(context));
    tokio::select! {
        // The call on the connection gets its error.
        _ended = ended => {}
        () = stop.notified() => {}
    }
    let Parts { io, read_buf, .. } = exchanges.into_parts();
    [read_buf, io.into_inner().read_arrived()].concat().into()
}

/// Returns how long a connection may be kept idle after an answer with these fields: the time in
/// `Keep-Alive`, less a margin.
pub fn idle_timeout(headers: &HeaderMap) -> Microseconds {
    let stated = headers.get("keep-alive").and_then(|value| value.to_str().ok()).and_then(|value| {
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.parse::<u64>().ok()
    });
    stated.map_or(DEFAULT_IDLE_TIMEOUT, |seconds| seconds.saturating_mul(SECOND)).saturating_sub(IDLE_MARGIN)
}
