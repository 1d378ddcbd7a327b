//! HTTP connections to the local back end.
//!
//! Owns the idle connections. Errors tell whether the back end may have run the call, so that
//! `not-run` is reported only if it is proven. The conventions define the meaning of header fields
//! and answers. Used by the server side of calls; other HTTP services are called by
//! `base::http_client`.

mod answer;
mod body;
mod connections;
mod error;
mod progress;
mod request;
mod stream;

pub use answer::BackendAnswer;
use answer::check_behind;
pub use body::{BodyAborted, BodyPiece, ChannelStream, RequestBody, no_body, request_body};
pub use error::{BackendError, UnsoundAnswer};
pub use progress::{AnswerProgress, MAX_ANSWER_HEAD_BYTES, MAX_ANSWER_OVERRUN};
pub use request::BackendRequest;

use crate::base::answer_head::check_response;
use crate::base::clock;
use crate::base::keepalive::SilenceCheck;
use crate::base::metrics::{Metrics, OpenCause};
use crate::conventions::{AnswerClassification, BackEndCall, HttpConventions};
use body::HttpRequestBody;
use bytes::Bytes;
use connections::{Connection, Connections, idle_timeout};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use request::silence_check;
use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::identity::Address;
use seamhatch_core::outcome::Reason;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Number of consecutive connection attempts that must be refused, or closed at once, before the
/// back end counts as exited. A single one may still be established while the process is ending.
const PROBES: u32 = 2;
/// Time for which each attempt is observed. A process that ends closes its connections one after
/// the other, its listener among them, and a back end that has reached its connection limit accepts
/// others a moment later. Without the wait, some crashes are reported 1.3 s late. Calls that broke
/// off wait for the result.
const PROBE_PAUSE: Duration = Duration::from_millis(8);
/// Longest body of a refusal that is read so that its connection can be kept, in bytes.
const MAX_REFUSAL_BODY_BYTES: usize = 4 * 1024;
/// Longest wait of a refusal for that body.
const MAX_REFUSAL_WAIT: Duration = Duration::from_millis(5);
/// Longest wait for the rest of that body. Its connection serves no other call until then.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// The local back end.
#[derive(Debug)]
pub struct Backend {
    address: Address,
    connections: Connections,
    conventions: Arc<dyn HttpConventions>,
}

