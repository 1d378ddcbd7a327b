//! Departures: when a starting daemon may trust the heartbeats of its back end.
//!
//! An instance that has left must get no calls, but a restarted daemon may receive a late heartbeat of it. A
//! departure is therefore recorded in the store or at other daemons before it is acknowledged, and a starting daemon
//! asks both: either may hold a record that the other lacks. [`DepartureInquiry`] decides, from the time since the
//! start and from the sources that have answered, whether enough is known. Alternatives: docs/DESIGN.md#departures.
//! The controllers of the daemon and the model check of departures call it.

use crate::clock::{MILLISECOND, Microseconds, SECOND};
use crate::instance::{InstanceId, REMEMBERED_DEPARTURES};
use serde::{Deserialize, Serialize};

/// How long a starting daemon that has the store's answer waits for the answer of the holders.
pub const HOLDERS_ANSWER_TIMEOUT: Microseconds = 500 * MILLISECOND;
/// How long a starting daemon waits for the store before it relies on the holders alone.
pub const STORE_ANSWER_TIMEOUT: Microseconds = 800 * MILLISECOND;
/// How long a starting daemon that reaches neither the store nor a holder waits before it trusts its back end.
pub const INQUIRY_TIMEOUT: Microseconds = 4 * SECOND;

/// Where a starting daemon learns of earlier departures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureSource {
    /// The store.
    Store,
    /// Daemons that were asked to remember the departures.
    Holders,
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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InquiryVerdict {
    /// Not yet.
    Wait,
    /// Earlier departures are known as far as they can be.
    Settled,
    /// No source answers; earlier departures are unknown.
    GivenUp,
}

/// Sources that have answered a starting daemon about departures during its earlier incarnations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct DepartureInquiry {
    store_answered: bool,
    holders_answered: bool,
}

impl DepartureInquiry {
    /// Records that a source has answered.
    pub fn note_answer(&mut self, source: DepartureSource) {
        match source {
            DepartureSource::Store => self.store_answered = true,
            DepartureSource::Holders => self.holders_answered = true,
        }
    }

    /// Whether the holders have answered.
    #[must_use]
    pub fn holders_answered(&self) -> bool {
        self.holders_answered
    }

    /// Whether heartbeats may be trusted when `waited` has passed since the start. `asking` says that holders are
    /// still being asked.
    #[must_use]
    pub fn verdict(&self, waited: Microseconds, asking: bool) -> InquiryVerdict {
        match (self.store_answered, self.holders_answered) {
            (true, true) => InquiryVerdict::Settled,
            (true, false) if waited > HOLDERS_ANSWER_TIMEOUT && !asking => InquiryVerdict::Settled,
            (false, true) if waited > STORE_ANSWER_TIMEOUT => InquiryVerdict::Settled,
            _ if waited > INQUIRY_TIMEOUT => InquiryVerdict::GivenUp,
            _ => InquiryVerdict::Wait,
        }
    }
}
