//! CONFIG: clients that leave before the long answers of unsafe requests take a server's slots with them for good.
//!
//! The operator adds a route to the service `reports`, whose only server has 14 slots and answers with 1 MB. Twice, for five
//! seconds, three in ten of its clients leave before their answers come. Afterwards nothing is disturbed, and requests go on.

use crate::client::{Body, Client, Ending, Request, send_once, until_served};
use crate::deployment::{Deployment, Machine, Record, Route, within};
use crate::server::Conduct;
use crate::{Verdict, is_troubled};
use std::net::Ipv4Addr;
use std::time::Duration;

const SLOTS: u32 = 14;
/// Within the work of the small sites' unsafe requests, which takes up to 1200 ms.
const WORK: Duration = Duration::from_millis(500);
const ANSWER_BYTES: usize = 1_000_000;
const TIMEOUT_MS: u64 = 5000;
/// Requests a second on each of the two routes.
const RATE: usize = 20;
/// `give_up` of the small sites: share and length.
const LEAVING_IN_TEN: usize = 3;
const LEAVING_S: usize = 5;
/// `give_up` happens so often, with a pause between.
const LEAVINGS: usize = 2;
const PAUSE: Duration = Duration::from_secs(3);
/// Clients leave after one of these times, all within half of the objective of 1500 ms.
const LEAVE_AFTER_MS: [u64; 5] = [100, 200, 300, 400, 450];
/// Time after the last client has left, before the calm time that is judged; `inContactS` is 3.
const SETTLE: Duration = Duration::from_secs(10);
const JUDGED_S: usize = 6;

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
    deployment.configure(1, &[first.clone()], &["front", "reports", "status"]);
    let long = Conduct { work: WORK, answer_bytes: ANSWER_BYTES, ..Conduct::default() };
    let mut machines = [
        deployment.machine("front", 1, 8, Conduct::default()),
        deployment.machine("reports", 2, SLOTS, long),
        deployment.machine("status", 3, SLOTS, Conduct { work: WORK, ..Conduct::default() }),
    ];
    machines.iter_mut().for_each(Machine::start);
    if !machines.iter().all(Machine::until_ready) {
        return Verdict::NotRun("a daemon is not ready");
    }
    machines.iter().for_each(Machine::keep_beating);
    if !until_served(&machines[0], record, "status.example", "/status/x") {
        return Verdict::NotRun("the first route is not served");
    }
    record.note("the operator adds the route reports.example/reports/");
    deployment.configure(2, &[first, added], &["front", "reports", "status"]);
    let ip = machines[0].ip;
    let is_added = within(Duration::from_secs(5), || {
        send_once(ip, record, &report("probe-report".into())) == Ending::Answered(200)
    });
    if !is_added {
        return Verdict::NotRun("the added route is not served");
    }
    let before = ask_both("before", ip, record, JUDGED_S);
    for time in 0..LEAVINGS {
        ask_while_clients_leave(time, ip, record);
        std::thread::sleep(PAUSE);
    }
    std::thread::sleep(SETTLE);
    let after = ask_both("after", ip, record, JUDGED_S);
    for (name, [on_first, on_added]) in [("before", before), ("after", after)] {
        record.note(format!("{name}: first route {on_first:?}, added route {on_added:?}"));
    }
    let metrics = crate::http::exchange(
        machines[1].ip,
        crate::deployment::READINESS,
        b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n",
        Duration::from_secs(2),
    );
    let text = metrics.map(|(_, body)| String::from_utf8_lossy(&body).into_owned()).unwrap_or_default();
    for line in text.lines().filter(|line| {
        line.starts_with("seamhatch_running_calls") || line.starts_with("seamhatch_limit_calls")
    }) {
        record.note(format!("the daemon beside the server says: {line}"));
    }
    if before[1].served < before[1].asked / 2 {
        return Verdict::NotRun("the added route was not served well before the clients left");
    }
    // Served rates are compared by cross-multiplication: a quarter of the first route's.
    let [on_first, on_added] = after;
    let is_below =
        on_added.asked >= 20 && 4 * on_added.served * on_first.asked < on_first.served * on_added.asked;
    if is_below { Verdict::Broken } else { Verdict::Held }
}

fn report(id: String) -> Request {
    let body = Body::Length(b"year=2026".to_vec());
    Request {
        method: "POST",
        host: "reports.example",
        path: "/reports/1".into(),
        id,
        deadline_ms: TIMEOUT_MS,
        body,
    }
}

fn status(id: String) -> Request {
    Request {
        method: "GET",
        host: "status.example",
        path: "/status/1".into(),
        id,
        deadline_ms: TIMEOUT_MS,
        body: Body::None,
    }
}

/// Sends requests on both routes for some seconds, at a steady rate. Returns the counts of the first and the added route.
fn ask_both(phase: &'static str, ip: Ipv4Addr, record: &Record, seconds: usize) -> [Served; 2] {
    let mut asking = Vec::new();
    for number in 0..RATE * seconds {
        for (route, request) in
            [status(format!("{phase}-status-{number}")), report(format!("{phase}-report-{number}"))]
                .into_iter()
                .enumerate()
        {
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

/// The same load on the added route, while a share of its clients leaves early.
fn ask_while_clients_leave(time: usize, ip: Ipv4Addr, record: &Record) {
    let mut asking = Vec::new();
    for number in 0..RATE * LEAVING_S {
        let leaves = is_troubled() && (number * 7) % 10 < LEAVING_IN_TEN;
        let after = Duration::from_millis(LEAVE_AFTER_MS[number % LEAVE_AFTER_MS.len()]);
        let (record, request) = (record.clone(), report(format!("during-report-{time}-{number}")));
        asking.push(std::thread::spawn(move || match Client::connect(ip, &record) {
            Ok(client) if leaves => client.send_and_leave(&request, after),
            Ok(mut client) => drop(client.send(&request)),
            Err(_) => {}
        }));
        std::thread::sleep(Duration::from_secs(1) / RATE as u32);
    }
    asking.into_iter().for_each(|client| drop(client.join()));
}
