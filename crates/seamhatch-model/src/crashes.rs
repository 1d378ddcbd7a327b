//! Requests that crash servers: one that ends each server it runs on, and a harmless one beside it, with copies, lost servers,
//! late news and daemons that restart.
//!
//! Once all daemons know that a request is condemned, no server begins to run it, whichever daemon restarts. The number of servers
//! that it ends is bounded. The harmless request is condemned only by a trial run of its own that was cut off.

use crate::search::{Model, SearchResult, Step, action, search};
use seamhatch_core::Instant;
use seamhatch_core::crashes::{CrashLedger, InstanceDigest, SuspectRecord, SuspectReport, SuspectStanding};
use seamhatch_core::identity::RequestDigest;

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashesFault {
    /// None.
    None,
    /// A daemon that starts serves before it has asked another one.
    ServesBeforeLearning,
    /// Each crash counts as one on a trial run.
    CondemnedByCount,
    /// Copies of a suspect run beside each other, and suspects of several crashes too.
    NoTrials,
    /// Each report of a crash counts, though it is the same crash.
    SumOfReports,
}

/// When daemons learn of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// Before anything else happens.
    Prompt,
    /// At any later time, or never.
    Late,
}

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct CrashesModel {
    /// Servers, each with a daemon.
    pub servers: usize,
    /// Copies of either request that run in all.
    pub copies: u8,
    /// Copies of the deadly request that run at once.
    pub deadly_at_once: usize,
    /// Servers that are lost for other reasons.
    pub losses: u8,
    /// Restarts of daemons.
    pub restarts: u8,
    /// When daemons learn of a crash.
    pub news: News,
    /// The seeded fault.
    pub fault: CrashesFault,
}

const DEADLY: usize = 0;
const HARMLESS: usize = 1;
/// A time at which all evidence is fresh.
const NOW: Instant = Instant(1_000_000_000);
/// Where all daemons send suspects while they know the same.
const HOME: usize = 0;
/// Calls that one server works on at once.
const SLOTS: usize = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Copy {
    request: usize,
    on_trial: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Server {
    instance: u8,
    at_work: Vec<Copy>,
    /// What the daemon beside it knows of either request.
    known: [SuspectRecord; 2],
}

/// A state of the servers and of what their daemons know.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CrashesState {
    servers: Vec<Server>,
    copies_left: u8,
    losses_left: u8,
    restarts_left: u8,
    /// Servers that the deadly request has ended.
    ended: u8,
    /// All daemons have known that it is condemned.
    all_knew: bool,
    begun_after_all_knew: bool,
    harmless_trial_cut: bool,
    /// Crashes that the harmless request was at work in.
    harmless_cut: u8,
}

fn standing(record: &SuspectRecord) -> SuspectStanding {
    let mut ledger = CrashLedger::default();
    ledger.merge(&SuspectReport { record: record.clone(), age: 0 }, NOW);
    ledger.standing(record.request, NOW)
}

fn is_condemned(record: &SuspectRecord) -> bool {
    matches!(standing(record), SuspectStanding::Condemned { .. })
}

impl Model for CrashesModel {
    type State = CrashesState;

    fn initial(&self) -> CrashesState {
        let known = [DEADLY, HARMLESS].map(|request| SuspectRecord::new(RequestDigest(request as u64)));
        let server = Server { instance: 0, at_work: Vec::new(), known };
        CrashesState {
            servers: vec![server; self.servers],
            copies_left: self.copies,
            losses_left: self.losses,
            restarts_left: self.restarts,
            ended: 0,
            all_knew: false,
            begun_after_all_knew: false,
            harmless_trial_cut: false,
            harmless_cut: 0,
        }
    }

    fn steps(&self, state: &CrashesState) -> Vec<Step<CrashesState>> {
        let mut steps = Vec::new();
        for at in 0..self.servers {
            for request in [DEADLY, HARMLESS] {
                Step::add(&mut steps, state, action("a copy begins to run", at, request), |next| {
                    self.begin(next, at, request);
                });
            }
            Step::add(&mut steps, state, action("the deadly copy ends the server", at, DEADLY), |next| {
                if next.servers[at].at_work.iter().any(|copy| copy.request == DEADLY) {
                    next.ended += 1;
                    self.end_server(next, at);
                }
            });
            Step::add(&mut steps, state, action("the server is lost", at, 0), |next| {
                if next.losses_left > 0 && !next.servers[at].at_work.is_empty() {
                    next.losses_left -= 1;
                    self.end_server(next, at);
                }
            });
            Step::add(&mut steps, state, action("the harmless copy ends well", at, HARMLESS), |next| {
                self.end_well(next, at);
            });
            for other in (0..self.servers).filter(|other| *other != at) {
                Step::add(&mut steps, state, action("a daemon reports to another", at, other), |next| {
                    next.tell(at, other);
                });
                Step::add(&mut steps, state, action("a daemon restarts and asks", at, other), |next| {
                    self.restart(next, at, other);
                });
            }
        }
        steps
    }

