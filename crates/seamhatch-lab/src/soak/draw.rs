//! Draws a plan from a seed: single faults, planned stops with nothing else around, and series of faults that overlap.
//!
//! The same seed always gives the same plan; failing seeds are kept. The order in which numbers are drawn must therefore not
//! change.

use super::draw_back_ends::{draw_crashes, draw_notices};
use super::fault::{CutWay, FaultGroup, ReloadLevel, SoakFault};
use super::fleet::{DaemonIndex, SoakFleet};
use super::plan::{PlannedFault, SoakPlan};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::time::Duration;

/// Requests a second of a drawn plan, all daemons together.
const RATE: f64 = 60.0;
/// Clients that keep their connections, for each daemon.
const CLIENTS_PER_DAEMON: usize = 3;
/// Time without faults at the beginning and at the end of a plan.
const QUIET: Duration = Duration::from_secs(2);
/// Time between the beginnings of two drawn faults, in milliseconds.
const GAP_MS: Range<u64> = 300..4_000;
/// Length of a drawn fault, in milliseconds.
const LENGTH_MS: Range<u64> = 500..4_000;
/// Time without other faults before and after a planned stop that is alone: more than the checks' calm of 4 s, so that all its
/// answers are judged.
const APART: Duration = Duration::from_secs(6);
/// Time between two stops of a series, in milliseconds: the stops overlap, as each takes seconds.
const STOP_GAP_MS: Range<u64> = 0..400;
/// Time between two stops where daemons are replaced one after the other, in milliseconds.
const ROLLING_GAP_MS: Range<u64> = 200..1_500;
/// Time between a stop request and the next one to the same daemon, in milliseconds.
const AGAIN_MS: Range<u64> = 20..1_500;
/// Time between two submissions of a series, in milliseconds.
const SUBMISSION_GAP_MS: Range<u64> = 5..200;
/// Most daemons that one series stops, unless it stops all daemons of a service.
const MOST_STOPPED: usize = 4;
/// Time between two submissions besides those of the series, in milliseconds: some operator changes something all the time.
const CHANGE_GAP_MS: Range<u64> = 600..3_000;
/// Combined with a plan's seed to draw these submissions: `changes!` in ASCII.
const CHANGE_SEED: u64 = 0x6368_616e_6765_7321;

/// What comes next in a plan.
enum Drawn {
    /// One fault.
    Single(SoakFault),
    /// A planned stop with no other fault around.
    StopAlone(DaemonIndex),
    /// Stops in quick succession with other faults among them; times count from the series' beginning.
    Series(Vec<PlannedFault>),
}

impl SoakPlan {
    /// The plan of a seed for this fleet, the same each time.
    #[must_use]
    pub fn draw(seed: u64, seconds: u64, fleet: SoakFleet) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let end_ms = millis(Duration::from_secs(seconds).saturating_sub(QUIET));
        let mut faults = Vec::new();
        let mut at_ms = millis(QUIET);
        loop {
            let drawn = draw_next(&mut rng, fleet);
            if matches!(drawn, Drawn::StopAlone(_)) && !faults.is_empty() {
                at_ms += millis(APART);
            }
            let (added, pause_ms) = placed(drawn, at_ms, &mut rng);
            let last_ms = added.iter().map(PlannedFault::end_ms).max().unwrap_or(at_ms);
            if last_ms > end_ms {
                break;
            }
            faults.extend(added);
            at_ms += pause_ms;
        }
        let crashes = draw_crashes(seed, millis(QUIET), end_ms, fleet);
        let beside_a_stop = |crash: &PlannedFault| faults.iter().any(|fault| disturbs_stop(crash, fault));
        let crashes: Vec<PlannedFault> = crashes.into_iter().filter(|crash| !beside_a_stop(crash)).collect();
        faults.extend(crashes);
        if has_notices(seed) {
            faults.extend(draw_notices(seed, millis(QUIET), end_ms, fleet));
        }
        faults.extend(draw_changes(seed, end_ms, fleet));
        faults.sort_by_key(|fault| fault.at_ms);
        let clients = CLIENTS_PER_DAEMON * fleet.daemons();
        Self { seed, seconds, rate: RATE, clients, servers: fleet.servers, faults }
    }
}

