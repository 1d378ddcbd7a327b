//! Evidence that a daemon has against requests that ran during crashes, and the resulting standing of each
//! request.
//!
//! Owns the bounded set of records; [`CrashPolicy`] tells which evidence is enough.

use super::{CrashPolicy, InstanceDigest, LostRun, SuspectRecord, SuspectReport};
use crate::clock::{Instant, Microseconds};
use crate::identity::RequestDigest;
use std::collections::HashMap;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStanding {
    /// There is no evidence against it.
    Clear,
    /// It may run, but only one copy at a time: it ran in this many crashes and has had no successful run
    /// since.
    Suspect {
        /// Number of crashes.
        crashes: u32,
    },
    /// It is refused.
    Condemned {
        /// Number of crashes during which it ran.
        crashes: u32,
        /// When the trial run of one copy may start; [`Instant::NEVER`] if no trial run is left.
        until: Instant,
    },
}

impl SuspectStanding {
    /// Number of crashes that count against the request.
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
    /// Nothing; the evidence was known.
    Known,
    /// There is more or less evidence against it than before.
    Changed,
    /// The evidence condemns it now.
    Condemned,
    /// It was condemned and no longer is.
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
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(policy: CrashPolicy) -> Self {
        Self { policy, entries: HashMap::new() }
    }

    /// Replaces the policy, also for evidence that is already known.
    pub fn set_policy(&mut self, policy: CrashPolicy) {
        self.policy = policy;
    }

    /// Number of records, including cleared ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no record is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What may be done with a request at `now`.
    #[must_use]
    pub fn standing(&self, request: RequestDigest, now: Instant) -> SuspectStanding {
        self.entries.get(&request).map_or(SuspectStanding::Clear, |entry| self.standing_of(entry, now))
    }

    /// How long callers of a condemned request are told to wait, in microseconds; zero for any other request.
    #[must_use]
    pub fn pause_left(&self, request: RequestDigest, now: Instant) -> Microseconds {
        match self.standing(request, now) {
            SuspectStanding::Condemned { until, .. } => until.since(now).min(self.policy.longest_pause),
            SuspectStanding::Clear | SuspectStanding::Suspect { .. } => 0,
        }
    }

    /// Records that a request ran, on trial or not, when an instance of a server crashed.
    pub fn report(
        &mut self,
        instance: InstanceDigest,
        request: RequestDigest,
        on_trial: bool,
        now: Instant,
    ) -> EvidenceEffect {
        self.update(request, now, now, |record| record.add(instance, on_trial))
    }

    /// Records that a request ran at a daemon that was lost together with its server.
    ///
    /// Only daemons with calls there can report this, and a killed machine or a power failure looks the same
    /// to them. So runs that were in flight together count as one crash, however many machines are lost: a
    /// further loss counts only if its run was sent after the previous loss was known. A trial run has
    /// counted since it was started.
    pub fn report_loss(&mut self, instance: InstanceDigest, run: LostRun, now: Instant) -> EvidenceEffect {
        let LostRun { request, sent, isolated } = run;
        let counted = self.entries.get(&request).is_some_and(|entry| {
            let is_open = entry.record.open_crashes() > 0;
            self.policy.condemns(&entry.record) || (is_open && entry.last_crash >= sent)
        });
        if counted {
            return EvidenceEffect::Known;
        }
        self.report(instance, request, isolated, now)
    }

    /// Starts the trial run of a condemned request, identified by `mark`; returns `false` if the request is
    /// not condemned. The trial run counts as a crash from now on, so that no other daemon starts one, and so
    /// that it is not forgotten if it ends its server together with the daemon that could report it. A
    /// successful run clears it.
    pub fn begin_trial(&mut self, request: RequestDigest, mark: InstanceDigest, now: Instant) -> bool {
        let is_condemned =
            self.entries.get(&request).is_some_and(|entry| self.policy.condemns(&entry.record));
        if is_condemned {
            self.update(request, now, now, |record| record.add(mark, true));
        }
        is_condemned
    }

    /// Withdraws a trial run that the server did not start.
    pub fn withdraw_trial(&mut self, request: RequestDigest, mark: InstanceDigest) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.record.withdraw(mark);
        }
    }

    /// Records a successful run of a request, or that an operator clears it.
    pub fn clear(&mut self, request: RequestDigest, now: Instant) -> EvidenceEffect {
        let Some(entry) = self.entries.get_mut(&request) else { return EvidenceEffect::Known };
        let condemned = self.policy.condemns(&entry.record);
        // The record is kept as cleared, since other daemons may still report crashes that it contains.
        match (entry.record.clear(), condemned) {
            (false, _) => EvidenceEffect::Known,
            (true, true) => {
                entry.last_crash = now;
                EvidenceEffect::Released
            }
            (true, false) => EvidenceEffect::Changed,
        }
    }

    /// Merges the evidence of another daemon.
    pub fn merge(&mut self, report: &SuspectReport, now: Instant) -> EvidenceEffect {
        let at = now.minus(report.age);
        if self.policy.expires(&report.record) && now.since(at) > self.policy.evidence_lifetime {
            return EvidenceEffect::Known;
        }
        self.update(report.record.request, at, now, |record| record.merge(&report.record))
    }

    /// Evidence on these requests, to be sent to other daemons.
    #[must_use]
    pub fn reports(&self, requests: &[RequestDigest], now: Instant) -> Vec<SuspectReport> {
        let entries = requests.iter().filter_map(|request| self.entries.get(request));
        entries.map(|entry| entry.report(now)).collect()
    }

    /// Evidence on the `most` requests with the most crashes, including cleared ones.
    #[must_use]
    pub fn with_most_crashes(&self, most: usize, now: Instant) -> Vec<SuspectReport> {
        let mut entries: Vec<&LedgerEntry> = self.entries.values().collect();
        entries.sort_by_key(|entry| std::cmp::Reverse((entry.record.open_crashes(), entry.last_crash)));
        entries.into_iter().take(most).map(|entry| entry.report(now)).collect()
    }

    /// Requests with open crashes and their standing, those with the most crashes first.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<(RequestDigest, SuspectStanding)> {
        let entries = self.entries.values();
        let standings = entries.map(|entry| (entry.record.request, self.standing_of(entry, now)));
        let mut suspects: Vec<_> = standings.filter(|(_, standing)| standing.crashes() > 0).collect();
        suspects.sort_by_key(|(request, standing)| (std::cmp::Reverse(standing.crashes()), *request));
        suspects
    }

    /// Removes expired evidence.
    pub fn forget_old(&mut self, now: Instant) {
        let policy = self.policy;
        self.entries.retain(|_, entry| !entry.has_expired(&policy, now));
    }

    fn standing_of(&self, entry: &LedgerEntry, now: Instant) -> SuspectStanding {
        let crashes = entry.record.open_crashes();
        if crashes == 0 || entry.has_expired(&self.policy, now) {
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

    /// Updates a record, creating it if there is none. `at` is the time of the evidence.
    fn update(
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
        self.evict_excess(now);
        match (before, after) {
            (false, true) => EvidenceEffect::Condemned,
            (true, false) => EvidenceEffect::Released,
            _ => EvidenceEffect::Changed,
        }
    }

    fn evict_excess(&mut self, now: Instant) {
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
            // Drops an eighth more than needed, so that a flood of suspects does not sort the list each time.
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

    fn has_expired(&self, policy: &CrashPolicy, now: Instant) -> bool {
        policy.expires(&self.record) && now.since(self.last_crash) > policy.evidence_lifetime
    }
}
