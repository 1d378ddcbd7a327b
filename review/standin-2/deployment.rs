//! A small deployment on loopback addresses of its own: the store, servers, and the project's daemons as processes.

use crate::http::{Message, Reader};
use crate::store::{self, Store};
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

pub const OUTBOUND: u16 = 8304;
pub const SERVER: u16 = 8301;
const READINESS: u16 = 8302;
const CONTROL: u16 = 8306;
const INTERNAL: u16 = 7620;
/// Bound on a free network, as the project's own tests do, so that neither takes the other's.
const LOCK: u16 = 7999;
/// `heartbeatIntervalS` of the sheets.
const BEAT: Duration = Duration::from_millis(1500);

/// What was sent, answered and run, with the time in seconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self { file: Arc::new(Mutex::new(File::create(path).expect("a record"))), begun: Instant::now() }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.begun.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Notes a line and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.note(text);
    }
}

/// How a server treats requests that it reads from now on.
#[derive(Debug, Clone, PartialEq)]
pub enum Manner {
    /// Runs them for so long and answers 200.
    Works(Duration),
    /// Runs them, and never answers anything more on their connections, which stay open.
    Hangs,
    /// Runs them for so long, then makes one call through its daemon, and answers by what became of it. It goes on
    /// where the connection of the request has closed.
    Calls { after: Duration, host: String, path: String },
    /// Runs them for so long and answers 200 with so many bytes. It cuts an answer off that stays unread for 5 s.
    Sends { after: Duration, bytes: usize },
}

#[derive(Default)]
struct Slots {
    running: u32,
    waiting: u32,
}

struct ServerState {
    ip: Ipv4Addr,
    service: String,
    instance: String,
    slots: u32,
    manner: Mutex<Manner>,
    used: (Mutex<Slots>, Condvar),
    sequence: AtomicU64,
    beats: AtomicBool,
    /// Requests that it ran: id, and when.
    runs: Mutex<Vec<(String, Instant)>>,
    /// Calls that it made: id and the status of the answer, 0 for none.
    calls: Mutex<Vec<(String, u16)>>,
    record: Record,
}

/// A server of the platform, as PROTOCOL.md describes it.
#[derive(Clone)]
pub struct Server(Arc<ServerState>);

