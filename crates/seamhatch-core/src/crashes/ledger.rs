//! What a daemon knows of requests that ran when servers crashed, and what may be done with each.
//!
//! Owns the records of all suspects, bounded in number; [`CrashPolicy`] says which evidence is enough.

use super::{CrashPolicy, InstanceDigest, LostRun, SuspectRecord, SuspectReport};
use crate::clock::{Instant, Microseconds};
use crate::identity::RequestDigest;
use std::collections::HashMap;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStanding {
    /// Nothing speaks against it.
    Clear,
    /// It may run, but no two copies of it at once: it ran in this many crashes and has not ended well since.
    Suspect {
        /// The crashes.
        crashes: u32,
    },
    /// It is refused.
    Condemned {
        /// The crashes during which it ran.
        crashes: u32,
        /// When the trial run of one copy may begin; [`Instant::NEVER`] when it has had its trial runs.
        until: Instant,
    },
}

impl SuspectStanding {
    /// Crashes that speak against it.
    #[must_use]
    pub fn crashes(self) -> u32 {
        match self {
            Self::Clear => 0,
            Self::Suspect { crashes } | Self::Condemned { crashes, .. } => crashes,
        }
    }
}

/// What new evidence changes for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceEffect {
    /// Nothing: it was known.
    Known,
    /// There is more or less against it than before.
    Changed,
    /// It is condemned now.
    Condemned,
    /// It was condemned, and is not any more.
    Released,
}

#[derive(Debug, Clone)]
struct LedgerEntry {
    record: SuspectRecord,
    last_crash: Instant,
}

/// All suspects known at one daemon, bounded in number and age.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    policy: CrashPolicy,
    entries: HashMap<RequestDigest, LedgerEntry>,
}

impl CrashLedger {
    /// Nothing known yet.
    #[must_use]
    pub fn new(policy: CrashPolicy) -> Self {
        Self { policy, entries: HashMap::new() }
    }

    /// Other rules from now on, for what is known already too.
    pub fn set_policy(&mut self, policy: CrashPolicy) {
        self.policy = policy;
    }

    /// Records that are kept, cleared ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What may be done with a request at `now`.
    #[must_use]
    pub fn standing(&self, request: RequestDigest, now: Instant) -> SuspectStanding {
        self.entries.get(&request).map_or(SuspectStanding::Clear, |entry| self.standing_of(entry, now))
    }

    /// Time that callers of a condemned request are told to stay away, in microseconds; zero for any other.
    #[must_use]
    pub fn pause_left(&self, request: RequestDigest, now: Instant) -> Microseconds {
        match self.standing(request, now) {
            SuspectStanding::Condemned { until, .. } => until.since(now).min(self.policy.longest_pause),
            SuspectStanding::Clear | SuspectStanding::Suspect { .. } => 0,
        }
    }

    /// Records that a request ran, on trial or not, when an instance of a server ended in a crash.
    pub fn report(
        &mut self,
        life: InstanceDigest,
        request: RequestDigest,
        on_trial: bool,
        now: Instant,
    ) -> EvidenceEffect {
        self.change(request, now, now, |record| record.add(life, on_trial))
    }

    /// Records that a request was at work at a daemon that was lost together with its server, in this run.
    ///
    /// Only those that had calls there can tell, and it looks the same where machines are killed or lose power. So runs that were
    /// under way together count as one, however many machines are lost: a further loss counts where its run was sent after the one before
    /// was known. A trial run has counted since it began.
    pub fn report_loss(&mut self, life: InstanceDigest, run: LostRun, now: Instant) -> EvidenceEffect {
        let LostRun { request, sent, isolated } = run;
        let counted = self.entries.get(&request).is_some_and(|entry| {
            let is_open = entry.record.open_crashes() > 0;
            self.policy.condemns(&entry.record) || (is_open && entry.last_crash >= sent)
        });
        if counted {
            return EvidenceEffect::Known;
        }
        self.report(life, request, isolated, now)
    }

    /// Begins the trial run of a condemned request, named by `mark`: false where the request is not condemned. It counts as a
    /// crash from now on, so that no daemon begins another one, and none is forgotten that ends its server together with the
    /// daemon that could tell. A good end clears it.
    pub fn begin_trial(&mut self, request: RequestDigest, mark: InstanceDigest, now: Instant) -> bool {
        let is_condemned =
            self.entries.get(&request).is_some_and(|entry| self.policy.condemns(&entry.record));
        if is_condemned {
            self.change(request, now, now, |record| record.add(mark, true));
        }
        is_condemned
    }

