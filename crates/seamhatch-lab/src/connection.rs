//! A caller's one connection, used until it is closed.

use crate::client::{ANSWER_TIMEOUT, CallerAnswer, CallerRequest, read_answer, request_message};
use bytes::Bytes;
use http::header::{CONNECTION, HOST};
use http::{HeaderMap, HeaderValue};
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use seamhatch_core::identity::Address;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Longest wait for a connection: on loopback it is there at once, or refused.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An open connection to a daemon.
pub struct CallerConnection {
    ingress: Address,
    sender: SendRequest<Full<Bytes>>,
    /// The daemon has told that it closes the connection.
    told_to_close: bool,
}

impl CallerConnection {
    /// Connects to an ingress listener; none when it refuses.
    pub async fn open(ingress: Address) -> Option<Self> {
        let connecting = TcpStream::connect(SocketAddr::from(ingress));
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(Self { ingress, sender, told_to_close: false })
    }

    /// Waits until the next request can be sent; false when the connection takes none any more.
    pub async fn is_usable(&mut self) -> bool {
        !self.told_to_close && self.sender.ready().await.is_ok()
    }

    /// Sends a request and reads the whole answer. A connection that has failed takes no other.
    pub async fn send(&mut self, request: &CallerRequest) -> CallerAnswer {
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, self.exchange(request)).await;
        answered.unwrap_or_else(|_| {
            self.told_to_close = true;
            CallerAnswer::failed("caller-timeout")
        })
    }

    async fn exchange(&mut self, request: &CallerRequest) -> CallerAnswer {
        let Ok(host) = HeaderValue::from_str(&self.ingress.to_string()) else {
            return CallerAnswer::failed("bad-request");
        };
        let Some(mut message) = request_message(&request.path, request) else {
            return CallerAnswer::failed("bad-request");
        };
        message.headers_mut().insert(HOST, host);
        match self.sender.try_send_request(message).await {
            Ok(response) => {
                self.told_to_close = says_close(response.headers());
                read_answer(response, request).await
            }
            // Closed before anything was written, as a new connection that is refused.
            Err(error) if error.message().is_some() => CallerAnswer::failed("connection-refused"),
            Err(_) => CallerAnswer::failed("connection-lost"),
        }
    }
}

fn says_close(headers: &HeaderMap) -> bool {
    headers.get(CONNECTION).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
