//! The stream of a caller's connection as the HTTP library sees it: the bytes of one request at a time.
//!
//! While an answer is in progress and its buffer is empty, the library goes on reading to notice the end of the connection. The stream uses these reads to
//! read ahead into a buffer of its own, has requests there started, and reports the end at once, upon which the library drops the request in progress. What
//! may be read when is decided by [`seamhatch_core::pipeline`]. A connection on which nothing is sent ahead has no buffer.

use super::connection::ConnectionRequests;
use super::head::{self, HeadEnd, PipelinedHead};
use super::proxy::RequestHandler;
use bytes::{Buf, BytesMut};
use futures_util::FutureExt;
use seamhatch_core::pipeline::NextInput;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Bytes of a connection that are read ahead, at most.
const MOST_BYTES: usize = 64 * 1024;
/// Time between two looks for the end of a connection of which as much as allowed was read ahead, as no read shows it then. Requests are to be
/// cancelled within 0.5 s of the end.
const END_LOOK: Duration = Duration::from_millis(100);

/// A caller's stream that reads ahead and reports its flushes.
pub struct WatchedStream {
    stream: TcpStream,
    connection: Arc<ConnectionRequests>,
    handler: Arc<RequestHandler>,
    /// What was read ahead.
    ahead: BytesMut,
    /// Bytes at its start that belong to requests that were started.
    started: usize,
    /// Bytes behind those that hold no whole head.
    seen: usize,
    /// What follows those that were started is not to be started before the library has read it.
    unsuited: bool,
    /// Bytes of the head in hand that the library has not been given.
    head_left: usize,
    end_look: Option<Pin<Box<Sleep>>>,
}

impl WatchedStream {
    /// The stream of this connection, whose requests `handler` starts ahead.
    pub fn new(stream: TcpStream, connection: Arc<ConnectionRequests>, handler: Arc<RequestHandler>) -> Self {
        Self {
            stream,
            connection,
            handler,
            ahead: BytesMut::new(),
            started: 0,
            seen: 0,
            unsuited: false,
            head_left: 0,
            end_look: None,
        }
    }

    /// Gives the library at most `most` of the bytes that were read ahead; returns how many.
    fn give(&mut self, buffer: &mut ReadBuf<'_>, most: usize) -> usize {
        let given = most.min(self.ahead.len()).min(buffer.remaining());
        buffer.put_slice(&self.ahead[..given]);
        self.ahead.advance(given);
        self.started = self.started.saturating_sub(given);
        (self.seen, self.unsuited) = (0, false);
        if self.ahead.is_empty() {
            // Returns the memory.
            self.ahead = BytesMut::new();
        }
        given
    }

