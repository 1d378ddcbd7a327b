//! The calls that run on one back end or did so lately, and which of its instances have ended in a crash.
//!
//! Decides which requests become suspects of a crash: each that ran on the instance when it ended, once, and each whose run
//! was over shortly before. A crash shows only when somebody needs the back end, so a run may be over by then: with the answer's
//! last byte, or because its caller has gone. It does not detect crashes: `seamhatchd::server::crashes` does, locks this table and
//! reports the suspects.

use super::InstanceDigest;
use crate::clock::{Instant, MILLISECOND, Microseconds, SECOND};
use crate::identity::{Incarnation, RequestDigest};
use crate::instance::InstanceId;
use std::collections::{HashMap, VecDeque};

/// Instances whose crash is remembered, the latest ones: calls that were running find out within milliseconds, and a back end
/// needs longer to start.
const REMEMBERED_ENDS: usize = 8;

/// How long a run that is over may turn out to have crashed its back end: a daemon that was frozen meanwhile hears the next
/// instance with its first heartbeats, and a back end may work on after its caller has gone.
const PAST_COUNTS: Microseconds = 3 * SECOND;

/// How long a back end must live on after an answer for it to be a good end: one that ends with its answer's last byte takes
/// some milliseconds to close its connections.
pub const SURVIVAL_AFTER_ANSWER: Microseconds = 100 * MILLISECOND;

/// Runs that are over and may still count, the latest ones.
const REMEMBERED_RUNS: usize = 256;

/// A request that ran when the back end crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Suspect {
    /// What is asked.
    pub request: RequestDigest,
    /// How it ran.
    pub mode: RunMode,
}

/// How a call runs, as far as a crash of its back end is evidence against its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunMode {
    /// Beside any others.
    Usual,
    /// As the only suspect of several crashes.
    Isolated,
    /// As the trial run of a condemned request, which is in its record as a crash since before it began.
    Trial(InstanceDigest),
}

/// What was at work on an instance when it crashed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashedRuns {
    /// Calls that ran then, copies of a request included.
    pub calls: usize,
    /// The requests that may have crashed it, each once.
    pub suspects: Vec<Suspect>,
}

/// A call that was under way when the daemon beside its server was lost, as the daemon that sent it knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostRun {
    /// What is asked.
    pub request: RequestDigest,
    /// When it was sent.
    pub sent: Instant,
    /// It ran as the only suspect of several crashes.
    pub isolated: bool,
}

/// How a run ended, as far as its back end may crash of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It never began.
    NotRun,
    /// With a whole answer.
    Answered,
    /// Without one: it broke off, or nobody waited for it any more.
    BrokenOff,
}

/// Names a running call in its [`RunTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunNumber(u64);

#[derive(Debug, Clone, Copy)]
struct RunEntry {
    instance: InstanceDigest,
    request: RequestDigest,
    mode: RunMode,
}

/// A run that is over.
#[derive(Debug, Clone, Copy)]
struct PastRun {
    entry: RunEntry,
    ended: Instant,
    is_answered: bool,
}

/// The calls that run on one back end, and those that did so lately.
#[derive(Debug, Default)]
pub struct RunTable {
    running: HashMap<RunNumber, RunEntry>,
    last: u64,
    /// Crashes of a back end that has no name.
    unnamed_crashes: u64,
    /// Instances that ended in a crash, the latest last.
    ended: VecDeque<InstanceDigest>,
    /// Runs that are over, the latest last.
    past: VecDeque<PastRun>,
}

impl RunTable {
    /// Adds a call that is about to be sent to the back end beside the daemon `incarnation`. Returns its number and the
    /// instance that runs it.
    pub fn begin(
        &mut self,
        incarnation: Incarnation,
        instance: Option<&InstanceId>,
        request: RequestDigest,
        mode: RunMode,
    ) -> (RunNumber, InstanceDigest) {
        let instance = match instance {
            Some(instance) => InstanceDigest::of_instance(instance),
            None => InstanceDigest::of_unnamed(incarnation, self.unnamed_crashes),
        };
        self.last += 1;
        let number = RunNumber(self.last);
        self.running.insert(number, RunEntry { instance, request, mode });
        (number, instance)
    }

    /// Records how a call has ended.
    pub fn finish(&mut self, number: RunNumber, end: RunEnd, now: Instant) {
        let Some(entry) = self.running.remove(&number) else { return };
        if end == RunEnd::NotRun {
            return;
        }
        if self.past.len() == REMEMBERED_RUNS {
            self.past.pop_front();
        }
        self.past.push_back(PastRun { entry, ended: now, is_answered: end == RunEnd::Answered });
    }

    /// Whether an instance is known to have ended in a crash.
    #[must_use]
    pub fn has_ended(&self, instance: InstanceDigest) -> bool {
        self.ended.contains(&instance)
    }

    /// Records that an instance has ended in a crash, as nothing listens at its address any more; `is_unnamed` says that the
    /// back end's instances have no names. Returns what ran on it.
    pub fn end(&mut self, instance: InstanceDigest, is_unnamed: bool, now: Instant) -> CrashedRuns {
        let crashed = self.take_runs(instance, now);
        // A back end without a name that is still away, and on which nothing ran since, hasn't crashed again.
        if !(is_unnamed && crashed.suspects.is_empty()) {
            self.unnamed_crashes += u64::from(is_unnamed);
            self.note_ended(instance);
        }
        crashed
    }

    /// Another instance has taken the place of this one, which had not reported that it leaves. Returns what ran on it when
    /// it ended, where that was not known before.
    pub fn replace(&mut self, instance: &InstanceId, now: Instant) -> CrashedRuns {
        let instance = InstanceDigest::of_instance(instance);
        if self.has_ended(instance) {
            return CrashedRuns::default();
        }
        self.note_ended(instance);
        self.take_runs(instance, now)
    }

    fn note_ended(&mut self, instance: InstanceDigest) {
        if self.ended.len() == REMEMBERED_ENDS {
            self.ended.pop_front();
        }
        self.ended.push_back(instance);
    }

    /// What ran on an instance that has ended by `now`; runs that are over count for one crash only.
    fn take_runs(&mut self, instance: InstanceDigest, now: Instant) -> CrashedRuns {
        let running = self.running.values().filter(|entry| entry.instance == instance);
        let calls = running.clone().count();
        let past = self.past.iter().filter(|run| run.entry.instance == instance);
        let answers = past.clone().filter(|run| run.is_answered).map(|run| run.ended);
        // Calls that run break when it ends; else its last answer is its last known sign of life.
        let lived_until = if calls > 0 { now } else { answers.max().unwrap_or(now) };
        let counts = |run: &&PastRun| {
            let is_recent = now.since(run.ended) <= PAST_COUNTS;
            is_recent && (!run.is_answered || lived_until.since(run.ended) <= SURVIVAL_AFTER_ANSWER)
        };
        let there = running.chain(past.filter(counts).map(|run| &run.entry));
        let suspect = |entry: &RunEntry| Suspect { request: entry.request, mode: entry.mode };
        let mut suspects: Vec<Suspect> = there.map(suspect).collect();
        // A copy on trial comes before one that is not.
        suspects.sort_unstable_by_key(|suspect| (suspect.request, std::cmp::Reverse(suspect.mode)));
        suspects.dedup_by_key(|suspect| suspect.request);
        self.past.retain(|run| run.entry.instance != instance);
        CrashedRuns { calls, suspects }
    }
}
