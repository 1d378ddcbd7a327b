//! The daemon beside a server is killed and started again, while the server goes on with its requests and makes their calls.

use crate::deployment::{Call, Deployment, Machine, Manner, Record, configuration, route};
use std::net::Ipv4Addr;
use std::time::Duration;

const SLOTS: u32 = 56;
const FRONTS: usize = 6;
const REQUESTS: usize = 30;
/// Deadline of the requests and `timeoutS` of their route, as those of `payout-decision` in the shifted sheet.
const DEADLINE_MS: u64 = 5000;
/// How long the server works on a request before its call.
const WORK: Duration = Duration::from_millis(2000);
const KILL_AFTER: Duration = Duration::from_millis(500);
/// A process that is killed is started again after a short delay.
const RESTART_AFTER: Duration = Duration::from_millis(300);
/// From machines out of touch more than ten 401, 403 or 404 break the rule.
const MOST: usize = 10;
const KEY: &str = "kmgjqnirth5mgjy5rcpi";

pub fn play(record: &Record, trouble: bool) -> bool {
    let mut deployment = Deployment::start(record, true);
    let routes = [
        route("look", "front", "/look/", "safe", 1, DEADLINE_MS),
        route("pay", "pay", "/pay/", "unsafe", 0, DEADLINE_MS),
    ];
    let tenants = format!(",\"tenants\":[{{\"name\":\"north\",\"apiKeys\":[\"{KEY}\"],\"rank\":1,\"ratePerS\":0,\"burst\":0}}]");
    deployment.store.put("op/config", &configuration(1, &routes, &["front", "pay"], &tenants));
    let mut fronts: Vec<Machine> = (0..FRONTS).map(|_| deployment.machine("front", SLOTS)).collect();
    let mut pay = deployment.machine("pay", SLOTS);
    fronts.iter_mut().for_each(Machine::start);
    pay.start();
    deployment.until_ready(&fronts.iter().chain([&pay]).collect::<Vec<_>>());
    std::thread::sleep(Duration::from_secs(4));
    let call = |host: &str, path: &str, method: &str, id: &str, ip: Ipv4Addr| {
        let authorization = format!("Bearer {KEY}");
        let fields = [("Authorization", authorization.as_str())];
        let body: &[u8] = if method == "POST" { b"pay this once" } else { b"" };
        Call { host, method, path, id, deadline_ms: DEADLINE_MS, fields: &fields, body }.send(ip)
    };
    let probe = call("pay.example", "/pay/a", "POST", "probe-1", fronts[0].ip);
    record.say(format!("a request before: {}", probe.text()));
    if probe.status != 200 {
        crate::deployment::cannot_run("a request before the disruption was not served");
    }
    pay.server.set(Manner::Calls { after: WORK, host: "front.example".into(), path: "/look/a".into() });
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (ip, record) = (fronts[number % FRONTS].ip, record.clone());
            std::thread::spawn(move || {
                let id = format!("{:016x}", 0xa000 + number);
                record.note(format!("sent {id} POST /pay/a at {ip}"));
                let authorization = format!("Bearer {KEY}");
                let fields = [("Authorization", authorization.as_str())];
                let answer = Call { host: "pay.example", method: "POST", path: "/pay/a", id: &id, deadline_ms: DEADLINE_MS, fields: &fields, body: b"pay this once" }.send(ip);
                record.note(format!("answered {id} {}", answer.text()));
                answer.status
            })
        })
        .collect();
    std::thread::sleep(KILL_AFTER);
    if trouble {
        pay.kill();
        record.say("the daemon beside pay is killed");
        std::thread::sleep(RESTART_AFTER);
        pay.restart();
        record.say("the daemon beside pay is started again");
        deployment.until_ready(&[&pay]);
        record.say("the daemon beside pay is ready again");
    }
    let statuses: Vec<u16> = clients.into_iter().map(|client| client.join().unwrap_or(0)).collect();
    std::thread::sleep(Duration::from_secs(2));
    let calls = pay.server.calls();
    let count = |status: u16| calls.iter().filter(|(_, told)| *told == status).count();
    record.say(format!("requests answered 200: {} of {REQUESTS}", statuses.iter().filter(|status| **status == 200).count()));
    record.say(format!("calls: {} made, {} answered 200, {} answered 401, {} answered 503", calls.len(), count(200), count(401), count(503)));
    count(401) + count(403) + count(404) <= MOST
}
