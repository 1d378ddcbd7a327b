//! A caller's connection that is kept and used until the daemon closes it, as real clients do.
//!
//! The soak's keeping clients use it: requests on it are what a planned stop could cut off.

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

/// Longest wait for a connection. Chosen, not measured: on loopback it is accepted or refused at once.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An open connection to a daemon.
pub struct CallerConnection {
    ingress: Address,
    sender: SendRequest<Full<Bytes>>,
    /// The daemon has announced that it closes the connection, or a request has failed on it.
    is_closing: bool,
}

impl CallerConnection {
    /// Connects to an ingress listener; none when it refuses or doesn't answer in time.
    pub async fn open(ingress: Address) -> Option<Self> {
        let connecting = TcpStream::connect(SocketAddr::from(ingress));
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(Self { ingress, sender, is_closing: false })
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
                self.is_closing = announces_close(response.headers());
                read_answer(response, request).await
            }
            // Closed before anything was written, as a new connection that is refused.
            Err(error) if error.message().is_some() => CallerAnswer::failed("connection-refused"),
            Err(_) => CallerAnswer::failed("connection-lost"),
        }
    }
}

fn announces_close(headers: &HeaderMap) -> bool {
    headers.get(CONNECTION).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
