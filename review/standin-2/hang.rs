//! One server of seven answers nothing for 5 s, and is sound again. Its service has a route that was added before.

use crate::deployment::{Answer, Call, Deployment, Machine, Manner, Record, configuration, route};
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Slots of each server, as those of `fieldbook` in the first sheet.
const SLOTS: u32 = 14;
const FRONTS: usize = 6;
/// Requests of each kind, one each so often.
const PACE: Duration = Duration::from_millis(50);
const DEADLINE_MS: u64 = 2500;
const TIMEOUT_MS: u64 = 1500;
/// How long the server hangs: `for_s` of the kinds, where nothing else is said.
const HANG: Duration = Duration::from_secs(5);
/// `inContactS`.
const IN_TOUCH: Duration = Duration::from_secs(3);
/// `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(15);
const JUDGED: Duration = Duration::from_secs(30);

struct Sent {
    is_added_route: bool,
    at: Instant,
    answer: Answer,
}

pub fn play(record: &Record, trouble: bool) -> bool {
    let mut deployment = Deployment::start(record, false);
    let first = route("first", "front", "/first/", "safe", 1, TIMEOUT_MS);
    let added = route("added", "pay", "/added/", "unsafe", 0, TIMEOUT_MS);
    let services = ["front", "pay"];
    deployment.store.put("op/config", &configuration(1, &[first.clone()], &services, ""));
    let mut fronts: Vec<Machine> = (0..FRONTS).map(|_| deployment.machine("front", SLOTS)).collect();
    let mut pay = deployment.machine("pay", SLOTS);
    fronts.iter_mut().for_each(Machine::start);
    pay.start();
    deployment.until_ready(&fronts.iter().chain([&pay]).collect::<Vec<_>>());
    std::thread::sleep(Duration::from_secs(2));
    pay.server.set(Manner::Works(Duration::from_millis(100)));
    deployment.store.put("op/config", &configuration(2, &[first, added], &services, ""));
    record.say("the operator has added a route to the service pay");
    std::thread::sleep(Duration::from_secs(3));

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let ips: Vec<Ipv4Addr> = fronts.iter().map(|front| front.ip).collect();
    let begun = Instant::now();
    let hang_at = begun + Duration::from_secs(8);
    let sound_at = hang_at + HANG;
    let end = sound_at + RECOVERY + JUDGED;
    let mut number = 0;
    let (mut hangs, mut is_over) = (false, false);
    while Instant::now() < end {
        let now = Instant::now();
        if trouble && !hangs && now >= hang_at {
            pay.server.set(Manner::Hangs);
            hangs = true;
            record.say("the server of pay answers nothing from now on");
        }
        if trouble && !is_over && now >= sound_at {
            pay.server.set(Manner::Works(Duration::from_millis(100)));
            is_over = true;
            record.say("the server of pay is sound again");
        }
        for is_added_route in [false, true] {
            number += 1;
            let (id, ip, sent, record) = (format!("{number:016x}"), ips[number % FRONTS], sent.clone(), record.clone());
            std::thread::spawn(move || {
                let (host, path, method) =
                    if is_added_route { ("pay.example", "/added/a", "POST") } else { ("front.example", "/first/a", "GET") };
                let body: &[u8] = if is_added_route { b"pay this once" } else { b"" };
                record.note(format!("sent {id} {method} {path} at {ip}"));
                let at = Instant::now();
                let answer = Call { host, method, path, id: &id, deadline_ms: DEADLINE_MS, fields: &[], body }.send(ip);
                record.note(format!("answered {id} {}", answer.text()));
                sent.lock().unwrap().push(Sent { is_added_route, at, answer });
            });
        }
        std::thread::sleep((begun + PACE * (number as u32 / 2)).saturating_duration_since(Instant::now()));
    }
    std::thread::sleep(Duration::from_millis(DEADLINE_MS + 1200));
    for name in ["seamhatch_running_calls", "seamhatch_waiting_calls", "seamhatch_lost_calls", "seamhatch_limit_calls"] {
        record.say(format!("daemon beside pay: {}", pay.metric(name)));
    }
    let sent = sent.lock().unwrap();
    let served = |from: Instant, to: Instant, is_added_route: bool| {
        let of_kind = || sent.iter().filter(|sent| sent.is_added_route == is_added_route && (from..to).contains(&sent.at));
        let served = of_kind().filter(|sent| sent.answer.status == 200).count();
        let share = served as f64 / of_kind().count().max(1) as f64;
        (served, of_kind().count(), share)
    };
    let tell = |what: &str, (served, count, share): (usize, usize, f64)| {
        record.say(format!("{what}: {served} of {count} served ({share:.3})"));
        share
    };
    tell("before, first route", served(begun, hang_at, false));
    let before = tell("before, added route", served(begun, hang_at, true));
    let calm = sound_at + IN_TOUCH;
    let first = tell("from 3 s after it is sound, first route", served(calm, end, false));
    let added = tell("from 3 s after it is sound, added route", served(calm, end, true));
    let recovered = tell("from 15 s after it is sound, added route", served(sound_at + RECOVERY, end, true));
    if before < 0.25 {
        crate::deployment::cannot_run("the added route was not served before the disruption");
    }
    added >= first / 4.0 && recovered >= 0.25
}
