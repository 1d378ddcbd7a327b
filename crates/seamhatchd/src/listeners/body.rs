//! Response bodies for HTTP callers. A body keeps its request in progress until it is dropped.

use crate::dispatch::Answer;
use crate::filters::Rejection;
use crate::intake::AcceptedRequest;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use thiserror::Error;
use tokio::sync::mpsc;

/// Error: the body is truncated. Makes the HTTP library close the connection early, so that the caller detects the
/// incomplete response.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct TruncatedBody(String);

/// The body of a response to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, TruncatedBody>;

/// Number of pieces of a recorded answer that are buffered for a slow caller.
const RECORDED_BUFFER: usize = 4;

/// A body that is already complete.
pub fn whole(bytes: Bytes) -> CallerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Streams the body of an answer. It yields an error if the answer is truncated; dropping it cancels the call.
pub fn streamed(answer: Answer, accepted: AcceptedRequest) -> CallerBody {
    let pieces = stream::unfold(Some((answer, accepted)), |state| async {
        let (mut answer, accepted) = state?;
        match answer.next().await {
            Ok(Some(piece)) => Some((Ok(Frame::data(piece)), Some((answer, accepted)))),
            Ok(None) => None,
            Err(Rejection { detail, .. }) => Some((Err(TruncatedBody(detail)), None)),
        }
    });
    StreamBody::new(pieces).boxed_unsync()
}

/// Streams the body of an answer that is read to its end even if the caller disconnects, so that it can be
/// recorded for repeats of the same request.
pub fn recorded(mut answer: Answer, accepted: AcceptedRequest) -> CallerBody {
    let (sender, pieces) = mpsc::channel(RECORDED_BUFFER);
    let unwritten = accepted.clone();
    tokio::spawn(async move {
        let _accepted = accepted;
        loop {
            let (piece, last) = match answer.next().await {
                Ok(Some(piece)) => (Ok(Frame::data(piece)), false),
                Ok(None) => return,
                Err(Rejection { detail, .. }) => (Err(TruncatedBody(detail)), true),
            };
            // Fails if the caller has disconnected; the answer is still read to its end to be recorded.
            let _ = sender.send(piece).await;
            if last {
                return;
            }
        }
    });
    let pieces = stream::unfold((pieces, unwritten), |(mut pieces, unwritten)| async {
        Some((pieces.recv().await?, (pieces, unwritten)))
    });
    StreamBody::new(pieces).boxed_unsync()
}
