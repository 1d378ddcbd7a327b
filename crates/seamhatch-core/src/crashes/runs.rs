//! Calls that run on one back end or finished recently, and the instances of the back end that ended in a
//! crash.
//!
//! Decides which requests become suspects of a crash: each request that ran on the instance when it ended,
//! once, and each whose run finished shortly before. A crash is only noticed when something needs the back
//! end, so the run may have finished by then, with the last byte of its answer or because its caller
//! disconnected. Crashes are detected by `seamhatchd::server::crashes`, which locks this table and reports
//! the suspects.

use super::InstanceDigest;
use crate::clock::{Instant, MILLISECOND, Microseconds, SECOND};
use crate::identity::{Incarnation, RequestDigest};
use crate::instance::InstanceId;
use std::collections::{HashMap, VecDeque};

/// Number of crashed instances that are remembered, the latest ones. Calls that were running notice the crash
/// within milliseconds, and a back end needs longer to start.
const REMEMBERED_CRASHES: usize = 8;

/// How long after its end a run can still become a suspect. A daemon that was frozen meanwhile learns of the
/// crash from the first heartbeats of the next instance, and a back end may go on working after the caller
/// has disconnected.
const SUSPECT_WINDOW: Microseconds = 3 * SECOND;

/// How long a back end must survive an answer before the run counts as successful. A back end that exits with
/// the last byte of its answer takes some milliseconds to close its connections.
pub const SURVIVAL_AFTER_ANSWER: Microseconds = 100 * MILLISECOND;

/// Number of finished runs that are kept as possible suspects, the latest ones.
const REMEMBERED_RUNS: usize = 256;

/// A request that ran when the back end crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Suspect {
    /// Digest of the request.
    pub request: RequestDigest,
    /// How the request ran.
    pub mode: RunMode,
}

/// How a call runs, which decides what a crash of its back end says about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunMode {
    /// Beside any other calls.
    Usual,
    /// Without another suspect of several crashes beside it.
    Isolated,
    /// As the trial run of a condemned request. Its record has counted this run as a crash since before it
    /// started.
    Trial(InstanceDigest),
}

/// What ran on an instance when it crashed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashedRuns {
    /// Number of calls that ran, counting each copy of a request.
    pub calls: usize,
    /// Requests that may have caused the crash, each listed once.
    pub suspects: Vec<Suspect>,
}

/// A call in flight to a daemon that was lost together with its server, as recorded by the daemon that sent
/// it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostRun {
    /// Digest of the request.
    pub request: RequestDigest,
    /// When the call was sent.
    pub sent: Instant,
    /// The call ran isolated, as [`RunMode::Isolated`].
    pub isolated: bool,
}

/// How a run ended, as far as it matters for a crash of its back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The run never started.
    NotRun,
    /// With a complete answer.
    Answered,
    /// Without a complete answer: it broke off, or its caller stopped waiting.
    BrokenOff,
}

/// Identifies a running call in its [`RunTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunNumber(u64);

#[derive(Debug, Clone, Copy)]
struct RunEntry {
    instance: InstanceDigest,
    request: RequestDigest,
    mode: RunMode,
}

/// A run that has ended.
#[derive(Debug, Clone, Copy)]
struct FinishedRun {
    entry: RunEntry,
    ended: Instant,
    is_answered: bool,
}

/// Calls that run on one back end, and those that finished recently.
#[derive(Debug, Default)]
pub struct RunTable {
    running: HashMap<RunNumber, RunEntry>,
    last_number: u64,
    /// Crashes seen of a back end whose instances have no names.
    unnamed_crashes: u64,
    /// Instances that ended in a crash, oldest first.
    crashed_instances: VecDeque<InstanceDigest>,
    /// Finished runs, oldest first.
    finished: VecDeque<FinishedRun>,
}

impl RunTable {
    /// Adds a call that is about to be sent to the back end beside the daemon `incarnation`. Returns the
    /// number of the run and the instance that it runs on.
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
        self.last_number += 1;
        let number = RunNumber(self.last_number);
        self.running.insert(number, RunEntry { instance, request, mode });
        (number, instance)
    }

    /// Records how a run ended.
    pub fn finish(&mut self, number: RunNumber, end: RunEnd, now: Instant) {
        let Some(entry) = self.running.remove(&number) else { return };
        if end == RunEnd::NotRun {
            return;
        }
        if self.finished.len() == REMEMBERED_RUNS {
            self.finished.pop_front();
        }
        self.finished.push_back(FinishedRun { entry, ended: now, is_answered: end == RunEnd::Answered });
    }

    /// Whether an instance is known to have crashed.
    #[must_use]
    pub fn has_ended(&self, instance: InstanceDigest) -> bool {
        self.crashed_instances.contains(&instance)
    }

    /// Records that an instance has crashed, because nothing listens at its address any more. `is_unnamed`
    /// tells whether the instances of this back end have no names. Returns what ran on the instance.
    pub fn end(&mut self, instance: InstanceDigest, is_unnamed: bool, now: Instant) -> CrashedRuns {
        let crashed = self.take_runs(instance, now);
        // An unnamed back end that is still down, and on which nothing has run since, has not crashed again.
        if !(is_unnamed && crashed.suspects.is_empty()) {
            self.unnamed_crashes += u64::from(is_unnamed);
            self.record_crash(instance);
        }
        crashed
    }

    /// Records that another instance has replaced this one, which had not reported that it leaves. Returns
    /// what ran on it when it ended, unless its crash was known before.
    pub fn replace(&mut self, instance: &InstanceId, now: Instant) -> CrashedRuns {
        let instance = InstanceDigest::of_instance(instance);
        if self.has_ended(instance) {
            return CrashedRuns::default();
        }
        self.record_crash(instance);
        self.take_runs(instance, now)
    }

    fn record_crash(&mut self, instance: InstanceDigest) {
        if self.crashed_instances.len() == REMEMBERED_CRASHES {
            self.crashed_instances.pop_front();
        }
        self.crashed_instances.push_back(instance);
    }

    /// Collects what ran on an instance that has ended by `now`. A finished run counts for one crash only.
    fn take_runs(&mut self, instance: InstanceDigest, now: Instant) -> CrashedRuns {
        let running = self.running.values().filter(|entry| entry.instance == instance);
        let calls = running.clone().count();
        let finished = self.finished.iter().filter(|run| run.entry.instance == instance);
        let answers = finished.clone().filter(|run| run.is_answered).map(|run| run.ended);
        // Running calls break when the instance ends; without any, its last answer is the last proof that it
        // was alive.
        let alive_until = if calls > 0 { now } else { answers.max().unwrap_or(now) };
        let counts = |run: &&FinishedRun| {
            let is_recent = now.since(run.ended) <= SUSPECT_WINDOW;
            is_recent && (!run.is_answered || alive_until.since(run.ended) <= SURVIVAL_AFTER_ANSWER)
        };
        let candidates = running.chain(finished.filter(counts).map(|run| &run.entry));
        let suspect = |entry: &RunEntry| Suspect { request: entry.request, mode: entry.mode };
        let mut suspects: Vec<Suspect> = candidates.map(suspect).collect();
        // A copy on trial comes before one that is not.
        suspects.sort_unstable_by_key(|suspect| (suspect.request, std::cmp::Reverse(suspect.mode)));
        suspects.dedup_by_key(|suspect| suspect.request);
        self.finished.retain(|run| run.entry.instance != instance);
        CrashedRuns { calls, suspects }
    }
}
