//! Detection of half-open TCP connections: nothing is received and nothing is acknowledged, but no reset arrives.
//!
//! The kernel sends the probes, so they cost neither side a call. They detect a half-open connection, not a process that reads
//! without answering. Idle connections are probed; while bytes are in flight no probes are sent, and the time without an
//! acknowledgement counts instead. Used for connections to the back end and to the store.

use rustix::net::sockopt;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Idle time before the first probe: the minimum that the kernel allows, which counts whole seconds.
pub const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two probes: the minimum that the kernel allows.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the connection is closed; more than one, since a single probe may be lost. With these
/// probes a change in the store is in force 2.1 s after its watch became half-open, against more than 20 s without probes.
pub const KEEPALIVE_PROBES: u32 = 2;
/// Time without an acknowledgement after which a connection is closed. One second less than the 3 s in which a daemon must recover
/// from a fault of its connections, so that a new connection has time to work.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// Conditions under which a connection counts as half-open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceCheck {
    /// Probes of the idle connection get no answer. The other side may leave bytes unread.
    WhileIdle,
    /// Additionally, bytes are not acknowledged for [`UNACKNOWLEDGED_TIMEOUT`]. The kernel also counts bytes that the other side is
    /// slow to read, so a request must fit into its buffers.
    Always,
}

/// Configures the kernel to close the connection when it is half-open; reads and writes then fail with an error.
///
/// # Errors
/// The kernel rejects a socket option.
pub fn close_when_silent(stream: &TcpStream, check: SilenceCheck) -> io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    match check {
        SilenceCheck::WhileIdle => Ok(()),
        SilenceCheck::Always => set_silence_check(stream, check),
    }
}

/// Changes the check of a connection configured with [`close_when_silent`].
///
/// # Errors
/// The kernel rejects the socket option.
pub fn set_silence_check(stream: &TcpStream, check: SilenceCheck) -> io::Result<()> {
    let timeout = match check {
        // Zero selects the kernel's default timeout.
        SilenceCheck::WhileIdle => 0,
        SilenceCheck::Always => UNACKNOWLEDGED_TIMEOUT.as_millis() as u32,
    };
    Ok(sockopt::set_tcp_user_timeout(stream, timeout)?)
}
