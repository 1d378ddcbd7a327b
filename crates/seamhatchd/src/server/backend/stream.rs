//! The stream of a connection to the back end, whose silence check changes with the request that is written.
//!
//! The check is an option of the socket, and the HTTP library owns the socket: a connection takes the check of its next request before
//! that is written, so that requests of both kinds share the idle connections.

use crate::base::keepalive::{SilenceCheck, set_silence_check};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The check that a connection is to have for the next request.
#[derive(Debug, Clone)]
pub struct SharedCheck(Arc<AtomicBool>);

impl SharedCheck {
    /// This check.
    pub fn new(check: SilenceCheck) -> Self {
        Self(Arc::new(AtomicBool::new(check == SilenceCheck::Always)))
    }

    /// Changes the check of everything that is written from now on.
    pub fn set(&self, check: SilenceCheck) {
        self.0.store(check == SilenceCheck::Always, Ordering::Release);
    }

    fn get(&self) -> SilenceCheck {
        if self.0.load(Ordering::Acquire) { SilenceCheck::Always } else { SilenceCheck::WhileIdle }
    }
}

/// A stream that takes the check that is wanted before it writes.
#[derive(Debug)]
pub struct CheckedStream {
    stream: TcpStream,
    wanted: SharedCheck,
    in_force: SilenceCheck,
}

impl CheckedStream {
    /// A stream that has the wanted check already.
    pub fn new(stream: TcpStream, wanted: SharedCheck) -> Self {
        Self { stream, in_force: wanted.get(), wanted }
    }

    fn with_wanted_check(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        let wanted = self.wanted.get();
        if wanted != self.in_force {
            set_silence_check(&self.stream, wanted)?;
            self.in_force = wanted;
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
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.with_wanted_check()?.poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.with_wanted_check()?.poll_write_vectored(context, pieces)
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
