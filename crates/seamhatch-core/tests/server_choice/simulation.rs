//! Simulation, in steps of a millisecond, of the servers of one service and several senders. Each sender knows its own
//! calls and the reports in answers and heartbeats.

use seamhatch_core::Instant;
use seamhatch_core::balance::{Candidate, CandidateStatus, KnownPace, PaceTracker, ServerPace, pick};
use seamhatch_core::clock::{MILLISECOND, SECOND};
use std::collections::VecDeque;

/// Steps between two heartbeats.
const HEARTBEAT: u64 = 200;
/// Steps at the start whose calls don't count, while senders receive their first reports.
const WARM_UP: u64 = 2_000;
/// Steps of a run.
const STEPS: u64 = 32_000;
/// Runs with different seeds whose results are combined to reduce random variation.
const RUNS: u64 = 6;

/// How a server reports its pace.
#[derive(Debug, Clone, Copy)]
pub enum PercentReport {
    /// The actual percentage.
    Actual,
    /// A constant percentage.
    Constant(u16),
    /// The actual percentage of a second before, reported with that age.
    DelayedBySecond,
    /// No percentage, as from a daemon of an earlier release.
    None,
}

/// A simulated server.
#[derive(Debug, Clone, Copy)]
pub struct Server {
    pub work_ms: f64,
    pub percent_report: PercentReport,
    /// From this millisecond on, calls take 2.5 times as long for 600 ms of every 3 s.
    pub slow_from: Option<u64>,
}

impl Server {
    /// A server that reports the actual percentage and is never slow.
    pub const fn of(work_ms: f64) -> Self {
        Self { work_ms, percent_report: PercentReport::Actual, slow_from: None }
    }

    fn percent_at(&self, step: u64) -> u16 {
        let is_slow = self.slow_from.is_some_and(|from| step >= from && (step - from) % 3_000 < 600);
        if is_slow { 250 } else { 100 }
    }
}

/// Servers and senders of a run.
#[derive(Debug, Clone)]
pub struct Load {
    pub servers: Vec<Server>,
    pub slots: u32,
    pub senders: usize,
    pub per_second: u64,
}

/// Results of the calls.
#[derive(Debug)]
pub struct Outcome {
    /// Mean time from sending a call to its answer.
    pub mean_ms: f64,
    /// 95th percentile of that time.
    pub p95_ms: u64,
    /// Share of the calls that each server got.
    pub shares: Vec<f64>,
}

/// Pseudo-random numbers with a fixed seed.
struct SplitMix64(u64);

impl SplitMix64 {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, end: u64) -> u64 {
        self.next() % end
    }
}

struct Call {
    sender: usize,
    sent: u64,
    started: u64,
    /// Remaining work, in milliseconds at the usual pace.
    left: f64,
}

#[derive(Default)]
struct State {
    waiting: VecDeque<Call>,
    running: Vec<Call>,
    pace: PaceTracker,
}

/// What a sender knows of a server.
#[derive(Clone, Copy, Default)]
struct View {
    in_flight: u32,
    report: Option<(u32, Option<ServerPace>, Instant)>,
}

fn instant(step: u64) -> Instant {
    Instant(10 * SECOND + step * MILLISECOND)
}

/// Runs the load. If `by_pace` is false, no pace is reported, so that load over slots decides.
pub fn run(load: &Load, by_pace: bool) -> Outcome {
    let (mut times, mut counts) = (Vec::new(), vec![0; load.servers.len()]);
    for seed in 0..RUNS {
        let simulation = simulate(load, by_pace, seed);
        times.extend(simulation.times);
        counts.iter_mut().zip(simulation.counts).for_each(|(sum, count)| *sum += count);
    }
    times.sort_unstable();
    let total: u64 = counts.iter().sum();
    Outcome {
        mean_ms: times.iter().sum::<u64>() as f64 / times.len() as f64,
        p95_ms: times[times.len() * 95 / 100],
        shares: counts.iter().map(|served| *served as f64 / total as f64).collect(),
    }
}

