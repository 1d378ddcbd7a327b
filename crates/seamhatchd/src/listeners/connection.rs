//! The requests of one connection of a caller, until their answers are written.
//!
//! The HTTP library takes an answer long before a slow caller does. It flushes its stream once everything that it holds was written, so
//! [`WatchedStream`] tells the [`ConnectionRequests`] of each flush, which then lets go of the requests that nothing works on any more.

use crate::base::lock::lock;
use crate::intake::TakenRequest;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The requests of one connection whose answers are not written yet.
#[derive(Debug, Default)]
pub struct ConnectionRequests {
    unwritten: Mutex<Vec<TakenRequest>>,
    /// A request has been read.
    begun: AtomicBool,
}

impl ConnectionRequests {
    /// A request has been read, whether or not it is taken.
    pub fn note_begun(&self) {
        self.begun.store(true, Ordering::Relaxed);
    }

    /// Whether a request has been read.
    pub fn has_begun(&self) -> bool {
        self.begun.load(Ordering::Relaxed)
    }

    /// Keeps a request in progress until its answer is written or the connection ends.
    pub fn hold(&self, request: TakenRequest) {
        lock(&self.unwritten).push(request);
    }

    /// All that was handed to the connection so far is written.
    fn flushed(&self) {
        lock(&self.unwritten).retain(|request| !request.is_last());
    }
}

/// A caller's stream that reports its flushes.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    connection: Arc<ConnectionRequests>,
}

impl WatchedStream {
    /// The stream of this connection.
    pub fn new(stream: TcpStream, connection: Arc<ConnectionRequests>) -> Self {
        Self { stream, connection }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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
