//! CONFIG: the kill of one daemon takes the slots of another machine's server for good.
//!
//! The operator adds an unsafe route to the service `reports`, whose only server has 14 slots, answers with 1 MB and tells its
//! load. Clients at one machine keep all of its slots busy, and the daemon of that machine is killed. It starts again after 3 s.
//! Afterwards nothing is disturbed, and clients at another machine go on.

use crate::client::{Body, Client, Ending, Request, send_once, until_served};
use crate::deployment::{Deployment, Machine, READINESS, Record, Route, SIGKILL, signal, within};
use crate::http::exchange;
use crate::server::Conduct;
use crate::{Verdict, is_troubled};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const SLOTS: u32 = 14;
/// Within the work of the small sites' unsafe requests, which takes up to 1200 ms.
const WORK: Duration = Duration::from_millis(500);
const ANSWER_BYTES: usize = 1_000_000;
const TIMEOUT_MS: u64 = 5000;
/// Requests a second on each of the two routes.
const RATE: usize = 20;
const JUDGED_S: usize = 6;
/// Clients at the machine whose daemon is killed; more than the slots.
const PRESSING: usize = 24;
const PRESSED: Duration = Duration::from_secs(3);
/// `for_s` of `node_kill` is 3.5 at most in the site file.
const DOWN: Duration = Duration::from_secs(3);
/// Time after the daemon is ready again, before the calm time that is judged; `inContactS` is 3.
const SETTLE: Duration = Duration::from_secs(15);

/// The counts of one route in a calm time.
#[derive(Debug, Default, Clone, Copy)]
struct Served {
    asked: usize,
    served: usize,
}

pub fn run(record: &Record) -> Verdict {
    let deployment = Deployment::start(record);
    let first = Route {
        host: "status.example",
        prefix: "/status/",
        kind: "safe",
        timeout_ms: TIMEOUT_MS,
        service: "status",
    };
    let added = Route {
        host: "reports.example",
        prefix: "/reports/",
        kind: "unsafe",
        timeout_ms: TIMEOUT_MS,
        service: "reports",
    };
    let services = ["front", "reports", "status"];
    deployment.configure(1, &[first.clone()], &services);
    let long = Conduct { work: WORK, answer_bytes: ANSWER_BYTES, ..Conduct::default() };
    let mut machines = [
        deployment.machine("front", 1, 8, Conduct::default()),
        deployment.machine("front", 2, 8, Conduct::default()),
        deployment.machine("reports", 3, SLOTS, long),
        deployment.machine("status", 4, SLOTS, Conduct { work: WORK, ..Conduct::default() }),
    ];
    machines.iter_mut().for_each(Machine::start);
    if !machines.iter().all(Machine::until_ready) {
        return Verdict::NotRun("a daemon is not ready");
    }
    machines.iter().for_each(Machine::keep_beating);
    if !until_served(&machines[1], record, "status.example", "/status/x") {
        return Verdict::NotRun("the first route is not served");
    }
    record.note("the operator adds the route reports.example/reports/");
    deployment.configure(2, &[first, added], &services);
    let calm_ip = machines[1].ip;
    let is_added = within(Duration::from_secs(5), || {
        send_once(calm_ip, record, &report("probe-report".into())) == Ending::Answered(200)
    });
    if !is_added {
        return Verdict::NotRun("the added route is not served");
    }
    let before = ask_both("before", calm_ip, record);
    let ended = Arc::new(AtomicBool::new(false));
    let pressing = press(machines[0].ip, record, &ended);
    std::thread::sleep(PRESSED);
    ended.store(true, Ordering::Release);
    if is_troubled() {
        record.note(format!("the daemon {} is killed", machines[0].ip));
        signal(machines[0].process(), SIGKILL);
    }
    pressing.into_iter().for_each(|client| drop(client.join()));
    std::thread::sleep(DOWN);
    if is_troubled() {
        machines[0].start_again();
    }
    if !machines[0].until_ready() {
        return Verdict::NotRun("the killed daemon is not ready again");
    }
    std::thread::sleep(SETTLE);
    let after = ask_both("after", calm_ip, record);
    for (name, [on_first, on_added]) in [("before", before), ("after", after)] {
        record.note(format!("{name}: first route {on_first:?}, added route {on_added:?}"));
    }
    note_calls(&machines[2], record);
    if before[1].served < before[1].asked / 2 {
        return Verdict::NotRun("the added route was not served well before");
    }
    // Served rates are compared by cross-multiplication: a quarter of the first route's.
    let [on_first, on_added] = after;
    let is_below =
        on_added.asked >= 20 && 4 * on_added.served * on_first.asked < on_first.served * on_added.asked;
    if is_below { Verdict::Broken } else { Verdict::Held }
}

fn report(id: String) -> Request {
    let (host, path) = ("reports.example", "/reports/1".into());
    let body = Body::Length(b"year=2026".to_vec());
    Request { method: "POST", host, path, id, deadline_ms: TIMEOUT_MS, body }
}

fn status(id: String) -> Request {
    let (host, path) = ("status.example", "/status/1".into());
    Request { method: "GET", host, path, id, deadline_ms: TIMEOUT_MS, body: Body::None }
}

/// Sends requests on both routes for some seconds, at a steady rate. Returns the counts of the first and the added route.
fn ask_both(phase: &'static str, ip: Ipv4Addr, record: &Record) -> [Served; 2] {
    let mut asking = Vec::new();
    for number in 0..RATE * JUDGED_S {
        let requests =
            [status(format!("{phase}-status-{number}")), report(format!("{phase}-report-{number}"))];
        for (route, request) in requests.into_iter().enumerate() {
            let record = record.clone();
            asking.push((route, std::thread::spawn(move || send_once(ip, &record, &request))));
        }
        std::thread::sleep(Duration::from_secs(1) / RATE as u32);
    }
    let mut counts = [Served::default(); 2];
    for (route, asked) in asking {
        counts[route].asked += 1;
        counts[route].served += usize::from(asked.join().is_ok_and(|ending| ending == Ending::Answered(200)));
    }
    counts
}

/// Keeps all slots busy from one machine, until `ended`.
fn press(ip: Ipv4Addr, record: &Record, ended: &Arc<AtomicBool>) -> Vec<std::thread::JoinHandle<()>> {
    let client = |number: usize| {
        let (record, ended) = (record.clone(), ended.clone());
        std::thread::spawn(move || {
            let mut asked = 0;
            while !ended.load(Ordering::Acquire) {
                let Ok(mut client) = Client::connect(ip, &record) else { return };
                asked += 1;
                client.send(&report(format!("pressing-{number}-{asked}")));
            }
        })
    };
    (0..PRESSING).map(client).collect()
}

/// Notes what the daemon beside a server says of its calls.
fn note_calls(machine: &Machine, record: &Record) {
    let request = format!("GET /metrics HTTP/1.1\r\nHost: {}\r\n\r\n", machine.ip);
    let answer = exchange(machine.ip, READINESS, request.as_bytes(), Duration::from_secs(2));
    let text = answer.map(|(_, body)| String::from_utf8_lossy(&body).into_owned()).unwrap_or_default();
    let told = ["seamhatch_running_calls", "seamhatch_lost_calls", "seamhatch_limit_calls"];
    for line in text.lines().filter(|line| told.iter().any(|name| line.starts_with(name))) {
        record.note(format!("the daemon beside the server says: {line}"));
    }
    record.note(format!("requests at the server itself: {}", machine.server.at_work()));
}
