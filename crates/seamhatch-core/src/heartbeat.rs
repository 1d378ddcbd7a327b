//! Heartbeats on the connections between daemons.
//!
//! [`HeartbeatSchedule`] decides whether an end of a connection sends a heartbeat, at instants that are the same
//! for all connections of a daemon. The inputs are which end it is, whether calls of the peer are in progress, and
//! whether anything was sent since the last check.
//!
//! The called side sends a heartbeat every [`IDLE_INTERVAL`] whatever else it sends, as heartbeats carry its clock
//! and its freshness proof. It also sends one every [`BUSY_INTERVAL`] while calls are in progress and nothing else
//! shows that it is alive. The calling side, whose peer waits 20 s for its messages, sends one every
//! [`CALLING_INTERVAL`]. The daemon uses this in `seamhatchd::peer::link`.

use crate::clock::{MILLISECOND, Microseconds};

/// Interval between the instants at which heartbeats may be sent. A called daemon with calls of its peer in progress
/// sends something in each interval or the next, as the peer must notice soon when no answers will come.
pub const BUSY_INTERVAL: Microseconds = 200 * MILLISECOND;
/// Interval between the heartbeats that the called side always sends. One of them may be late by most of an interval
/// before the peer counts as silent (750 ms).
pub const IDLE_INTERVAL: Microseconds = 2 * BUSY_INTERVAL;
/// Interval between the heartbeats of the calling side, which nothing waits for. A multiple of the other intervals,
/// so that both ends send at the same instants.
pub const CALLING_INTERVAL: Microseconds = 3 * IDLE_INTERVAL;

/// An end of a connection between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkEnd {
    /// The end that opened the connection and sends calls on it.
    Calling,
    /// The end that receives calls.
    Called,
}

/// What one end of a connection has done since the last check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkActivity {
    /// Calls of the peer are in progress.
    pub is_busy: bool,
    /// A message was sent, other than the heartbeat that the last check asked for.
    pub has_sent: bool,
}

/// Schedule of the heartbeats of one end of a connection. Times count from an instant that all connections of a
/// daemon have in common.
#[derive(Debug, Clone)]
pub struct HeartbeatSchedule {
    end: LinkEnd,
    last_check: Microseconds,
}

impl HeartbeatSchedule {
    /// Creates the schedule of a connection that sent its first heartbeat at `now`.
    #[must_use]
    pub fn new(end: LinkEnd, now: Microseconds) -> Self {
        Self { end, last_check: now }
    }

    /// When a heartbeat may be due next, so that [`Self::is_due`] must be called.
    #[must_use]
    pub fn next_check(&self) -> Microseconds {
        let interval = match self.end {
            LinkEnd::Calling => CALLING_INTERVAL,
            LinkEnd::Called => BUSY_INTERVAL,
        };
        next_instant(self.last_check, interval)
    }

    /// Whether a heartbeat is due. A late check makes up for the instants that it missed with one heartbeat.
    pub fn is_due(&mut self, now: Microseconds, activity: LinkActivity) -> bool {
        let last_check = std::mem::replace(&mut self.last_check, now);
        let passed = |interval| next_instant(last_check, interval) <= now;
        match self.end {
            LinkEnd::Calling => passed(CALLING_INTERVAL),
            LinkEnd::Called => {
                let busy_and_quiet = activity.is_busy && !activity.has_sent && passed(BUSY_INTERVAL);
                passed(IDLE_INTERVAL) || busy_and_quiet
            }
        }
    }
}

/// The first multiple of `interval` after `time`.
#[must_use]
pub fn next_instant(time: Microseconds, interval: Microseconds) -> Microseconds {
    (time / interval + 1) * interval
}
