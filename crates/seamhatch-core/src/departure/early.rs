//! Heartbeats that arrive before a starting daemon knows which instances have departed.

use crate::clock::{Instant, MILLISECOND, Microseconds};
use crate::instance::Heartbeat;
use std::collections::VecDeque;

/// Minimum time between two heartbeats that together show that an instance runs: late ones may arrive together.
pub const CONFIRMATION_GAP: Microseconds = 500 * MILLISECOND;

/// Number of instances whose heartbeats are kept; those heard longest ago are dropped.
const MAX_HEARD: usize = 4;

/// An instance that has been heard.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct HeardInstance {
    first_at: Instant,
    latest: Heartbeat,
    /// A later heartbeat shows that the instance runs.
    is_confirmed: bool,
}

/// The heartbeats of a back end since the start of its daemon, as long as they can't be trusted.
///
/// A late heartbeat of a departed instance comes alone. An instance that runs sends another one, whose sequence number
/// is greater.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct EarlyHeartbeats {
    /// The last heard instance is at the end.
    heard: VecDeque<HeardInstance>,
}

impl EarlyHeartbeats {
    /// Records a heartbeat that arrived at `now`. One with a sequence number that is not greater than the last is
    /// dropped. Returns whether the heartbeats of its instance show that it runs.
    pub fn note(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        let known = self.heard.iter().position(|heard| heard.latest.instance == heartbeat.instance);
        let heard = match known.and_then(|position| self.heard.remove(position)) {
            Some(heard) => heard.update(heartbeat, now),
            None => HeardInstance { first_at: now, latest: heartbeat, is_confirmed: false },
        };
        if self.heard.len() == MAX_HEARD {
            self.heard.pop_front();
        }
        let is_confirmed = heard.is_confirmed;
        self.heard.push_back(heard);
        is_confirmed
    }

    /// The latest heartbeat of the instance heard last.
    #[must_use]
    pub fn latest(&self) -> Option<&Heartbeat> {
        self.heard.back().map(|heard| &heard.latest)
    }

    /// The latest heartbeat of the instance heard last among those whose heartbeats show that they run.
    #[must_use]
    pub fn latest_confirmed(&self) -> Option<&Heartbeat> {
        self.heard.iter().rfind(|heard| heard.is_confirmed).map(|heard| &heard.latest)
    }
}

impl HeardInstance {
    fn update(self, heartbeat: Heartbeat, now: Instant) -> Self {
        if heartbeat.sequence <= self.latest.sequence {
            return self;
        }
        let is_confirmed = self.is_confirmed || now.since(self.first_at) >= CONFIRMATION_GAP;
        Self { latest: heartbeat, is_confirmed, ..self }
    }
}