impl Backend {
    /// Creates the client of the back end at `address`.
    #[must_use]
    pub fn new(address: Address, conventions: Arc<dyn HttpConventions>, metrics: Arc<Metrics>) -> Self {
        Self { address, connections: Connections::new(address, metrics), conventions }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// Returns [`BackendError::NotRun`] only if nothing was written or the back end states that it
    /// did not run the call.
    pub async fn send(
        &self,
        request: &BackendRequest<'_>,
        body: RequestBody,
    ) -> Result<BackendAnswer, BackendError> {
        let call = BackEndCall {
            fields: request.headers,
            context: request.context,
            expiry: request.expiry,
            remaining: request.expiry.since(clock::now()),
            instance: request.instance,
        };
        let message = request
            .message(&call, &*self.conventions, self.address, body.http)
            .map_err(|error| BackendError::not_sent(Reason::BadRequest, error.to_string()))?;
        let method = message.method().clone();
        let (connection, mut response) = self.exchange(message, request.expiry).await?;
        if let Err(error) = check_framing(&method, &mut response) {
            connection.close(OpenCause::UnusableAnswer);
            return Err(error.into());
        }
        self.check_response(&call, connection, response, body.written).await
    }

    /// Accepts the response as the answer to the call, unless its head says otherwise.
    async fn check_response(
        &self,
        call: &BackEndCall<'_>,
        connection: Connection,
        response: Response<Incoming>,
        request_written: Arc<AtomicBool>,
    ) -> Result<BackendAnswer, BackendError> {
        let (parts, body) = response.into_parts();
        let classification = self.conventions.classify_answer(call, parts.status, &parts.headers);
        let notice = self.conventions.notice(&classification, &parts.headers);
        match classification {
            AnswerClassification::Answer => Ok(BackendAnswer {
                notice,
                idle_timeout: idle_timeout(&parts.headers),
                status: parts.status,
                headers: parts.headers,
                body,
                progress: connection.progress(),
                expiry: call.expiry,
                connection: Some(connection),
                request_written,
            }),
            AnswerClassification::NotRun(reason) => {
                let detail = format!("status {}", parts.status);
                let idle_timeout = idle_timeout(&parts.headers);
                finish_refusal(connection, body, idle_timeout, request_written).await?;
                Err(BackendError::NotRun { reason, detail, notice })
            }
            AnswerClassification::Unusable(why) => {
                // The sender is not the back end or has mixed up its answers, so nothing more may
                // be read from this connection.
                connection.close(OpenCause::UnusableAnswer);
                Err(BackendError::failed(why))
            }
        }
    }

    /// Whether nothing listens at the back end's address any more, which means that its process has
    /// ended. A connection that opens is kept for the next call.
    pub async fn has_exited(&self) -> bool {
        for _probe in 0..PROBES {
            self.connections.close_oldest_idle();
            let opened = self.connections.open(SilenceCheck::Always, OpenCause::Probe).await;
            tokio::time::sleep(PROBE_PAUSE).await;
            match opened {
                // The connection was established while the process was ending, and reset with it.
                Ok(connection) if connection.is_closed() => connection.close(OpenCause::ClosedByServer),
                Ok(connection) => {
                    connection.return_to_pool(idle_timeout(&HeaderMap::new()));
                    return false;
                }
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {}
                // A time-out proves nothing: the process may be frozen.
                Err(_) => return false,
            }
        }
        true
    }

    /// Closes all idle connections, since another instance may use the address.
    pub fn close_idle_connections(&self) {
        self.connections.close_idle();
    }

    /// Writes a request on an idle connection or a new one. An idle connection that closed before
    /// anything was written returns the request, which is then sent on another one.
    async fn exchange(
        &self,
        mut message: Request<HttpRequestBody>,
        expiry: Instant,
    ) -> Result<(Connection, Response<Incoming>), BackendError> {
        let check = silence_check(&message);
        while let Some(connection) = self.connections.take_idle(check) {
            match send_on(connection, message, expiry).await {
                Ok(answered) => return Ok(answered),
                Err(SendFailure::Unsent { message: unsent, .. }) => message = *unsent,
                Err(SendFailure::Written(error)) => return Err(error),
            }
        }
        let cause = self.connections.open_cause();
        let opened = self.connections.open(check, cause).await;
        let connection = opened.map_err(|error| BackendError::unreachable(error.to_string()))?;
        match send_on(connection, message, expiry).await {
            Ok(answered) => Ok(answered),
            Err(SendFailure::Unsent { error, .. }) => Err(BackendError::of_exchange(&error, false)),
            Err(SendFailure::Written(error)) => Err(error),
        }
    }
}

/// Checks that the head can be read in one way only, and leaves just that in it: the length that others are told is the one by which
/// the body is read here.
///
/// # Errors
/// Returns an [`UnsoundAnswer`] if the head could be understood otherwise.
fn check_framing(method: &Method, response: &mut Response<Incoming>) -> Result<(), UnsoundAnswer> {
    let status = response.status();
    let stated = check_response(method, response)?;
    // These describe a body that they don't have.
    let is_description = method == Method::HEAD || status == StatusCode::NOT_MODIFIED;
    let length = if is_description { stated } else { response.body().size_hint().exact() };
    let headers = response.headers_mut();
    headers.remove(TRANSFER_ENCODING);
    headers.remove(CONTENT_LENGTH);
    headers.extend(length.map(|length| (CONTENT_LENGTH, length.into())));
    Ok(())
}

/// Why a request got no answer on a connection, which is closed.
#[derive(Debug)]
enum SendFailure {
    /// Nothing was written; the request can be sent on another connection.
    Unsent { message: Box<Request<HttpRequestBody>>, error: hyper::Error },
    /// The request was written, at least in part.
    Written(BackendError),
}

/// Writes a request on a connection and waits for the head of the answer, at most until it is cut
/// off.
async fn send_on(
    mut connection: Connection,
    message: Request<HttpRequestBody>,
    expiry: Instant,
) -> Result<(Connection, Response<Incoming>), SendFailure> {
    let progress = connection.progress();
    let answered = tokio::select! {
        biased;
        answered = connection.try_send(message) => Some(answered),
        () = progress.until_cut_off(expiry) => None,
    };
    match answered {
        Some(Ok(response)) => Ok((connection, response)),
        Some(Err(mut error)) => {
            connection.close(OpenCause::ClosedByServer);
            Err(match error.take_message() {
                Some(message) => {
                    SendFailure::Unsent { message: Box::new(message), error: error.into_error() }
                }
                None => SendFailure::Written(BackendError::of_exchange(error.error(), true)),
            })
        }
        None if progress.has_begun() => {
            connection.close(OpenCause::UnusableAnswer);
            Err(SendFailure::Written(BackendError::endless_answer()))
        }
        None => {
            connection.close(OpenCause::Unanswered);
            Err(SendFailure::Written(BackendError::Unanswered))
        }
    }
}

/// Reads the body of a refusal to its end if it is short, so that the connection can be kept. The refusal waits for a body that has
/// not arrived yet for [`MAX_REFUSAL_WAIT`] at most.
///
/// # Errors
/// Returns an [`UnsoundAnswer`] if the refusal goes on behind its end.
async fn finish_refusal(
    connection: Connection,
    body: Incoming,
    idle_timeout: Microseconds,
    request_written: Arc<AtomicBool>,
) -> Result<(), UnsoundAnswer> {
    let reading = tokio::spawn(async move {
        if tokio::time::timeout(DISCARD_TIMEOUT, read_short_body(body)).await != Ok(true) {
            connection.close(OpenCause::UnusableAnswer);
            return Ok(());
        }
        let request_written = request_written.load(Ordering::Acquire);
        let behind = connection.end_exchange(request_written, idle_timeout).await;
        check_behind(&behind)
    });
    // The task goes on after the wait.
    match tokio::time::timeout(MAX_REFUSAL_WAIT, reading).await {
        Ok(Ok(checked)) => checked,
        Ok(Err(_)) | Err(_) => Ok(()),
    }
}

/// Reads a body. Returns true if it ended within [`MAX_REFUSAL_BODY_BYTES`].
async fn read_short_body(mut body: Incoming) -> bool {
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        length += frame.data_ref().map_or(0, Bytes::len);
        if length > MAX_REFUSAL_BODY_BYTES {
            return false;
        }
    }
    true
}
