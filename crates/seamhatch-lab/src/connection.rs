//! Connections of callers, which are kept and used until the daemon closes them, as real clients do.
//!
//! Requests on them are what a planned stop could cut off. Where one ends without an answer, the caller knows whether the daemon has read the request:
//! the system of a process that closes a connection with something unread resets it.

use crate::client::{ANSWER_TIMEOUT, CallerAnswer, CallerRequest, read_answer, request_message};
use bytes::Bytes;
use http::header::{CONNECTION, HOST};
use http::{HeaderMap, HeaderValue};
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use seamhatch_core::identity::Address;
use seamhatchd::base::answer_head::check_response;
use std::collections::HashMap;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Longest wait for a connection that is to be kept.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time from the end of a connection to the reset that says that the request was not read.
const RESET_WAIT: Duration = Duration::from_millis(20);

/// Reason where no connection took the request.
pub const NOT_SENT: &str = "connection-refused";
/// Reason where the daemon closed a connection that it had answered on before, and had not read the request: as HTTP lets a server close one that is idle.
pub const NOT_READ: &str = "connection-reset";

/// Sends requests over kept connections; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Caller {
    idle: Arc<Mutex<HashMap<Address, Vec<CallerConnection>>>>,
}

impl Caller {
    /// Sends a request to an ingress listener and reads the whole answer; the time to connect is part of the wait for it.
    pub async fn send(&self, ingress: Address, request: &CallerRequest) -> CallerAnswer {
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, self.exchange(ingress, request)).await;
        answered.unwrap_or_else(|_| CallerAnswer::failed("caller-timeout"))
    }

    async fn exchange(&self, ingress: Address, request: &CallerRequest) -> CallerAnswer {
        while let Some(mut connection) = self.kept(ingress) {
            if connection.is_usable().await {
                let answer = connection.exchange(request).await;
                if answer.reason != NOT_SENT {
                    self.keep(ingress, connection);
                    return answer;
                }
            }
        }
        let Some(mut connection) = CallerConnection::connect(ingress, Duration::ZERO).await else {
            return CallerAnswer::failed(NOT_SENT);
        };
        let answer = connection.exchange(request).await;
        self.keep(ingress, connection);
        answer
    }

    fn kept(&self, ingress: Address) -> Option<CallerConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&ingress)?.pop()
    }

    fn keep(&self, ingress: Address, connection: CallerConnection) {
        if !connection.is_closing {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.entry(ingress).or_default().push(connection);
        }
    }
}

/// An open connection to a daemon.
#[derive(Debug)]
pub struct CallerConnection {
    ingress: Address,
    sender: SendRequest<Full<Bytes>>,
    /// The daemon has answered on it.
    has_answered: bool,
    /// The daemon has announced that it closes the connection, or a request has failed on it.
    is_closing: bool,
}

impl CallerConnection {
    /// Connects to an ingress listener; none when it refuses or doesn't answer in time.
    pub async fn open(ingress: Address) -> Option<Self> {
        Self::open_slow(ingress, Duration::ZERO).await
    }

    /// Connects as a caller that reads nothing for so long after each request.
    pub async fn open_slow(ingress: Address, pause: Duration) -> Option<Self> {
        tokio::time::timeout(CONNECT_TIMEOUT, Self::connect(ingress, pause)).await.ok()?
    }

    async fn connect(ingress: Address, pause: Duration) -> Option<Self> {
        let stream = TcpStream::connect(SocketAddr::from(ingress)).await.ok()?;
        let (sender, connection) = handshake(TokioIo::new(CallerStream::new(stream, pause))).await.ok()?;
        tokio::spawn(connection);
        Some(Self { ingress, sender, has_answered: false, is_closing: false })
    }

    /// Waits until the next request can be sent; false when the connection takes no more.
    pub async fn is_usable(&mut self) -> bool {
        !self.is_closing && self.sender.ready().await.is_ok()
    }

    /// Sends a request and reads the whole answer. After a time-out the connection takes no more requests.
    pub async fn send(&mut self, request: &CallerRequest) -> CallerAnswer {
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, self.exchange(request)).await;
        answered.unwrap_or_else(|_| {
            self.is_closing = true;
            CallerAnswer::failed("caller-timeout")
        })
    }

    fn failed(&mut self, reason: &str) -> CallerAnswer {
        self.is_closing = true;
        CallerAnswer::failed(reason)
    }

    async fn exchange(&mut self, request: &CallerRequest) -> CallerAnswer {
        let Ok(host) = HeaderValue::from_str(&self.ingress.to_string()) else {
            return CallerAnswer::failed("bad-request");
        };
        let Some(mut message) = request_message(&request.path, request) else {
            return CallerAnswer::failed("bad-request");
        };
        message.headers_mut().insert(HOST, host);
        let method = message.method().clone();
        match self.sender.try_send_request(message).await {
            Ok(response) if check_response(&method, &response).is_err() => self.failed("unsound-answer"),
            Ok(response) => {
                self.has_answered = true;
                self.is_closing = announces_close(response.headers());
                read_answer(response, request).await
            }
            // Closed before anything was written, as a new connection that is refused.
            Err(error) if error.message().is_some() => self.failed(NOT_SENT),
            Err(error) if self.has_answered && is_reset(error.error()) => self.failed(NOT_READ),
            Err(_) => self.failed("connection-lost"),
        }
    }
}

/// Whether the daemon's system reset the connection.
fn is_reset(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|cause| cause.downcast_ref::<io::Error>());
    let kinds = [io::ErrorKind::ConnectionReset, io::ErrorKind::BrokenPipe];
    cause.is_some_and(|error| kinds.contains(&error.kind()))
}

/// A stream whose end, where a request has no answer, is a reset if one follows soon.
#[derive(Debug)]
struct CallerStream {
    stream: TcpStream,
    /// How long nothing is read after something was written.
    pause: Duration,
    /// The rest of that time.
    pausing: Option<Pin<Box<Sleep>>>,
    /// Something was written since something was read last.
    is_asking: bool,
    /// The wait for a reset.
    waiting: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    fn new(stream: TcpStream, pause: Duration) -> Self {
        Self { stream, pause, pausing: None, is_asking: false, waiting: None }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(pausing) = &mut self.pausing {
            ready!(pausing.as_mut().poll(context));
            self.pausing = None;
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > before {
            self.is_asking = false;
        }
        if !self.is_asking {
            return Poll::Ready(Ok(()));
        }
        let waiting = self.waiting.get_or_insert_with(|| Box::pin(sleep(RESET_WAIT)));
        ready!(waiting.as_mut().poll(context));
        Poll::Ready(self.stream.take_error()?.map_or(Ok(()), Err))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_asking = true;
        if !self.pause.is_zero() {
            self.pausing = Some(Box::pin(sleep(self.pause)));
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

fn announces_close(headers: &HeaderMap) -> bool {
    headers.get(CONNECTION).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
