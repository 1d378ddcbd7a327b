//! An answer of the back end whose head has come.

use super::connections::Connection;
use super::error::{BackendError, describe};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::notice::AnswerNotice;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// An answer whose head has been judged. Dropping it before its end closes the connection, which has the back end stop.
#[derive(Debug)]
pub struct BackendAnswer {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// What it says of its back end.
    pub notice: AnswerNotice,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
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
            let frame = frame.map_err(|error| BackendError::failed(describe(&error)))?;
            // Trailers are dropped: no caller asked for them.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// The connection, where the whole request was written. An answer that came before leaves the rest of the request
    /// unwritten, which must not come before the next one.
    pub(super) fn into_reusable(self) -> Option<(Connection, Microseconds)> {
        self.request_written.load(Ordering::Acquire).then_some((self.connection, self.idle_span))
    }
}
