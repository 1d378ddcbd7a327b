//! Detecting a TCP connection that has fallen silent: nothing comes and nothing is acknowledged, but no reset arrives.
//!
//! The kernel's probes cost neither side a call. They detect a silent connection, not a process that reads and doesn't answer.
//! An idle connection is probed; while bytes are on their way no probe is sent, and the time without an acknowledgement
//! counts. Used for connections to the back end and to the store.

use rustix::net::sockopt;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// An idle connection is probed after this time: the shortest that the kernel allows, as it counts whole seconds.
pub const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two probes: the shortest that the kernel allows.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection is closed, as a single one may be lost. With it, a change in the store
/// was in force 2.1 s after its watch had fallen silent, against more than 20 s without probes.
pub const KEEPALIVE_PROBES: u32 = 2;
/// A connection on which nothing was acknowledged for this long is closed. One second less than the 3 s in which a daemon must
/// recover from a disturbance of its connections, so that a new connection has time to work.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// When a connection counts as silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceCheck {
    /// When probes of the idle connection get no answer. The other side may leave bytes unread.
    WhileIdle,
    /// Also when bytes are not acknowledged for [`SILENCE_TIMEOUT`]. The kernel counts bytes that the
    /// other side is slow to read, too, so a request must fit into its buffers.
    Always,
}

/// Has the kernel close the connection when it falls silent; its user then gets an error.
///
/// # Errors
/// The kernel refuses an option.
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

/// Changes the check of a connection that [`close_when_silent`] watches.
///
/// # Errors
/// The kernel refuses the option.
pub fn set_silence_check(stream: &TcpStream, check: SilenceCheck) -> io::Result<()> {
    let timeout = match check {
        // None: the kernel's own bounds stand.
        SilenceCheck::WhileIdle => 0,
        SilenceCheck::Always => SILENCE_TIMEOUT.as_millis() as u32,
    };
    Ok(sockopt::set_tcp_user_timeout(stream, timeout)?)
}
