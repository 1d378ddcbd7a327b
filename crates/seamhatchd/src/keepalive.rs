//! Finding out that a TCP connection has fallen silent: nothing comes and nothing is acknowledged, but
//! no reset tells it.
//!
//! Probes of the kernel cost neither side a call. They show a silent connection, not a process that
//! reads and doesn't answer. An idle connection is probed; where bytes are on their way, no probe is
//! sent, and the time without an acknowledgement counts.

use std::time::Duration;

/// An idle connection is probed after this time; the kernel counts whole seconds.
pub const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two probes.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection is closed; a single one may be lost.
pub const KEEPALIVE_PROBES: u32 = 2;
/// A connection on which nothing was acknowledged for this long is closed. A second less than a daemon
/// may take to get over a disturbance of its connections, so that a new connection has time to work.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
