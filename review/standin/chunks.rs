//! UNASKED: the body of a GET or HEAD request that comes in chunks is dropped, and the request runs without it.
//!
//! Clients send requests with bodies on a safe route. Those with a length arrive whole; the trouble is that some come in chunks.

use crate::client::{Body, Ending, Request, send_once, until_served};
use crate::deployment::{Deployment, Machine, Record, Route};
use crate::server::Conduct;
use crate::{Verdict, is_troubled};

const REQUESTS: usize = 20;
const METHODS: [&str; 2] = ["GET", "POST"];

pub fn run(record: &Record) -> Verdict {
    let deployment = Deployment::start(record);
    let route = Route {
        host: "search.example",
        prefix: "/search/",
        kind: "safe",
        timeout_ms: 3000,
        service: "search",
    };
    deployment.configure(1, &[route], &["front", "search"]);
    let mut machines = [
        deployment.machine("front", 1, 8, Conduct::default()),
        deployment.machine("search", 2, 8, Conduct::default()),
    ];
    machines.iter_mut().for_each(Machine::start);
    if !machines.iter().all(Machine::until_ready) {
        return Verdict::NotRun("a daemon is not ready");
    }
    machines.iter().for_each(Machine::keep_beating);
    if !until_served(&machines[0], record, "search.example", "/search/x") {
        return Verdict::NotRun("the service is not served");
    }
    let mut sent = Vec::new();
    for method in METHODS {
        for number in 0..REQUESTS {
            let text = format!("{{\"query\":\"hail {method} {number}\"}}").into_bytes();
            let body = if is_troubled() { Body::Chunks(text.clone()) } else { Body::Length(text.clone()) };
            let id = format!("{}-{number}", method.to_lowercase());
            let request = Request {
                method,
                host: "search.example",
                path: "/search/fields".into(),
                id: id.clone(),
                deadline_ms: 3000,
                body,
            };
            let ending = send_once(machines[0].ip, record, &request);
            sent.push((method, id, text, ending));
        }
    }
    let runs = machines[1].server.runs();
    let mut changed = 0;
    let mut served = 0;
    for (method, id, text, ending) in &sent {
        served += usize::from(*ending == Ending::Answered(200));
        for run in runs.iter().filter(|run| run.id == *id && run.body != *text) {
            changed += 1;
            record.note(format!(
                "{method} request {id} was sent with a body of {} bytes and run with one of {} bytes; its client got {ending:?}",
                text.len(),
                run.body.len()
            ));
        }
    }
    record.note(format!(
        "{} requests sent, {served} answered 200, {changed} run with another body",
        sent.len()
    ));
    if served == 0 {
        return Verdict::NotRun("no request was served");
    }
    if changed > 0 { Verdict::Broken } else { Verdict::Held }
}
