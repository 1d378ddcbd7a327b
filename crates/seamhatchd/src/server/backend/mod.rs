//! HTTP towards the back end beside the daemon.

mod body;
mod client;
mod connections;

pub use body::{BodyPiece, BrokenOff, ChannelStream, RequestBody, no_body, request_body};
pub use client::{HttpClient, http_client, probing_http_client};

use crate::base::clock;
use crate::base::keepalive::SilenceCheck;
use crate::conventions::headers;
use crate::conventions::{AnswerVerdict, BackEndCall, HttpConventions};
use body::HttpRequestBody;
use bytes::Bytes;
use connections::{Connection, Connections, idle_span};
use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use seamhatch_core::clock::Microseconds;
use seamhatch_core::identity::Address;
use seamhatch_core::instance::InstanceId;
use seamhatch_core::outcome::Reason;
use seamhatch_wire::HeaderField;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use thiserror::Error;

/// Longest request body in bytes that the buffers of a connection surely hold, whether or not the back
/// end reads it.
const SHORT_BODY: u64 = 16 * 1024;

/// Connections in a row that must be refused, or closed at once, before the back end counts as gone.
const PROBES: u32 = 2;
/// How long each of them is looked at: a process closes its connections one after the other, its listener among them, and a
/// back end that has no room for connections takes others a moment later. Calls that broke off wait for it.
const PROBE_PAUSE: Duration = Duration::from_millis(8);

/// What is sent to the back end.
#[derive(Debug)]
pub struct BackendRequest<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Fields that pass through.
    pub headers: &'a [HeaderField],
    /// Reference to the running call.
    pub context: &'a str,
    /// When it becomes useless.
    pub expiry: seamhatch_core::Instant,
    /// The instance that it is meant for, where instances are registered.
    pub instance: Option<&'a InstanceId>,
}

