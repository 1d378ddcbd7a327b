//! The calls that run on one back end, and which of its instances have ended in a crash.
//!
//! Decides which requests become suspects of a crash: each that ran on the instance when it ended, once, and each whose
//! connection broke shortly before while something listened at the back end's address. It does not detect crashes:
//! `seamhatchd::server::crashes` does, locks this table and reports the suspects.

use super::InstanceDigest;
use crate::clock::{Instant, Microseconds, SECOND};
use crate::identity::{Incarnation, RequestDigest};
use crate::instance::InstanceId;
use std::collections::{HashMap, VecDeque};

/// Instances whose crash is remembered, the latest ones. Chosen, not measured: calls that were running find out within
/// milliseconds, and a back end needs longer to start.
const REMEMBERED_ENDS: usize = 8;

/// How long a broken call may wait for the news that its instance had ended: a daemon that was frozen while the back end
/// crashed hears the next instance with its first heartbeats. Chosen, not measured.
const BROKEN_COUNTS: Microseconds = 3 * SECOND;

/// Broken calls that wait so, the latest ones. Chosen, not measured.
const REMEMBERED_BROKEN: usize = 256;

/// A request that ran when the back end crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Suspect {
    /// What is asked.
    pub request: RequestDigest,
    /// It ran there as the only suspect of several crashes.
    pub on_trial: bool,
}

/// What was at work on an instance when it crashed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashedWork {
    /// Calls that ran then, copies of a request included.
    pub calls: usize,
    /// The requests, each once.
    pub suspects: Vec<Suspect>,
}

/// Names a running call in its [`WorkTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct WorkNumber(u64);

#[derive(Debug, Clone, Copy)]
struct WorkEntry {
    instance: InstanceDigest,
    request: RequestDigest,
    on_trial: bool,
}

/// The calls that run on one back end.
#[derive(Debug, Default)]
pub struct WorkTable {
    running: HashMap<WorkNumber, WorkEntry>,
    last: u64,
    /// Crashes of a back end that has no name.
    unnamed_crashes: u64,
    /// Instances that ended in a crash, the latest last.
    ended: VecDeque<InstanceDigest>,
    /// Calls whose connection broke while something listened there, the latest last.
    broken: VecDeque<(Instant, WorkEntry)>,
}

impl WorkTable {
    /// Adds a call that is about to be sent to the back end beside the daemon `incarnation`. Returns its number and the
    /// instance that runs it.
    pub fn begin(
        &mut self,
        incarnation: Incarnation,
        instance: Option<&InstanceId>,
        request: RequestDigest,
        on_trial: bool,
    ) -> (WorkNumber, InstanceDigest) {
        let instance = match instance {
            Some(instance) => InstanceDigest::of_instance(instance),
            None => InstanceDigest::of_unnamed(incarnation, self.unnamed_crashes),
        };
        self.last += 1;
        let number = WorkNumber(self.last);
        self.running.insert(number, WorkEntry { instance, request, on_trial });
        (number, instance)
    }

    /// Removes a call that has ended.
    pub fn finish(&mut self, number: WorkNumber) {
        self.running.remove(&number);
    }

    /// Whether an instance is known to have ended in a crash.
    #[must_use]
    pub fn has_ended(&self, instance: InstanceDigest) -> bool {
        self.ended.contains(&instance)
    }

    /// Records that an instance has ended in a crash, as the broken connection of one of its calls proves; `is_unnamed` says
    /// that the back end's instances have no names. Returns what ran on it.
    pub fn end(&mut self, instance: InstanceDigest, is_unnamed: bool) -> CrashedWork {
        self.unnamed_crashes += u64::from(is_unnamed);
        self.end_at(instance, Instant::NEVER)
    }

    /// Records that a call's connection broke although something listens at the back end's address.
    pub fn note_broken(&mut self, number: WorkNumber, now: Instant) {
        let Some(entry) = self.running.get(&number).copied() else { return };
        if self.broken.len() == REMEMBERED_BROKEN {
            self.broken.pop_front();
        }
        self.broken.push_back((now, entry));
    }

    /// Another instance has taken the place of this one, which had not reported that it leaves. Returns what ran on it when
    /// it ended, where that was not known before: calls that broke recently, and those that still wait for its answer.
    pub fn replace(&mut self, instance: &InstanceId, now: Instant) -> CrashedWork {
        let instance = InstanceDigest::of_instance(instance);
        if self.has_ended(instance) { CrashedWork::default() } else { self.end_at(instance, now) }
    }

    /// Ends an instance at `now`, where broken calls count; [`Instant::NEVER`] where none does.
    fn end_at(&mut self, instance: InstanceDigest, now: Instant) -> CrashedWork {
        if self.ended.len() == REMEMBERED_ENDS {
            self.ended.pop_front();
        }
        self.ended.push_back(instance);
        let broken =
            self.broken.iter().filter(|(at, _)| now.since(*at) <= BROKEN_COUNTS).map(|(_, entry)| entry);
        let there = self.running.values().chain(broken).filter(|entry| entry.instance == instance);
        let suspect = |entry: &WorkEntry| Suspect { request: entry.request, on_trial: entry.on_trial };
        let mut suspects: Vec<Suspect> = there.map(suspect).collect();
        let calls = suspects.len();
        // A copy on trial comes before one that is not.
        suspects.sort_unstable_by_key(|suspect| (suspect.request, !suspect.on_trial));
        suspects.dedup_by_key(|suspect| suspect.request);
        self.broken.retain(|(_, entry)| entry.instance != instance);
        CrashedWork { calls, suspects }
    }
}