    /// Takes back a trial run that its server did not begin.
    pub fn withdraw_trial(&mut self, request: RequestDigest, mark: InstanceDigest) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.record.withdraw(mark);
        }
    }

    /// Records that a request has ended well, or that an operator clears it.
    pub fn clear(&mut self, request: RequestDigest, now: Instant) -> EvidenceEffect {
        let Some(entry) = self.entries.get_mut(&request) else { return EvidenceEffect::Known };
        let condemned = self.policy.condemns(&entry.record);
        // Others may still report a crash that they know of: the record stays, so that it is known as cleared.
        match (entry.record.clear(), condemned) {
            (false, _) => EvidenceEffect::Known,
            (true, true) => {
                entry.last_crash = now;
                EvidenceEffect::Released
            }
            (true, false) => EvidenceEffect::Changed,
        }
    }

    /// Records what another daemon knows.
    pub fn merge(&mut self, report: &SuspectReport, now: Instant) -> EvidenceEffect {
        let at = now.minus(report.age);
        if self.policy.lapses(&report.record) && now.since(at) > self.policy.memory {
            return EvidenceEffect::Known;
        }
        self.change(report.record.request, at, now, |record| record.merge(&report.record))
    }

    /// What is known of these requests, for other daemons.
    #[must_use]
    pub fn reports(&self, requests: &[RequestDigest], now: Instant) -> Vec<SuspectReport> {
        let entries = requests.iter().filter_map(|request| self.entries.get(request));
        entries.map(|entry| entry.report(now)).collect()
    }

    /// What is known of the `most` requests with the most crashes, cleared ones included.
    #[must_use]
    pub fn with_most_crashes(&self, most: usize, now: Instant) -> Vec<SuspectReport> {
        let mut entries: Vec<&LedgerEntry> = self.entries.values().collect();
        entries.sort_by_key(|entry| std::cmp::Reverse((entry.record.open_crashes(), entry.last_crash)));
        entries.into_iter().take(most).map(|entry| entry.report(now)).collect()
    }

    /// Requests with open crashes and what may be done with them, those with the most crashes first.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<(RequestDigest, SuspectStanding)> {
        let entries = self.entries.values();
        let standings = entries.map(|entry| (entry.record.request, self.standing_of(entry, now)));
        let mut suspects: Vec<_> = standings.filter(|(_, standing)| standing.crashes() > 0).collect();
        suspects.sort_by_key(|(request, standing)| (std::cmp::Reverse(standing.crashes()), *request));
        suspects
    }

    /// Forgets what is too old to count.
    pub fn forget_old(&mut self, now: Instant) {
        let policy = self.policy;
        self.entries.retain(|_, entry| !entry.has_lapsed(&policy, now));
    }

    fn standing_of(&self, entry: &LedgerEntry, now: Instant) -> SuspectStanding {
        let crashes = entry.record.open_crashes();
        if crashes == 0 || entry.has_lapsed(&self.policy, now) {
            return SuspectStanding::Clear;
        }
        let until = match self.policy.has_trials(&entry.record) {
            true => entry.last_crash.plus(self.policy.pause_after(crashes)),
            false => Instant::NEVER,
        };
        if self.policy.condemns(&entry.record) && now < until {
            return SuspectStanding::Condemned { crashes, until };
        }
        SuspectStanding::Suspect { crashes }
    }

    /// Changes a record, which is made where there is none. `at` is the time of the evidence.
    fn change(
        &mut self,
        request: RequestDigest,
        at: Instant,
        now: Instant,
        change: impl FnOnce(&mut SuspectRecord) -> bool,
    ) -> EvidenceEffect {
        let new = || LedgerEntry { record: SuspectRecord::new(request), last_crash: at };
        let entry = self.entries.entry(request).or_insert_with(new);
        let before = self.policy.condemns(&entry.record);
        if !change(&mut entry.record) {
            if entry.record.is_empty() {
                self.entries.remove(&request);
            }
            return EvidenceEffect::Known;
        }
        entry.last_crash = entry.last_crash.max(at);
        let after = self.policy.condemns(&entry.record);
        self.make_room(now);
        match (before, after) {
            (false, true) => EvidenceEffect::Condemned,
            (true, false) => EvidenceEffect::Released,
            _ => EvidenceEffect::Changed,
        }
    }

    fn make_room(&mut self, now: Instant) {
        if self.entries.len() <= self.policy.most_suspects {
            return;
        }
        self.forget_old(now);
        let (mut condemned, mut suspects) = (Vec::new(), Vec::new());
        for (request, entry) in &self.entries {
            let crashes = entry.record.open_crashes();
            let list = if self.policy.condemns(&entry.record) { &mut condemned } else { &mut suspects };
            list.push((crashes, entry.last_crash, *request));
        }
        for (mut list, most) in
            [(condemned, self.policy.most_condemned), (suspects, self.policy.most_suspects)]
        {
            list.sort_unstable();
            // An eighth more, so that a flood doesn't sort the list each time.
            let dropped = if list.len() > most { list.len() - most + most / 8 } else { 0 };
            for (_, _, request) in list.into_iter().take(dropped) {
                self.entries.remove(&request);
            }
        }
    }
}

impl LedgerEntry {
    fn report(&self, now: Instant) -> SuspectReport {
        SuspectReport { record: self.record.clone(), age: now.since(self.last_crash) }
    }

    fn has_lapsed(&self, policy: &CrashPolicy, now: Instant) -> bool {
        policy.lapses(&self.record) && now.since(self.last_crash) > policy.memory
    }
}