fn simulate(load: &Load, by_pace: bool, seed: u64) -> Simulation<'_> {
    let mut simulation = Simulation {
        load,
        by_pace,
        states: load.servers.iter().map(|_| State::default()).collect(),
        views: vec![vec![View::default(); load.servers.len()]; load.senders],
        times: Vec::new(),
        counts: vec![0; load.servers.len()],
        rng: SplitMix64(seed),
    };
    (0..STEPS).for_each(|step| simulation.step(step));
    simulation
}

struct Simulation<'a> {
    load: &'a Load,
    by_pace: bool,
    states: Vec<State>,
    views: Vec<Vec<View>>,
    times: Vec<u64>,
    counts: Vec<u64>,
    rng: SplitMix64,
}

impl Simulation<'_> {
    fn step(&mut self, step: u64) {
        for server in 0..self.states.len() {
            self.work(server, step);
            if step.is_multiple_of(HEARTBEAT) {
                (0..self.load.senders).for_each(|sender| self.report(server, sender, step));
            }
        }
        // Calls arrive at random times, `per_second` on average.
        if self.rng.below(1_000) < self.load.per_second {
            self.send(step);
        }
    }

    fn work(&mut self, server: usize, step: u64) {
        let shape = &self.load.servers[server];
        let factor = f64::from(shape.percent_at(step)) / 100.0;
        let state = &mut self.states[server];
        state.running.iter_mut().for_each(|call| call.left -= 1.0 / factor);
        let (done, running) =
            std::mem::take(&mut state.running).into_iter().partition(|call| call.left <= 0.0);
        state.running = running;
        while state.running.len() < self.load.slots as usize {
            let Some(call) = state.waiting.pop_front() else { break };
            state.running.push(Call { started: step, ..call });
        }
        let done: Vec<Call> = done;
        for call in done {
            self.end(server, &call, step);
        }
    }

    fn end(&mut self, server: usize, call: &Call, step: u64) {
        let shape = &self.load.servers[server];
        let pace = &mut self.states[server].pace;
        match shape.percent_report {
            PercentReport::Actual => pace.record_time_percent(shape.percent_at(step), instant(step)),
            PercentReport::Constant(percent) => pace.record_time_percent(percent, instant(step)),
            PercentReport::DelayedBySecond => {
                pace.record_time_percent(
                    shape.percent_at(step.saturating_sub(1_000)),
                    instant(step).minus(SECOND),
                );
            }
            PercentReport::None => {}
        }
        pace.record_success(Some((step - call.started) * MILLISECOND), instant(step));
        self.views[call.sender][server].in_flight -= 1;
        self.report(server, call.sender, step);
        if call.sent >= WARM_UP {
            self.times.push(step - call.sent);
            self.counts[server] += 1;
        }
    }

    fn report(&mut self, server: usize, sender: usize, step: u64) {
        let state = &self.states[server];
        let load = (state.running.len() + state.waiting.len()) as u32;
        let pace = state.pace.report(instant(step)).filter(|_| self.by_pace);
        self.views[sender][server].report = Some((load, pace, instant(step)));
    }

    fn send(&mut self, step: u64) {
        let sender = self.rng.below(self.load.senders as u64) as usize;
        let candidates: Vec<Candidate> =
            self.views[sender].iter().map(|view| self.candidate(view, step)).collect();
        let rng = &mut self.rng;
        let server = pick(&candidates, |below| rng.below(below as u64) as usize).expect("there are servers");
        // The work varies from half to one and a half of the usual.
        let left = self.load.servers[server].work_ms * (0.5 + self.rng.below(1_000) as f64 / 1_000.0);
        self.views[sender][server].in_flight += 1;
        self.states[server].waiting.push_back(Call { sender, sent: step, started: step, left });
    }

    fn candidate(&self, view: &View, step: u64) -> Candidate {
        let pace = view.report.map_or(KnownPace::Unknown, |(_, pace, heard)| {
            KnownPace::from_report(pace, heard, instant(step))
        });
        Candidate {
            same_zone: true,
            slots: self.load.slots,
            in_flight: view.in_flight,
            reported_load: view.report.map_or(0, |(load, _, _)| load),
            success: 1.0,
            turn_in: None,
            pace,
            status: CandidateStatus::Available,
        }
    }
}
