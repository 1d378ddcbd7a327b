//! The listeners that take requests of callers and of the back end.
//!
//! Served by `hyper` and not by `xitca-web`, which goes on with a handler whose caller has left: here the handler is dropped
//! within milliseconds, and with it the call, down to the connection to the back end. Bounds are those of the configuration
//! in force when a connection opens.

use crate::listeners::connection::{CallerConnection, WatchedStream};
use crate::listeners::proxy::RequestHandler;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

/// Smallest buffer for a request head in bytes. It is larger where the configuration allows larger heads, so that the filters
/// refuse what is too large and not the library. Chosen, not measured.
const HEAD_BUFFER: usize = 64 * 1024;
/// Buffer for a head, as a multiple of the bytes that the configuration bounds: the rest is for the request line and the
/// separators of fields. Chosen, not measured.
const HEAD_OVERHEAD: usize = 2;
/// Header fields that a request may have. The library's own limit of 100 is within reach of proper heads. Chosen, not
/// measured.
const HEADER_FIELDS: usize = 512;
/// An idle connection is kept this much longer than callers may reuse it. Chosen, not measured.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Longest wait of callers' connections for a daemon that starts. With its store and members within reach it is ready after
/// 0.1 s; without the wait, twelve days with overlapping restarts had 288 requests refused as not ready or for lack of a
/// server, with it none. The rest of the 0.3 s is chosen.
const START_PATIENCE: Duration = Duration::from_millis(300);
/// Wait after a failed accept, so that a lack of file descriptors doesn't spin. Chosen, not measured.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A running listener for requests; dropping it refuses new connections, while open ones go on.
#[derive(Debug)]
pub struct CallerListener(
    #[expect(dead_code, reason = "its end is what the acceptor waits for")] oneshot::Sender<()>,
);

/// Binds an address and serves requests there.
///
/// # Errors
/// The address can't be bound.
pub async fn listen(address: SocketAddr, handler: RequestHandler) -> std::io::Result<CallerListener> {
    let listener = TcpListener::bind(address).await?;
    let (open, closed) = oneshot::channel();
    tokio::spawn(accept(listener, Arc::new(handler), closed));
    Ok(CallerListener(open))
}

async fn accept(listener: TcpListener, handler: Arc<RequestHandler>, mut closed: oneshot::Receiver<()>) {
    handler.until_decidable(START_PATIENCE).await;
    loop {
        let accepted = tokio::select! {
            // Connections that are already established are served before the listener ends.
            biased;
            accepted = listener.accept() => accepted,
            _ = &mut closed => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, handler.clone()));
            }
            Err(error) => {
                warn!(error = error.to_string().as_str(); "accepting a connection failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, handler: Arc<RequestHandler>) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(error = error.to_string().as_str(); "a connection ended at once");
        return;
    }
    // The library counts the idle time before a head as part of the time for it.
    let limits = handler.limits();
    let longest_wait =
        Duration::from_millis(limits.idle_timeout_ms.saturating_add(limits.head_timeout_ms)) + IDLE_MARGIN;
    let head_buffer = limits.head_bytes.saturating_mul(HEAD_OVERHEAD).max(HEAD_BUFFER);
    let requests = Arc::new(CallerConnection::default());
    let stream = WatchedStream::new(stream, requests.clone());
    let service = service_fn(move |request| {
        let (handler, requests) = (handler.clone(), requests.clone());
        async move { handler.handle(request, &requests).await }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(longest_wait)
        .max_buf_size(head_buffer)
        .max_headers(HEADER_FIELDS)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        debug!(error = error.to_string().as_str(); "a caller's connection ended");
    }
}
