//! Crashes of the back end beside this daemon, the calls that ran then, and what follows for them.
//!
//! A crash is one instance of the back end that ended without reporting that it leaves: connections closed and nothing listens
//! any more. An answer that broke off is none. [`seamhatch_core::crashes`] decides what
//! follows; here the back end is looked for, suspects wait for their trial runs, and crashes are reported to the control
//! thread, which spreads them.

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

/// The parts of the daemon that notice a crash, or have to hear of it.
#[derive(Debug, Clone, Copy)]
pub struct CrashContext<'a> {
    /// The back end.
    pub server: &'a LocalServer,
    /// Requests that ran when servers crashed, here and elsewhere.
    pub suspects: &'a SuspectRegistry,
    /// Counts the crash.
    pub metrics: &'a Metrics,
    /// Spreads the suspects.
    pub control: &'a ControlHandle,
}

impl CrashContext<'_> {
    /// Whether the back end has crashed: under a call to `instance`, with its answer's last byte, or before the call could be
    /// sent. The first call that finds out reports it for all that ran.
    pub async fn has_crashed(&self, work: &TrackedRun, instance: Option<&InstanceId>) -> bool {
        let watch = &self.server.crashes;
        if watch.has_ended(work) {
            return true;
        }
        let broke = clock::now();
        let mut seen_alive = watch.seen_alive.lock().await;
        if watch.has_ended(work) {
            return true;
        }
        // Many connections may break at once: one look that began after that answers for all of them.
        if *seen_alive >= broke {
            return false;
        }
        let looked = clock::now();
        let is_leaving = || instance.is_some_and(|instance| self.server.instances.is_leaving(instance));
        // The goodbye may come while the back end is being looked for.
        if is_leaving() || !self.server.backend.has_exited().await || is_leaving() {
            *seen_alive = looked;
            return false;
        }
        let crashed = watch.end_instance(work);
        if !crashed.suspects.is_empty() {
            self.report(work.instance, instance, &crashed);
        }
        if let Some(instance) = instance {
            self.control.lost_instance(instance.clone(), Reason::BackendCrashed);
        }
        true
    }

    /// Records that another instance of the back end is there in place of `instance`, which had not reported that it leaves.
    /// Where this daemon was frozen while that one crashed, nothing else shows the crash.
    pub fn record_replaced_instance(&self, instance: &InstanceId) {
        let crashed = self.server.crashes.replace_instance(instance);
        if !crashed.suspects.is_empty() {
            self.report(InstanceDigest::of_instance(instance), Some(instance), &crashed);
        }
    }

    /// Records that a daemon has ended under these runs, together with the server beside it as far as anybody can tell.
    pub fn record_lost_daemon(&self, daemon: Address, incarnation: Incarnation, runs: &[LostRun]) {
        let news = self.suspects.report_loss(InstanceDigest::beside_lost_daemon(daemon, incarnation), runs);
        warn!(
            peer = daemon.to_string().as_str(),
            calls = runs.len(),
            counted = news.len(),
            crashes_by_digest = self.evidence(news.iter().copied()).as_str();
            "a daemon has ended under calls"
        );
        if !news.is_empty() {
            self.control.suspects_changed(news.clone());
            self.control.remember_evidence(news);
        }
    }

    /// Requests and the crashes that speak against each, for the log.
    fn evidence(&self, requests: impl Iterator<Item = RequestDigest>) -> String {
        let crashes = |request| self.suspects.standing(request).crashes();
        requests.map(|request| format!("{request}:{}", crashes(request))).collect::<Vec<_>>().join(",")
    }

    /// Records a crash here and has it reported to other daemons.
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
        let evidence = self.evidence(crashed.suspects.iter().map(|suspect| suspect.request));
        warn!(
            instance = instance.map_or("", |instance| instance.name.as_str()),
            calls = crashed.calls,
            at_work = crashed.suspects.len(),
            crashes_by_digest = evidence.as_str();
            "back end crashed"
        );
    }
}

/// Waits until a call may run at the back end here: at once, unless its request is a suspect.
///
/// # Errors
/// [`Reason::CrashesServers`]: it may not run at all.
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
                // The copy before may have ended well, or in a crash.
                let now = suspects.standing(request);
                if now == standing {
                    return Ok(Some(trial));
                }
                standing = now;
            }
        }
    }
}
