//! Unequal servers of one service behind an entry that applies the mean of their floors.

use seamhatch_core::Instant;
use seamhatch_core::admission::{
    Admission, AdmissionPolicy, AdmissionQueue, AdmissionRequest, CallKind, Dequeued, Ticket,
};
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::priority::{AdmissionFloor, Priority, PriorityClass};
use std::collections::{BTreeSet, VecDeque};

const SLOTS: u32 = 20;
/// Service time of a call at a server of speed 1.
const SERVICE_TIME: Microseconds = 22 * MILLISECOND;
/// Age of the floors that the entry knows.
const REPORT_DELAY_TICKS: usize = 2;
const TICK: u64 = 100;
const SECONDS: u64 = 24;
/// Share of the calls that is critical.
const CRITICAL_SHARE: f64 = 0.3;

/// A server that may be slow for some seconds, from the fifth one on.
#[derive(Debug, Clone, Copy)]
struct UnequalServer {
    speed: f64,
    slow_for: u64,
    slowdown: f64,
}

impl UnequalServer {
    const fn steady(speed: f64) -> Self {
        Self { speed, slow_for: 0, slowdown: 1.0 }
    }

    fn speed_at(self, second: u64) -> f64 {
        if (5..5 + self.slow_for).contains(&second) { self.speed / self.slowdown } else { self.speed }
    }
}

/// Results of a run, over its last ten seconds.
struct RunResult {
    /// Finished calls, relative to the capacity of all servers.
    used: f64,
    /// Finished critical calls, relative to those that arrived.
    critical: f64,
}

struct RunningServer {
    queue: AdmissionQueue,
    ends: BTreeSet<(Instant, Ticket)>,
}

fn run(servers: &[UnequalServer], overload: f64) -> RunResult {
    let policy = AdmissionPolicy { slots: SLOTS, queue_per_slot: 4, initial_slots: SLOTS };
    let new = |_: &UnequalServer| RunningServer { queue: AdmissionQueue::new(policy), ends: BTreeSet::new() };
    let mut running: Vec<RunningServer> = servers.iter().map(new).collect();
    let per_step = |speed: f64| f64::from(SLOTS) * speed / (SERVICE_TIME as f64 / MILLISECOND as f64);
    let steady: f64 = servers.iter().map(|server| per_step(server.speed)).sum();
    let mut reported_floors: VecDeque<AdmissionFloor> =
        VecDeque::from(vec![AdmissionFloor::OPEN; REPORT_DELAY_TICKS]);
    let mut critical_tickets = BTreeSet::new();
    let (mut next, mut due, mut possible) = (0u64, 0.0, 0.0);
    let (mut finished, mut critical_finished, mut critical_came) = (0.0, 0.0, 0.0);
    for step in 0..SECONDS * 1000 {
        let now = Instant(10 * SECOND + step * MILLISECOND);
        let counts = step >= (SECONDS - 10) * 1000;
        due += steady * overload;
        while due >= 1.0 {
            due -= 1.0;
            next += 1;
            let mixed = next.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
            let critical = (mixed % 1000) as f64 / 1000.0 < CRITICAL_SHARE;
            let class = if critical { PriorityClass::Critical } else { PriorityClass::Bulk };
            let priority = Priority { class, bucket: (mixed / 1000 % 128) as u8 };
            critical_came += f64::from(u8::from(critical && counts));
            if !reported_floors.front().is_some_and(|floor| floor.admits(priority)) {
                continue;
            }
            let load = |index: usize| running[index].queue.running() + running[index].queue.waiting();
            let first = (mixed % servers.len() as u64) as usize;
            let second = (first + 1 + (mixed / 7) as usize % (servers.len() - 1)) % servers.len();
            let server = if load(second) < load(first) { second } else { first };
            if critical {
                critical_tickets.insert(Ticket(next));
            }
            let offered = AdmissionRequest {
                ticket: Ticket(next),
                priority,
                root_admitted: now,
                expiry: now.plus(700 * MILLISECOND),
                objective_end: now.plus(600 * MILLISECOND),
                kind: CallKind::default(),
                continues_chain: false,
            };
            let server_speed = servers[server].speed_at(step / 1000);
            if running[server].queue.offer(offered, now) == Admission::Run {
                start(&mut running[server], Ticket(next), server_speed, now);
            }
        }
        for (server, state) in servers.iter().zip(&mut running) {
            let speed = server.speed_at(step / 1000);
            possible += if counts { per_step(speed) } else { 0.0 };
            while let Some(&(end, ticket)) = state.ends.first().filter(|(end, _)| *end <= now) {
                state.ends.remove(&(end, ticket));
                state.queue.finish(ticket, end, true);
                if counts {
                    finished += 1.0;
                    critical_finished += f64::from(u8::from(critical_tickets.contains(&ticket)));
                }
            }
            while let Some(dequeued) = state.queue.next(now) {
                if let Dequeued::Run(ticket) = dequeued {
                    start(state, ticket, speed, now);
                }
            }
        }
        if step % TICK == TICK - 1 {
            running.iter_mut().for_each(|state| state.queue.tick());
            let floors = running.iter().map(|state| (state.queue.floor(), state.queue.limit()));
            reported_floors.push_back(AdmissionFloor::mean(floors).expect("there are servers"));
            reported_floors.pop_front();
        }
    }
    RunResult { used: finished / possible, critical: critical_finished / critical_came }
}

