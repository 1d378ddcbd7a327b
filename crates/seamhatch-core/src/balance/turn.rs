//! Distribution of the call rate that a server names among the daemons that send calls to it.
//!
//! A rate-limited server runs few calls, so judged by its load it would look idle and attract every call. The daemon
//! beside it therefore assigns turns to the sending daemons, round robin: the one that sent last comes last.

use crate::clock::{Instant, Microseconds, SECOND};
use crate::identity::Address;
use crate::rate::RequestRate;
use speedy::{Readable, Writable};
use std::collections::HashMap;

/// A daemon that has sent nothing for this long is dropped from the round.
const SENDER_LIFETIME: Microseconds = 2 * SECOND;

/// Report to a daemon that sends calls, made by the daemon beside a rate-limited server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct TurnReport {
    /// Time until the server can take a call of this sender.
    pub turn_in: Microseconds,
    /// Time between two turns of a sender.
    pub round: Microseconds,
}

/// The daemons that send calls to a server, with the time of their last call.
#[derive(Debug, Default)]
pub struct SenderRoundRobin {
    last_sent: HashMap<Address, Instant>,
}

impl SenderRoundRobin {
    /// Records that a daemon has sent a call.
    pub fn record_call(&mut self, sender: Address, now: Instant) {
        self.last_sent.retain(|_, last| now.since(*last) < SENDER_LIFETIME);
        self.last_sent.insert(sender, now);
    }

    /// The report for `sender`, where `turn_in` is the time until the rate allows a call that arrives now.
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

/// When a sender may send its next call to a rate-limited server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextTurn {
    at: Instant,
    round: Microseconds,
}

impl NextTurn {
    /// Creates it from a report that arrived at `now`.
    #[must_use]
    pub fn from_report(report: TurnReport, now: Instant) -> Self {
        Self { at: now.plus(report.turn_in), round: report.round }
    }

    /// Records that a call was sent; the next turn comes a round later.
    pub fn note_sent(&mut self, now: Instant) {
        self.at = self.at.max(now).plus(self.round);
    }

    /// Time until the next turn.
    #[must_use]
    pub fn wait(&self, now: Instant) -> Microseconds {
        self.at.since(now)
    }
}