impl Server {
    fn start(ip: Ipv4Addr, service: &str, instance: &str, slots: u32, record: &Record) -> Self {
        let server = Self(Arc::new(ServerState {
            ip,
            service: service.to_owned(),
            instance: instance.to_owned(),
            slots,
            manner: Mutex::new(Manner::Works(Duration::from_millis(20))),
            used: Default::default(),
            sequence: AtomicU64::new(1),
            beats: AtomicBool::new(true),
            runs: Mutex::default(),
            calls: Mutex::default(),
            record: record.clone(),
        }));
        let listener = TcpListener::bind((ip, SERVER)).expect("the server's port is free");
        let serving = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                std::thread::spawn(move || drop(server.serve(stream)));
            }
        });
        let beating = server.clone();
        std::thread::spawn(move || {
            loop {
                if beating.0.beats.load(Ordering::SeqCst) {
                    beating.beat("ready");
                }
                std::thread::sleep(BEAT);
            }
        });
        server
    }

    pub fn set(&self, manner: Manner) {
        *self.0.manner.lock().unwrap() = manner;
    }

    pub fn runs(&self) -> Vec<(String, Instant)> {
        self.0.runs.lock().unwrap().clone()
    }

    pub fn calls(&self) -> Vec<(String, u16)> {
        self.0.calls.lock().unwrap().clone()
    }

    /// Sends no more heartbeats by itself.
    pub fn stop_beats(&self) {
        self.0.beats.store(false, Ordering::SeqCst);
    }

    /// Sends a heartbeat. Returns the status of the answer.
    pub fn beat(&self, state: &str) -> u16 {
        let sequence = self.0.sequence.fetch_add(1, Ordering::SeqCst);
        self.beat_numbered(state, sequence)
    }

    /// The number of the next heartbeat, which is used up.
    pub fn take_sequence(&self) -> u64 {
        self.0.sequence.fetch_add(1, Ordering::SeqCst)
    }

    /// Sends the heartbeat with this number.
    pub fn beat_numbered(&self, state: &str, sequence: u64) -> u16 {
        let ServerState { ip, service, instance, slots, .. } = &*self.0;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{ip}:{SERVER}\",\"zone\":\"zone\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"{state}\",\"cold_for_ms\":0,\"sequence\":{sequence}}}"
        );
        let target = format!("/v1/instances/{instance}");
        send_plain(*ip, CONTROL, "PUT", &target, &body, Duration::from_secs(1)).map_or(0, |answer| answer.status())
    }

    /// Says goodbye. Returns the status of the answer.
    pub fn leave(&self) -> u16 {
        let target = format!("/v1/instances/{}", self.0.instance);
        send_plain(self.0.ip, CONTROL, "DELETE", &target, "", Duration::from_secs(1))
            .map_or(0, |answer| answer.status())
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        while let Some(mut request) = reader.head()? {
            reader.body(&mut request)?;
            let state = &*self.0;
            let id = request.field("x-request-id").unwrap_or_default().to_owned();
            let due: u64 = request.field("x-deadline-milliseconds").and_then(|due| due.parse().ok()).unwrap_or(10_000);
            let due = Instant::now() + Duration::from_millis(due);
            if request.field("x-expected-instance").is_some_and(|expected| expected != state.instance) {
                state.record.note(format!("server {} refuses {id}: another instance is meant", state.ip));
                let head = format!("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {}", state.instance);
                out.write_all(format!("{head}\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n").as_bytes())?;
                continue;
            }
            let manner = state.manner.lock().unwrap().clone();
            if manner == Manner::Hangs {
                state.note_run(&id, &request);
                state.record.note(format!("server {} hangs on {id}", state.ip));
                // Nothing more is said on this connection.
                while reader.message()?.is_some() {}
                return Ok(());
            }
            if !state.take_slot(due) {
                state.record.note(format!("server {} is full and turns {id} away", state.ip));
                let head = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1";
                out.write_all(format!("{head}\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n").as_bytes())?;
                continue;
            }
            state.note_run(&id, &request);
            let mut body = format!("answer to {id}").into_bytes();
            let status = match &manner {
                Manner::Sends { after, bytes } => {
                    std::thread::sleep(*after);
                    body.resize(*bytes, b'.');
                    out.set_write_timeout(Some(Duration::from_secs(5)))?;
                    200
                }
                Manner::Works(span) => {
                    std::thread::sleep(*span);
                    200
                }
                Manner::Calls { after, host, path } => {
                    std::thread::sleep(*after);
                    let call = format!("{id}.0");
                    let left = due.saturating_duration_since(Instant::now()).as_millis().max(1) as u64;
                    let answer = Call { host, method: "GET", path, id: &call, deadline_ms: left.min(2000), fields: &[], body: b"" }
                        .send(state.ip);
                    state.record.note(format!("server {} made call {call}: {}", state.ip, answer.text()));
                    state.calls.lock().unwrap().push((call, answer.status));
                    if answer.status == 200 { 200 } else { 500 }
                }
                Manner::Hangs => 200,
            };
            let load = state.free_slot();
            let reason = if status == 200 { "OK" } else { "Internal Server Error" };
            let head = format!("HTTP/1.1 {status} {reason}\r\nX-Request-Id: {id}\r\nX-Response-Signature: s.{id}\r\nX-Server-Load: {load}");
            out.write_all(format!("{head}\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes())?;
            out.write_all(&body)?;
        }
        Ok(())
    }
}

impl ServerState {
    fn note_run(&self, id: &str, request: &Message) {
        self.runs.lock().unwrap().push((id.to_owned(), Instant::now()));
        let deadline = request.field("x-deadline-milliseconds").unwrap_or("-");
        self.record.note(format!("server {} runs {id} ({} bytes, deadline {deadline})", self.ip, request.body.len()));
    }

    /// Waits for a slot in a queue of half as many; false when there is no room, or the deadline passes.
    fn take_slot(&self, due: Instant) -> bool {
        let mut used = self.used.0.lock().unwrap();
        if used.running >= self.slots && used.waiting >= self.slots.div_ceil(2) {
            return false;
        }
        used.waiting += 1;
        while used.running >= self.slots {
            let left = due.saturating_duration_since(Instant::now());
            if left.is_zero() {
                used.waiting -= 1;
                return false;
            }
            used = self.used.1.wait_timeout(used, left).unwrap().0;
        }
        used.waiting -= 1;
        used.running += 1;
        true
    }

    /// Returns the load as the answer tells it.
    fn free_slot(&self) -> String {
        let mut used = self.used.0.lock().unwrap();
        used.running -= 1;
        self.used.1.notify_one();
        format!("{},{},{}", used.running, used.waiting, self.slots)
    }
}

/// A client's request, or a server's call.
pub struct Call<'a> {
    pub host: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub fields: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

/// What became of it: the status, 0 without a whole answer.
pub struct Answer {
    pub status: u16,
    pub took: Duration,
    pub detail: String,
}

impl Answer {
    pub fn text(&self) -> String {
        format!("{} after {} ms, {}", self.status, self.took.as_millis(), self.detail)
    }
}

impl Call<'_> {
    pub fn head(&self) -> String {
        let mut head = format!("{} {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\n", self.method, self.path, self.host, self.id);
        head.push_str(&format!("X-Deadline-Milliseconds: {}\r\n", self.deadline_ms));
        for (name, value) in self.fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head + "\r\n"
    }

    /// Sends it to the daemon at `ip` on a connection of its own.
    pub fn send(&self, ip: Ipv4Addr) -> Answer {
        let begun = Instant::now();
        let patience = Duration::from_millis(self.deadline_ms) + Duration::from_secs(1);
        let answered = || -> std::io::Result<Message> {
            let mut stream = TcpStream::connect_timeout(&SocketAddr::new(ip.into(), OUTBOUND), Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(patience))?;
            stream.write_all(self.head().as_bytes())?;
            stream.write_all(self.body)?;
            Reader::new(stream).message()?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
        };
        match answered() {
            Ok(answer) => {
                let status = answer.status();
                let is_signed = answer.field("x-response-signature").is_some();
                let detail = if is_signed { "signed".to_owned() } else { String::from_utf8_lossy(&answer.body).into_owned() };
                Answer { status, took: begun.elapsed(), detail }
            }
            Err(error) => Answer { status: 0, took: begun.elapsed(), detail: error.to_string() },
        }
    }
}

