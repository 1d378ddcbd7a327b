//! The calls that are at work on the back end beside this daemon.

use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::crashes::InstanceDigest;
use seamhatch_core::identity::{Incarnation, RequestDigest};
use seamhatch_core::instance::InstanceId;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

/// Lives of the back end whose crash is remembered, the latest ones: calls that were at work then find out within
/// milliseconds, and a back end needs longer to start.
const REMEMBERED_LIVES: usize = 8;

/// How long a broken call may wait for the word that its life had ended: a daemon that was frozen while the back end crashed
/// hears the next instance with its first heartbeats.
const BROKEN_COUNTS: Microseconds = 3 * SECOND;
/// Broken calls that wait so, the latest ones.
const REMEMBERED_BROKEN: usize = 256;

/// What is at work on the back end, and which of its lives have ended in a crash.
#[derive(Debug)]
pub struct CrashWatch {
    incarnation: Incarnation,
    calls: Arc<Mutex<CallTable>>,
    /// When the last look that found the back end alive began; held by the call that looks.
    pub(super) seen_alive: tokio::sync::Mutex<Instant>,
}

#[derive(Debug, Default)]
struct CallTable {
    at_work: HashMap<u64, WorkEntry>,
    next: u64,
    /// Crashes of a back end that has no name.
    unnamed_crashes: u64,
    /// The latest last.
    ended: VecDeque<InstanceDigest>,
    /// Calls whose connection broke while something listened there, the latest last.
    broken: VecDeque<(Instant, WorkEntry)>,
}

#[derive(Debug, Clone, Copy)]
struct WorkEntry {
    life: InstanceDigest,
    request: RequestDigest,
    on_trial: bool,
}

/// A request that was at work when the back end crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Suspect {
    /// What is asked.
    pub request: RequestDigest,
    /// It was there as the only suspect of several crashes.
    pub on_trial: bool,
}

/// A call that is at work until this is dropped.
#[derive(Debug)]
pub struct CallAtWork {
    /// The life of the back end.
    pub life: InstanceDigest,
    /// The back end's instances have no names.
    is_unnamed: bool,
    calls: Arc<Mutex<CallTable>>,
    number: u64,
}

impl Drop for CallAtWork {
    fn drop(&mut self) {
        lock(&self.calls).at_work.remove(&self.number);
    }
}

impl CrashWatch {
    /// Nothing is at work yet.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, calls: Arc::default(), seen_alive: tokio::sync::Mutex::default() }
    }

    /// A call that is about to be sent to the back end.
    #[must_use]
    pub fn begin(&self, instance: Option<&InstanceId>, request: RequestDigest, on_trial: bool) -> CallAtWork {
        let mut table = lock(&self.calls);
        let life = match instance {
            Some(instance) => InstanceDigest::of_instance(instance),
            None => InstanceDigest::of_unnamed(self.incarnation, table.unnamed_crashes),
        };
        table.next += 1;
        let number = table.next;
        table.at_work.insert(number, WorkEntry { life, request, on_trial });
        CallAtWork { life, is_unnamed: instance.is_none(), calls: self.calls.clone(), number }
    }

    /// Whether the life that the call is at work on is known to have ended in a crash.
    pub(super) fn has_ended(&self, work: &CallAtWork) -> bool {
        lock(&self.calls).ended.contains(&work.life)
    }

    /// Notes that the life that the call is at work on has ended in a crash. Returns what was at work on it, each
    /// request once.
    pub(super) fn end_life(&self, work: &CallAtWork) -> Vec<Suspect> {
        let mut table = lock(&self.calls);
        table.unnamed_crashes += u64::from(work.is_unnamed);
        table.end_life(work.life, Instant::NEVER)
    }

    /// Notes that a call's connection broke although something listens at the back end's address.
    pub(super) fn note_broken(&self, work: &CallAtWork, now: Instant) {
        let mut table = lock(&self.calls);
        let Some(entry) = table.at_work.get(&work.number).copied() else { return };
        if table.broken.len() == REMEMBERED_BROKEN {
            table.broken.pop_front();
        }
        table.broken.push_back((now, entry));
    }

    /// Another instance has taken the place of this one, which had not told that it leaves. Returns what was at work on it
    /// when it ended, where that was not known before: calls that broke lately, and those that still wait for its answer.
    pub(super) fn replace_life(&self, instance: &InstanceId, now: Instant) -> Vec<Suspect> {
        let life = InstanceDigest::of_instance(instance);
        let mut table = lock(&self.calls);
        if table.ended.contains(&life) { Vec::new() } else { table.end_life(life, now) }
    }
}

impl CallTable {
    /// Ends a life at `now`, where broken calls count, or by the proof of a call at work. What was at work on it, each request
    /// once.
    fn end_life(&mut self, life: InstanceDigest, now: Instant) -> Vec<Suspect> {
        if self.ended.len() == REMEMBERED_LIVES {
            self.ended.pop_front();
        }
        self.ended.push_back(life);
        let broken =
            self.broken.iter().filter(|(at, _)| now.since(*at) <= BROKEN_COUNTS).map(|(_, entry)| entry);
        let there = self.at_work.values().chain(broken).filter(|entry| entry.life == life);
        let suspect = |entry: &WorkEntry| Suspect { request: entry.request, on_trial: entry.on_trial };
        let mut suspects: Vec<Suspect> = there.map(suspect).collect();
        // A copy on trial comes before one that is not.
        suspects.sort_unstable_by_key(|suspect| (suspect.request, !suspect.on_trial));
        suspects.dedup_by_key(|suspect| suspect.request);
        self.broken.retain(|(_, entry)| entry.life != life);
        suspects
    }
}
