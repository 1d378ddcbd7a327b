//! Daemon processes on machines of the emulator: writes their settings, starts, signals and kills them.
//!
//! A daemon is this program's `daemon` command. It ends when its [`DaemonProcess`] is dropped, and by itself when the emulator is gone,
//! as its standard input closes then.

use seamhatch_core::identity::Address;
use std::fs::File;
use std::io::Read;
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Ports of a daemon and its back end, the same on every machine, as each has its own address. Chosen.
const INGRESS: u16 = 7000;
const EGRESS: u16 = 7001;
const PEER: u16 = 7002;
const GOSSIP: u16 = 7003;
const ADMIN: u16 = 7004;
const BACKEND: u16 = 8080;
const BEHIND_RELAY: u16 = 8081;
/// Exit code of a daemon whose emulator is gone; no other of the daemon's.
const EXIT_ORPHANED: i32 = 3;

/// One machine of the emulator: a daemon and the back end beside it.
#[derive(Debug, Clone)]
pub struct LabMachine {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Service of its back end.
    pub service: String,
    /// Slots of its back end.
    pub slots: u32,
}

impl LabMachine {
    fn at(&self, port: u16) -> Address {
        Address { ip: IpAddr::V4(self.ip), port }
    }

    /// HTTP for callers.
    #[must_use]
    pub fn ingress(&self) -> Address {
        self.at(INGRESS)
    }

    /// HTTP for the back end's own calls.
    #[must_use]
    pub fn egress(&self) -> Address {
        self.at(EGRESS)
    }

    /// TCP for other daemons.
    #[must_use]
    pub fn peer(&self) -> Address {
        self.at(PEER)
    }

    /// UDP for other daemons.
    #[must_use]
    pub fn gossip(&self) -> Address {
        self.at(GOSSIP)
    }

    /// HTTP for operators.
    #[must_use]
    pub fn admin(&self) -> Address {
        self.at(ADMIN)
    }

    /// HTTP of the back end, or of its relay.
    #[must_use]
    pub fn backend(&self) -> Address {
        self.at(BACKEND)
    }

    /// HTTP of a back end that has a relay in front.
    #[must_use]
    pub fn behind_relay(&self) -> Address {
        self.at(BEHIND_RELAY)
    }
}

/// What daemons of one deployment have in common.
#[derive(Debug, Clone)]
pub struct DaemonOptions {
    /// The program: the emulator itself, which contains the daemon.
    pub program: PathBuf,
    /// Directory for settings and logs.
    pub directory: PathBuf,
    /// Name of the deployment.
    pub cluster: String,
    /// Region.
    pub region: String,
    /// The platform's key-value service.
    pub store: Address,
    /// The platform's machine list.
    pub machines: Address,
    /// Gossip addresses to ask first.
    pub seeds: Vec<Address>,
    /// The addresses that daemons advertise when they reach each other through a proxy.
    pub advertise: Option<fn(&LabMachine) -> AdvertisedAddresses>,
    /// Log level.
    pub log_level: String,
}

/// Addresses at which a daemon is reached through the proxy in front of it.
#[derive(Debug, Clone, Copy)]
pub struct AdvertisedAddresses {
    /// TCP.
    pub peer: Address,
    /// UDP.
    pub gossip: Address,
}

/// A running daemon process; killed when dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Its machine.
    pub machine: LabMachine,
    child: Child,
}

impl DaemonProcess {
    /// Starts a daemon.
    ///
    /// # Errors
    /// The program or its files can't be used.
    pub fn start(machine: LabMachine, options: &DaemonOptions) -> std::io::Result<Self> {
        let settings = write_settings(&machine, options)?;
        let log = log_file(&options.directory, &machine.ip.to_string())?;
        let child = Command::new(&options.program)
            .arg("daemon")
            .arg("--config")
            .arg(&settings)
            .stdin(Stdio::piped())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { machine, child })
    }

    /// Its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Processor time that it has used in user and kernel mode together; zero when it has ended.
    #[must_use]
    pub fn processor_time(&self) -> Duration {
        /// Ticks of `/proc/PID/stat` in a second, fixed on Linux.
        const TICKS: u64 = 100;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        // The program's name, in parentheses, may hold spaces; the times are 12th and 13th after it.
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks =
            |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok()).unwrap_or_default();
        Duration::from_millis((ticks(11) + ticks(12)) * 1000 / TICKS)
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// The process has ended.
    pub fn signal(&self, signal: rustix::process::Signal) -> std::io::Result<()> {
        let id = rustix::process::Pid::from_child(&self.child);
        Ok(rustix::process::kill_process(id, signal)?)
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        // On an error nothing is known of the process, and it must not be signalled either.
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        // Both fail only when it has ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for it to end by itself; none when that takes longer than `longest`.
    pub fn wait(&mut self, longest: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + longest;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Writes a daemon's settings file and returns its path. The file is replaced in one step, as the daemon may read it at any time.
///
/// # Errors
/// The directory can't be written to.
pub fn write_settings(machine: &LabMachine, options: &DaemonOptions) -> std::io::Result<PathBuf> {
    let file = options.directory.join(format!("{}.toml", machine.ip));
    let draft = options.directory.join(format!("{}.draft", machine.ip));
    std::fs::write(&draft, settings_text(machine, options))?;
    std::fs::rename(&draft, &file)?;
    Ok(file)
}

fn log_file(directory: &Path, name: &str) -> std::io::Result<File> {
    File::options().create(true).append(true).open(directory.join(format!("{name}.log")))
}

fn settings_text(machine: &LabMachine, options: &DaemonOptions) -> String {
    let seeds: Vec<String> = options.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let advertise = options.advertise.map_or_else(String::new, |advertise| {
        let addresses = advertise(machine);
        format!("[advertise]\npeer = \"{}\"\ngossip = \"{}\"\n", addresses.peer, addresses.gossip)
    });
    format!(
        "cluster = \"{cluster}\"\nregion = \"{region}\"\nzone = \"{zone}\"\nservice = \"{service}\"\n\
         [listen]\ningress = \"{ingress}\"\negress = \"{egress}\"\npeer = \"{peer}\"\n\
         gossip = \"{gossip}\"\nadmin = \"{admin}\"\n{advertise}\
         [backend]\naddress = \"{backend}\"\nslots = {slots}\n\
         [platform]\nstore = \"{store}\"\nmachines = \"{machines}\"\n\
         [membership]\nseeds = [{seeds}]\n[log]\nlevel = \"{level}\"\nformat = \"json\"\n[threads]\ntraffic = 1\n",
        cluster = options.cluster,
        region = options.region,
        zone = machine.zone,
        service = machine.service,
        ingress = machine.ingress(),
        egress = machine.egress(),
        peer = machine.peer(),
        gossip = machine.gossip(),
        admin = machine.admin(),
        backend = machine.backend(),
        slots = machine.slots,
        store = options.store,
        machines = options.machines,
        seeds = seeds.join(", "),
        level = options.log_level,
    )
}

/// Ends this process when its standard input closes: the emulator that started it is gone, however it ended.
pub fn end_with_standard_input() {
    std::thread::spawn(|| {
        let mut buffer = [0; 64];
        while std::io::stdin().read(&mut buffer).is_ok_and(|read| read > 0) {}
        std::process::exit(EXIT_ORPHANED);
    });
}
