//! Request bodies on their way to the back end, fed piece by piece as they arrive from the peer.

use bytes::Bytes;
use http_body_util::{Either, Empty, StreamBody};
use hyper::body::Frame;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::sync::mpsc;

/// The caller aborted the request body, or its call was cancelled.
#[derive(Debug, Error)]
#[error("the caller broke off the request body")]
pub struct BodyAborted;

/// A piece of a request body on its way to the back end.
pub type BodyPiece = Result<Bytes, BodyAborted>;

/// Called with the size in bytes of each piece that the connection to the back end takes.
pub type TakenHook = Box<dyn FnMut(u32) + Send>;

/// A request body fed through a channel. It ends when the channel closes.
pub struct ChannelStream {
    pieces: mpsc::UnboundedReceiver<BodyPiece>,
    on_taken: TakenHook,
    written: Arc<AtomicBool>,
}

impl fmt::Debug for ChannelStream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ChannelStream").field("written", &self.written).finish_non_exhaustive()
    }
}

impl futures_util::Stream for ChannelStream {
    type Item = Result<Frame<Bytes>, BodyAborted>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let polled = self.pieces.poll_recv(context);
        match &polled {
            Poll::Ready(Some(Ok(piece))) => (self.on_taken)(piece.len() as u32),
            Poll::Ready(None) => self.written.store(true, Ordering::Release),
            Poll::Ready(Some(Err(BodyAborted))) | Poll::Pending => {}
        }
        polled.map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }
}

/// Body of a request to the back end: pieces from a channel, or none.
pub type HttpRequestBody = Either<StreamBody<ChannelStream>, Empty<Bytes>>;

/// A request body, and whether the connection has taken all of it.
#[derive(Debug)]
pub struct RequestBody {
    pub(super) http: HttpRequestBody,
    pub(super) written: Arc<AtomicBool>,
}

/// Returns a request body and the sender that feeds it. The channel between them is unbounded: whoever feeds it limits what it
/// holds by what `on_taken` reports.
#[must_use]
pub fn request_body(on_taken: TakenHook) -> (mpsc::UnboundedSender<BodyPiece>, RequestBody) {
    let (sender, pieces) = mpsc::unbounded_channel();
    let written = Arc::new(AtomicBool::new(false));
    let stream = ChannelStream { pieces, on_taken, written: written.clone() };
    (sender, RequestBody { http: Either::Left(StreamBody::new(stream)), written })
}

/// Returns the body of a request that has none.
#[must_use]
pub fn no_body() -> RequestBody {
    RequestBody { http: Either::Right(Empty::new()), written: Arc::new(AtomicBool::new(true)) }
}
