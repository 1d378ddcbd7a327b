//! Departures: when a starting daemon may trust the heartbeats of its back end.
//!
//! An instance that has left must get no calls, but a restarted daemon may receive a late heartbeat of it. The store
//! records a departure before it is acknowledged, other daemons hold it as well, and a starting daemon asks both:
//! daemons may hold one that the store could not be told. [`DepartureInquiry`] decides, from the time since the start
//! and from the sources that have answered, whether enough is known. Without the store's answer, [`EarlyHeartbeats`]
//! decides which instances run. Alternatives: docs/DESIGN.md#departures. The controllers of the daemon and the model
//! check of departures call it.

mod early;

pub use early::{CONFIRMATION_GAP, EarlyHeartbeats};

use crate::clock::{MILLISECOND, Microseconds, SECOND};
use crate::instance::{InstanceId, REMEMBERED_DEPARTURES};
use serde::{Deserialize, Serialize};

/// How long a starting daemon that has the store's answer and knows the other daemons waits for the answer of the
/// holders.
pub const HOLDERS_ANSWER_TIMEOUT: Microseconds = 500 * MILLISECOND;
/// How long a starting daemon waits for the store before it relies on the holders.
pub const STORE_ANSWER_TIMEOUT: Microseconds = 800 * MILLISECOND;
/// How long a starting daemon waits at most, whichever sources it reaches, before it relies on those that have answered and on
/// its back end.
pub const INQUIRY_TIMEOUT: Microseconds = 4 * SECOND;

/// Where a starting daemon learns of earlier departures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureSource {
    /// The store.
    Store,
    /// Daemons that were asked to remember the departures.
    Holders,
    /// Daemons that were asked before the store had named all daemons: the holders may be others.
    FirstHolders,
}

/// Departed instances of one daemon's back end, as stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DepartureRecord {
    /// The instances, oldest first.
    #[serde(rename = "departed")]
    pub instances: Vec<InstanceId>,
}

impl DepartureRecord {
    /// Adds an instance as the latest, and drops the oldest beyond [`REMEMBERED_DEPARTURES`].
    pub fn add(&mut self, instance: &InstanceId) {
        self.instances.retain(|known| known != instance);
        let forgotten = (self.instances.len() + 1).saturating_sub(REMEMBERED_DEPARTURES);
        self.instances.drain(..forgotten);
        self.instances.push(instance.clone());
    }
}

/// Whether a starting daemon may trust its back end's heartbeats.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum InquiryVerdict {
    /// Not yet.
    #[default]
    Wait,
    /// Earlier departures are known as far as they can be.
    Settled,
    /// The store does not answer, and it alone is certain to know what was acknowledged: an instance is trusted once
    /// its heartbeats show that it runs.
    Unconfirmed,
}

/// How long a starting daemon has waited, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InquiryWait {
    /// Since its start.
    pub started: Microseconds,
    /// Since the store named the other daemons; `None` before.
    pub members_known: Option<Microseconds>,
    /// Holders are being asked.
    pub asking: bool,
}

/// Sources that have answered a starting daemon about departures during its earlier incarnations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct DepartureInquiry {
    store_answered: bool,
    holders_answered: bool,
    first_holders_answered: bool,
}

impl DepartureInquiry {
    /// Records that a source has answered.
    pub fn note_answer(&mut self, source: DepartureSource) {
        match source {
            DepartureSource::Store => self.store_answered = true,
            DepartureSource::Holders => self.holders_answered = true,
            DepartureSource::FirstHolders => self.first_holders_answered = true,
        }
    }

    /// Whether holders are still to be asked. `members_known` says that the store has named all daemons, and `has_unasked`
    /// that a daemon which may hold departures has not answered yet: before the store has named them, daemons become known
    /// one after the other, and the first may hold nothing.
    #[must_use]
    pub fn needs_holders(&self, members_known: bool, has_unasked: bool) -> bool {
        !self.holders_answered && (members_known || has_unasked)
    }

    /// Whether heartbeats may be trusted.
    #[must_use]
    pub fn verdict(&self, wait: InquiryWait) -> InquiryVerdict {
        let holders_overdue =
            !wait.asking && wait.members_known.is_some_and(|known| known > HOLDERS_ANSWER_TIMEOUT);
        let any_holder_answered = self.holders_answered || self.first_holders_answered;
        let is_over = wait.started > INQUIRY_TIMEOUT;
        match self.store_answered {
            true if self.holders_answered || holders_overdue || is_over => InquiryVerdict::Settled,
            false if any_holder_answered && wait.started > STORE_ANSWER_TIMEOUT => {
                InquiryVerdict::Unconfirmed
            }
            false if is_over => InquiryVerdict::Unconfirmed,
            _ => InquiryVerdict::Wait,
        }
    }
}