    /// Reads at most `most` bytes for the library.
    fn poll_direct(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        most: usize,
    ) -> Poll<io::Result<usize>> {
        let before = buffer.filled().len();
        let read = if most >= buffer.remaining() {
            ready!(Pin::new(&mut self.stream).poll_read(context, buffer))
        } else {
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(most));
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut part));
            let count = part.filled().len();
            buffer.advance(count);
            read
        };
        let count = buffer.filled().len() - before;
        self.note_end(&read, count);
        read?;
        Poll::Ready(Ok(count))
    }

    /// Reads ahead, with the library's buffer for the bytes on their way.
    fn poll_more(&mut self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<usize>> {
        let mut part = buffer.take(MOST_BYTES - self.ahead.len());
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut part));
        let bytes = part.filled();
        self.ahead.extend_from_slice(bytes);
        let count = bytes.len();
        self.note_end(&read, count);
        read?;
        Poll::Ready(Ok(count))
    }

    fn note_end(&self, read: &io::Result<()>, count: usize) {
        if count == 0 || read.is_err() {
            self.connection.note_left();
        }
    }

    /// Gives the library the next head, or all that there is where that is none.
    fn poll_head(&mut self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.ahead.is_empty() {
            let count = ready!(self.poll_direct(context, buffer, usize::MAX))?;
            if count == 0 {
                return Poll::Ready(Ok(()));
            }
            let all = buffer.filled().len();
            let bytes = &buffer.filled()[all - count..];
            if let Some(body_bytes) = head::single_request_body_bytes(bytes) {
                self.connection.give_head(body_bytes);
                return Poll::Ready(Ok(()));
            }
            self.ahead.extend_from_slice(bytes);
            buffer.set_filled(all - count);
        }
        loop {
            let end = match self.connection.next_head_bytes() {
                Some(length) => HeadEnd::At(length),
                None if head::may_contain_head_end(&self.ahead, self.seen) => head::head_end(&self.ahead),
                None => HeadEnd::Incomplete,
            };
            match end {
                HeadEnd::At(length) => {
                    self.connection.give_head(0);
                    self.head_left = length - self.give(buffer, length);
                    return Poll::Ready(Ok(()));
                }
                HeadEnd::Incomplete if self.ahead.len() < MOST_BYTES => {
                    self.seen = self.ahead.len();
                    if ready!(self.poll_more(context, buffer))? > 0 {
                        continue;
                    }
                }
                HeadEnd::Incomplete | HeadEnd::Malformed => {}
            }
            self.connection.give_up();
            self.give(buffer, usize::MAX);
            return Poll::Ready(Ok(()));
        }
    }

    /// Reads ahead while the library waits for the end of the answer in progress; ready only at the end of the connection.
    fn poll_ahead(&mut self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            self.start_ahead();
            if self.ahead.len() >= MOST_BYTES {
                ready!(self.poll_end(context));
                return Poll::Ready(Ok(()));
            }
            match self.poll_more(context, buffer) {
                Poll::Ready(Ok(0)) => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => break,
            }
        }
        if !self.ahead.is_empty() {
            self.connection.wake_when_released(context);
        }
        Poll::Pending
    }

    /// Starts what was read ahead and may be.
    fn start_ahead(&mut self) {
        while !self.unsuited && self.connection.may_start() {
            let rest = &self.ahead[self.started..];
            if !head::may_contain_head_end(rest, self.seen) {
                return;
            }
            match head::parse_pipelined(rest) {
                PipelinedHead::Incomplete => {
                    self.seen = rest.len();
                    return;
                }
                PipelinedHead::Ineligible => self.unsuited = true,
                PipelinedHead::Eligible(request) => {
                    let length = request.length;
                    let Some(request) = self.handler.start_ahead(*request) else { return };
                    self.connection.start(request);
                    self.started += length;
                    self.seen = 0;
                }
            }
        }
    }

    /// Ready when the caller has closed the connection, though not all that it has sent was read.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<()> {
        self.connection.wake_when_released(context);
        loop {
            let interest = Interest::READABLE | Interest::ERROR;
            let ready = self.stream.ready(interest).now_or_never();
            if ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed() || ready.is_error()))
            {
                self.connection.note_left();
                return Poll::Ready(());
            }
            let look = self.end_look.get_or_insert_with(|| Box::pin(tokio::time::sleep(END_LOOK)));
            ready!(look.as_mut().poll(context));
            self.end_look = None;
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            match this.connection.turn() {
                NextInput::NextHead => return this.poll_head(context, buffer),
                NextInput::RestOfHead if this.head_left > 0 => {
                    this.head_left -= this.give(buffer, this.head_left);
                    return Poll::Ready(Ok(()));
                }
                // The library wants more where the reader found a whole head.
                NextInput::RestOfHead => this.connection.give_up(),
                NextInput::Body(left) => {
                    let left = usize::try_from(left).unwrap_or(usize::MAX);
                    let count = if this.ahead.is_empty() {
                        ready!(this.poll_direct(context, buffer, left))?
                    } else {
                        this.give(buffer, left)
                    };
                    this.connection.give_body(count as u64);
                    return Poll::Ready(Ok(()));
                }
                NextInput::Wait => return this.poll_ahead(context, buffer),
                NextInput::PassThrough if this.ahead.is_empty() => {
                    return this.poll_direct(context, buffer, usize::MAX).map_ok(|_| ());
                }
                NextInput::PassThrough => {
                    this.give(buffer, usize::MAX);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.connection.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl WatchedStream {
    fn note_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Err(_))) {
            self.connection.note_left();
        }
        written
    }
}
