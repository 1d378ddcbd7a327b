//! Ends a listener without resetting a connection that its system has established for it.
//!
//! A look of the runtime that finds nothing to accept may be older than the last connection, and whatever still waits when a listener closes is reset,
//! after its caller may have sent a request. So the system is told to establish no more, and is then asked itself for what waits.
//! A handshake that is half done at that moment, on a network with a delay, still ends in a reset.

use log::{debug, warn};
use socket2::{SockFilter, SockRef};
use std::io;
use tokio::net::{TcpListener, TcpStream};

/// Instructions of packet filters (`linux/bpf_common.h`).
const LOAD_BYTE: u16 = 0x30;
const AND: u16 = 0x54;
const SKIP_UNLESS_EQUAL: u16 = 0x15;
const TAKE_BYTES: u16 = 0x06;

/// Place of the flags in a TCP header, and two of them (RFC 9293, section 3.1).
const FLAGS: u32 = 13;
const SYN: u32 = 0x02;
const ACK: u32 = 0x10;

/// A filter for a listening TCP socket: drops what asks for a new connection, takes all else. The caller's system asks again after a second, and is
/// then refused.
const NO_NEW_CONNECTIONS: [SockFilter; 5] = [
    SockFilter::new(LOAD_BYTE, 0, 0, FLAGS),
    SockFilter::new(AND, 0, 0, SYN | ACK),
    SockFilter::new(SKIP_UNLESS_EQUAL, 0, 1, SYN),
    SockFilter::new(TAKE_BYTES, 0, 0, 0),
    SockFilter::new(TAKE_BYTES, 0, 0, u32::MAX),
];

/// Closes a listener; returns the connections that were established by then.
///
/// # Errors
/// The listener can't leave the runtime.
pub fn close(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    let listener = listener.into_std()?;
    if let Err(error) = SockRef::from(&listener).attach_filter(&NO_NEW_CONNECTIONS) {
        debug!(error = error.to_string().as_str(); "the system may establish connections while a listener closes");
    }
    let mut last = Vec::new();
    loop {
        match listener.accept().and_then(|(stream, _)| for_runtime(stream)) {
            Ok(stream) => last.push(stream),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(last),
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => {
                warn!(error = error.to_string().as_str(); "accepting the last connections failed");
                return Ok(last);
            }
        }
    }
}

fn for_runtime(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
