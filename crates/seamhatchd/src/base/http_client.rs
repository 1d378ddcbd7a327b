//! HTTP clients for services other than the back end: the store, the machine list, operators' tools.
//!
//! Their connections are kept by `hyper-util`.

use crate::base::keepalive::{KEEPALIVE_IDLE, KEEPALIVE_INTERVAL, KEEPALIVE_PROBES, SILENCE_TIMEOUT};
use hyper::body::Body;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::time::Duration;

/// An HTTP client with kept connections.
pub type HttpClient<B> = Client<HttpConnector, B>;

/// Longest wait for a TCP connection. Chosen, not measured.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept. Chosen, not measured.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A client that keeps idle connections.
#[must_use]
pub fn http_client<B>() -> HttpClient<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
{
    client(connector(), usize::MAX)
}

/// A client whose connections are closed when they fall silent. What it sends must be short, as bytes that the other side is
/// slow to read count as silence. It keeps no idle connection: a request on one that has fallen silent would wait until the
/// kernel notices.
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
    connector.set_tcp_user_timeout(Some(SILENCE_TIMEOUT));
    client(connector, 0)
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector
}

fn client<B>(connector: HttpConnector, most_idle: usize) -> HttpClient<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
{
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(most_idle)
        .build(connector)
}