/// Submissions throughout, drawn with a generator of their own, so that the other faults of a seed don't depend on them.
fn draw_changes(seed: u64, end_ms: u64, fleet: SoakFleet) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ CHANGE_SEED);
    let mut changes = Vec::new();
    let mut at_ms = millis(QUIET) + rng.random_range(CHANGE_GAP_MS);
    while at_ms + LENGTH_MS.start < end_ms {
        let fault = SoakFault::Configuration { daemon: rng.random_range(0..fleet.daemons()) };
        changes.push(PlannedFault { at_ms, for_ms: LENGTH_MS.start, fault });
        at_ms += rng.random_range(CHANGE_GAP_MS);
    }
    changes
}

/// Whether back ends name rates or leave throughout: in every other plan, as most answers of its stops can't be judged then.
fn has_notices(seed: u64) -> bool {
    seed % 2 == 1
}

/// Whether a crash is so close to a planned stop that the answers of the stop can't be judged.
fn disturbs_stop(crash: &PlannedFault, fault: &PlannedFault) -> bool {
    let apart_ms = millis(APART);
    let is_stop = fault.fault.group() == FaultGroup::Stop;
    is_stop && crash.at_ms < fault.end_ms() + apart_ms && fault.at_ms < crash.end_ms() + apart_ms
}

/// The faults with their times, and the time in milliseconds until the next may begin.
fn placed(drawn: Drawn, at_ms: u64, rng: &mut SmallRng) -> (Vec<PlannedFault>, u64) {
    match drawn {
        Drawn::Single(fault) => {
            let for_ms = rng.random_range(LENGTH_MS);
            (vec![PlannedFault { at_ms, for_ms, fault }], rng.random_range(GAP_MS))
        }
        Drawn::StopAlone(daemon) => {
            let for_ms = rng.random_range(LENGTH_MS);
            let stop = PlannedFault { at_ms, for_ms, fault: SoakFault::PlannedStop { daemon } };
            (vec![stop], for_ms + millis(APART))
        }
        Drawn::Series(mut faults) => {
            faults.iter_mut().for_each(|fault| fault.at_ms += at_ms);
            (faults, rng.random_range(GAP_MS))
        }
    }
}

fn draw_next(rng: &mut SmallRng, fleet: SoakFleet) -> Drawn {
    match rng.random_range(0..6) {
        0 => Drawn::StopAlone(rng.random_range(0..fleet.daemons())),
        1 | 2 => Drawn::Series(draw_series(rng, fleet)),
        _ => Drawn::Single(draw_fault(rng, fleet.daemons())),
    }
}

fn draw_series(rng: &mut SmallRng, fleet: SoakFleet) -> Vec<PlannedFault> {
    let (stopped, gap_ms) = draw_stopped(rng, fleet);
    let mut series = Vec::new();
    let mut at_ms = 0;
    for daemon in stopped {
        let fault = if rng.random_bool(0.2) {
            SoakFault::HastyStop { daemon, again_ms: rng.random_range(AGAIN_MS) }
        } else {
            SoakFault::PlannedStop { daemon }
        };
        series.push(PlannedFault { at_ms, for_ms: rng.random_range(LENGTH_MS), fault });
        at_ms += rng.random_range(gap_ms.clone());
    }
    let span_ms = at_ms + LENGTH_MS.start;
    if rng.random_bool(0.4) {
        series.extend(draw_submissions(rng, fleet, span_ms));
    }
    if rng.random_bool(0.4) {
        series.extend(draw_reloads(rng, fleet, span_ms));
    }
    for fault in [SoakFault::StoreOut, SoakFault::MachinesOut, draw_kill(rng, fleet)] {
        if rng.random_bool(0.25) {
            let at_ms = rng.random_range(0..span_ms);
            series.push(PlannedFault { at_ms, for_ms: rng.random_range(LENGTH_MS), fault });
        }
    }
    series
}

