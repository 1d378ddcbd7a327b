//! A small deployment on a loopback network of its own: the store, and machines with a daemon process and a server each.
//! Daemons are started with the command of the deploy file, and with settings that its template gives them.

use crate::http::exchange;
use crate::server::{Conduct, Server};
use crate::store::Store;
use std::collections::HashMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const STORE: u16 = 8309;
pub const SERVER: u16 = 8301;
pub const READINESS: u16 = 8302;
pub const OUTBOUND: u16 = 8304;
pub const CONTROL: u16 = 8306;
const INNER: u16 = 7620;
/// Bound as long as a network is in use.
const LOCK: u16 = 7999;
/// Time between two heartbeats of a server, as in the settings of the small sites.
const HEARTBEAT: Duration = Duration::from_millis(1500);

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when the one that started it ends.
const SIGNAL_AT_PARENT_END: i32 = 1;

/// Sends a signal to a process that this program started.
pub fn signal(process: u32, number: i32) {
    // SAFETY: `kill` takes two integers and touches no memory of this process.
    unsafe { kill(process as i32, number) };
}

pub const SIGKILL: i32 = 9;

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    pub fn note(&self, line: impl Into<String>) {
        self.note_at(Instant::now(), line);
    }

    pub fn note_at(&self, at: Instant, line: impl Into<String>) {
        self.lines.lock().unwrap().push((at, line.into()));
    }

    /// Seconds from the start of the record to an instant.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Writes the lines in the order of their times.
    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String =
            lines.iter().map(|(at, line)| format!("{:9.3} s  {line}\n", self.seconds(*at))).collect();
        fs::write(path, text).expect("the record can be written");
    }
}

/// The store and the machines.
pub struct Deployment {
    network: u8,
    _lock: TcpListener,
    directory: PathBuf,
    pub store: Store,
    pub record: Record,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl Deployment {
    /// Takes a free network 127.N.0.0/16 and starts the store there.
    pub fn start(record: &Record) -> Self {
        let (network, lock) = take_network();
        let directory = std::env::temp_dir().join(format!("seamhatch-review-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("a temporary folder");
        let store = Store::start(Ipv4Addr::new(127, network, 0, 1), STORE);
        Self { network, _lock: lock, directory, store, record: record.clone() }
    }

    pub fn store_address(&self) -> String {
        format!("127.{}.0.1:{STORE}", self.network)
    }

    /// Writes a configuration as the operator does.
    pub fn configure(&self, version: u64, routes: &[Route], services: &[&str]) {
        let routes: Vec<String> = routes.iter().map(Route::json).collect();
        let services: Vec<String> = services
            .iter()
            .map(|name| format!("{{\"name\":\"{name}\",\"connections\":364,\"healthPath\":\"/health\",\"protocol\":\"h1\",\"tls\":false}}"))
            .collect();
        // The limits are those of the small sites.
        let document = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"head_bytes\":16384,\"body_bytes\":67108864,\"head_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"baseVersion\":0}}",
            routes.join(","),
            services.join(",")
        );
        self.store.put("op/config", &document);
    }

    /// A machine with its server; the daemon is not started yet.
    pub fn machine(&self, service: &str, number: u8, slots: u32, conduct: Conduct) -> Machine {
        let ip = Ipv4Addr::new(127, self.network, 1, number);
        let server = Server::start(ip, SERVER, &format!("i-{number}"), slots, conduct, &self.record);
        let settings = self.directory.join(format!("{ip}.toml"));
        let machine = Machine {
            ip,
            service: service.to_owned(),
            slots,
            server,
            settings,
            log: self.directory.join(format!("{ip}.log")),
            store: self.store_address(),
            child: None,
            beats: Arc::default(),
            record: self.record.clone(),
        };
        machine.write_settings(true);
        machine
    }
}

fn take_network() -> (u8, TcpListener) {
    let first = std::process::id() % 200;
    for step in 0..200 {
        let network = 30 + ((first + step) % 200) as u8;
        if let Ok(lock) = TcpListener::bind((Ipv4Addr::new(127, network, 255, 254), LOCK)) {
            return (network, lock);
        }
    }
    panic!("no loopback network is free");
}

/// A route of the operator's configuration.
#[derive(Clone)]
pub struct Route {
    pub host: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub service: &'static str,
}

impl Route {
    fn json(&self) -> String {
        let Self { host, prefix, kind, timeout_ms, service } = self;
        format!(
            "{{\"name\":\"r-{service}-{kind}\",\"host\":\"{host}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"objective_ms\":1500,\"rank\":1,\"service\":\"{service}\",\"dispatches\":2}}"
        )
    }
}

/// A server, and the daemon process beside it.
pub struct Machine {
    pub ip: Ipv4Addr,
    pub service: String,
    pub slots: u32,
    pub server: Server,
    settings: PathBuf,
    log: PathBuf,
    store: String,
    child: Option<Child>,
    beats: Arc<Mutex<Beats>>,
    record: Record,
}

#[derive(Debug, Default)]
struct Beats {
    sequence: u64,
    running: bool,
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Machine {
    fn write_settings(&self, first_start: bool) {
        let ip = self.ip;
        let values = HashMap::from([
            ("region", "region".to_owned()),
            ("zone", "zone".to_owned()),
            ("service", self.service.clone()),
            ("ipAddress", ip.to_string()),
            ("internalPortRange.0", INNER.to_string()),
            ("listenAddresses.outbound", format!("{ip}:{OUTBOUND}")),
            ("listenAddresses.readiness", format!("{ip}:{READINESS}")),
            ("listenAddresses.control", format!("{ip}:{CONTROL}")),
            ("applicationAddress", format!("{ip}:{SERVER}")),
            ("platform.address", self.store.clone()),
            ("firstStart", first_start.to_string()),
            ("bounds.gracePeriodS", "6".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.retryBudgetSlack", "57".to_owned()),
        ]);
        let template =
            fs::read_to_string("deploy/settings.toml").expect("is run at the root of the repository");
        fs::write(&self.settings, fill(&template, &values)).expect("the settings can be written");
    }

    /// Starts the daemon as the deploy file says.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let command = deploy_command();
        let mut words = command.split(' ');
        let mut command = Command::new(words.next().expect("a program"));
        command.args(words).env("SEAMHATCH_CONFIG", &self.settings).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a log")).stderr(log);
        // SAFETY: `prctl` is safe to call between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(SIGNAL_AT_PARENT_END, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().expect("the daemon starts; run the build of the deploy file first");
        self.record.note(format!("daemon {} starts (process {})", self.ip, child.id()));
        self.child = Some(child);
    }

    pub fn process(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the daemon.
    pub fn kill(&mut self) {
        self.beats.lock().unwrap().running = false;
        self.end_process();
    }

    /// Kills the daemon, while its server goes on.
    pub fn end_process(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts the daemon again, with settings that say that it is not the first start.
    pub fn start_again(&mut self) {
        self.end_process();
        self.write_settings(false);
        self.start();
    }

    /// Resident memory of the daemon, in KiB.
    pub fn resident_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        line.trim().trim_end_matches(" kB").parse().unwrap_or(0)
    }

    pub fn is_ready(&self) -> bool {
        let request = format!("GET /readyz HTTP/1.1\r\nHost: {}\r\n\r\n", self.ip);
        let answer = exchange(self.ip, READINESS, request.as_bytes(), Duration::from_secs(1));
        answer.is_ok_and(|(head, _)| head.status() == 200)
    }

    /// Waits until the daemon is ready. Returns whether it is.
    pub fn until_ready(&self) -> bool {
        within(Duration::from_secs(20), || self.is_ready())
    }

    /// Sends a heartbeat with a state and number. Returns the status of its answer; 0 if there was none.
    pub fn beat(&self, state: &str, sequence: u64) -> u16 {
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}:{SERVER}\",\"zone\":\"zone\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"cold_for_ms\":0,\"sequence\":{sequence}}}",
            self.service, self.ip, self.slots
        );
        let request = format!(
            "PUT /v1/instances/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.server.instance,
            self.ip,
            body.len()
        );
        let answer = exchange(self.ip, CONTROL, request.as_bytes(), Duration::from_secs(1));
        answer.map_or(0, |(head, _)| head.status())
    }

