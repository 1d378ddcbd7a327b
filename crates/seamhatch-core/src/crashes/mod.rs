//! Quarantine of requests that crash servers.
//!
//! Decides which requests are suspects of a crash, how a suspect runs, and which requests are condemned and
//! refused. A crash is the end of one instance of a server that did not report that it leaves. Each call that
//! ran on the instance at that time or shortly before makes its request a suspect, usually one among many. A
//! successful run clears a request, since a request that crashes every server never has one. A request with
//! several crashes since its last successful run is condemned: it is not sent to servers until a pause has
//! passed, and then only as a trial run of one copy. After a few failed trial runs it is not sent at all
//! until it is cleared.
//!
//! This keeps one request from crashing the servers of a service one after another. Evidence is a set of
//! distinct crashes rather than a sum of reports, so reports may arrive twice, late and in any order.
//! Alternatives: docs/DESIGN.md#requests-that-crash-servers.

mod ledger;
mod policy;
mod quarantine;
mod record;
mod runs;

pub use ledger::{CrashLedger, EvidenceEffect, SuspectStanding};
pub use policy::CrashPolicy;
pub use quarantine::{forbids_resend, runs_isolated, server_for_suspect};
pub use record::{CondemnedRecord, CrashMark, MAX_MARKS, SuspectRecord, SuspectReport};
pub use runs::{CrashedRuns, LostRun, RunEnd, RunMode, RunNumber, RunTable, SURVIVAL_AFTER_ANSWER, Suspect};

use crate::identity::{Address, Incarnation, RequestDigest};
use crate::instance::InstanceId;
use crate::wire_number::wire_number;

wire_number! {
    /// Identifies one instance of a server, with the same value at all daemons. An instance ends in at most
    /// one crash.
    pub struct InstanceDigest(pub u64);
}

impl InstanceDigest {
    /// Digest of a server instance that registers.
    #[must_use]
    pub fn of_instance(instance: &InstanceId) -> Self {
        let born = instance.born.map(u64::to_le_bytes);
        let born = born.as_ref().map_or(&[][..], |bytes| bytes);
        Self(RequestDigest::of(&[instance.name.as_bytes(), born]).0)
    }

    /// Digest of the server beside a lost daemon, as computed by the daemons that had calls there.
    #[must_use]
    pub fn beside_lost_daemon(daemon: Address, incarnation: Incarnation) -> Self {
        let daemon = daemon.to_string();
        Self(RequestDigest::of(&[b"lost", daemon.as_bytes(), &incarnation.0.to_le_bytes()]).0)
    }

    /// Digest of a trial run of a condemned request, which counts as one instance that it crashes; `number`
    /// is random.
    #[must_use]
    pub fn of_trial(number: u64) -> Self {
        Self(RequestDigest::of(&[b"trial", &number.to_le_bytes()]).0)
    }

    /// Digest of a server instance without a name, beside a daemon that has seen `crashes` crashes of that
    /// server.
    #[must_use]
    pub fn of_unnamed(daemon: Incarnation, crashes: u64) -> Self {
        Self(RequestDigest::of(&[&daemon.0.to_le_bytes(), &crashes.to_le_bytes()]).0)
    }
}
