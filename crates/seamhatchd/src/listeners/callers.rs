//! The listeners that take requests of callers and of the back end.
//!
//! Served by `hyper` and not by `xitca-web`, which goes on with a handler whose caller has left: here the handler is dropped
//! within milliseconds, and with it the call, down to the connection to the back end. Bounds are those of the configuration
//! in force when a connection opens.

use crate::listeners::connection::ConnectionRequests;
use crate::listeners::graceful_close;
use crate::listeners::head::HEADER_FIELDS;
use crate::listeners::proxy::RequestHandler;
use crate::listeners::read_ahead::WatchedStream;
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

/// Smallest buffer for a request head in bytes. It is larger where the configuration allows larger heads, so that the filters
/// refuse what is too large and not the library.
const HEAD_BUFFER: usize = 64 * 1024;
/// Buffer for a head, as a multiple of the bytes that the configuration bounds: the rest is for the request line and the
/// separators of fields.
const HEAD_OVERHEAD: usize = 2;
/// An idle connection is kept this much longer than callers may reuse it.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Longest wait of callers' connections for a daemon that starts, which would refuse their requests as not ready or for lack of a server. It takes
/// 0.1 s where its store and members are within reach.
const START_PATIENCE: Duration = Duration::from_millis(300);
/// Wait after a failed accept, so that a lack of file descriptors doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest time from the opening of a connection to its first request, where the listener closes meanwhile: it is read and refused.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(100);

/// Tells listeners and their connections when to end, and knows when they have: each of them holds a receiver until then.
pub type ClosingSignal = watch::Sender<bool>;

/// Binds an address and serves requests there until `closing`.
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
    handler.until_decidable(START_PATIENCE).await;
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
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    match graceful_close::close(listener) {
        Ok(last) => {
            for stream in last {
                tokio::spawn(serve(stream, handler.clone(), closing.clone()));
            }
        }
        Err(error) => warn!(error = error.to_string().as_str(); "a listener can't be closed in order"),
    }
}

async fn until_closing(closing: &mut watch::Receiver<bool>) {
    // Without a sender the process has ended.
    let _ = closing.wait_for(|closing| *closing).await;
}

async fn serve(stream: TcpStream, handler: Arc<RequestHandler>, mut closing: watch::Receiver<bool>) {
    let opened = Instant::now();
    if let Err(error) = stream.set_nodelay(true) {
        debug!(error = error.to_string().as_str(); "a connection ended at once");
        return;
    }
    let http = http_of(&handler);
    let requests = Arc::new(ConnectionRequests::default());
    let stream = WatchedStream::new(stream, requests.clone(), handler.clone());
    let (held, shared) = (requests.clone(), handler.shared.clone());
    let service = service_fn(move |request| {
        let (parts, body) = Request::into_parts(request);
        // Before the library reads on.
        let ahead = held.reach(&parts, &body);
        handler.clone().handle(Request::from_parts(parts, body), ahead, held.clone())
    });
    let mut connection = Box::pin(http.serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        biased;
        ended = &mut connection => ended,
        () = until_it_may_end(&mut closing, &requests, opened) => {
            if !requests.has_begun() {
                // At most a part of a head has been read.
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

/// HTTP with the bounds of the configuration in force.
fn http_of(handler: &RequestHandler) -> http1::Builder {
    let limits = handler.limits();
    // The library counts the idle time before a head as part of the time for it.
    let longest_wait =
        Duration::from_millis(limits.idle_timeout_ms.saturating_add(limits.head_timeout_ms)) + IDLE_MARGIN;
    let head_buffer = limits.head_bytes.saturating_mul(HEAD_OVERHEAD).max(HEAD_BUFFER);
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(longest_wait)
        .max_buf_size(head_buffer)
        .max_headers(HEADER_FIELDS);
    http
}

/// Waits until a connection that was opened at `opened` is to end; one that is new then has time for its first request.
async fn until_it_may_end(
    closing: &mut watch::Receiver<bool>,
    requests: &ConnectionRequests,
    opened: Instant,
) {
    until_closing(closing).await;
    if !requests.has_begun() {
        tokio::time::sleep_until(opened + FIRST_REQUEST_WAIT).await;
    }
    // The library makes the answer in progress the last one.
    requests.until_none_ahead().await;
}
