//! HTTP clients for services other than the back end: the store, the machine list, operators' tools.
//!
//! `hyper-util` pools their connections.

use crate::base::keepalive::{KEEPALIVE_IDLE, KEEPALIVE_INTERVAL, KEEPALIVE_PROBES, UNACKNOWLEDGED_TIMEOUT};
use hyper::body::Body;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::time::Duration;

/// An HTTP client with a connection pool.
pub type HttpClient<B> = Client<HttpConnector, B>;

/// Timeout for opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum length of the head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A client that reuses idle connections.
#[must_use]
pub fn http_client<B>() -> HttpClient<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
{
    client(connector(), usize::MAX)
}

/// A client that closes half-open connections. Its requests must be short, since bytes that the other side is slow to read count as
/// unacknowledged. It keeps no idle connections: a request on a half-open one would wait until the kernel detects that.
#[must_use]
pub fn probing_http_client<B>() -> HttpClient<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
{
    let mut connector = connector();
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
    connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    client(connector, 0)
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector
}

fn client<B>(connector: HttpConnector, max_idle: usize) -> HttpClient<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
{
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .http1_max_buf_size(MAX_HEAD_BYTES)
        .build(connector)
}