    /// The number of the next heartbeat.
    pub fn next_sequence(&self) -> u64 {
        let mut beats = self.beats.lock().unwrap();
        beats.sequence += 1;
        beats.sequence
    }

    /// Sends the server's heartbeats from now on, the first at once.
    pub fn keep_beating(&self) {
        self.beats.lock().unwrap().running = true;
        let twin = Machine {
            ip: self.ip,
            service: self.service.clone(),
            slots: self.slots,
            server: self.server.clone(),
            settings: self.settings.clone(),
            log: self.log.clone(),
            store: self.store.clone(),
            child: None,
            beats: self.beats.clone(),
            record: self.record.clone(),
        };
        let first = twin.next_sequence();
        self.beat("ready", first);
        std::thread::spawn(move || {
            // Forgotten at the end, so that it does not stop the beats of the machine that it stands for.
            let twin = std::mem::ManuallyDrop::new(twin);
            loop {
                std::thread::sleep(HEARTBEAT);
                if !twin.beats.lock().unwrap().running {
                    return;
                }
                let sequence = twin.next_sequence();
                twin.beat("ready", sequence);
            }
        });
    }

    /// Ends the server's heartbeats.
    pub fn stop_beating(&self) {
        self.beats.lock().unwrap().running = false;
    }

    /// Says that the server leaves. Returns the status of the answer; 0 if there was none within a second.
    pub fn goodbye(&self) -> u16 {
        let (instance, ip) = (&self.server.instance, self.ip);
        let request = format!("DELETE /v1/instances/{instance} HTTP/1.1\r\nHost: {ip}\r\n\r\n");
        let answer = exchange(self.ip, CONTROL, request.as_bytes(), Duration::from_secs(1));
        answer.map_or(0, |(head, _)| head.status())
    }

    /// Key of the daemon's record in the store.
    pub fn record_key(&self) -> String {
        format!("seamhatch/members/{}:{INNER}", self.ip)
    }
}

/// The command of the deploy file's role.
fn deploy_command() -> String {
    let text = fs::read_to_string("deploy/system.toml").expect("is run at the root of the repository");
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a role with a command");
    line.trim_end_matches('"').to_owned()
}

/// Fills the gaps of a template. A section whose value is not given is left out.
fn fill(template: &str, values: &HashMap<&str, String>) -> String {
    let mut filled = template.to_owned();
    while let Some(start) = filled.find("{{#") {
        let end = start + filled[start..].find("}}").expect("a whole gap");
        let name = filled[start + 3..end].to_owned();
        let closing = format!("{{{{/{name}}}}}");
        let close = filled.find(&closing).expect("a closed section");
        let inside = if values.contains_key(name.as_str()) {
            filled[end + 2..close].to_owned()
        } else {
            String::new()
        };
        filled.replace_range(start..close + closing.len(), &inside);
    }
    for (name, value) in values {
        filled = filled.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!filled.contains("{{"), "a gap is left: {filled}");
    filled
}

/// Waits for a state for at most `longest`. Returns whether it came.
pub fn within(longest: Duration, mut state: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + longest;
    while !state() {
        if Instant::now() > end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}