    fn violation(&self, state: &CrashesState) -> Option<&'static str> {
        if state.begun_after_all_knew {
            return Some("a server began to run what all daemons had known as condemned");
        }
        // What was at work when the third crash became known may still end its server.
        let most = match self.news {
            News::Prompt => 2 + self.deadly_at_once,
            // Each daemon learns from its own server at least.
            News::Late => 3 * self.servers + self.deadly_at_once - 1,
        };
        if usize::from(state.ended) > most {
            return Some("more servers ended than the bound");
        }
        let condemned = state.servers.iter().any(|server| is_condemned(&server.known[HARMLESS]));
        if condemned && !state.harmless_trial_cut {
            return Some("the harmless request is condemned without a trial");
        }
        (condemned && state.harmless_cut < 3)
            .then_some("the harmless request is condemned by fewer than three crashes")
    }
}

impl CrashesModel {
    /// Searches all reachable states, at most `limit`.
    ///
    /// Not generic, so that it is compiled with this crate's optimisation also for tests.
    #[must_use]
    pub fn search(&self, limit: usize) -> SearchResult {
        search(self, limit)
    }

    /// The daemon beside the server lets a copy run, if it may.
    fn begin(&self, state: &mut CrashesState, at: usize, request: usize) {
        let at_once = state.servers.iter().flat_map(|server| &server.at_work);
        let deadly = at_once.filter(|copy| copy.request == DEADLY).count();
        let too_many = request == DEADLY && deadly >= self.deadly_at_once;
        let server = &mut state.servers[at];
        if too_many || state.copies_left == 0 || server.at_work.len() >= SLOTS {
            return;
        }
        let on_trial = match standing(&server.known[request]) {
            SuspectStanding::Clear => false,
            SuspectStanding::Condemned { .. } => return,
            SuspectStanding::Suspect { crashes } => {
                let isolated = crashes >= 2;
                let waits = |copy: &Copy| copy.request == request || (isolated && copy.on_trial);
                let elsewhere = self.news == News::Prompt && at != HOME;
                if self.fault != CrashesFault::NoTrials && (elsewhere || server.at_work.iter().any(waits)) {
                    return;
                }
                isolated
            }
        };
        server.at_work.push(Copy { request, on_trial });
        server.at_work.sort_unstable();
        state.copies_left -= 1;
        state.begun_after_all_knew |= state.all_knew && request == DEADLY;
    }

    fn end_server(&self, state: &mut CrashesState, at: usize) {
        let server = &mut state.servers[at];
        let instance = u64::from(server.instance) * self.servers as u64 + at as u64;
        server.instance += 1;
        let mut at_work = std::mem::take(&mut server.at_work);
        // A crash counts once for a request.
        at_work.dedup_by_key(|copy| copy.request);
        for copy in at_work {
            let on_trial = copy.on_trial || self.fault == CrashesFault::CondemnedByCount;
            server.known[copy.request].add(InstanceDigest(instance), on_trial);
            if self.fault == CrashesFault::SumOfReports {
                server.known[copy.request].add(InstanceDigest(instance + 1000), on_trial);
            }
            state.harmless_trial_cut |= copy.on_trial && copy.request == HARMLESS;
            state.harmless_cut += u8::from(copy.request == HARMLESS);
        }
        self.spread(state, at);
    }

    fn end_well(&self, state: &mut CrashesState, at: usize) {
        let server = &mut state.servers[at];
        let Some(position) = server.at_work.iter().position(|copy| copy.request == HARMLESS) else { return };
        server.at_work.remove(position);
        server.known[HARMLESS].clear();
        self.spread(state, at);
    }

    fn spread(&self, state: &mut CrashesState, from: usize) {
        if self.news == News::Prompt {
            (0..self.servers).filter(|to| *to != from).for_each(|to| state.tell(from, to));
        }
        state.note_who_knows();
    }

    /// A daemon restarts; its server and what is at work there are its machine's, and the calls end with it.
    fn restart(&self, state: &mut CrashesState, at: usize, asked: usize) {
        if state.restarts_left == 0 {
            return;
        }
        state.restarts_left -= 1;
        let server = &mut state.servers[at];
        server.at_work.clear();
        server.known.iter_mut().for_each(|record| *record = SuspectRecord::new(record.request));
        if self.fault != CrashesFault::ServesBeforeLearning {
            state.tell(asked, at);
        }
    }
}

impl CrashesState {
    fn tell(&mut self, from: usize, to: usize) {
        let told = self.servers[from].known.clone();
        for (known, told) in self.servers[to].known.iter_mut().zip(&told) {
            known.merge(told);
        }
        self.note_who_knows();
    }

    fn note_who_knows(&mut self) {
        self.all_knew |= self.servers.iter().all(|server| is_condemned(&server.known[DEADLY]));
    }
}
