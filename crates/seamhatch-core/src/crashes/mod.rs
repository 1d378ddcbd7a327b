//! Quarantine of requests that crash servers.
//!
//! Decides from crashes which requests are suspects, how a suspect runs, and which are condemned and refused. Inputs are
//! crashes: a crash is one instance of a server that ended without reporting that it leaves. Each call that ran on it then, or
//! shortly before, is a suspect, one among many. A run that ends well clears its request, as a request that crashes every server
//! never has such a run. A request of several crashes since is condemned: it isn't sent to servers any more until a pause is
//! over, and then as a trial run of one copy; after few of these it isn't sent at all until it is cleared.
//!
//! It protects the servers of a service from being crashed one after another by one request. Evidence is a set of distinct
//! crashes, not a sum of reports, so it may be reported twice, late and in any order. Alternatives: docs/DESIGN.md#requests-that-crash-servers.

mod ledger;
mod policy;
mod quarantine;
mod record;
mod runs;

pub use ledger::{CrashLedger, EvidenceEffect, SuspectStanding};
pub use policy::CrashPolicy;
pub use quarantine::{forbids_resend, runs_isolated, server_for_suspect};
pub use record::{CondemnedRecord, CrashMark, MOST_MARKS, SuspectRecord, SuspectReport};
pub use runs::{CrashedRuns, LostRun, RunEnd, RunMode, RunNumber, RunTable, SURVIVAL_AFTER_ANSWER, Suspect};

use crate::identity::{Address, Incarnation, RequestDigest};
use crate::instance::InstanceId;
use crate::wire_number::wire_number;

wire_number! {
    /// Names one instance of a server, the same at all daemons. It ends in one crash at most.
    pub struct InstanceDigest(pub u64);
}

impl InstanceDigest {
    /// The instance of a server that registers.
    #[must_use]
    pub fn of_instance(instance: &InstanceId) -> Self {
        let born = instance.born.map(u64::to_le_bytes);
        let born = born.as_ref().map_or(&[][..], |bytes| bytes);
        Self(RequestDigest::of(&[instance.name.as_bytes(), born]).0)
    }

    /// The server beside a daemon that was lost, as the daemons see it that had calls there.
    #[must_use]
    pub fn beside_lost_daemon(daemon: Address, incarnation: Incarnation) -> Self {
        let daemon = daemon.to_string();
        Self(RequestDigest::of(&[b"lost", daemon.as_bytes(), &incarnation.0.to_le_bytes()]).0)
    }

    /// A trial run of a condemned request, which counts as one instance that it ends; `number` is drawn for it.
    #[must_use]
    pub fn of_trial(number: u64) -> Self {
        Self(RequestDigest::of(&[b"trial", &number.to_le_bytes()]).0)
    }

    /// The instance of a server without a name, beside a daemon that has seen it crash `crashes` times.
    #[must_use]
    pub fn of_unnamed(daemon: Incarnation, crashes: u64) -> Self {
        Self(RequestDigest::of(&[&daemon.0.to_le_bytes(), &crashes.to_le_bytes()]).0)
    }
}
