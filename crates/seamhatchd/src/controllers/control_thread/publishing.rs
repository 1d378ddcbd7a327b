//! Publishes snapshots to the threads that carry traffic, and updates metrics.

use super::ControlThread;
use crate::base::clock;
use crate::base::metrics::NO_PROOF;
use crate::controllers::publish;
use rustix::time::{ClockId, clock_gettime};
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::identity::Address;
use seamhatch_core::membership::MemberRecord;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Minimum interval between two snapshots caused by datagrams. A snapshot copies the name and addresses of each member, and
/// a burst of records arrives in several datagrams.
const MIN_SNAPSHOT_INTERVAL: Microseconds = 20 * MILLISECOND;

/// Inputs and time of the last published snapshot.
#[derive(Debug, Default)]
pub(super) struct Publication {
    /// Servers that the policy's `stop_sending` takes out of use, by their peer address.
    stopped: BTreeSet<Address>,
    /// Membership change counter at the last snapshot; none before the first one.
    member_changes: Option<u64>,
    at: Instant,
}

impl ControlThread {
    pub(super) fn all_members(&self) -> Vec<MemberRecord> {
        std::iter::once(self.membership.state.me()).chain(self.membership.state.others()).cloned().collect()
    }

    /// Evaluates the policy's `stop_sending`, and publishes a snapshot if the result changed.
    pub(super) fn update_stopped(&mut self) {
        let Some((_, configuration)) = self.configuration.in_force() else { return };
        let stopped = publish::stopped_servers(&self.shared.pool, &configuration, &self.all_members());
        if stopped != self.publication.stopped {
            self.publication.stopped = stopped;
            self.publish();
        }
    }

    /// Publishes a membership change at once if [`MIN_SNAPSHOT_INTERVAL`] has passed; otherwise the next tick publishes it.
    /// The tick alone would be slow for a starting daemon, which refuses all calls until it knows a server.
    pub(super) fn publish_rate_limited(&mut self) {
        if clock::now().since(self.publication.at) >= MIN_SNAPSHOT_INTERVAL {
            self.publish_if_changed();
        }
    }

    pub(super) fn publish_if_changed(&mut self) {
        if self.publication.member_changes != Some(self.membership.state.changes()) {
            self.publish();
        }
    }

    pub(super) fn publish(&mut self) {
        let state = &self.membership.state;
        self.publication.member_changes = Some(state.changes());
        self.publication.at = clock::now();
        let members = std::iter::once(state.me()).chain(state.others());
        let (configuration, roster) = (self.configuration.in_force(), self.roster.roster().clone());
        let snapshot = publish::snapshot(configuration, members, &self.publication.stopped, roster);
        self.shared.published.store(Arc::new(snapshot));
    }

    pub(super) fn update_metrics(&self) {
        let metrics = &self.shared.metrics;
        metrics.generation.set(self.configuration.generation_in_force().0 as i64);
        metrics.newest_generation.set(self.configuration.newest_offered().0 as i64);
        let proof = self.shared.limits.freshness.standing(clock::now());
        metrics.proof_age.set(proof.map_or(NO_PROOF, |proof| (proof.age / MILLISECOND) as i64));
        metrics.members.set(self.membership.state.live_count() as i64);
        metrics.condemned.set(self.shared.suspects.condemned() as i64);
        metrics.claims.set(self.shared.claims.witnesses.forget_old() as i64);
        self.shared.claims.records.forget_old();
        self.shared.claims.sealed.forget_old();
        let cpu = clock_gettime(ClockId::ThreadCPUTime);
        metrics.control_cpu_milliseconds.set(cpu.tv_sec * 1000 + cpu.tv_nsec / 1_000_000);
    }
}
