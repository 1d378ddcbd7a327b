//! Departures: when a starting daemon may trust its back end's heartbeats.
//!
//! Decides, from the time since the start and from who has answered, whether enough is known of the instances that departed
//! before. A daemon may restart and then get a late heartbeat of an instance that is gone. So a departure is recorded in the
//! store or at other daemons before it is acknowledged, and a starting daemon asks both: either may have recorded one that
//! the other has not. It protects the rule that an instance which has left gets no calls. Alternatives:
//! docs/DESIGN.md#departures. Who calls it: the controllers of the daemon, and the model check of departures.

use crate::clock::{MILLISECOND, Microseconds, SECOND};
use crate::instance::{InstanceId, REMEMBERED_DEPARTURES};
use serde::{Deserialize, Serialize};

/// How long a starting daemon that has the store's answer waits for that of the holders. Chosen, not measured.
pub const HOLDERS_ANSWER_TIMEOUT: Microseconds = 500 * MILLISECOND;
/// How long a starting daemon waits for the store before it relies on the holders alone. Chosen, not measured.
pub const STORE_ANSWER_TIMEOUT: Microseconds = 800 * MILLISECOND;
/// How long a starting daemon that reaches neither the store nor a holder waits before it trusts its back end. Chosen, not
/// measured.
pub const INQUIRY_TIMEOUT: Microseconds = 4 * SECOND;

/// Where a starting daemon learns which instances departed before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureSource {
    /// The store.
    Store,
    /// Daemons that were asked to remember them.
    Holders,
}

/// Departed instances of one daemon's back end, as they lie in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DepartureRecord {
    /// The instances, the latest last.
    #[serde(rename = "departed")]
    pub instances: Vec<InstanceId>,
}

impl DepartureRecord {
    /// Adds an instance as the latest; the oldest are forgotten.
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
    /// What departed before is known as far as it can be.
    Settled,
    /// Nobody answers; what departed before is not known.
    GivenUp,
}

/// Which sources have answered a starting daemon about departures during its earlier incarnations.
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

    /// Whether heartbeats count, `waited` after the start; `asking` while holders are being asked.
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
