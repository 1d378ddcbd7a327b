//! Drain: which calls and callers a daemon still serves while it stops.
//!
//! [`StopState`] says how far the stop of the daemon has come. It decides which calls other daemons may send to the
//! back end ([`CallIntake`]), whether a call that starts now can end before the process does, which deadline
//! forwarded work gets, and whether callers are refused. Whatever is accepted ends by itself before the process.
//! Times are read from the boot clock at the moment of the question.
//!
//! This protects requests in flight from being cut off by the end of the process. It also protects services whose
//! daemons are all stopped at once from refusals while their back ends still work: a drain is only a preference, and
//! if the back end itself reports when it leaves, other daemons may use it as long as no other server can take a
//! call. Alternatives: docs/DESIGN.md#planned-stops. The daemon keeps the state in `seamhatchd::shared` and applies
//! it in its listeners.

use crate::clock::{Instant, Microseconds};
use crate::intake::IntakePhase;
use speedy::{Readable, Writable};
use std::time::Duration;

/// Work in progress is aborted this long before the grace period ends, so that its callers still get an answer.
pub const END_MARGIN: Duration = Duration::from_millis(300);

/// The deadline of work forwarded during a drain lies this long before [`END_MARGIN`] begins, so that an answer that a
/// server gives at its deadline arrives in time.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Fraction of the grace period in which callers are still served. A request that is accepted in it has the rest of
/// the period to end.
const SERVED_SHARE_OF_GRACE: f64 = 0.45;

/// A late call from another daemon is accepted if this many calls of its kind, one after the other, would usually end
/// in time.
const LATE_CALL_HEADROOM: Microseconds = 2;

/// Which calls the server beside a daemon gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub enum CallIntake {
    /// All.
    Open,
    /// Only calls that no other daemon of the service can take, if they end in time: the daemon is about to stop.
    FallbackOnly {
        /// Time until the deadline of forwarded work, in microseconds.
        left: Microseconds,
    },
    /// None.
    Closed,
}

/// What a daemon knows about the back end beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackEndState {
    /// Takes calls.
    pub open: bool,
    /// Reports by itself when it leaves. A back end that does not stops together with its daemon.
    pub reports_departure: bool,
}

/// How far the stop of a daemon has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopState {
    /// Which requests the daemon accepts.
    pub phase: IntakePhase,
    /// How long the daemon has been draining, in microseconds; `None` if it is not.
    pub draining_for: Option<Microseconds>,
    /// Maximum time between the stop request and the end of the process; `None` if unbounded.
    pub grace: Option<Duration>,
}

impl StopState {
    /// Which calls the server beside this daemon gets. `ready` says that the daemon has a configuration.
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

    /// Whether a call from another daemon with this deadline can end before the process does if it starts at `now`.
    /// `usual` is the usual duration of calls of its kind, if known.
    #[must_use]
    pub fn can_finish(&self, expiry: Instant, usual: Option<Microseconds>, now: Instant) -> bool {
        if self.phase == IntakePhase::Closed {
            return false;
        }
        if self.draining_for.is_none() || !self.is_late() {
            return true;
        }
        let Some(left) = self.time_left() else { return true };
        expiry <= now.plus(left) || usual.is_some_and(|usual| usual * LATE_CALL_HEADROOM <= left)
    }

    /// Whether a call made by a request that runs here is accepted: it will usually end before the process does.
    /// `usual` is the time that most calls of its kind stay within, if known.
    #[must_use]
    pub fn admits_call(&self, usual: Option<Microseconds>) -> bool {
        if self.draining_for.is_none() {
            return true;
        }
        self.time_left().is_none_or(|left| left > usual.unwrap_or_default())
    }

    /// Caps the deadline of work that is forwarded at `now`: work that ends at its deadline still ends before the
    /// process does.
    #[must_use]
    pub fn cap_expiry(&self, expiry: Instant, now: Instant) -> Instant {
        match self.time_left() {
            Some(left) if self.draining_for.is_some() => expiry.min(now.plus(left)),
            _ => expiry,
        }
    }

    /// Whether callers that arrive now are refused: the daemon is closed to them, or the end of the process could cut
    /// them off. Until then they are served, as they may not know yet that the daemon is stopping.
    #[must_use]
    pub fn refuses_callers(&self) -> bool {
        self.phase != IntakePhase::Open || self.is_late()
    }

    /// Whether so much of the grace period has passed that work accepted now could outlast it.
    fn is_late(&self) -> bool {
        let (Some(draining_for), Some(grace)) = (self.draining_for, self.grace) else { return false };
        Duration::from_micros(draining_for) > grace.mul_f64(SERVED_SHARE_OF_GRACE)
    }

    /// Time until the deadline of forwarded work; `None` if unbounded.
    fn time_left(&self) -> Option<Microseconds> {
        let grace = self.grace?.saturating_sub(END_MARGIN + ANSWER_MARGIN).as_micros() as Microseconds;
        Some(grace.saturating_sub(self.draining_for.unwrap_or_default()))
    }
}
