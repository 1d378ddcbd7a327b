//! The evidence against one request, as daemons report it to each other and to the store.

use super::InstanceDigest;
use crate::clock::{MILLISECOND, Microseconds};
use crate::identity::RequestDigest;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// Crashes that are kept of one request: more than condemn it under any configuration.
pub const MOST_MARKS: usize = 16;

/// Trial runs that a record has room for, those included that were taken back or cleared: the crashes that condemn a request
/// have to stay beside them.
pub(super) const MOST_TRIAL_MARKS: usize = MOST_MARKS / 2;

/// One crash during which a request ran.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct CrashMark {
    /// Which instance of which server ended, or which trial run was begun.
    pub life: InstanceDigest,
    /// It ran there as the only suspect of several crashes. Where it did not, many may have run, as when half of a service is
    /// lost at once under a popular request.
    pub on_trial: bool,
    /// The request has ended well since, or an operator has cleared it.
    pub cleared: bool,
}

impl CrashMark {
    /// What names the crash. An instance ends once, on a trial run or not, so that no two marks are of one instance.
    fn key(&self) -> (InstanceDigest, bool) {
        (self.life, self.on_trial)
    }

    /// Which mark is kept longer: never changes, so that merging is associative.
    fn rank(&self) -> (bool, InstanceDigest) {
        (self.on_trial, self.life)
    }
}

/// The evidence against one request. Merging is commutative, associative and idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// What is asked.
    pub request: RequestDigest,
    /// By instance. Where there are more than [`MOST_MARKS`], those of trial runs and then those with the largest digests are
    /// kept, so that copies that crash many servers in one moment leave room for the trial runs that decide.
    marks: Vec<CrashMark>,
}

/// A record on its way to another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Readable, Writable)]
pub struct SuspectReport {
    /// The evidence.
    pub record: SuspectRecord,
    /// Time since the last crash, in microseconds.
    pub age: Microseconds,
}

/// A record as it lies in a store, which outlives the boot clocks of all daemons.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CondemnedRecord {
    /// The evidence.
    #[serde(flatten)]
    pub record: SuspectRecord,
    /// Time of day of the last crash, in milliseconds since the Unix epoch.
    pub crashed_at_ms: u64,
}

impl CondemnedRecord {
    /// The record of a report at this time of day, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn new(report: &SuspectReport, now_ms: u64) -> Self {
        let crashed_at_ms = now_ms.saturating_sub(report.age / MILLISECOND);
        Self { record: report.record.clone(), crashed_at_ms }
    }

    /// The report that it is at this time of day. Where clocks disagree, the last crash is not in the future.
    #[must_use]
    pub fn to_report(&self, now_ms: u64) -> SuspectReport {
        let age = now_ms.saturating_sub(self.crashed_at_ms).saturating_mul(MILLISECOND);
        SuspectReport { record: self.record.clone(), age }
    }
}

impl SuspectRecord {
    /// No evidence yet.
    #[must_use]
    pub fn new(request: RequestDigest) -> Self {
        Self { request, marks: Vec::new() }
    }

    /// Whether no crash is known, not even a cleared one.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Crashes that are known, cleared ones included.
    #[must_use]
    pub fn crashes(&self) -> usize {
        self.marks.len()
    }

    /// Crashes that nothing has cleared.
    #[must_use]
    pub fn open_crashes(&self) -> u32 {
        self.marks.iter().filter(|mark| !mark.cleared).count() as u32
    }

    /// Crashes on trial runs that nothing has cleared.
    #[must_use]
    pub fn failed_trials(&self) -> u32 {
        self.marks.iter().filter(|mark| mark.on_trial && !mark.cleared).count() as u32
    }

    /// Whether there is room for another trial run.
    pub(super) fn has_room_for_trial(&self) -> bool {
        self.marks.iter().filter(|mark| mark.on_trial).count() < MOST_TRIAL_MARKS
    }

    /// Adds a crash. True when it was not known.
    pub fn add(&mut self, life: InstanceDigest, on_trial: bool) -> bool {
        self.add_mark(CrashMark { life, on_trial, cleared: false })
    }

    /// Clears all crashes that are known. True when one was open.
    pub fn clear(&mut self) -> bool {
        let open = self.open_crashes() > 0;
        self.marks.iter_mut().for_each(|mark| mark.cleared = true);
        open
    }

    /// Clears one crash.
    pub fn withdraw(&mut self, life: InstanceDigest) {
        let marks = self.marks.iter_mut().filter(|mark| mark.life == life);
        marks.for_each(|mark| mark.cleared = true);
    }

    /// Adds what another daemon knows of the same request. True when that changes anything.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut news = false;
        // Others may send more than they should.
        for mark in other.marks.iter().take(MOST_MARKS) {
            news |= self.add_mark(*mark);
        }
        news
    }

    /// Drops the mark of the lowest rank where there are too many.
    fn drop_lowest(&mut self) -> Option<CrashMark> {
        if self.marks.len() <= MOST_MARKS {
            return None;
        }
        let (lowest, _) = self.marks.iter().enumerate().min_by_key(|(_, mark)| mark.rank())?;
        Some(self.marks.remove(lowest))
    }

    fn add_mark(&mut self, mark: CrashMark) -> bool {
        match self.marks.binary_search_by_key(&mark.key(), CrashMark::key) {
            Ok(position) => {
                let known = &mut self.marks[position];
                let before = *known;
                known.cleared |= mark.cleared;
                *known != before
            }
            Err(position) => {
                self.marks.insert(position, mark);
                self.drop_lowest() != Some(mark)
            }
        }
    }
}
