//! Hollow members: the real control state of many daemons in one process, with
//! real sockets on loopback addresses and without traffic, to measure what
//! control costs as the number of members grows.

use crate::network::Network;
use crate::platform::Platform;
use pico_args::Arguments;
use rustix::time::{ClockId, clock_gettime};
use seamhatch_core::generation::{Generation, SubmissionId};
use seamhatch_core::identity::Address;
use seamhatchd::controllers::{ControlHandle, ControlThread, SubmitRequest};
use seamhatchd::peer;
use seamhatchd::ports::Ports;
use seamhatchd::settings::{AdvertiseSettings, ListenSettings, LogFormat, LogSettings, Settings};
use seamhatchd::shared::Shared;
use seamhatchd::startup::assemble;
use std::ffi::OsString;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

const HELP: &str = "\
seamhatch-lab hollow [--members N] [--seconds S] [--changes N] [--restarts N]

Runs N members (default 33) of 2 regions and 8 zones in this process, measures
S seconds (default 20) at rest, N configuration changes with the store up and
as many with the store out right after acceptance, and N restarts.
";

const PEER_PORT: u16 = 7002;
const GOSSIP_PORT: u16 = 7003;
/// Members in one /24 of the emulated network.
const MEMBERS_PER_GROUP: usize = 200;
const ZONES: usize = 8;
/// Servers of one service, as at the target size.
const SERVERS_PER_SERVICE: usize = 7;
/// Longest wait for anything.
const LONGEST_WAIT: Duration = Duration::from_secs(180);
/// Members exchange lists more often for a while after their start.
const SETTLING: Duration = Duration::from_secs(25);
const POLL: Duration = Duration::from_millis(5);

/// What to run.
#[derive(Debug, Clone, Copy)]
struct Plan {
    members: usize,
    seconds: u64,
    changes: u64,
    restarts: usize,
}

/// Runs the measurement.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let Ok(plan) = read_plan(&mut arguments) else {
        eprint!("{HELP}");
        return ExitCode::from(2);
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error.to_string()),
    };
    match runtime.block_on(measure(plan)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => fail(&problem),
    }
}

fn read_plan(arguments: &mut Arguments) -> Result<Plan, pico_args::Error> {
    Ok(Plan {
        members: arguments.opt_value_from_str("--members")?.unwrap_or(33),
        seconds: arguments.opt_value_from_str("--seconds")?.unwrap_or(20),
        changes: arguments.opt_value_from_str("--changes")?.unwrap_or(5),
        restarts: arguments.opt_value_from_str("--restarts")?.unwrap_or(10),
    })
}

fn fail(problem: &str) -> ExitCode {
    eprintln!("seamhatch-lab: {problem}");
    ExitCode::FAILURE
}

/// One member without traffic.
struct Member {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl Member {
    async fn start(settings: Settings) -> std::io::Result<Self> {
        let listen = settings.listen;
        let (control, events) = ControlHandle::new();
        let ports = Ports::own(&settings);
        let shared = Arc::new(assemble(settings, &ports, control, &Handle::current()));
        let peers = TcpListener::bind(SocketAddr::from(listen.peer)).await?;
        let gossip = UdpSocket::bind(SocketAddr::from(listen.gossip)).await?;
        let tasks = vec![
            tokio::spawn(peer::serve(shared.clone(), peers)),
            tokio::spawn(ControlThread::new(shared.clone(), events, gossip, &ports).run()),
        ];
        Ok(Self { shared, tasks })
    }

    /// Ends it at once, as a killed process: its connections are reset.
    async fn kill(self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        for task in self.tasks {
            // Cancelled; nothing else can be wrong with it.
            let _ = task.await;
        }
        self.shared.pool.close();
    }

    fn generation(&self) -> Generation {
        self.shared.snapshot().generation()
    }

    fn gossip_bytes(&self) -> u64 {
        self.shared.metrics.gossip_sent_bytes.get() + self.shared.metrics.gossip_received_bytes.get()
    }
}

struct Fleet {
    members: Vec<Member>,
    platform: Platform,
    network: Network,
}

fn address(ip: Ipv4Addr, port: u16) -> Address {
    SocketAddr::new(ip.into(), port).into()
}

fn settings(network: &Network, number: usize, store: Address) -> Settings {
    let ip = machine(network, number);
    let unused = |port| address(ip, port);
    let (peer, gossip) = (address(ip, PEER_PORT), address(ip, GOSSIP_PORT));
    let zone = number % ZONES;
    Settings {
        cluster: "hollow".into(),
        region: format!("region-{}", zone / (ZONES / 2)),
        zone: format!("zone-{zone}"),
        service: format!("service-{}", number / SERVERS_PER_SERVICE),
        listen: ListenSettings {
            ingress: unused(7000),
            egress: Some(unused(7001)),
            peer,
            gossip,
            admin: unused(7004),
            registry: None,
            metrics: None,
        },
        advertise: AdvertiseSettings { peer, gossip },
        backend: unused(8080),
        slots: 8,
        store,
        machines: None,
        seeds: (0..3).map(|seed| address(machine(network, seed), GOSSIP_PORT)).collect(),
        first_start: false,
        grace: None,
        retries: None,
        log: LogSettings { level: log::LevelFilter::Error, format: LogFormat::Text },
        traffic_threads: 1,
    }
}

fn machine(network: &Network, number: usize) -> Ipv4Addr {
    network.machine((number / MEMBERS_PER_GROUP + 1) as u8, (number % MEMBERS_PER_GROUP + 1) as u8)
}

impl Fleet {
    async fn start(members: usize) -> Result<Self, String> {
        let problem = |error: std::io::Error| error.to_string();
        let network = Network::take().map_err(problem)?;
        let platform = Platform::start(network.machine(0, 1)).map_err(problem)?;
        let mut started = Vec::new();
        for number in 0..members {
            let settings = settings(&network, number, platform.address());
            started.push(Member::start(settings).await.map_err(problem)?);
        }
        Ok(Self { members: started, platform, network })
    }