fn start(state: &mut RunningServer, ticket: Ticket, speed: f64, now: Instant) {
    let variation = 0.5 + (ticket.0.wrapping_mul(0xd1b5_4a32_d192_ed03) >> 40) as f64 / f64::from(1 << 24);
    let service_time = SERVICE_TIME as f64 / speed * variation;
    state.ends.insert((now.plus(service_time as u64), ticket));
}

struct ServiceCase {
    name: &'static str,
    servers: &'static [UnequalServer],
    overload: f64,
    used: f64,
    critical: f64,
}

#[test]
fn unequal_servers_are_all_used_and_critical_calls_are_served() {
    const FAST_AND_SLOW: [UnequalServer; 3] =
        [UnequalServer::steady(0.7), UnequalServer::steady(0.7), UnequalServer::steady(1.6)];
    const ONE_SLOWED: [UnequalServer; 3] = [
        UnequalServer { speed: 1.0, slow_for: 19, slowdown: 8.0 },
        UnequalServer::steady(1.0),
        UnequalServer::steady(1.0),
    ];
    const ONE_COLD: [UnequalServer; 3] = [
        UnequalServer { speed: 0.7, slow_for: 4, slowdown: 2.0 },
        UnequalServer::steady(1.0),
        UnequalServer::steady(1.6),
    ];
    let cases = [
        ServiceCase {
            name: "speeds differ",
            servers: &FAST_AND_SLOW,
            overload: 1.4,
            used: 0.9,
            critical: 0.97,
        },
        ServiceCase {
            name: "twice too much",
            servers: &FAST_AND_SLOW,
            overload: 2.0,
            used: 0.9,
            critical: 0.97,
        },
        ServiceCase { name: "one is slowed", servers: &ONE_SLOWED, overload: 1.0, used: 0.9, critical: 0.97 },
        ServiceCase { name: "one was cold", servers: &ONE_COLD, overload: 1.2, used: 0.9, critical: 0.97 },
        ServiceCase {
            name: "there is room",
            servers: &FAST_AND_SLOW,
            overload: 0.8,
            used: 0.78,
            critical: 0.99,
        },
    ];
    for case in cases {
        let result = run(case.servers, case.overload);
        let seen = format!("{}: {:.3} used, {:.3} of critical work", case.name, result.used, result.critical);
        println!("{seen}");
        assert!(result.used >= case.used && result.critical >= case.critical, "{seen}");
    }
}
