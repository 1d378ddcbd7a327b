//! The stream of a connection to the back end, whose silence check changes with the request that is
//! written.
//!
//! The check is a socket option, and the HTTP library owns the socket. The stream therefore applies the
//! check of the next request before it writes, so that requests with different checks share the idle
//! connections.

use super::progress::AnswerProgress;
use crate::base::keepalive::{SilenceCheck, set_silence_check};
use bytes::Bytes;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes that are read once the connection is no longer used.
const MAX_ARRIVED_BYTES: usize = 64;

/// The silence check that a connection is to have for the next request.
#[derive(Debug, Clone)]
pub struct SharedCheck(Arc<AtomicBool>);

impl SharedCheck {
    /// Creates the handle with its initial check.
    pub fn new(check: SilenceCheck) -> Self {
        Self(Arc::new(AtomicBool::new(check == SilenceCheck::Always)))
    }

    /// Sets the check for everything that is written from now on.
    pub fn set(&self, check: SilenceCheck) {
        self.0.store(check == SilenceCheck::Always, Ordering::Release);
    }

    fn get(&self) -> SilenceCheck {
        if self.0.load(Ordering::Acquire) { SilenceCheck::Always } else { SilenceCheck::WhileIdle }
    }
}

/// A stream that applies the requested check before it writes, and limits what it reads of an answer's head.
#[derive(Debug)]
pub struct CheckedStream {
    stream: TcpStream,
    progress: AnswerProgress,
    requested: SharedCheck,
    applied: SilenceCheck,
}

impl CheckedStream {
    /// Wraps a stream that already has the requested check.
    pub fn new(stream: TcpStream, requested: SharedCheck, progress: AnswerProgress) -> Self {
        Self { stream, progress, applied: requested.get(), requested }
    }

    /// Reads some of the bytes that have arrived, without waiting for more.
    pub fn read_arrived(&self) -> Bytes {
        let mut bytes = vec![0; MAX_ARRIVED_BYTES];
        // An error means that nothing has arrived, or that the connection has ended.
        let length = self.stream.try_read(&mut bytes).unwrap_or_default();
        bytes.truncate(length);
        bytes.into()
    }

    fn apply_requested_check(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        let requested = self.requested.get();
        if requested != self.applied {
            set_silence_check(&self.stream, requested)?;
            self.applied = requested;
        }
        Ok(Pin::new(&mut self.stream))
    }
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.progress.check_head()?;
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.progress.note_read(buffer.filled().len() - filled);
        polled
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_requested_check()?.poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_requested_check()?.poll_write_vectored(context, pieces)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
