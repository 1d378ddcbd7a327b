//! Crashes of the local back end, the calls that were running then, and the consequences for their
//! requests.
//!
//! A crash is the end of a back end instance that did not report that it leaves: its connections
//! close and nothing listens any more. An answer that breaks off is not a crash.
//! [`seamhatch_core::crashes`] decides the consequences; this module probes the back end, lets
//! suspects wait for their trial runs, and reports crashes to the control thread, which spreads
//! them.

mod report;
mod suspects;
mod tracker;
mod trial_runs;

pub use report::{CrashReport, SuspectStatus, crash_report};
pub use suspects::SuspectRegistry;
pub use tracker::{CrashTracker, TrackedRun};
pub use trial_runs::{TrialRun, TrialRuns};

use crate::base::clock;
use crate::base::metrics::Metrics;
use crate::control::ControlHandle;
use crate::server::LocalServer;
use log::warn;
use seamhatch_core::crashes::{CrashedRuns, InstanceDigest, LostRun, SuspectStanding};
use seamhatch_core::identity::{Address, Incarnation, RequestDigest};
use seamhatch_core::instance::InstanceId;
use seamhatch_core::outcome::Reason;

/// The parts of the daemon that detect a crash or are notified of it.
#[derive(Debug, Clone, Copy)]
pub struct CrashContext<'a> {
    /// The local back end.
    pub server: &'a LocalServer,
    /// Requests that were running when servers crashed, here and elsewhere.
    pub suspects: &'a SuspectRegistry,
    /// Counts the crash.
    pub metrics: &'a Metrics,
    /// Spreads the suspects.
    pub control: &'a ControlHandle,
}

impl CrashContext<'_> {
    /// Whether the back end has crashed: during a call to `instance`, with the last byte of its
    /// answer, or before the call could be sent. The first call that finds out reports the crash
    /// for all calls that were running.
    pub async fn has_crashed(&self, run: &TrackedRun, instance: Option<&InstanceId>) -> bool {
        let tracker = &self.server.crashes;
        if tracker.has_ended(run) {
            return true;
        }
        let broken_at = clock::now();
        let mut last_seen_alive = tracker.last_seen_alive.lock().await;
        if tracker.has_ended(run) {
            return true;
        }
        // Many connections may break at once: one probe that began after that is valid for all of
        // them.
        if *last_seen_alive >= broken_at {
            return false;
        }
        let probed_at = clock::now();
        let is_leaving = || instance.is_some_and(|instance| self.server.instances.is_leaving(instance));
        // The back end may announce its departure during the probe.
        if is_leaving() || !self.server.backend.has_exited().await || is_leaving() {
            *last_seen_alive = probed_at;
            return false;
        }
        let crashed = tracker.end_instance(run);
        if !crashed.suspects.is_empty() {
            self.report(run.instance, instance, &crashed);
        }
        if let Some(instance) = instance {
            self.control.lost_instance(instance.clone(), Reason::BackendCrashed);
        }
        true
    }

    /// Records that another instance of the back end has replaced `instance`, which had not
    /// reported that it leaves. If this daemon was frozen while that instance crashed, nothing else
    /// shows the crash.
    pub fn record_replaced_instance(&self, instance: &InstanceId) {
        let crashed = self.server.crashes.replace_instance(instance);
        if !crashed.suspects.is_empty() {
            self.report(InstanceDigest::of_instance(instance), Some(instance), &crashed);
        }
    }

    /// Records that a daemon has ended during these runs, together with the server beside it as far
    /// as can be determined.
    pub fn record_lost_daemon(&self, daemon: Address, incarnation: Incarnation, runs: &[LostRun]) {
        let new_evidence =
            self.suspects.report_loss(InstanceDigest::beside_lost_daemon(daemon, incarnation), runs);
        warn!(
            peer = daemon.to_string().as_str(),
            calls = runs.len(),
            counted = new_evidence.len(),
            crashes_by_digest = self.format_evidence(new_evidence.iter().copied()).as_str();
            "a daemon has ended under calls"
        );
        if !new_evidence.is_empty() {
            self.control.suspects_changed(new_evidence.clone());
            self.control.remember_evidence(new_evidence);
        }
    }

    /// Formats requests with the number of crashes counted against each, for the log.
    fn format_evidence(&self, requests: impl Iterator<Item = RequestDigest>) -> String {
        let crashes = |request| self.suspects.standing(request).crashes();
        requests.map(|request| format!("{request}:{}", crashes(request))).collect::<Vec<_>>().join(",")
    }

    /// Records a crash of the local back end and reports it to other daemons.
    fn report(&self, digest: InstanceDigest, instance: Option<&InstanceId>, crashed: &CrashedRuns) {
        let suspects = crashed.suspects.as_slice();
        self.suspects.report_crash(digest, suspects);
        self.log_crash(instance, crashed);
        self.metrics.crashes.inc();
        self.metrics.crashed_calls.inc_by(crashed.calls as u64);
        let requests: Vec<RequestDigest> = suspects.iter().map(|suspect| suspect.request).collect();
        self.control.suspects_changed(requests.clone());
        self.control.remember_evidence(requests);
    }

    fn log_crash(&self, instance: Option<&InstanceId>, crashed: &CrashedRuns) {
        let evidence = self.format_evidence(crashed.suspects.iter().map(|suspect| suspect.request));
        warn!(
            instance = instance.map_or("", |instance| instance.name.as_str()),
            calls = crashed.calls,
            at_work = crashed.suspects.len(),
            crashes_by_digest = evidence.as_str();
            "back end crashed"
        );
    }
}

/// Waits until a call may run on the local back end: at once, unless its request is a suspect.
///
/// # Errors
/// Returns [`Reason::CrashesServers`] if the call may not run at all.
pub async fn until_admitted(
    suspects: &SuspectRegistry,
    request: RequestDigest,
) -> Result<Option<TrialRun>, Reason> {
    let mut standing = suspects.standing(request);
    loop {
        match standing {
            SuspectStanding::Clear => return Ok(None),
            SuspectStanding::Condemned { .. } => return Err(Reason::CrashesServers),
            SuspectStanding::Suspect { crashes } => {
                let trial = suspects.trial_runs.begin(request, crashes).await;
                // The previous copy may have ended successfully or in a crash.
                let now = suspects.standing(request);
                if now == standing {
                    return Ok(Some(trial));
                }
                standing = now;
            }
        }
    }
}
