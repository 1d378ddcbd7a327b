//! An answer of the back end whose head has been received.

use super::connections::Connection;
use super::error::{BackendError, UnsoundAnswer, describe};
use super::progress::AnswerProgress;
use crate::base::metrics::OpenCause;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::notice::AnswerNotice;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// How a further answer begins.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";

/// An answer whose head has been checked. Its connection is kept for other calls as soon as the
/// body has been read to its end. Dropping the answer before that closes the connection, which
/// makes the back end stop.
#[derive(Debug)]
pub struct BackendAnswer {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Notice of the back end in the answer.
    pub notice: AnswerNotice,
    pub(super) body: Incoming,
    pub(super) connection: Option<Connection>,
    pub(super) request_written: Arc<AtomicBool>,
    pub(super) idle_timeout: Microseconds,
    pub(super) progress: AnswerProgress,
    /// Deadline of the call, in the local boot clock.
    pub(super) expiry: Instant,
}

impl BackendAnswer {
    /// Returns the next piece of the body, or `None` at its end. Cancel-safe; a call that is cancelled at the very end closes the
    /// connection.
    ///
    /// # Errors
    /// Returns a [`BackendError`] if the body will never be complete, goes on for too long after the call's deadline, or seems to go
    /// on behind its end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BackendError> {
        while let Some(frame) = self.next_frame().await? {
            let frame = frame.map_err(|error| self.body_error(&error))?;
            // Trailers are dropped: no caller has asked for them.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        self.end().await?;
        Ok(None)
    }

    /// Resolves when the answer is no longer forwarded, because nobody waits for it any more.
    pub fn until_cut_off(&self) -> impl Future<Output = ()> + Send + use<> {
        let (progress, expiry) = (self.progress.clone(), self.expiry);
        async move { progress.until_cut_off(expiry).await }
    }

    async fn next_frame(&mut self) -> Result<Option<Result<Frame<Bytes>, hyper::Error>>, BackendError> {
        let cut_off = self.progress.until_cut_off(self.expiry);
        let frame = tokio::select! {
            // An answer that never pauses is cut off, too.
            biased;
            () = cut_off => None,
            frame = self.body.frame() => Some(frame),
        };
        frame.ok_or_else(|| {
            if let Some(connection) = self.connection.take() {
                connection.close(OpenCause::UnusableAnswer);
            }
            BackendError::endless_answer()
        })
    }

    fn body_error(&mut self, error: &hyper::Error) -> BackendError {
        if let Some(connection) = self.connection.take() {
            connection.close(OpenCause::ClosedByServer);
        }
        BackendError::failed(describe(error))
    }

    /// Ends the exchange of an answer that was read to its end.
    async fn end(&mut self) -> Result<(), BackendError> {
        let Some(connection) = self.connection.take() else { return Ok(()) };
        let request_written = self.request_written.load(Ordering::Acquire);
        let behind = connection.end_exchange(request_written, self.idle_timeout).await;
        Ok(check_behind(&behind)?)
    }
}

/// Checks the bytes that came behind an answer. A further answer belongs to no request and says nothing of this one. Other bytes may
/// be the rest of the body, whose length is wrong then.
///
/// # Errors
/// [`UnsoundAnswer::BytesBehind`].
pub(super) fn check_behind(behind: &[u8]) -> Result<(), UnsoundAnswer> {
    if behind.is_empty() || behind.starts_with(STATUS_LINE_START) {
        return Ok(());
    }
    Err(UnsoundAnswer::BytesBehind)
}
