//! LOST: a server that is slow to read the bodies of its requests takes the daemon beside it over its memory.
//!
//! 24 clients at one machine send 24 MiB each to a service whose only server has 44 slots and reads slowly. Meanwhile twelve
//! clients at the machine of that server use their kept connections for requests to a sound server of another service. The
//! platform's part is played here: a daemon over 260 MB is killed, as DEPLOY.md says.

use crate::client::{Body, Client, Ending, Request, until_served};
use crate::deployment::{Deployment, Machine, Record, Route, SIGKILL, signal};
use crate::server::Conduct;
use crate::{Verdict, is_troubled};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SLOTS: u32 = 44;
const UPLOADS: usize = 24;
/// `maxBodyBytes` is 64 MiB.
const UPLOAD_BYTES: usize = 24 << 20;
/// Bytes that the slow server reads in a second on each of its connections.
const SLOW_READ: usize = 250_000;
/// `memoryMb` of the small sites, counted in MiB.
const MEMORY_KIB: u64 = 260 * 1024;
const KEPT_CLIENTS: usize = 12;
const DEADLINE_MS: u64 = 20_000;
/// `inContactS` of the small sites.
const IN_CONTACT: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(12);
/// The rule is broken by more than so many requests.
const ALLOWED: usize = 3;

/// A kept connection that closed under a request.
#[derive(Debug)]
struct Cut {
    id: String,
    at: Instant,
}

pub fn run(record: &Record) -> Verdict {
    let deployment = Deployment::start(record);
    let routes = [
        Route {
            host: "status.example",
            prefix: "/status/",
            kind: "safe",
            timeout_ms: 5000,
            service: "status",
        },
        Route {
            host: "intake.example",
            prefix: "/claims/",
            kind: "unsafe",
            timeout_ms: DEADLINE_MS,
            service: "intake",
        },
    ];
    deployment.configure(1, &routes, &["front", "intake", "status"]);
    let read_per_s = if is_troubled() { SLOW_READ } else { 0 };
    let sound = Conduct { work: Duration::from_millis(400), ..Conduct::default() };
    let slow = Conduct { read_per_s, ..Conduct::default() };
    let mut machines = [
        deployment.machine("front", 1, 8, Conduct::default()),
        deployment.machine("intake", 2, SLOTS, slow),
        deployment.machine("status", 3, SLOTS, sound),
    ];
    machines.iter_mut().for_each(Machine::start);
    if !machines.iter().all(Machine::until_ready) {
        return Verdict::NotRun("a daemon is not ready");
    }
    machines.iter().for_each(Machine::keep_beating);
    if !until_served(&machines[0], record, "status.example", "/status/x")
        || !until_served(&machines[1], record, "status.example", "/status/x")
    {
        return Verdict::NotRun("the status service is not served");
    }
    let ended = Arc::new(AtomicBool::new(false));
    let cuts: Arc<Mutex<Vec<Cut>>> = Arc::default();
    let kept: Vec<_> = (0..KEPT_CLIENTS)
        .map(|number| {
            let (ip, record, ended, cuts) = (machines[1].ip, record.clone(), ended.clone(), cuts.clone());
            std::thread::spawn(move || keep_asking(number, ip, &record, &ended, &cuts))
        })
        .collect();
    // All machines are in touch from here on.
    std::thread::sleep(IN_CONTACT + Duration::from_secs(1));
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|number| {
            let (ip, record) = (machines[0].ip, record.clone());
            std::thread::spawn(move || upload(number, ip, &record))
        })
        .collect();
    let peak = watch_memory(&mut machines[1], record, LENGTH);
    ended.store(true, Ordering::Release);
    kept.into_iter().for_each(|client| drop(client.join()));
    let answered = uploads.into_iter().filter_map(|upload| upload.join().ok());
    let answered = answered.filter(|ending| *ending == Ending::Answered(200)).count();
    record.note(format!(
        "{answered} of {UPLOADS} uploads answered 200; peak of the daemon's memory: {peak} KiB"
    ));
    let lost = count_lost(&cuts.lock().unwrap(), &machines[2], record);
    record.note(format!("requests from kept connections that a sound server ran and whose connections closed without an answer: {lost}"));
    if !is_troubled() && answered < UPLOADS {
        return Verdict::NotRun("not all uploads were served without the trouble");
    }
    if lost > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

/// Uses one kept connection for request after request; opens another one where it was closed.
fn keep_asking(
    number: usize,
    ip: std::net::Ipv4Addr,
    record: &Record,
    ended: &AtomicBool,
    cuts: &Mutex<Vec<Cut>>,
) {
    let mut asked = 0;
    while !ended.load(Ordering::Acquire) {
        let Ok(mut client) = Client::connect(ip, record) else {
            std::thread::sleep(Duration::from_millis(200));
            continue;
        };
        while !ended.load(Ordering::Acquire) {
            asked += 1;
            let id = format!("kept-{number}-{asked}");
            let path = format!("/status/{number}");
            let request = Request {
                method: "GET",
                host: "status.example",
                path,
                id: id.clone(),
                deadline_ms: 5000,
                body: Body::None,
            };
            match client.send(&request) {
                Ending::Answered(_) => {}
                ending => {
                    if ending == Ending::Closed && client.answered > 0 {
                        cuts.lock().unwrap().push(Cut { id, at: Instant::now() });
                    }
                    break;
                }
            }
        }
    }
}

fn upload(number: usize, ip: std::net::Ipv4Addr, record: &Record) -> Ending {
    let body = Body::Long(UPLOAD_BYTES);
    let (id, path) = (format!("upload-{number}"), "/claims/photos".to_owned());
    let request =
        Request { method: "POST", host: "intake.example", path, id, deadline_ms: DEADLINE_MS, body };
    crate::client::send_once(ip, record, &request)
}

/// Plays the platform: kills the daemon once it is over its memory. Returns the peak.
fn watch_memory(machine: &mut Machine, record: &Record, length: Duration) -> u64 {
    let end = Instant::now() + length;
    let mut peak = 0;
    while Instant::now() < end {
        let now = machine.resident_kib();
        peak = peak.max(now);
        if now > MEMORY_KIB {
            record.note(format!(
                "daemon {} holds {now} KiB, over its {MEMORY_KIB}: the platform kills it",
                machine.ip
            ));
            signal(machine.process(), SIGKILL);
            std::thread::sleep(Duration::from_millis(500));
            machine.start_again();
            std::thread::sleep(Duration::from_secs(2));
            return peak;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    peak
}

/// Counts the cut requests that the sound server had begun to run before their connections closed.
fn count_lost(cuts: &[Cut], sound: &Machine, record: &Record) -> usize {
    let runs = sound.server.runs();
    let lost = cuts.iter().filter(|cut| runs.iter().any(|run| run.id == cut.id && run.at <= cut.at));
    lost.inspect(|cut| {
        record.note(format!("{} was run, and its connection closed without an answer", cut.id))
    })
    .count()
}
