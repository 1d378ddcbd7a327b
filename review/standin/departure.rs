//! DRAIN: all daemons are killed right after one of them has acknowledged that its server leaves, and the departure is forgotten.
//!
//! A service has two servers. One sends its goodbye, gets its acknowledgement, and goes on serving for some seconds, as leaving
//! servers do. A heartbeat that it sent before arrives two seconds late.

use crate::client::{Body, Ending, Request, send_once, until_served};
use crate::deployment::{Deployment, Machine, Record, Route, SIGKILL, signal};
use crate::server::Conduct;
use crate::{Verdict, is_troubled};
use std::time::{Duration, Instant};

/// `drainS` and `inContactS` of the small sites.
const DRAIN: Duration = Duration::from_secs(2);
const IN_CONTACT: Duration = Duration::from_secs(3);
/// Time for which the leaving server serves on, after the acknowledgement.
const SERVES_ON: Duration = Duration::from_secs(10);
/// Time that the late heartbeat is on its way.
const LATE: Duration = Duration::from_secs(2);
const DOWN: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(25);

pub fn run(record: &Record) -> Verdict {
    let deployment = Deployment::start(record);
    let route = Route {
        host: "status.example",
        prefix: "/status/",
        kind: "safe",
        timeout_ms: 3000,
        service: "status",
    };
    deployment.configure(1, &[route], &["front", "status"]);
    let mut machines = [
        deployment.machine("front", 1, 8, Conduct::default()),
        deployment.machine("front", 2, 8, Conduct::default()),
        deployment.machine("status", 3, 14, Conduct::default()),
        deployment.machine("status", 4, 14, Conduct::default()),
    ];
    machines.iter_mut().for_each(Machine::start);
    if !machines.iter().all(Machine::until_ready) {
        return Verdict::NotRun("a daemon is not ready");
    }
    machines.iter().for_each(Machine::keep_beating);
    if !until_served(&machines[0], record, "status.example", "/status/x") {
        return Verdict::NotRun("the service is not served");
    }
    std::thread::sleep(Duration::from_secs(4));
    let leaving = 2;
    machines[leaving].stop_beating();
    let late_number = machines[leaving].next_sequence();
    let sent = Instant::now();
    record.note(format!("heartbeat {late_number} (ready) of server {} is on its way", machines[leaving].ip));
    let status = machines[leaving].goodbye();
    let acknowledged = Instant::now();
    if is_troubled() {
        machines.iter().for_each(|machine| signal(machine.process(), SIGKILL));
    }
    record.note_at(acknowledged, format!("goodbye of server {}: {status}", machines[leaving].ip));
    if status != 200 {
        return Verdict::NotRun("the goodbye was not acknowledged");
    }
    if is_troubled() {
        record.note("all daemons were killed");
        let kept = deployment.store.text(&machines[leaving].record_key());
        record.note(format!("the store's record of the daemon beside the leaving server: {kept}"));
        std::thread::sleep(DOWN);
        machines.iter_mut().for_each(Machine::start_again);
    }
    let started = Instant::now();
    std::thread::sleep(LATE.saturating_sub(sent.elapsed()));
    let status = machines[leaving].beat("ready", late_number);
    record.note(format!("heartbeat {late_number} arrives: {status}"));
    let mut number = 0;
    let mut served = 0;
    while acknowledged.elapsed() < SERVES_ON {
        number += 1;
        let id = format!("status-{number}");
        let request = Request {
            method: "GET",
            host: "status.example",
            path: "/status/1".into(),
            id,
            deadline_ms: 3000,
            body: Body::None,
        };
        served += usize::from(send_once(machines[0].ip, record, &request) == Ending::Answered(200));
        std::thread::sleep(PAUSE);
    }
    record.note(format!("server {} ends", machines[leaving].ip));
    let judged_from = (acknowledged + DRAIN).max(started + IN_CONTACT);
    let late = machines[leaving].server.runs().iter().filter(|run| run.at > judged_from).count();
    record.note(format!(
        "{served} of {number} requests served; {late} reached the leaving server from {:.3} s on",
        record.seconds(judged_from)
    ));
    if served == 0 {
        return Verdict::NotRun("nothing was served");
    }
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
