//! The traffic listeners, for requests of callers and of the back end.
//!
//! They use `hyper` rather than `xitca-web`, which keeps running a handler after its caller has disconnected. With
//! `hyper`, the handler is dropped within milliseconds, which cancels the call down to the connection to the back
//! end. A connection is bound by the limits of the configuration in force when it opens.

use crate::listeners::connection::ConnectionRequests;
use crate::listeners::graceful_close;
use crate::listeners::head::HEADER_FIELDS;
use crate::listeners::proxy::RequestHandler;
use crate::listeners::read_ahead::ReadAheadStream;
use hyper::Request;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// Minimum size of the buffer for a request head, in bytes. The buffer is larger if the configuration allows
/// larger heads, so that oversized heads are refused by the filters and not by the library.
const MIN_HEAD_BUFFER_BYTES: usize = 64 * 1024;
/// Size of the head buffer as a multiple of the configured limit, which does not count the request line and the
/// separators of header fields.
const HEAD_BUFFER_FACTOR: usize = 2;
/// Time for which an idle connection is kept beyond the idle time that callers are granted.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Maximum delay of accepting connections while the daemon starts, because it would refuse their requests as not
/// ready or for lack of a server. Starting takes 0.1 s if the store and the members are reachable.
const STARTUP_WAIT: Duration = Duration::from_millis(300);
/// Backoff after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Time from the opening of a connection in which its first request is still read, and refused, after the listener
/// has closed.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// Tells listeners and their connections to close. Each of them holds a receiver until it has closed.
pub type ClosingSignal = watch::Sender<bool>;

/// Binds an address and serves requests there until `closing` is set.
///
/// # Errors
/// The address can't be bound.
pub async fn listen(
    address: SocketAddr,
    handler: RequestHandler,
    closing: &ClosingSignal,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(accept(listener, Arc::new(handler), closing.subscribe()));
    Ok(())
}

async fn accept(listener: TcpListener, handler: Arc<RequestHandler>, mut closing: watch::Receiver<bool>) {
    handler.until_can_route(STARTUP_WAIT).await;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = until_closing(&mut closing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, handler.clone(), closing.clone()));
            }
            Err(error) => {
                warn!(error = error.to_string().as_str(); "accepting a connection failed");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    match graceful_close::close(listener) {
        Ok(remaining) => {
            for stream in remaining {
                tokio::spawn(serve(stream, handler.clone(), closing.clone()));
            }
        }
        Err(error) => warn!(error = error.to_string().as_str(); "a listener can't be closed gracefully"),
    }
}

async fn until_closing(closing: &mut watch::Receiver<bool>) {
    // Fails only if the sender is dropped, when the process ends.
    let _ = closing.wait_for(|closing| *closing).await;
}

async fn serve(stream: TcpStream, handler: Arc<RequestHandler>, mut closing: watch::Receiver<bool>) {
    let opened = Instant::now();
    if let Err(error) = stream.set_nodelay(true) {
        debug!(error = error.to_string().as_str(); "a caller's connection failed before its first request");
        return;
    }
    let http = http_builder(&handler);
    let requests = Arc::new(ConnectionRequests::default());
    let stream = ReadAheadStream::new(stream, requests.clone(), handler.clone());
    let (held, shared) = (requests.clone(), handler.shared.clone());
    let service = service_fn(move |request| {
        let (parts, body) = Request::into_parts(request);
        // Must be called before the library reads further.
        let pipelined = held.begin_request(&parts, &body);
        handler.clone().handle(Request::from_parts(parts, body), pipelined, held.clone())
    });
    let mut connection = Box::pin(http.serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        biased;
        ended = &mut connection => ended,
        () = until_should_close(&mut closing, &requests, opened) => {
            if !requests.has_request() {
                // At most part of a head has been read.
                return;
            }
            connection.as_mut().graceful_shutdown();
            (&mut connection).await
        }
    };
    shared.metrics.left_requests.inc_by(requests.end() as u64);
    if let Err(error) = ended {
        debug!(error = error.to_string().as_str(); "a caller's connection ended");
    }
}

/// Builds an HTTP/1 server with the limits of the configuration in force.
fn http_builder(handler: &RequestHandler) -> http1::Builder {
    let limits = handler.limits();
    // The library's time limit for a head includes the idle time before it.
    let longest_wait =
        Duration::from_millis(limits.idle_timeout_ms.saturating_add(limits.head_timeout_ms)) + IDLE_MARGIN;
    let head_buffer = limits.head_bytes.saturating_mul(HEAD_BUFFER_FACTOR).max(MIN_HEAD_BUFFER_BYTES);
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(longest_wait)
        .max_buf_size(head_buffer)
        .max_headers(HEADER_FIELDS);
    http
}

/// Waits until a connection that opened at `opened` should close. A new connection is given time for its first
/// request.
async fn until_should_close(
    closing: &mut watch::Receiver<bool>,
    requests: &ConnectionRequests,
    opened: Instant,
) {
    until_closing(closing).await;
    if !requests.has_request() {
        tokio::time::sleep_until(opened + FIRST_REQUEST_TIMEOUT).await;
    }
    // A graceful shutdown makes the library end the connection with the answer in progress, so no other request
    // may be pending.
    requests.until_none_pipelined().await;
}
