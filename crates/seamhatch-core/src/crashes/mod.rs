//! Requests that crash servers: evidence from crashes, and who is turned away on it.
//!
//! A crash is one life of a server that ended without a word while calls were at work on it. Each of these is a suspect, one
//! among many. A run that comes to a good end clears its request, as one that crashes every server never has such a run. What has
//! been at work in several crashes since is condemned: it isn't sent to servers any more until a pause is over, and then on trial.
//!
//! Evidence is a set of distinct crashes, not a sum of reports, so that it may be told twice, late and in any order.

mod ledger;
mod quarantine;
mod record;
mod work;

pub use ledger::{CrashLedger, CrashPolicy, EvidenceEffect, SuspectStanding};
pub use quarantine::{ends_try, home_of, runs_isolated};
pub use record::{CondemnedRecord, CrashMark, MOST_MARKS, SuspectRecord, SuspectReport};
pub use work::{Suspect, WorkNumber, WorkTable};

use crate::identity::{Incarnation, RequestDigest};
use crate::instance::InstanceId;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// Names one life of a server, on all daemons alike. It ends in one crash at most.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct InstanceDigest(pub u64);

impl InstanceDigest {
    /// The life of a server that registers.
    #[must_use]
    pub fn of_instance(instance: &InstanceId) -> Self {
        let born = instance.born.map(u64::to_le_bytes);
        let born = born.as_ref().map_or(&[][..], |bytes| bytes);
        Self(RequestDigest::of(&[instance.name.as_bytes(), born]).0)
    }

    /// The life of a server without a name, beside a daemon that has seen it crash `crashes` times.
    #[must_use]
    pub fn of_unnamed(daemon: Incarnation, crashes: u64) -> Self {
        Self(RequestDigest::of(&[&daemon.0.to_le_bytes(), &crashes.to_le_bytes()]).0)
    }
}
