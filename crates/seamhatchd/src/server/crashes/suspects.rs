//! The requests that ran when servers crashed, shared by all threads.
//!
//! Locks [`seamhatch_core::crashes::CrashLedger`], which decides. Calls read it, crashes here and reports of other daemons write
//! it.

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

/// The ledger of suspects, and their trial runs at the back end beside this daemon.
#[derive(Debug)]
pub struct SuspectRegistry {
    ledger: Mutex<CrashLedger>,
    /// Records in the ledger, so that a call pays one load while there are none.
    known: AtomicUsize,
    /// Whether suspects are treated differently from other requests.
    acts: AtomicBool,
    /// Suspects that run here.
    pub trial_runs: TrialRuns,
}

impl Default for SuspectRegistry {
    fn default() -> Self {
        Self::new(CrashPolicy::default())
    }
}

impl SuspectRegistry {
    /// Nothing known yet.
    #[must_use]
    pub fn new(policy: CrashPolicy) -> Self {
        let ledger = Mutex::new(CrashLedger::new(policy));
        Self {
            ledger,
            known: AtomicUsize::new(0),
            acts: AtomicBool::new(true),
            trial_runs: TrialRuns::default(),
        }
    }

    /// Adopts what the configuration says.
    pub fn set_settings(&self, settings: &CrashSettings) {
        let policy = CrashPolicy {
            condemned_after: settings.limit,
            first_pause: settings.pause_ms * MILLISECOND,
            ..CrashPolicy::default()
        };
        self.lock().set_policy(policy);
        self.acts.store(settings.turn_away, Ordering::Relaxed);
    }

    /// What may be done with a request now.
    #[must_use]
    pub fn standing(&self, request: RequestDigest) -> SuspectStanding {
        if self.known.load(Ordering::Acquire) == 0 || !self.acts.load(Ordering::Relaxed) {
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

    /// How a call that was admitted, as a trial run or not, runs from now on.
    ///
    /// # Errors
    /// [`Reason::CrashesServers`]: it may not run.
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
        let mark = InstanceDigest::of_trial(rand::random());
        Ok(if ledger.begin_trial(request, mark, now) { RunMode::Trial(mark) } else { mode })
    }

    /// Takes back a trial run that the server did not begin.
    pub fn withdraw_trial(&self, request: RequestDigest, mark: InstanceDigest) {
        self.lock().withdraw_trial(request, mark);
    }

    /// Time that callers of a condemned request are told to stay away, in microseconds; zero for any other.
    #[must_use]
    pub fn pause_left(&self, request: RequestDigest) -> Microseconds {
        self.lock().pause_left(request, clock::now())
    }

    /// Records a crash and what ran then.
    pub fn report_crash(&self, life: InstanceDigest, suspects: &[Suspect]) {
        let now = clock::now();
        let mut ledger = self.lock();
        for Suspect { request, mode } in suspects.iter().copied() {
            let effect = match mode {
                RunMode::Usual => ledger.report(life, request, false, now),
                RunMode::Isolated => ledger.report(life, request, true, now),
                RunMode::Trial(mark) => ledger.report(mark, request, true, now),
            };
            log_effect(&ledger, request, effect, now);
        }
        self.known.store(ledger.len(), Ordering::Release);
    }

    /// Records that a daemon was lost, and its server with it, under these runs. Returns the requests against which there is more than before.
    pub fn report_loss(&self, life: InstanceDigest, runs: &[LostRun]) -> Vec<RequestDigest> {
        let now = clock::now();
        let mut ledger = self.lock();
        let mut news = Vec::new();
        for run in runs.iter().copied() {
            let effect = ledger.report_loss(life, run, now);
            log_effect(&ledger, run.request, effect, now);
            if effect != EvidenceEffect::Known {
                news.push(run.request);
            }
        }
        self.known.store(ledger.len(), Ordering::Release);
        news
    }

    /// Whether a request ran in several crashes without a good end since.
    #[must_use]
    pub fn is_repeat_suspect(&self, request: RequestDigest) -> bool {
        runs_isolated(self.lock().standing(request, clock::now()).crashes())
    }

    /// Whether anything speaks against a request, however suspects are treated.
    #[must_use]
    pub fn is_suspect(&self, request: RequestDigest) -> bool {
        self.known.load(Ordering::Acquire) > 0 && self.lock().standing(request, clock::now()).crashes() > 0
    }

    /// Clears a request, as a run of it has ended well or an operator says so. True when it was a suspect.
    pub fn clear(&self, request: RequestDigest) -> bool {
        let now = clock::now();
        let mut ledger = self.lock();
        let effect = ledger.clear(request, now);
        log_effect(&ledger, request, effect, now);
        effect != EvidenceEffect::Known
    }

    /// Records what another daemon knows.
    pub fn merge(&self, reports: &[SuspectReport]) {
        let now = clock::now();
        let mut ledger = self.lock();
        for report in reports {
            let effect = ledger.merge(report, now);
            log_effect(&ledger, report.record.request, effect, now);
        }
        self.known.store(ledger.len(), Ordering::Release);
    }

    /// What is known of these requests, for other daemons.
    #[must_use]
    pub fn reports(&self, requests: &[RequestDigest]) -> Vec<SuspectReport> {
        self.lock().reports(requests, clock::now())
    }

    /// What is known of the `most` requests with the most crashes.
    #[must_use]
    pub fn with_most_crashes(&self, most: usize) -> Vec<SuspectReport> {
        if self.known.load(Ordering::Acquire) == 0 {
            return Vec::new();
        }
        self.lock().with_most_crashes(most, clock::now())
    }

    /// Requests with open crashes and what may be done with them.
    #[must_use]
    pub fn suspects(&self) -> Vec<(RequestDigest, SuspectStanding)> {
        self.lock().suspects(clock::now())
    }

    /// Requests that are refused.
    #[must_use]
    pub fn condemned(&self) -> usize {
        if self.known.load(Ordering::Acquire) == 0 {
            return 0;
        }
        let condemned = |standing: &SuspectStanding| matches!(standing, SuspectStanding::Condemned { .. });
        self.suspects().iter().filter(|(_, standing)| condemned(standing)).count()
    }

    /// Forgets what is too old to count.
    pub fn forget_old(&self) {
        let mut ledger = self.lock();
        ledger.forget_old(clock::now());
        self.known.store(ledger.len(), Ordering::Release);
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
            "request condemned: it was at work in crash after crash, and is turned away"
        ),
        EvidenceEffect::Released => info!(digest = digest.as_str(); "request released"),
        EvidenceEffect::Known | EvidenceEffect::Changed => {}
    }
}
