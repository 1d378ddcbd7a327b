//! Closes a listener without resetting connections that are established and wait to be accepted.
//!
//! When a listener closes, the kernel resets the connections in its accept queue, whose callers may already have
//! sent a request. The runtime's readiness state may be older than the last of these connections. Therefore a
//! socket filter stops new handshakes, and the accept queue is then drained with direct system calls. A TCP
//! handshake that is in progress at that moment, as on a network with latency, still ends in a reset.

use log::{debug, warn};
use socket2::{SockFilter, SockRef};
use std::io;
use tokio::net::{TcpListener, TcpStream};

/// Instructions of classic BPF (`linux/bpf_common.h`).
const LOAD_BYTE: u16 = 0x30;
const AND: u16 = 0x54;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;

/// Offset of the flags in a TCP header, and two of the flags (RFC 9293, section 3.1).
const FLAGS: u32 = 13;
const SYN: u32 = 0x02;
const ACK: u32 = 0x10;

/// A filter for a listening TCP socket that drops packets with SYN and without ACK, and accepts all others. The
/// caller's kernel repeats the SYN after a second, when the closed port refuses it.
const NO_NEW_CONNECTIONS: [SockFilter; 5] = [
    SockFilter::new(LOAD_BYTE, 0, 0, FLAGS),
    SockFilter::new(AND, 0, 0, SYN | ACK),
    SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
    SockFilter::new(RETURN, 0, 0, 0),
    SockFilter::new(RETURN, 0, 0, u32::MAX),
];

/// Closes a listener and returns the connections from its accept queue.
///
/// # Errors
/// The listener can't be deregistered from the runtime.
pub fn close(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    let listener = listener.into_std()?;
    if let Err(error) = SockRef::from(&listener).attach_filter(&NO_NEW_CONNECTIONS) {
        debug!(error = error.to_string().as_str(); "the socket filter can't be attached; connections that arrive while a listener closes may be reset");
    }
    let mut accepted = Vec::new();
    loop {
        match listener.accept().and_then(|(stream, _)| register(stream)) {
            Ok(stream) => accepted.push(stream),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(accepted),
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => {
                warn!(error = error.to_string().as_str(); "accepting the last connections failed");
                return Ok(accepted);
            }
        }
    }
}

fn register(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
