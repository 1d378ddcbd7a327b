//! The six servers of a service have said goodbye and have their acknowledgements. The store then turns their machines away, and the
//! daemons there are killed and started again. Two heartbeats that each server sent before its goodbye arrive late.

use crate::deployment::{Call, Deployment, Machine, Record, configuration, route};
use std::time::{Duration, Instant};

const SLOTS: u32 = 56;
const FRONTS: usize = 34;
const LEAVING: usize = 6;
/// `drainS`.
const DRAIN: Duration = Duration::from_secs(2);
const DEADLINE_MS: u64 = 2000;
/// Time between two heartbeats of a server, `heartbeatIntervalS`.
const BEAT: Duration = Duration::from_millis(1500);
/// How late the last two heartbeats before the goodbye arrive.
const LATE: Duration = Duration::from_secs(4);
/// How long the store turns the machines away: `for_s` on the sites that play it.
const TURNED_AWAY: Duration = Duration::from_secs(9);
/// `inContactS`: so long after its start a machine is in touch again.
const IN_TOUCH: Duration = Duration::from_secs(3);
/// How long the server goes on serving after its goodbye.
const SERVES_ON: Duration = Duration::from_secs(12);

pub fn play(record: &Record, trouble: bool) -> bool {
    let mut deployment = Deployment::start(record, false);
    let routes = [
        route("look", "front", "/look/", "safe", 1, DEADLINE_MS),
        route("pay", "pay", "/pay/", "unsafe", 0, DEADLINE_MS),
    ];
    deployment.store.put("op/config", &configuration(1, &routes, &["front", "pay"], ""));
    let mut fronts: Vec<Machine> = (0..FRONTS).map(|_| deployment.machine("front", SLOTS)).collect();
    let mut pays: Vec<Machine> = (0..LEAVING).map(|_| deployment.machine("pay", SLOTS)).collect();
    fronts.iter_mut().chain(&mut pays).for_each(Machine::start);
    deployment.until_ready(&fronts.iter().chain(&pays).collect::<Vec<_>>());
    std::thread::sleep(Duration::from_secs(8));
    let send = |number: usize| {
        let id = format!("{number:016x}");
        let ip = fronts[number % FRONTS].ip;
        record.note(format!("sent {id} POST /pay/a at {ip}"));
        let body = b"pay this once";
        let answer = Call { host: "pay.example", method: "POST", path: "/pay/a", id: &id, deadline_ms: DEADLINE_MS, fields: &[], body }.send(ip);
        record.note(format!("answered {id} {}", answer.text()));
        answer.status
    };
    if send(1) != 200 {
        crate::deployment::cannot_run("a request before the disruption was not served");
    }
    pays.iter().for_each(|pay| pay.server.stop_beats());
    std::thread::sleep(BEAT);
    let late: Vec<[u64; 2]> = pays.iter().map(|pay| [pay.server.take_sequence(), pay.server.take_sequence()]).collect();
    let sent = Instant::now();
    record.say(format!("the servers of pay send heartbeats {late:?}, 1.5 s apart; each will arrive 4 s late"));
    std::thread::sleep(BEAT + Duration::from_millis(100));
    let said = Instant::now();
    let mut acknowledged = Vec::new();
    for pay in &pays {
        let status = pay.server.leave();
        record.say(format!("the server at {} says goodbye: {status}", pay.ip));
        if status != 200 {
            crate::deployment::cannot_run("a goodbye was not acknowledged");
        }
        acknowledged.push(Instant::now());
    }
    let mut in_touch = Instant::now();
    if trouble {
        deployment.store.turn_away(&pays.iter().map(|pay| pay.number).collect::<Vec<_>>());
        record.say("the store turns the machines of pay away from now on");
        std::thread::sleep(Duration::from_millis(1000));
        pays.iter_mut().for_each(Machine::kill);
        std::thread::sleep(Duration::from_millis(300));
        pays.iter_mut().for_each(Machine::restart);
        in_touch = Instant::now() + IN_TOUCH;
        record.say("the daemons beside the servers of pay were killed and are started again");
    }
    let (mut delivered, mut number, mut is_turned_away) = (0, 1, trouble);
    while said.elapsed() < SERVES_ON {
        if is_turned_away && said.elapsed() >= TURNED_AWAY {
            deployment.store.turn_away(&[]);
            is_turned_away = false;
            record.say("the store serves all machines again");
        }
        if delivered < 2 && sent.elapsed() >= LATE + BEAT * delivered as u32 {
            for (pay, late) in pays.iter().zip(&late) {
                let status = pay.server.beat_numbered("ready", late[delivered]);
                record.say(format!("late heartbeat {} of the server at {} arrives: {status}", late[delivered], pay.ip));
            }
            delivered += 1;
        }
        number += 1;
        send(number);
        std::thread::sleep(Duration::from_millis(50));
    }
    let mut count = 0;
    for (pay, acknowledged) in pays.iter().zip(&acknowledged) {
        for part in ["departures from before", "an instance is opened", "instance opened", "instance closed", "had departed"] {
            pay.log_lines(part).iter().for_each(|line| record.note(format!("log of the daemon at {}: {line}", pay.ip)));
        }
        let bound = in_touch.max(*acknowledged + DRAIN);
        let after = pay.server.runs().into_iter().filter(|(_, at)| *at > bound).count();
        record.say(format!("requests that reached the server at {} more than 2 s after its acknowledgement, its machine in touch: {after}", pay.ip));
        count += after;
    }
    count == 0
}
