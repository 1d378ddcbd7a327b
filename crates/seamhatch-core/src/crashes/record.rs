//! Evidence against one request, as daemons exchange it and write it to the store.

use super::InstanceDigest;
use crate::clock::{MILLISECOND, Microseconds};
use crate::identity::RequestDigest;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// Crashes that are kept for one request; more than any configuration needs to condemn it.
pub const MAX_MARKS: usize = 16;

/// Marks of trial runs that a record has room for, including withdrawn and cleared ones. The rest is left for
/// the crashes that condemn the request.
pub(super) const MAX_TRIAL_MARKS: usize = MAX_MARKS / 2;

/// One crash during which a request ran.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct CrashMark {
    /// The instance that ended, or the trial run that was started.
    pub life: InstanceDigest,
    /// The request ran isolated or as a trial run, without another suspect of several crashes beside it.
    /// Otherwise many requests may have run, for example when half of a service is lost at once while a
    /// popular request runs.
    pub on_trial: bool,
    /// The request has had a successful run since, or an operator has cleared it.
    pub cleared: bool,
}

impl CrashMark {
    /// Identifies the crash. An instance ends only once, on trial or not, so no two marks belong to one
    /// instance.
    fn key(&self) -> (InstanceDigest, bool) {
        (self.life, self.on_trial)
    }

    /// Order in which marks are kept. It never changes for a mark, so that merging is associative.
    fn rank(&self) -> (bool, InstanceDigest) {
        (self.on_trial, self.life)
    }
}

/// The evidence against one request. Merging is commutative, associative and idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Digest of the request.
    pub request: RequestDigest,
    /// Sorted by instance. Beyond [`MAX_MARKS`], marks of trial runs are kept first and then those with the
    /// largest digests, so that copies that crash many servers at once leave room for the trial runs, which
    /// decide.
    marks: Vec<CrashMark>,
}

/// A record as it is sent to another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Readable, Writable)]
pub struct SuspectReport {
    /// The evidence.
    pub record: SuspectRecord,
    /// Time since the last crash, in microseconds.
    pub age: Microseconds,
}

/// A record as it is stored. The store outlives the boot clocks of all daemons, so the time is wall-clock
/// time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CondemnedRecord {
    /// The evidence.
    #[serde(flatten)]
    pub record: SuspectRecord,
    /// Wall-clock time of the last crash, in milliseconds since the Unix epoch.
    pub crashed_at_ms: u64,
}

impl CondemnedRecord {
    /// Converts a report at wall-clock time `now_ms`, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn new(report: &SuspectReport, now_ms: u64) -> Self {
        let crashed_at_ms = now_ms.saturating_sub(report.age / MILLISECOND);
        Self { record: report.record.clone(), crashed_at_ms }
    }

    /// Converts back to a report at wall-clock time `now_ms`. If clocks disagree, the last crash is not in
    /// the future.
    #[must_use]
    pub fn to_report(&self, now_ms: u64) -> SuspectReport {
        let age = now_ms.saturating_sub(self.crashed_at_ms).saturating_mul(MILLISECOND);
        SuspectReport { record: self.record.clone(), age }
    }
}

impl SuspectRecord {
    /// Creates a record without evidence.
    #[must_use]
    pub fn new(request: RequestDigest) -> Self {
        Self { request, marks: Vec::new() }
    }

    /// Whether no crash is recorded, cleared or not.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Number of recorded crashes, including cleared ones.
    #[must_use]
    pub fn crashes(&self) -> usize {
        self.marks.len()
    }

    /// Number of crashes that are not cleared.
    #[must_use]
    pub fn open_crashes(&self) -> u32 {
        self.marks.iter().filter(|mark| !mark.cleared).count() as u32
    }

    /// Number of crashes on trial that are not cleared.
    #[must_use]
    pub fn failed_trials(&self) -> u32 {
        self.marks.iter().filter(|mark| mark.on_trial && !mark.cleared).count() as u32
    }

    /// Whether another trial run can be recorded.
    pub(super) fn has_room_for_trial(&self) -> bool {
        self.marks.iter().filter(|mark| mark.on_trial).count() < MAX_TRIAL_MARKS
    }

    /// Adds a crash; returns whether it is new.
    pub fn add(&mut self, instance: InstanceDigest, on_trial: bool) -> bool {
        self.add_mark(CrashMark { life: instance, on_trial, cleared: false })
    }

    /// Clears all recorded crashes; returns whether any was open.
    pub fn clear(&mut self) -> bool {
        let open = self.open_crashes() > 0;
        self.marks.iter_mut().for_each(|mark| mark.cleared = true);
        open
    }

    /// Clears the crash of one instance.
    pub fn withdraw(&mut self, instance: InstanceDigest) {
        let marks = self.marks.iter_mut().filter(|mark| mark.life == instance);
        marks.for_each(|mark| mark.cleared = true);
    }

    /// Adds the evidence of another daemon for the same request; returns whether anything changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        // A peer may send more marks than it should.
        for mark in other.marks.iter().take(MAX_MARKS) {
            changed |= self.add_mark(*mark);
        }
        changed
    }

    /// Drops the mark with the lowest rank if there are too many.
    fn drop_lowest(&mut self) -> Option<CrashMark> {
        if self.marks.len() <= MAX_MARKS {
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
