//! Requests that were running when servers crashed, shared by all threads.
//!
//! Wraps [`seamhatch_core::crashes::CrashLedger`], which makes the decisions, in a lock. Calls read
//! it; local crashes and reports of other daemons write it.

use crate::base::clock;
use crate::base::lock::lock;
use crate::server::crashes::trial_runs::{TrialRun, TrialRuns};
use log::{info, warn};
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::crashes::{
    CrashLedger, CrashPolicy, EvidenceEffect, InstanceDigest, LostRun, RunMode, Suspect, SuspectReport,
    SuspectStanding, runs_isolated,
};
use seamhatch_core::identity::RequestDigest;
use seamhatch_core::outcome::Reason;
use seamhatch_policy::CrashSettings;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};

/// The ledger of suspects, and their trial runs on the local back end.
#[derive(Debug)]
pub struct SuspectRegistry {
    ledger: Mutex<CrashLedger>,
    /// Number of records in the ledger. While it is zero, a call costs one atomic load instead of
    /// the lock.
    record_count: AtomicUsize,
    /// Whether suspects are treated differently from other requests.
    is_enforced: AtomicBool,
    /// Trial runs of suspects on the local back end.
    pub trial_runs: TrialRuns,
}

impl Default for SuspectRegistry {
    fn default() -> Self {
        Self::new(CrashPolicy::default())
    }
}

impl SuspectRegistry {
    /// Creates an empty ledger with this policy.
    #[must_use]
    pub fn new(policy: CrashPolicy) -> Self {
        let ledger = Mutex::new(CrashLedger::new(policy));
        Self {
            ledger,
            record_count: AtomicUsize::new(0),
            is_enforced: AtomicBool::new(true),
            trial_runs: TrialRuns::default(),
        }
    }

    /// Applies the settings of the configuration.
    pub fn set_settings(&self, settings: &CrashSettings) {
        let policy = CrashPolicy {
            condemned_after: settings.limit,
            first_pause: settings.pause_ms.saturating_mul(MILLISECOND),
            ..CrashPolicy::default()
        };
        self.lock().set_policy(policy);
        self.is_enforced.store(settings.turn_away, Ordering::Relaxed);
    }

    /// Returns the standing of a request, which decides whether and how it may run now.
    #[must_use]
    pub fn standing(&self, request: RequestDigest) -> SuspectStanding {
        if self.record_count.load(Ordering::Acquire) == 0 || !self.is_enforced.load(Ordering::Relaxed) {
            return SuspectStanding::Clear;
        }
        self.lock().standing(request, clock::now())
    }

    /// Whether a call that was admitted earlier, as a trial run or not, may still run now.
    #[must_use]
    pub fn may_run(&self, request: RequestDigest, trial: Option<&TrialRun>) -> bool {
        match self.standing(request) {
            SuspectStanding::Clear => true,
            SuspectStanding::Suspect { crashes } => {
                trial.is_some_and(|trial| trial.is_isolated() || !runs_isolated(crashes))
            }
            SuspectStanding::Condemned { .. } => false,
        }
    }

    /// Returns the mode in which an admitted call runs from now on, whether it was admitted as a
    /// trial run or not.
    ///
    /// # Errors
    /// Returns [`Reason::CrashesServers`] if the call may not run.
    pub fn begin_run(&self, request: RequestDigest, trial: Option<&TrialRun>) -> Result<RunMode, Reason> {
        let is_isolated = trial.is_some_and(TrialRun::is_isolated);
        let mode = if is_isolated { RunMode::Isolated } else { RunMode::Usual };
        if self.standing(request) == SuspectStanding::Clear {
            return Ok(mode);
        }
        let now = clock::now();
        let mut ledger = self.lock();
        if matches!(ledger.standing(request, now), SuspectStanding::Condemned { .. }) {
            return Err(Reason::CrashesServers);
        }
        let trial_id = InstanceDigest::of_trial(rand::random());
        Ok(if ledger.begin_trial(request, trial_id, now) { RunMode::Trial(trial_id) } else { mode })
    }

    /// Withdraws a trial run that the server did not start.
    pub fn withdraw_trial(&self, request: RequestDigest, trial_id: InstanceDigest) {
        self.lock().withdraw_trial(request, trial_id);
    }

    /// Returns how long callers of a condemned request are told to stay away, in microseconds; zero
    /// for any other request.
    #[must_use]
    pub fn pause_left(&self, request: RequestDigest) -> Microseconds {
        self.lock().pause_left(request, clock::now())
    }

