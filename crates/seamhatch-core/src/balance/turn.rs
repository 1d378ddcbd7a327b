//! When a server that names a rate has a turn for another call of this daemon.
//!
//! A server that is held to a rate has little running, so by its load it would look idle and get every call. The daemon beside it gives
//! each daemon that sends there a turn of its own: it goes round among them, the one that sent last comes last.

use crate::clock::{Instant, Microseconds, SECOND};
use crate::identity::Address;
use crate::rate::RequestRate;
use speedy::{Readable, Writable};
use std::collections::HashMap;

/// A daemon that has sent nothing for this long has no place in the round.
const SENDER_LIFETIME: Microseconds = 2 * SECOND;

/// What the daemon beside a server that names a rate reports to a daemon that sends calls there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct TurnReport {
    /// Time until the asked server has a turn for a call of this sender.
    pub turn_in: Microseconds,
    /// Time between two turns of a sender.
    pub round: Microseconds,
}

/// The daemons that send calls to a server, by when they last did.
#[derive(Debug, Default)]
pub struct SenderRoundRobin {
    last_sent: HashMap<Address, Instant>,
}

impl SenderRoundRobin {
    /// A daemon has sent a call.
    pub fn record_call(&mut self, sender: Address, now: Instant) {
        self.last_sent.retain(|_, last| now.since(*last) < SENDER_LIFETIME);
        self.last_sent.insert(sender, now);
    }

    /// What a daemon is told, where a call that comes now waits for `turn_in`.
    #[must_use]
    pub fn report(
        &self,
        sender: Address,
        rate: RequestRate,
        turn_in: Microseconds,
        now: Instant,
    ) -> TurnReport {
        let active = || self.last_sent.iter().filter(|(_, last)| now.since(**last) < SENDER_LIFETIME);
        let own = self.last_sent.get(&sender).copied().unwrap_or_default();
        let before = active().filter(|(other, last)| **other != sender && **last < own).count();
        let interval = rate.interval();
        TurnReport {
            turn_in: turn_in + interval * before as u64,
            round: interval * active().count().max(1) as u64,
        }
    }
}

/// What a sender knows of its next turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextTurn {
    at: Instant,
    round: Microseconds,
}

impl NextTurn {
    /// By a report that came at `now`.
    #[must_use]
    pub fn from_report(report: TurnReport, now: Instant) -> Self {
        Self { at: now.plus(report.turn_in), round: report.round }
    }

    /// A call was sent: the next turn comes a round later.
    pub fn note_sent(&mut self, now: Instant) {
        self.at = self.at.max(now).plus(self.round);
    }

    /// Time until the turn.
    #[must_use]
    pub fn wait(&self, now: Instant) -> Microseconds {
        self.at.since(now)
    }
}
