//! Drain: which calls and callers a daemon still serves while it stops.
//!
//! Decides from how far the stop of the daemon has come ([`StopState`]): which calls other daemons may send to its back
//! end ([`CallIntake`]), whether a call that starts now can end before the process does, with which deadline it is sent on, and whether callers come
//! too late. Whatever is taken ends by itself before the process.
//! Times are read from the boot clock at the moment of the question.
//!
//! It protects requests in flight from being cut off by the end of the process, and services whose daemons are all stopped
//! at once from being refused beside back ends that work. A drain is therefore a preference, not a wall: where the back end
//! itself reports when it leaves, other daemons may use it as long as no other server can take a call. Alternatives:
//! docs/DESIGN.md#planned-stops. The daemon keeps the state in `seamhatchd::shared` and acts in its listeners.

use crate::clock::{Instant, Microseconds};
use crate::intake::IntakePhase;
use speedy::{Readable, Writable};
use std::time::Duration;

/// Work in progress is given up this long before the grace period ends, so that its callers still get an answer.
pub const END_MARGIN: Duration = Duration::from_millis(300);

/// What is sent on during a drain has a deadline this long before that, so that the answer that a server gives at its deadline comes in time.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Part of the time between a stop request and the end of the grace period in which callers are still served; a request
/// accepted in it has the rest of the time to end.
const SERVED_SHARE_OF_GRACE: f64 = 0.45;

/// A late call is taken from another daemon where this many of its kind, one after the other, would usually end in time.
const ROOM_FOR_LATE_CALLS: Microseconds = 2;

/// Which calls the server beside a daemon gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub enum CallIntake {
    /// All.
    Open,
    /// The daemon is about to stop: those that no other daemon of the service can take, if they end in time.
    FallbackOnly {
        /// Until the process ends.
        left: Microseconds,
    },
    /// None.
    Closed,
}

/// What a daemon knows of the back end beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackEndState {
    /// It is open for calls.
    pub open: bool,
    /// It reports by itself when it leaves; one that doesn't stops with its daemon.
    pub reports_departure: bool,
}

/// How far the stop of a daemon has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopState {
    /// Which requests it takes.
    pub phase: IntakePhase,
    /// How long the daemon has been draining, in microseconds; none while it isn't.
    pub draining_for: Option<Microseconds>,
    /// Time between the stop request and the end of the process at the latest; none where nothing bounds it.
    pub grace: Option<Duration>,
}

impl StopState {
    /// Which calls the server beside this daemon gets; `ready` says that the daemon has a configuration.
    #[must_use]
    pub fn intake(&self, ready: bool, back_end: BackEndState) -> CallIntake {
        if !ready || self.phase != IntakePhase::Open || !back_end.open {
            return CallIntake::Closed;
        }
        if self.draining_for.is_none() {
            return CallIntake::Open;
        }
        match self.time_left() {
            Some(left) if left > 0 && back_end.reports_departure => CallIntake::FallbackOnly { left },
            _ => CallIntake::Closed,
        }
    }

    /// Whether a call of another daemon with this deadline that starts at `now` can end before the process does. `usual` is how long calls of its kind
    /// take, where that is known.
    #[must_use]
    pub fn can_finish(&self, expiry: Instant, usual: Option<Microseconds>, now: Instant) -> bool {
        if self.phase == IntakePhase::Closed {
            return false;
        }
        if self.draining_for.is_none() || !self.is_late() {
            return true;
        }
        let Some(left) = self.time_left() else { return true };
        expiry <= now.plus(left) || usual.is_some_and(|usual| usual * ROOM_FOR_LATE_CALLS <= left)
    }

    /// Whether a call of a request that runs here is taken, as it will usually end before the process does: `usual` is the time that most
    /// calls of its kind stay within, where that is known.
    #[must_use]
    pub fn admits_call(&self, usual: Option<Microseconds>) -> bool {
        if self.draining_for.is_none() {
            return true;
        }
        self.time_left().is_none_or(|left| left > usual.unwrap_or_default())
    }

    /// The deadline with which work that is due by `expiry` is sent on at `now`: what ends at it still ends before the process does.
    #[must_use]
    pub fn cap_expiry(&self, expiry: Instant, now: Instant) -> Instant {
        match self.time_left() {
            Some(left) if self.draining_for.is_some() => expiry.min(now.plus(left)),
            _ => expiry,
        }
    }

    /// Whether callers that arrive now are refused: the daemon has closed to them, or the end of the process could cut them off. Until then they are
    /// served, as they may not know yet that the daemon stops.
    #[must_use]
    pub fn refuses_callers(&self) -> bool {
        self.phase != IntakePhase::Open || self.is_late()
    }

    /// Whether so much of the grace period has passed that what is taken now could outlast it.
    fn is_late(&self) -> bool {
        let (Some(draining_for), Some(grace)) = (self.draining_for, self.grace) else { return false };
        Duration::from_micros(draining_for) > grace.mul_f64(SERVED_SHARE_OF_GRACE)
    }

    /// Time until the deadline of what is sent on; none where nothing bounds it.
    fn time_left(&self) -> Option<Microseconds> {
        let grace = self.grace?.saturating_sub(END_MARGIN + ANSWER_MARGIN).as_micros() as Microseconds;
        Some(grace.saturating_sub(self.draining_for.unwrap_or_default()))
    }
}
