//! Bodies of answers on their way to an HTTP caller, and the count of requests that are still open.

use crate::dispatch::Answer;
use crate::filters::Rejection;
use crate::intake::TakenRequest;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use thiserror::Error;
use tokio::sync::mpsc;

/// Has the connection to the caller close early, so that the caller sees that the answer is incomplete.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct BrokenBody(String);

/// Body of an answer to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, BrokenBody>;

/// Pieces of an answer that may wait for a slow caller while the answer is recorded. Chosen, not measured.
const RECORDED_AHEAD: usize = 4;

/// Counts an HTTP request as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    counter: Arc<AtomicUsize>,
    taken: TakenRequest,
}

impl OpenRequest {
    /// Counts one more.
    pub fn new(counter: &Arc<AtomicUsize>, taken: TakenRequest) -> Self {
        counter.fetch_add(1, Ordering::AcqRel);
        Self { counter: counter.clone(), taken }
    }

    /// The request.
    pub fn taken(&self) -> &TakenRequest {
        &self.taken
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.counter.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A body whose bytes are all known.
pub fn whole(bytes: Bytes) -> CallerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// The body of an answer; an error when it breaks off. Dropping it cancels the call.
pub fn streamed(answer: Answer, open: OpenRequest) -> CallerBody {
    let pieces = stream::unfold(Some((answer, open)), |state| async {
        let (mut answer, open) = state?;
        match answer.next().await {
            Ok(Some(piece)) => Some((Ok(Frame::data(piece)), Some((answer, open)))),
            Ok(None) => None,
            Err(Rejection { detail, .. }) => Some((Err(BrokenBody(detail)), None)),
        }
    });
    StreamBody::new(pieces).boxed_unsync()
}

/// The body of an answer that is read to its end whether or not its caller stays, so that it can be
/// recorded for repeats of the same request.
pub fn recorded(mut answer: Answer, open: OpenRequest) -> CallerBody {
    let (sender, pieces) = mpsc::channel(RECORDED_AHEAD);
    // What waits in the channel is not written yet.
    let taken = open.taken().clone();
    tokio::spawn(async move {
        let _open = open;
        loop {
            let (piece, last) = match answer.next().await {
                Ok(Some(piece)) => (Ok(Frame::data(piece)), false),
                Ok(None) => return,
                Err(Rejection { detail, .. }) => (Err(BrokenBody(detail)), true),
            };
            // Fails when the caller has left; the answer is still read to its end, to be recorded.
            let _ = sender.send(piece).await;
            if last {
                return;
            }
        }
    });
    let pieces = stream::unfold((pieces, taken), |(mut pieces, taken)| async {
        Some((pieces.recv().await?, (pieces, taken)))
    });
    StreamBody::new(pieces).boxed_unsync()
}
