//! Bodies on their way from a server's daemon to an HTTP caller.

use crate::dispatch::Answer;
use crate::filters::Rejection;
use bytes::Bytes;
use futures_util::stream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use thiserror::Error;
use xitca_web::body::{ResponseBody, StreamDataBody};

/// Makes the connection to the caller close early, so that the caller sees an incomplete answer.
#[derive(Debug, Error)]
#[error("{0}")]
struct BrokenBody(String);

/// Counts an HTTP request as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequest(Arc<AtomicUsize>);

impl OpenRequest {
    /// Counts one more.
    pub fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::AcqRel);
        Self(counter.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The body of an answer; an error when it breaks off.
pub fn streamed(answer: Answer, open: OpenRequest) -> ResponseBody {
    let pieces = stream::unfold(Some((answer, open)), |state| async {
        let (mut answer, open) = state?;
        match answer.next().await {
            Ok(Some(piece)) => Some((Ok::<Bytes, BrokenBody>(piece), Some((answer, open)))),
            Ok(None) => None,
            Err(Rejection { detail, .. }) => Some((Err(BrokenBody(detail)), None)),
        }
    });
    ResponseBody::boxed(StreamDataBody::new(pieces))
}
