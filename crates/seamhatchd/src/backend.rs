//! HTTP towards the back end beside the daemon, and the client that other parts share.

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, Uri};
use http_body_util::{Either, Empty, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use seamhatch_core::identity::Address;
use seamhatch_core::outcome::Reason;
use seamhatch_wire::HeaderField;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;

use crate::headers;

/// An HTTP client with kept connections.
pub type HttpClient<B> = Client<HttpConnector, B>;

/// Longest wait for a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A client with the project's time-outs.
#[must_use]
pub fn http_client<B>() -> HttpClient<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
{
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}

/// The sender broke the request body off.
#[derive(Debug, Error)]
#[error("the caller broke off the request body")]
pub struct BrokenOff;

/// A piece of a request body on its way to the back end.
pub type BodyPiece = Result<Bytes, BrokenOff>;

/// A request body fed through a channel; ends when the channel closes.
#[derive(Debug)]
pub struct ChannelStream(mpsc::UnboundedReceiver<BodyPiece>);

impl futures_util::Stream for ChannelStream {
    type Item = Result<Frame<Bytes>, BrokenOff>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(context).map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }
}

/// Body of a request to the back end: pieces from a channel, or none.
pub type RequestBody = Either<StreamBody<ChannelStream>, Empty<Bytes>>;

/// A request body and the end that feeds it.
#[must_use]
pub fn request_body() -> (mpsc::UnboundedSender<BodyPiece>, RequestBody) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (sender, Either::Left(StreamBody::new(ChannelStream(receiver))))
}

/// The body of a request that has none.
#[must_use]
pub fn no_body() -> RequestBody {
    Either::Right(Empty::new())
}

/// What is sent to the back end.
#[derive(Debug)]
pub struct BackendRequest<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Fields that pass through.
    pub headers: &'a [HeaderField],
    /// Value of the context header.
    pub context: String,
    /// Expiry, as the value of the deadline header.
    pub deadline: String,
}

/// Why the back end gave no answer.
#[derive(Debug, Error)]
pub enum BackendError {
    /// Nothing was written to it.
    #[error("the back end was not reached ({reason}): {detail}; check that it listens on backend.address")]
    NotSent {
        /// The kind of failure.
        reason: Reason,
        /// Why.
        detail: String,
    },
    /// It may have begun to work.
    #[error("the back end broke off: {detail}; its own log tells why")]
    Failed {
        /// Why.
        detail: String,
    },
}

/// The back end beside the daemon.
#[derive(Debug)]
pub struct Backend {
    address: Address,
    client: HttpClient<RequestBody>,
}

impl Backend {
    /// The back end at `address`.
    #[must_use]
    pub fn new(address: Address) -> Self {
        Self { address, client: http_client() }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// [`BackendError::NotSent`] only when nothing was written.
    pub async fn send(
        &self,
        request: &BackendRequest<'_>,
        body: RequestBody,
    ) -> Result<Response<Incoming>, BackendError> {
        let request = self.build(request, body).map_err(|error| BackendError::NotSent {
            reason: Reason::BadRequest,
            detail: error.to_string(),
        })?;
        self.client.request(request).await.map_err(|error| {
            let detail = describe(&error);
            if error.is_connect() {
                BackendError::NotSent { reason: Reason::BackendUnreachable, detail }
            } else {
                BackendError::Failed { detail }
            }
        })
    }

    fn build(
        &self,
        request: &BackendRequest<'_>,
        body: RequestBody,
    ) -> Result<Request<RequestBody>, http::Error> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(request.path)
            .build()?;
        let mut message = Request::builder()
            .method(Method::from_bytes(request.method.as_bytes())?)
            .uri(uri)
            .header(headers::CONTEXT, HeaderValue::from_str(&request.context)?)
            .header(headers::DEADLINE, HeaderValue::from_str(&request.deadline)?)
            .body(body)?;
        headers::append_fields(message.headers_mut(), request.headers);
        Ok(message)
    }
}

fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
