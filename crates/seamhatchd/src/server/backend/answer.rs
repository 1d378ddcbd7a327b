//! An answer of the back end whose head has come.

use super::connections::Connection;
use super::error::{BackendError, describe};
use crate::base::metrics::OpenCause;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::notice::AnswerNotice;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// An answer whose head has been judged. Its connection is kept for other calls as soon as the body has been read to its end.
/// Dropping the answer before that closes the connection, which has the back end stop.
#[derive(Debug)]
pub struct BackendAnswer {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// What it says of its back end.
    pub notice: AnswerNotice,
    pub(super) body: Incoming,
    pub(super) connection: Option<Connection>,
    pub(super) request_written: Arc<AtomicBool>,
    pub(super) idle_span: Microseconds,
}

impl BackendAnswer {
    /// The next piece of the body; none at its end. Cancel-safe.
    ///
    /// # Errors
    /// The body will never be complete.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BackendError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| self.broke_off(&error))?;
            // Trailers are dropped: no caller asked for them.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        self.release();
        Ok(None)
    }

    fn broke_off(&mut self, error: &hyper::Error) -> BackendError {
        if let Some(connection) = self.connection.take() {
            connection.lose(OpenCause::ClosedByServer);
        }
        BackendError::failed(describe(error))
    }

    /// Keeps the connection of an answer that was read to its end, where the whole request was written. An answer that came
    /// before leaves the rest of the request unwritten, which must not come before the next one.
    pub(super) fn release(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        if self.request_written.load(Ordering::Acquire) {
            connection.keep(self.idle_span);
        } else {
            connection.lose(OpenCause::UnusableAnswer);
        }
    }
}