    async fn wait(&self, what: &str, holds: impl Fn(&Member) -> bool) -> Result<Duration, String> {
        let begun = Instant::now();
        for member in &self.members {
            while !holds(member) {
                if begun.elapsed() > LONGEST_WAIT {
                    return Err(format!("not in time: {what}"));
                }
                tokio::time::sleep(POLL).await;
            }
        }
        Ok(begun.elapsed())
    }

    /// Submits a configuration; returns its generation.
    async fn submit(&self, member: usize, number: u64) -> Result<Generation, String> {
        let request = SubmitRequest {
            id: SubmissionId(rand::random()),
            author: "hollow".into(),
            document: document(number, self.members.len()),
            expect_generation: None,
        };
        self.members[member].shared.control.submit(request).await.map_err(|error| error.to_string())
    }

    async fn wait_in_force(&self, generation: Generation) -> Result<Duration, String> {
        self.wait("configuration in force", |member| member.generation() >= generation).await
    }

    async fn wait_complete(&self) -> Result<Duration, String> {
        let all = self.members.len() as i64;
        self.wait("members know each other", |member| member.shared.metrics.members.get() == all).await
    }

    async fn restart(&mut self, number: usize) -> Result<(), String> {
        let settings = settings(&self.network, number, self.platform.address());
        let fresh = {
            let ended = self.members.remove(number);
            ended.kill().await;
            Member::start(settings).await.map_err(|error| error.to_string())?
        };
        self.members.insert(number, fresh);
        Ok(())
    }
}

/// A document of a realistic size: a policy, a section and a route for each service.
fn document(number: u64, members: usize) -> String {
    let services = members.div_ceil(SERVERS_PER_SERVICE);
    let sections = (0..services).map(|service| {
        format!("[services.service-{service}]\n[[routes]]\nprefix = \"/s{service}\"\nservice = \"service-{service}\"\n")
    });
    format!("# {number}\npolicy = 'fn retries(request) {{ 2 }}'\n{}", sections.collect::<String>())
}

/// Use of the whole process.
#[derive(Debug, Clone, Copy)]
struct Usage {
    at: Instant,
    processor_seconds: f64,
    gossip_bytes: u64,
}

fn usage(fleet: &Fleet) -> Usage {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Usage {
        at: Instant::now(),
        processor_seconds: time.tv_sec as f64 + time.tv_nsec as f64 / 1e9,
        gossip_bytes: fleet.members.iter().map(Member::gossip_bytes).sum(),
    }
}

fn resident_bytes() -> u64 {
    const PAGE: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE
}

fn print_usage(name: &str, before: Usage, after: Usage, members: usize) {
    let seconds = (after.at - before.at).as_secs_f64();
    let share = (after.processor_seconds - before.processor_seconds) / seconds / members as f64;
    let bytes = (after.gossip_bytes - before.gossip_bytes) as f64 / seconds / members as f64;
    println!("{name}: a member uses {:.3} % of a core, {bytes:.0} gossip bytes/s in and out", share * 100.0);
}

async fn measure(plan: Plan) -> Result<(), String> {
    let empty = resident_bytes();
    let mut fleet = Fleet::start(plan.members).await?;
    let known = fleet.wait_complete().await?;
    println!("{} members know each other after {known:?}", plan.members);
    let first = fleet.submit(0, 0).await?;
    println!("first configuration in force everywhere after {:?}", fleet.wait_in_force(first).await?);
    tokio::time::sleep(SETTLING).await;

    let before = usage(&fleet);
    let requests = fleet.platform.requests();
    tokio::time::sleep(Duration::from_secs(plan.seconds)).await;
    print_usage("at rest", before, usage(&fleet), plan.members);
    let requests = (fleet.platform.requests() - requests) as f64 / plan.seconds as f64;
    println!("requests to the key-value service: {requests:.1}/s from all members");
    let resident = resident_bytes() - empty;
    println!("resident memory: {:.0} KiB a member", resident as f64 / 1024.0 / plan.members as f64);

    let mut number = 1;
    for store_out in [false, true] {
        let mut worst = Duration::ZERO;
        for change in 0..plan.changes {
            let generation = fleet.submit(change as usize % plan.members, number).await?;
            number += 1;
            fleet.platform.set_faults(|faults| faults.store_out = store_out);
            worst = worst.max(fleet.wait_in_force(generation).await?);
            fleet.platform.set_faults(|faults| faults.store_out = false);
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        println!(
            "in force everywhere, store {}: worst of {} is {worst:?}",
            if store_out { "out" } else { "up" },
            plan.changes
        );
    }
    measure_restarts(&mut fleet, plan).await
}

async fn measure_restarts(fleet: &mut Fleet, plan: Plan) -> Result<(), String> {
    let before = usage(fleet);
    for restart in 0..plan.restarts {
        fleet.restart(restart * 7 % plan.members).await?;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let generation = fleet.members.iter().map(Member::generation).max().unwrap_or_default();
    let healed = fleet.wait_in_force(generation).await?;
    let complete = fleet.wait_complete().await?;
    println!(
        "after {} restarts: all have the configuration after {healed:?}, all know all after {complete:?}",
        plan.restarts
    );
    // Counters of ended members are gone: only the processor time counts here.
    let after = usage(fleet);
    let share = (after.processor_seconds - before.processor_seconds)
        / (after.at - before.at).as_secs_f64()
        / plan.members as f64;
    println!("during the restarts: a member uses {:.3} % of a core", share * 100.0);
    Ok(())
}
