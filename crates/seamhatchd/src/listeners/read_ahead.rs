//! Wraps the stream of a caller's connection, and gives the HTTP library the bytes of one request at a time.
//!
//! While an answer is in progress and the library's buffer is empty, the library keeps reading to detect the end
//! of the connection. The stream uses these reads to read ahead into its own buffer and to start the requests
//! there. It reports the end of the connection immediately, so that the library drops the request in progress.
//! [`seamhatch_core::pipeline`] decides what may be read when. The buffer is only allocated if the caller
//! pipelines requests.

use super::connection::ConnectionRequests;
use super::head::{self, HeadEnd, PipelinedHead};
use super::proxy::RequestHandler;
use bytes::{Buf, BytesMut};
use futures_util::FutureExt;
use seamhatch_core::pipeline::NextInput;
use socket2::SockRef;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Maximum number of bytes that are read ahead on a connection.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Interval between two checks whether the caller has closed the connection, while the read-ahead buffer is full
/// and no read would show it. Requests must be cancelled within 0.5 s of the close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A caller's stream that reads ahead and reports flushes to its [`ConnectionRequests`].
pub struct ReadAheadStream {
    stream: TcpStream,
    connection: Arc<ConnectionRequests>,
    handler: Arc<RequestHandler>,
    /// Bytes that were read ahead.
    ahead: BytesMut,
    /// Number of bytes at the start of `ahead` that belong to started requests.
    started: usize,
    /// Number of bytes after those that were searched and contain no complete head.
    searched: usize,
    /// The request after those that were started must wait until the library has read it.
    is_next_ineligible: bool,
    /// Number of bytes of the current head that the library has not been given.
    head_left: usize,
    close_check: Option<Pin<Box<Sleep>>>,
    /// Whether the kernel resets the connection when it ends.
    is_reset_at_end: bool,
}

impl ReadAheadStream {
    /// Wraps the stream of `connection`, whose pipelined requests `handler` starts.
    pub fn new(stream: TcpStream, connection: Arc<ConnectionRequests>, handler: Arc<RequestHandler>) -> Self {
        Self {
            stream,
            connection,
            handler,
            ahead: BytesMut::new(),
            started: 0,
            searched: 0,
            is_next_ineligible: false,
            head_left: 0,
            close_check: None,
            is_reset_at_end: false,
        }
    }

    /// Gives the library at most `most` of the bytes that were read ahead, and returns how many.
    fn give(&mut self, buffer: &mut ReadBuf<'_>, most: usize) -> usize {
        let given = most.min(self.ahead.len()).min(buffer.remaining());
        buffer.put_slice(&self.ahead[..given]);
        self.ahead.advance(given);
        self.started = self.started.saturating_sub(given);
        (self.searched, self.is_next_ineligible) = (0, false);
        if self.ahead.is_empty() {
            // Frees the memory.
            self.ahead = BytesMut::new();
        }
        given
    }

    /// Reads at most `most` bytes directly into the library's buffer.
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

    /// Reads ahead, with the spare capacity of the library's buffer as scratch space.
    fn poll_read_ahead(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        let mut part = buffer.take(MAX_READ_AHEAD_BYTES - self.ahead.len());
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
            self.connection.note_disconnected();
        }
    }

    /// Gives the library the next head. If the end of the head can't be found, turns off pipelining and gives the
    /// library all bytes.
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
                None if head::may_contain_head_end(&self.ahead, self.searched) => head::head_end(&self.ahead),
                None => HeadEnd::Incomplete,
            };
            match end {
                HeadEnd::At(length) => {
                    self.connection.give_head(0);
                    self.head_left = length - self.give(buffer, length);
                    return Poll::Ready(Ok(()));
                }
                HeadEnd::Incomplete if self.ahead.len() < MAX_READ_AHEAD_BYTES => {
                    self.searched = self.ahead.len();
                    if ready!(self.poll_read_ahead(context, buffer))? > 0 {
                        continue;
                    }
                }
                HeadEnd::Incomplete | HeadEnd::Malformed => {}
            }
            self.connection.pass_through();
            self.give(buffer, usize::MAX);
            return Poll::Ready(Ok(()));
        }
    }

    /// Reads ahead while an answer is in progress. Ready only when the connection ends.
    fn poll_wait(&mut self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            self.start_pipelined();
            if self.ahead.len() >= MAX_READ_AHEAD_BYTES {
                ready!(self.poll_closed(context));
                return Poll::Ready(Ok(()));
            }
            match self.poll_read_ahead(context, buffer) {
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

    /// Starts the requests that were read ahead, as far as they may be started.
    fn start_pipelined(&mut self) {
        while !self.is_next_ineligible && self.connection.may_start() {
            let rest = &self.ahead[self.started..];
            if !head::may_contain_head_end(rest, self.searched) {
                return;
            }
            match head::parse_pipelined(rest) {
                PipelinedHead::Incomplete => {
                    self.searched = rest.len();
                    return;
                }
                PipelinedHead::Ineligible => self.is_next_ineligible = true,
                PipelinedHead::Eligible(request) => {
                    let length = request.length;
                    let Some(request) = self.handler.start_pipelined(*request) else { return };
                    self.connection.start(request);
                    self.started += length;
                    self.searched = 0;
                }
            }
        }
    }

    /// Ready when the caller has closed the connection, even if not all bytes that it sent have been read.
    fn poll_closed(&mut self, context: &mut Context<'_>) -> Poll<()> {
        self.connection.wake_when_released(context);
        loop {
            let interest = Interest::READABLE | Interest::ERROR;
            let ready = self.stream.ready(interest).now_or_never();
            if ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed() || ready.is_error()))
            {
                self.connection.note_disconnected();
                return Poll::Ready(());
            }
            let check =
                self.close_check.get_or_insert_with(|| Box::pin(tokio::time::sleep(CLOSE_CHECK_INTERVAL)));
            ready!(check.as_mut().poll(context));
            self.close_check = None;
        }
    }
}

impl AsyncRead for ReadAheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            match this.connection.next_input() {
                NextInput::NextHead => return this.poll_head(context, buffer),
                NextInput::RestOfHead if this.head_left > 0 => {
                    this.head_left -= this.give(buffer, this.head_left);
                    return Poll::Ready(Ok(()));
                }
                // The library asks for more bytes although the head is complete, so the two parsers disagree.
                NextInput::RestOfHead => this.connection.pass_through(),
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
                NextInput::Wait => return this.poll_wait(context, buffer),
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

impl AsyncWrite for ReadAheadStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_end()?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_end()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.connection.note_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.apply_end()?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl ReadAheadStream {
    /// Has the kernel end the connection as it must end now, also if this process is killed.
    fn apply_end(&mut self) -> io::Result<()> {
        let must_reset = self.connection.must_reset();
        if must_reset != self.is_reset_at_end {
            SockRef::from(&self.stream).set_linger(must_reset.then_some(Duration::ZERO))?;
            self.is_reset_at_end = must_reset;
        }
        Ok(())
    }

    fn note_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Err(_))) {
            self.connection.note_disconnected();
        }
        written
    }
}
