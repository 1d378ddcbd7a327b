//! HTTP to the back end beside the daemon.
//!
//! Owns the kept connections to it. An error says whether the back end can have run the call, so that `not-run` is said only
//! where it is proven. Relies on the conventions for the meaning of header fields and answers. Used by the server side of
//! calls; `client` is for other HTTP services.

mod answer;
mod body;
mod connections;
mod error;
mod request;
mod stream;

pub use answer::BackendAnswer;
pub use body::{BodyAborted, BodyPiece, ChannelStream, RequestBody, no_body, request_body};
pub use error::BackendError;
pub use request::BackendRequest;

use crate::base::clock;
use crate::base::keepalive::SilenceCheck;
use crate::base::metrics::{Metrics, OpenCause};
use crate::conventions::{AnswerVerdict, BackEndCall, HttpConventions};
use body::HttpRequestBody;
use bytes::Bytes;
use connections::{Connection, Connections, idle_span};
use futures_util::FutureExt;
use http::{HeaderMap, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use request::silence_check;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::identity::Address;
use seamhatch_core::outcome::Reason;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Connections in a row that must be refused, or closed at once, before the back end counts as gone, as one may still be
/// established while the process is ending.
const PROBES: u32 = 2;
/// How long each of them is watched: a process closes its connections one after the other, its listener among them, and a back
/// end that has no room for connections takes others a moment later. Without the wait some crashes were reported 1.3 s late.
/// Calls that broke off wait for it.
const PROBE_PAUSE: Duration = Duration::from_millis(8);
/// Longest body of a refusal that is read so that its connection can be kept, in bytes.
const LONGEST_REFUSAL: usize = 4 * 1024;
/// Longest wait for the rest of that body. Until then its connection serves no other call.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// The back end beside the daemon.
#[derive(Debug)]
pub struct Backend {
    address: Address,
    connections: Connections,
    conventions: Arc<dyn HttpConventions>,
}

impl Backend {
    /// The back end at `address`.
    #[must_use]
    pub fn new(address: Address, conventions: Arc<dyn HttpConventions>, metrics: Arc<Metrics>) -> Self {
        Self { address, connections: Connections::new(address, metrics), conventions }
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
        let (connection, response) = self.exchange(message).await?;
        self.judge(&call, connection, response, body.written).await
    }

    /// Takes the response for the answer to the call, unless its head says otherwise.
    async fn judge(
        &self,
        call: &BackEndCall<'_>,
        connection: Connection,
        response: Response<Incoming>,
        request_written: Arc<AtomicBool>,
    ) -> Result<BackendAnswer, BackendError> {
        let (parts, body) = response.into_parts();
        let verdict = self.conventions.judge(call, parts.status, &parts.headers);
        let notice = self.conventions.notice(&verdict, &parts.headers);
        match verdict {
            AnswerVerdict::Answer => Ok(BackendAnswer {
                notice,
                idle_span: idle_span(&parts.headers),
                status: parts.status,
                headers: parts.headers,
                body,
                connection: Some(connection),
                request_written,
            }),
            AnswerVerdict::NotRun(reason) => {
                let detail = format!("status {}", parts.status);
                discard(connection, body, idle_span(&parts.headers), request_written);
                Err(BackendError::NotRun { reason, detail, notice })
            }
            AnswerVerdict::Unusable(why) => {
                // Whoever sent it is not the back end, or has mixed up its answers: nothing else may come from there.
                connection.lose(OpenCause::UnusableAnswer);
                Err(BackendError::failed(why))
            }
        }
    }

    /// Ends an answer that was read to its end.
    pub fn finish(&self, mut answer: BackendAnswer) {
        answer.release();
    }

    /// Whether nothing listens at the back end's address any more: its process has ended. A connection that opens is kept for
    /// the next call.
    pub async fn has_exited(&self) -> bool {
        for _probe in 0..PROBES {
            self.connections.make_room();
            let opened = self.connections.open(SilenceCheck::Always, OpenCause::Probe).await;
            tokio::time::sleep(PROBE_PAUSE).await;
            match opened {
                // Established while the process was ending, and reset with it.
                Ok(connection) if connection.is_closed() => connection.lose(OpenCause::ClosedByServer),
                Ok(connection) => {
                    connection.keep(idle_span(&HeaderMap::new()));
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
    pub fn close_idle_connections(&self) {
        self.connections.forget();
    }

    /// Writes a request on a kept connection or a new one. A kept connection that closed before anything was written gives the
    /// request back.
    async fn exchange(
        &self,
        mut message: Request<HttpRequestBody>,
    ) -> Result<(Connection, Response<Incoming>), BackendError> {
        let check = silence_check(&message);
        while let Some(mut connection) = self.connections.take_idle(check) {
            match connection.try_send(message).await {
                Ok(response) => return Ok((connection, response)),
                Err(mut error) => {
                    connection.lose(OpenCause::ClosedByServer);
                    match error.take_message() {
                        Some(unsent) => message = unsent,
                        None => return Err(BackendError::of_exchange(error.error(), true)),
                    }
                }
            }
        }
        let cause = self.connections.cause_to_open();
        let opened = self.connections.open(check, cause).await;
        let mut connection = opened.map_err(|error| BackendError::unreachable(error.to_string()))?;
        match connection.try_send(message).await {
            Ok(response) => Ok((connection, response)),
            Err(mut error) => {
                connection.lose(OpenCause::ClosedByServer);
                let was_written = error.take_message().is_none();
                Err(BackendError::of_exchange(error.error(), was_written))
            }
        }
    }
}

/// Reads the body of a refusal to its end where that is short, so that the connection can be kept. The refusal does not wait for a body
/// that is still on its way.
fn discard(
    connection: Connection,
    body: Incoming,
    idle_span: Microseconds,
    request_written: Arc<AtomicBool>,
) {
    let mut reading = Box::pin(async move {
        let read = tokio::time::timeout(DISCARD_TIMEOUT, read_short(body)).await;
        if read == Ok(true) && request_written.load(Ordering::Acquire) {
            connection.keep(idle_span);
        } else {
            connection.lose(OpenCause::UnusableAnswer);
        }
    });
    if (&mut reading).now_or_never().is_none() {
        tokio::spawn(reading);
    }
}

/// Reads a body; true when it came to its end within [`LONGEST_REFUSAL`].
async fn read_short(mut body: Incoming) -> bool {
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        length += frame.data_ref().map_or(0, Bytes::len);
        if length > LONGEST_REFUSAL {
            return false;
        }
    }
    true
}