/// The daemons that a series stops, and the range of the time between two stops: all of one service, some at random, or one
/// after the other.
fn draw_stopped(rng: &mut SmallRng, fleet: SoakFleet) -> (Vec<DaemonIndex>, Range<u64>) {
    let mut all: Vec<DaemonIndex> = (0..fleet.daemons()).collect();
    match rng.random_range(0..3) {
        0 => (fleet.of_service(rng.random_range(0..fleet.services)).collect(), STOP_GAP_MS),
        1 => {
            all.shuffle(rng);
            all.truncate(rng.random_range(2..=MOST_STOPPED));
            (all, STOP_GAP_MS)
        }
        _ => {
            let first = rng.random_range(0..all.len());
            all.rotate_left(first);
            all.truncate(MOST_STOPPED);
            (all, ROLLING_GAP_MS)
        }
    }
}

fn draw_submissions(rng: &mut SmallRng, fleet: SoakFleet, span_ms: u64) -> Vec<PlannedFault> {
    let mut at_ms = rng.random_range(0..span_ms);
    let mut submissions = Vec::new();
    for _ in 0..rng.random_range(2..6) {
        let fault = SoakFault::Configuration { daemon: rng.random_range(0..fleet.daemons()) };
        submissions.push(PlannedFault { at_ms, for_ms: LENGTH_MS.start, fault });
        at_ms += rng.random_range(SUBMISSION_GAP_MS);
    }
    submissions
}

fn draw_reloads(rng: &mut SmallRng, fleet: SoakFleet, span_ms: u64) -> Vec<PlannedFault> {
    let mut reloads = Vec::new();
    for _ in 0..rng.random_range(1..4) {
        let fault = draw_reload(rng, fleet.daemons());
        let at_ms = rng.random_range(0..span_ms);
        reloads.push(PlannedFault { at_ms, for_ms: rng.random_range(LENGTH_MS), fault });
    }
    reloads
}

fn draw_reload(rng: &mut SmallRng, daemons: usize) -> SoakFault {
    let log_level = [ReloadLevel::Warn, ReloadLevel::Debug, ReloadLevel::Trace][rng.random_range(0..3)];
    SoakFault::Reload { daemon: rng.random_range(0..daemons), log_level, more_slots: rng.random_range(0..3) }
}

fn draw_kill(rng: &mut SmallRng, fleet: SoakFleet) -> SoakFault {
    SoakFault::Kill { daemons: vec![rng.random_range(0..fleet.daemons())] }
}

fn draw_fault(rng: &mut SmallRng, daemons: usize) -> SoakFault {
    let daemon = rng.random_range(0..daemons);
    match rng.random_range(0..15) {
        0 => SoakFault::Kill { daemons: vec![daemon] },
        1 => SoakFault::Kill { daemons: (0..daemons).filter(|_| rng.random_bool(0.5)).collect() },
        2 => SoakFault::Pause { daemon },
        3 => SoakFault::Cut { daemon, way: draw_way(rng) },
        4 => SoakFault::Reset { daemon },
        5 => SoakFault::Delay { daemon, delay_ms: rng.random_range(5..200) },
        6 => SoakFault::StoreOut,
        7 => SoakFault::StoreSlow { delay_ms: rng.random_range(50..1_500) },
        8 => SoakFault::StoreThrottled { per_second: rng.random_range(1..20) },
        9 => SoakFault::StoreLosesAnswers { writes: rng.random_range(1..5) },
        10 => SoakFault::ServerSlow { daemon, percent: rng.random_range(200..2_000) },
        11 => SoakFault::ServerFails { daemon },
        12 => SoakFault::ServerCuts { daemon },
        13 => draw_reload(rng, daemons),
        _ => SoakFault::Configuration { daemon },
    }
}

fn draw_way(rng: &mut SmallRng) -> CutWay {
    match rng.random_range(0..3) {
        0 => CutWay::Both,
        1 => CutWay::From,
        _ => CutWay::To,
    }
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