/// Why the back end gave no answer.
#[derive(Debug, Error)]
pub enum BackendError {
    /// It did not run the call and won't: nothing was written, or it says so itself.
    #[error(
        "the back end did not run the call ({reason}): {detail}; check that it listens on backend.address"
    )]
    NotRun {
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

impl BackendError {
    fn failed(detail: impl Into<String>) -> Self {
        Self::Failed { detail: detail.into() }
    }

    fn unreachable(detail: impl Into<String>) -> Self {
        Self::NotRun { reason: Reason::BackendUnreachable, detail: detail.into() }
    }
}

/// The back end beside the daemon.
#[derive(Debug)]
pub struct Backend {
    address: Address,
    connections: Connections,
    conventions: Arc<dyn HttpConventions>,
}

/// An answer whose head has been judged. Dropping it before its end closes the connection, which tells
/// the back end to stop.
#[derive(Debug)]
pub struct BackendAnswer {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    body: Incoming,
    connection: Connection,
    request_written: Arc<AtomicBool>,
    idle_span: Microseconds,
}

impl BackendAnswer {
    /// The next piece of the body; none at its end. Cancel-safe.
    ///
    /// # Errors
    /// The body will never be complete.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BackendError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| BackendError::failed(describe(&error)))?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }
}

impl Backend {
    /// The back end at `address`.
    #[must_use]
    pub fn new(address: Address, conventions: Arc<dyn HttpConventions>) -> Self {
        Self { address, connections: Connections::new(address), conventions }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// [`BackendError::NotRun`] only when nothing was written or the back end says so.
    pub async fn send(
        &self,
        request: &BackendRequest<'_>,
        body: RequestBody,
    ) -> Result<BackendAnswer, BackendError> {
        let now = clock::now();
        let call = BackEndCall {
            fields: request.headers,
            context: request.context,
            expiry: request.expiry,
            remaining: request.expiry.since(now),
            instance: request.instance,
        };
        let message = self.build(request, &call, body.http).map_err(|error| BackendError::NotRun {
            reason: Reason::BadRequest,
            detail: error.to_string(),
        })?;
        let (connection, response) = self.exchange(message).await?;
        let (parts, body_of_answer) = response.into_parts();
        match self.conventions.judge(&call, parts.status, &parts.headers) {
            AnswerVerdict::Answer => {}
            AnswerVerdict::NotRun(reason) => {
                let detail = format!("status {}", parts.status);
                self.discard(connection, body_of_answer, &parts.headers, &body.written).await;
                return Err(BackendError::NotRun { reason, detail });
            }
            AnswerVerdict::Unusable(why) => return Err(BackendError::failed(why)),
        }
        Ok(BackendAnswer {
            idle_span: idle_span(&parts.headers),
            status: parts.status,
            headers: parts.headers,
            body: body_of_answer,
            connection,
            request_written: body.written,
        })
    }

    /// Keeps the connection of an answer that was read to its end.
    pub fn finish(&self, answer: BackendAnswer) {
        // An early answer leaves the rest of the request unwritten; it must not come before the next one.
        if answer.request_written.load(Ordering::Acquire) {
            self.connections.keep(answer.connection, answer.idle_span);
        }
    }

    /// Whether nothing listens at the back end's address any more: its process has ended. A connection that
    /// opens is kept for the next call.
    pub async fn is_gone(&self) -> bool {
        for _probe in 0..PROBES {
            let opened = self.connections.open(SilenceCheck::Always).await;
            tokio::time::sleep(PROBE_PAUSE).await;
            match opened {
                // One that came up while the process was ending is reset with it.
                Ok(connection) if connection.sender.is_closed() => {}
                Ok(connection) => {
                    self.connections.keep(connection, idle_span(&HeaderMap::new()));
                    return false;
                }
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {}
                // Silence is no proof: the process may be frozen.
                Err(_) => return false,
            }
        }
        true
    }

    /// Closes all idle connections, as another instance may have the address.
    pub fn forget_connections(&self) {
        self.connections.forget();
    }

    /// Reads the body of a refusal to its end where that is short, so that the connection can be kept.
    async fn discard(
        &self,
        connection: Connection,
        mut body: Incoming,
        headers: &HeaderMap,
        written: &AtomicBool,
    ) {
        const LONGEST_REFUSAL: usize = 4 * 1024;
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return };
            length += frame.data_ref().map_or(0, Bytes::len);
            if length > LONGEST_REFUSAL {
                return;
            }
        }
        if written.load(Ordering::Acquire) {
            self.connections.keep(connection, idle_span(headers));
        }
    }

    /// Writes a request on a kept connection or a new one. A kept connection that closed before anything
    /// was written gives the request back.
    async fn exchange(
        &self,
        mut message: Request<HttpRequestBody>,
    ) -> Result<(Connection, http::Response<Incoming>), BackendError> {
        let check = silence_check(&message);
        while let Some(mut connection) = self.connections.take_idle(check) {
            match connection.sender.try_send_request(message).await {
                Ok(response) => return Ok((connection, response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => message = unsent,
                    None => return Err(BackendError::failed(describe(error.error()))),
                },
            }
        }
        let mut connection = self
            .connections
            .open(check)
            .await
            .map_err(|error| BackendError::unreachable(error.to_string()))?;
        match connection.sender.try_send_request(message).await {
            Ok(response) => Ok((connection, response)),
            Err(mut error) => {
                let detail = describe(error.error());
                let unsent = error.take_message().is_some();
                Err(if unsent { BackendError::unreachable(detail) } else { BackendError::failed(detail) })
            }
        }
    }

    fn build(
        &self,
        request: &BackendRequest<'_>,
        call: &BackEndCall<'_>,
        body: HttpRequestBody,
    ) -> Result<Request<HttpRequestBody>, http::Error> {
        let uri = request.path.parse::<Uri>()?;
        let mut message =
            Request::builder().method(Method::from_bytes(request.method.as_bytes())?).uri(uri).body(body)?;
        let fields = message.headers_mut();
        headers::append_fields(fields, request.headers);
        headers::append_fields(fields, &self.conventions.back_end_fields(call));
        if !fields.contains_key(HOST) {
            fields.insert(HOST, HeaderValue::from_str(&self.address.to_string())?);
        }
        Ok(message)
    }
}

/// How the connection of a request is watched: bytes of a long body may wait for a slow back end.
fn silence_check(message: &Request<HttpRequestBody>) -> SilenceCheck {
    if message.body().is_end_stream() {
        return SilenceCheck::Always;
    }
    let length = message.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    match length {
        Some(0..=SHORT_BODY) => SilenceCheck::Always,
        _ => SilenceCheck::WhileIdle,
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