fn send_plain(ip: Ipv4Addr, port: u16, method: &str, target: &str, body: &str, patience: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&SocketAddr::new(ip.into(), port), patience).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {ip}:{port}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    Reader::new(stream).message().ok()?
}

/// A machine: a server and the daemon beside it.
pub struct Machine {
    pub ip: Ipv4Addr,
    /// By which the store tells its daemon from others.
    pub number: u8,
    pub server: Server,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Machine {
    /// Starts the daemon with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new("target/release/seamhatch-platform")
            .env_clear()
            .env("SEAMHATCH_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        self.child = Some(child.unwrap_or_else(|error| cannot_run(&format!("the daemon can't be started: {error}"))));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts the daemon again, with settings that say it is not the first start.
    pub fn restart(&mut self) {
        let text = std::fs::read_to_string(&self.settings).expect("settings");
        std::fs::write(&self.settings, text.replace("first_start = true", "first_start = false")).expect("settings");
        self.start();
    }

    /// Resident memory of the daemon in KiB.
    pub fn resident(&self) -> u64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    pub fn is_ready(&self) -> bool {
        let answer = send_plain(self.ip, READINESS, "GET", "/readyz", "", Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Lines of the daemon's log that contain `part`.
    pub fn log_lines(&self, part: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(part)).map(str::to_owned).collect()
    }

    /// A line of the daemon's metrics.
    pub fn metric(&self, name: &str) -> String {
        let answer = send_plain(self.ip, READINESS, "GET", "/metrics", "", Duration::from_secs(1));
        let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned()).unwrap_or_default();
        text.lines().filter(|line| line.starts_with(name)).collect::<Vec<_>>().join("; ")
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ends the case as one that couldn't run. It unwinds, so that all daemons are ended.
pub fn cannot_run(why: &str) -> ! {
    panic!("this case could not run: {why}");
}

pub struct Deployment {
    network: u8,
    _lock: TcpListener,
    pub store: Store,
    pub record: Record,
    directory: PathBuf,
    /// Whether the settings have the tables of a deployment with tenants.
    tenants: bool,
    count: u8,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Deployment {
    pub fn start(record: &Record, tenants: bool) -> Self {
        let first = std::process::id() % 200;
        let lock = (0..200u32).find_map(|offset| {
            let network = 30 + ((first + offset) % 200) as u8;
            TcpListener::bind((Ipv4Addr::new(127, network, 255, 254), LOCK)).ok().map(|lock| (network, lock))
        });
        let (network, lock) = lock.unwrap_or_else(|| cannot_run("no loopback network is free"));
        let directory = std::env::temp_dir().join(format!("seamhatch-review-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a folder");
        let store = Store::new();
        Self { network, _lock: lock, store, record: record.clone(), directory, tenants, count: 0 }
    }

    /// A machine whose server sends heartbeats and whose daemon isn't started yet.
    pub fn machine(&mut self, service: &str, slots: u32) -> Machine {
        self.count += 1;
        let ip = Ipv4Addr::new(127, self.network, 1, self.count);
        self.store.listen(Ipv4Addr::new(127, self.network, 0, self.count), self.count);
        let settings = self.directory.join(format!("{ip}.toml"));
        std::fs::write(&settings, self.settings(ip, service)).expect("settings");
        let log = self.directory.join(format!("{ip}.log"));
        let server = Server::start(ip, service, &format!("i-{:04x}", 0x7f00 + u32::from(self.count)), slots, &self.record);
        Machine { ip, number: self.count, server, settings, log, child: None }
    }

    /// The template of the deploy file, filled with the figures of a small deployment.
    fn settings(&self, ip: Ipv4Addr, service: &str) -> String {
        let template = std::fs::read_to_string("deploy/settings.toml")
            .unwrap_or_else(|_| cannot_run("deploy/settings.toml isn't there; start at the root of the repository"));
        let store = format!("{}:{}", Ipv4Addr::new(127, self.network, 0, self.count), store::PORT);
        let values = [
            ("region", "region".to_owned()),
            ("zone", "zone".to_owned()),
            ("service", service.to_owned()),
            ("ipAddress", ip.to_string()),
            ("internalPortRange.0", INTERNAL.to_string()),
            ("listenAddresses.outbound", format!("{ip}:{OUTBOUND}")),
            ("listenAddresses.readiness", format!("{ip}:{READINESS}")),
            ("listenAddresses.control", format!("{ip}:{CONTROL}")),
            ("applicationAddress", format!("{ip}:{SERVER}")),
            ("platform.address", store),
            ("firstStart", "true".to_owned()),
            ("bounds.gracePeriodS", "6".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.retryBudgetSlack", "57".to_owned()),
            ("bounds.revocationS", "5000".to_owned()),
            ("bounds.quotaWindowS", "5".to_owned()),
            ("bounds.quotaOverage", "0.1".to_owned()),
            ("bounds.quotaSlack", "20".to_owned()),
            ("bounds.enforceRevocationEverywhere", "true".to_owned()),
        ];
        let mut text = template;
        for section in ["bounds.retryBudgetRatio", "bounds.enforceRevocationEverywhere", "bounds.quotaWindowS"] {
            let (begin, end) = (format!("{{{{#{section}}}}}"), format!("{{{{/{section}}}}}"));
            let stays = self.tenants || section == "bounds.retryBudgetRatio";
            let (Some(from), Some(to)) = (text.find(&begin), text.find(&end)) else { continue };
            let inside = if stays { text[from + begin.len()..to].to_owned() } else { String::new() };
            text = format!("{}{inside}{}", &text[..from], &text[to + end.len()..]);
        }
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "a gap of the template is left: {text}");
        text
    }

    /// Waits until all daemons are ready, for 20 s at most.
    pub fn until_ready(&self, machines: &[&Machine]) {
        let begun = Instant::now();
        while !machines.iter().all(|machine| machine.is_ready()) {
            if begun.elapsed() > Duration::from_secs(20) {
                cannot_run("the daemons are not ready");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        self.record.note(format!("{} daemons are ready", machines.len()));
    }
}

/// A route of a configuration, with its host `SERVICE.example`.
pub fn route(name: &str, service: &str, prefix: &str, kind: &str, rank: u8, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{service}.example\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\
         \"objective_ms\":1000,\"rank\":{rank},\"service\":\"{service}\",\"dispatches\":2,\"allowAnonymous\":false}}"
    )
}

/// A configuration as the operator writes it.
pub fn configuration(version: u64, routes: &[String], services: &[&str], tenants: &str) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"connections\":364,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    let limits = "{\"head_bytes\":16384,\"body_bytes\":67108864,\"head_timeout_ms\":3000,\"idle_timeout_ms\":15000}";
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{limits}{tenants},\"baseVersion\":0}}",
        routes.join(","),
        services.join(",")
    )
}