    /// Records a crash and the requests that were running.
    pub fn report_crash(&self, instance: InstanceDigest, suspects: &[Suspect]) {
        let now = clock::now();
        let mut ledger = self.lock();
        for Suspect { request, mode } in suspects.iter().copied() {
            let effect = match mode {
                RunMode::Usual => ledger.report(instance, request, false, now),
                RunMode::Isolated => ledger.report(instance, request, true, now),
                RunMode::Trial(trial_id) => ledger.report(trial_id, request, true, now),
            };
            log_effect(&ledger, request, effect, now);
        }
        self.record_count.store(ledger.len(), Ordering::Release);
    }

    /// Records the loss of a daemon, and its server with it, during these runs. Returns the
    /// requests with new evidence against them.
    pub fn report_loss(&self, instance: InstanceDigest, runs: &[LostRun]) -> Vec<RequestDigest> {
        let now = clock::now();
        let mut ledger = self.lock();
        let mut new_evidence = Vec::new();
        for run in runs.iter().copied() {
            let effect = ledger.report_loss(instance, run, now);
            log_effect(&ledger, run.request, effect, now);
            if effect != EvidenceEffect::Known {
                new_evidence.push(run.request);
            }
        }
        self.record_count.store(ledger.len(), Ordering::Release);
        new_evidence
    }

    /// Whether a request was running in several crashes, without a successful run since.
    #[must_use]
    pub fn is_repeat_suspect(&self, request: RequestDigest) -> bool {
        runs_isolated(self.lock().standing(request, clock::now()).crashes())
    }

    /// Whether there is any evidence against a request, even if suspects are not treated
    /// differently.
    #[must_use]
    pub fn is_suspect(&self, request: RequestDigest) -> bool {
        self.record_count.load(Ordering::Acquire) > 0
            && self.lock().standing(request, clock::now()).crashes() > 0
    }

    /// Clears a request after a successful run or on an operator's request. Returns true if it was
    /// a suspect.
    pub fn clear(&self, request: RequestDigest) -> bool {
        let now = clock::now();
        let mut ledger = self.lock();
        let effect = ledger.clear(request, now);
        log_effect(&ledger, request, effect, now);
        effect != EvidenceEffect::Known
    }

    /// Merges the reports of another daemon.
    pub fn merge(&self, reports: &[SuspectReport]) {
        let now = clock::now();
        let mut ledger = self.lock();
        for report in reports {
            let effect = ledger.merge(report, now);
            log_effect(&ledger, report.record.request, effect, now);
        }
        self.record_count.store(ledger.len(), Ordering::Release);
    }

    /// Returns the reports on these requests for other daemons.
    #[must_use]
    pub fn reports(&self, requests: &[RequestDigest]) -> Vec<SuspectReport> {
        self.lock().reports(requests, clock::now())
    }

    /// Returns the reports on the `most` requests with the most crashes.
    #[must_use]
    pub fn with_most_crashes(&self, most: usize) -> Vec<SuspectReport> {
        if self.record_count.load(Ordering::Acquire) == 0 {
            return Vec::new();
        }
        self.lock().with_most_crashes(most, clock::now())
    }

    /// Returns the requests with open crashes, with the standing of each.
    #[must_use]
    pub fn suspects(&self) -> Vec<(RequestDigest, SuspectStanding)> {
        self.lock().suspects(clock::now())
    }

    /// Returns the number of condemned requests.
    #[must_use]
    pub fn condemned(&self) -> usize {
        if self.record_count.load(Ordering::Acquire) == 0 {
            return 0;
        }
        let condemned = |standing: &SuspectStanding| matches!(standing, SuspectStanding::Condemned { .. });
        self.suspects().iter().filter(|(_, standing)| condemned(standing)).count()
    }

    /// Removes records that are too old to count.
    pub fn forget_old(&self) {
        let mut ledger = self.lock();
        ledger.forget_old(clock::now());
        self.record_count.store(ledger.len(), Ordering::Release);
    }

    fn lock(&self) -> MutexGuard<'_, CrashLedger> {
        lock(&self.ledger)
    }
}

fn log_effect(ledger: &CrashLedger, request: RequestDigest, effect: EvidenceEffect, now: Instant) {
    let digest = request.to_string();
    match effect {
        EvidenceEffect::Condemned => warn!(
            digest = digest.as_str(),
            crashes = ledger.standing(request, now).crashes();
            "request condemned: it was running in several crashes and is rejected"
        ),
        EvidenceEffect::Released => info!(digest = digest.as_str(); "request released"),
        EvidenceEffect::Known | EvidenceEffect::Changed => {}
    }
}
