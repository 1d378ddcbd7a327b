//! Clients that download are slow to read. The daemon beside the server that answers them goes over its memory.

use crate::deployment::{Call, Deployment, Machine, Manner, OUTBOUND, Record, configuration, route};
use crate::http::Reader;
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Slots of the server, memory of its machine and deadline of its downloads, as those of `evidence` in the shifted sheet.
const SLOTS: u32 = 248;
const MEMORY_KIB: u64 = 160 * 1024;
const DEADLINE_MS: u64 = 4000;
const WORK: Duration = Duration::from_millis(190);
const BYTES: usize = 8 * 1024 * 1024;
/// Downloads, and one each so often: 62 a second, fewer than the 133 of the sheet.
const DOWNLOADS: usize = 500;
const PACE: Duration = Duration::from_millis(16);
/// How a slow client reads: so many bytes, so often; 0.1 MB/s.
const PIECE: usize = 10_000;
const PAUSE: Duration = Duration::from_millis(100);
const FRONTS: usize = 5;
/// Clients with kept connections on the machine of the server, that use the other service.
const KEPT: usize = 12;
const KEPT_WORK: Duration = Duration::from_millis(300);
/// More than so many closes under requests break the rule.
const MOST: usize = 3;

pub fn play(record: &Record, trouble: bool) -> bool {
    let mut deployment = Deployment::start(record, false);
    let routes = [
        route("packets", "evidence", "/packets/", "download", 2, DEADLINE_MS),
        route("status", "front", "/status/", "safe", 1, DEADLINE_MS),
    ];
    deployment.store.put("op/config", &configuration(1, &routes, &["front", "evidence"], ""));
    let mut fronts: Vec<Machine> = (0..FRONTS).map(|_| deployment.machine("front", SLOTS)).collect();
    let mut evidence = deployment.machine("evidence", SLOTS);
    fronts.iter_mut().for_each(Machine::start);
    evidence.start();
    deployment.until_ready(&fronts.iter().chain([&evidence]).collect::<Vec<_>>());
    std::thread::sleep(Duration::from_secs(4));
    fronts.iter().for_each(|front| front.server.set(Manner::Works(KEPT_WORK)));
    evidence.server.set(Manner::Sends { after: WORK, bytes: BYTES });
    let get = |host: &'static str, path: &'static str, id: &'static str, ip: Ipv4Addr| {
        Call { host, method: "GET", path, id, deadline_ms: DEADLINE_MS, fields: &[], body: b"" }.send(ip).status
    };
    if get("evidence.example", "/packets/a", "probe-1", fronts[0].ip) != 200
        || get("front.example", "/status/a", "probe-2", evidence.ip) != 200
    {
        crate::deployment::cannot_run("a request before the disruption was not served");
    }
    record.say(format!("daemon beside evidence before: {} KiB", evidence.resident()));

    let over = Arc::new(AtomicBool::new(false));
    // Requests on kept connections that closed without an answer.
    let closed: Arc<Mutex<Vec<String>>> = Arc::default();
    let kept: Vec<_> = (0..KEPT)
        .map(|client| {
            let (ip, record, over, closed) = (evidence.ip, record.clone(), over.clone(), closed.clone());
            std::thread::spawn(move || keep_asking(client, ip, &record, &over, &closed))
        })
        .collect();
    let whole = Arc::new(Mutex::new(0));
    let begun = Instant::now();
    let (mut peak, mut kills, mut sent) = (0, 0, 0);
    let mut downloads = Vec::new();
    let end = PACE * DOWNLOADS as u32 + Duration::from_millis(DEADLINE_MS);
    let mut down_since: Option<Instant> = None;
    while begun.elapsed() < end {
        while sent < DOWNLOADS && begun.elapsed() >= PACE * sent as u32 {
            let (ip, record, whole) = (fronts[sent % FRONTS].ip, record.clone(), whole.clone());
            let id = format!("{:016x}", 0xd000 + sent);
            downloads.push(std::thread::spawn(move || {
                let got = download(ip, &id, trouble).unwrap_or(0);
                record.note(format!("download {id} got {got} bytes"));
                *whole.lock().unwrap() += usize::from(got >= BYTES);
            }));
            sent += 1;
        }
        // The platform's part: a process over its memory is killed, and started again after a short delay.
        let resident = evidence.resident();
        peak = peak.max(resident);
        if down_since.is_none() && resident > MEMORY_KIB {
            evidence.kill();
            kills += 1;
            down_since = Some(Instant::now());
            record.say(format!("{:.2} s: the daemon beside evidence has {resident} KiB and is killed", begun.elapsed().as_secs_f64()));
        }
        if down_since.is_some_and(|since| since.elapsed() > Duration::from_millis(300)) {
            evidence.restart();
            down_since = None;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    over.store(true, Ordering::Relaxed);
    for thread in kept.into_iter().chain(downloads) {
        let _ = thread.join();
    }
    let ran: HashSet<String> = fronts.iter().flat_map(|front| front.server.runs()).map(|(id, _)| id).collect();
    let closed = closed.lock().unwrap();
    let broken = closed.iter().filter(|id| ran.contains(*id)).count();
    record.say(format!("{} of {DOWNLOADS} downloads came whole; peak of the daemon beside evidence {peak} KiB, allowed {MEMORY_KIB}; it was killed {kills} times", whole.lock().unwrap()));
    record.say(format!("requests on kept connections that a sound server ran and whose connection closed without an answer: {broken}, allowed {MOST}"));
    broken <= MOST
}

/// Returns how many bytes of the body came until the deadline.
fn download(ip: Ipv4Addr, id: &str, slow: bool) -> std::io::Result<usize> {
    let begun = Instant::now();
    let deadline = Duration::from_millis(DEADLINE_MS);
    let mut stream = TcpStream::connect_timeout(&SocketAddr::new(ip.into(), OUTBOUND), Duration::from_secs(1))?;
    let call = Call { host: "evidence.example", method: "GET", path: "/packets/a", id, deadline_ms: DEADLINE_MS, fields: &[], body: b"" };
    stream.write_all(call.head().as_bytes())?;
    stream.set_read_timeout(Some(deadline))?;
    let mut reader = Reader::new(stream.try_clone()?);
    if reader.head()?.is_none_or(|head| head.status() != 200) {
        return Ok(0);
    }
    let mut got = reader.rest();
    let mut piece = vec![0; if slow { PIECE } else { 256 * 1024 }];
    while got < BYTES && begun.elapsed() < deadline {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(count) => got += count,
        }
        if slow {
            std::thread::sleep(PAUSE);
        }
    }
    Ok(got)
}

/// Sends one request after the other on a kept connection, and opens another one where it closes.
fn keep_asking(client: usize, ip: Ipv4Addr, record: &Record, over: &AtomicBool, closed: &Mutex<Vec<String>>) {
    let mut number = 0;
    while !over.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect_timeout(&SocketAddr::new(ip.into(), OUTBOUND), Duration::from_secs(1)) else {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        let Ok(reading) = stream.try_clone() else { continue };
        let _ = reading.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 1000)));
        let mut reader = Reader::new(reading);
        while !over.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{:016x}", 0xe000_0000_usize + client * 0x1_0000 + number);
            let call = Call { host: "front.example", method: "GET", path: "/status/a", id: &id, deadline_ms: DEADLINE_MS, fields: &[], body: b"" };
            let answered = stream.write_all(call.head().as_bytes()).and_then(|()| reader.message());
            if !matches!(answered, Ok(Some(_))) {
                record.note(format!("{id} on a kept connection: closed without an answer"));
                closed.lock().unwrap().push(id);
                break;
            }
        }
    }
}
