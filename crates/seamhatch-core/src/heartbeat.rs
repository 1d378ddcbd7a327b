//! When the two ends of a connection between daemons send heartbeats.
//!
//! Decides, at instants that all connections of a daemon have in common, whether an end sends one. Inputs are the end,
//! whether calls of the peer are in progress, and whether anything was sent since the last look.
//!
//! The called side sends one each [`IDLE_INTERVAL`] whatever else it sends, as heartbeats carry its clock and its proof of
//! freshness, and one each [`BUSY_INTERVAL`] where calls are in progress and nothing else shows that it is there. The
//! calling side, for whose messages its peer waits 20 s, sends one each [`CALLING_INTERVAL`]. The daemon's part is
//! `seamhatchd::peer::link`.

use crate::clock::{MILLISECOND, Microseconds};

/// Time between two instants at which heartbeats may be sent. A called daemon that has calls of its peer in progress is
/// heard in each of them or the next, as the peer must soon notice when no answers will come.
pub const BUSY_INTERVAL: Microseconds = 200 * MILLISECOND;
/// Time between two heartbeats that the called side always sends: one may be late by most of an interval before the peer
/// counts as silent (750 ms).
pub const IDLE_INTERVAL: Microseconds = 2 * BUSY_INTERVAL;
/// Time between two heartbeats of the calling side, which nothing waits for; a multiple of the other intervals, so that both
/// ends send at the same instants.
pub const CALLING_INTERVAL: Microseconds = 3 * IDLE_INTERVAL;

/// An end of a connection between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkEnd {
    /// It opened the connection and sends calls on it.
    Calling,
    /// It gets calls.
    Called,
}

/// What one end of a connection has done since its last look.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkActivity {
    /// Calls of the peer are in progress.
    pub is_busy: bool,
    /// A message was sent, a heartbeat that the last look asked for not counted.
    pub has_sent: bool,
}

/// The heartbeats of one end of a connection. Times are those since an instant that all connections of a daemon have in
/// common.
#[derive(Debug, Clone)]
pub struct HeartbeatSchedule {
    end: LinkEnd,
    last_look: Microseconds,
}

impl HeartbeatSchedule {
    /// The schedule of a connection that has sent its first heartbeat at `now`.
    #[must_use]
    pub fn new(end: LinkEnd, now: Microseconds) -> Self {
        Self { end, last_look: now }
    }

    /// When a heartbeat may be due next, so that [`Self::is_due`] must be asked.
    #[must_use]
    pub fn next_check(&self) -> Microseconds {
        let interval = match self.end {
            LinkEnd::Calling => CALLING_INTERVAL,
            LinkEnd::Called => BUSY_INTERVAL,
        };
        next_instant(self.last_look, interval)
    }

    /// Whether a heartbeat is due. A look that comes late makes up for the instants that it missed with one heartbeat.
    pub fn is_due(&mut self, now: Microseconds, activity: LinkActivity) -> bool {
        let last_look = std::mem::replace(&mut self.last_look, now);
        let passed = |interval| next_instant(last_look, interval) <= now;
        match self.end {
            LinkEnd::Calling => passed(CALLING_INTERVAL),
            LinkEnd::Called => {
                let answers_late = activity.is_busy && !activity.has_sent && passed(BUSY_INTERVAL);
                passed(IDLE_INTERVAL) || answers_late
            }
        }
    }
}

/// The first instant after `time` at which connections do what they do once in an `interval`.
#[must_use]
pub fn next_instant(time: Microseconds, interval: Microseconds) -> Microseconds {
    (time / interval + 1) * interval
}
