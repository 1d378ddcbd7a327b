//! The listeners that take requests: callers', and those of the back end beside the daemon.
//!
//! Served by `hyper` and not by `xitca-web`, which goes on with a handler whose caller has left: here
//! the handler is dropped within milliseconds, and with it the call, down to the back end's connection.

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

/// Smallest buffer for a request head in bytes. It is larger where the configuration allows larger heads, so
/// that the filters refuse what is too large and not the library.
const HEAD_BUFFER: usize = 64 * 1024;
/// What the line of a request and the separators of its fields add to a head, as a multiple of the bytes that
/// the configuration bounds.
const HEAD_OVERHEAD: usize = 2;
/// Header fields that a request may have. The library's own limit of 100 is within reach of proper heads.
const HEADER_FIELDS: usize = 512;
/// An idle connection is kept this much longer than callers may reuse it.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Callers' connections wait for this long at most for a daemon that starts: with its store and members at
/// hand it knows enough within 0.1 s, and would refuse until then what it can serve. Later it answers that it
/// is not ready.
const START_PATIENCE: Duration = Duration::from_millis(300);
/// Wait after a failed accept, so that a lack of file descriptors doesn't spin.
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
            // Connections that have come up are served before the listener ends.
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
    // The library's time for a head also runs while the connection is idle before it.
    let limits = handler.limits();
    let longest_wait =
        Duration::from_millis(limits.idle_timeout_ms.saturating_add(limits.head_timeout_ms)) + IDLE_MARGIN;
    let head_buffer = limits.head_bytes.saturating_mul(HEAD_OVERHEAD).max(HEAD_BUFFER);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { handler.handle(request).await }
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
