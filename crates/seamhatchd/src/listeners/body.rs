//! Bodies of answers on their way to an HTTP caller. They keep their requests in progress.

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

/// Has the connection to the caller close early, so that the caller sees that the answer is incomplete.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct BrokenBody(String);

/// Body of an answer to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, BrokenBody>;

/// Pieces of an answer that may wait for a slow caller while the answer is recorded.
const RECORDED_AHEAD: usize = 4;

/// A body whose bytes are all known.
pub fn whole(bytes: Bytes) -> CallerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// The body of an answer; an error when it breaks off. Dropping it cancels the call.
pub fn streamed(answer: Answer, taken: AcceptedRequest) -> CallerBody {
    let pieces = stream::unfold(Some((answer, taken)), |state| async {
        let (mut answer, taken) = state?;
        match answer.next().await {
            Ok(Some(piece)) => Some((Ok(Frame::data(piece)), Some((answer, taken)))),
            Ok(None) => None,
            Err(Rejection { detail, .. }) => Some((Err(BrokenBody(detail)), None)),
        }
    });
    StreamBody::new(pieces).boxed_unsync()
}

/// The body of an answer that is read to its end whether or not its caller stays, so that it can be
/// recorded for repeats of the same request.
pub fn recorded(mut answer: Answer, taken: AcceptedRequest) -> CallerBody {
    let (sender, pieces) = mpsc::channel(RECORDED_AHEAD);
    let unwritten = taken.clone();
    tokio::spawn(async move {
        let _taken = taken;
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
    let pieces = stream::unfold((pieces, unwritten), |(mut pieces, unwritten)| async {
        Some((pieces.recv().await?, (pieces, unwritten)))
    });
    StreamBody::new(pieces).boxed_unsync()
}
