//! Start of the daemon: reads the settings, creates the shared state, and starts threads and listeners.
//!
//! This module keeps no state after the start; the module `stop` handles the rest of the process's life. The binaries call [`run`] or
//! [`run_with`].

use crate::base::clock;
use crate::base::logging;
use crate::base::metrics::Metrics;
use crate::base::panics::{CONTROL_THREAD, end_with_control_thread};
use crate::claims::{ClaimState, Claimant};
use crate::control::{ControlEvent, ControlHandle};
use crate::controllers::ControlThread;
use crate::conventions::HttpConventions;
use crate::lifecycle::DaemonLifecycle;
use crate::limits::SharedLimits;
use crate::limits::call_times::CallTimes;
use crate::limits::chain_costs::ChainCosts;
use crate::limits::entry_floors::EntryFloors;
use crate::limits::freshness::Freshness;
use crate::limits::peer_notices::PeerNotices;
use crate::limits::quota::Quota;
use crate::limits::retry_budget::RetryBudget;
use crate::limits::service_floors::ServiceFloors;
use crate::listeners::Listeners;
use crate::peer::{PeerPool, ShutdownAcks, UnwrittenMessages};
use crate::peer_server;
use crate::ports::Ports;
use crate::reload;
use crate::server::LocalServer;
use crate::server::backend::Backend;
use crate::server::crashes::CrashTracker;
use crate::server::gate::AdmissionGate;
use crate::server::instances::Instances;
use crate::server::notices::BackEndNotices;
use crate::server::running::RunningCalls;
use crate::settings::{self, Invocation, Settings, SettingsError};
use crate::shared::Shared;
use crate::snapshot::Snapshot;
use crate::stop::{StopSignals, until_stopped};
use arc_swap::ArcSwap;
use log::{error, info};
use seamhatch_core::admission::AdmissionPolicy;
use seamhatch_core::hand_back::EarlierCalls;
use seamhatch_core::identity::Incarnation;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Weak};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::mpsc;

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// Runs the daemon with the product's own store, document format and conventions. Returns the exit code of the program.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    run_with(arguments, |settings| {
        if settings.listen.egress.is_none() {
            return Err(SettingsError::Missing { key: "listen.egress", flag: "--egress" });
        }
        Ok(Ports::own(settings))
    })
}

/// Runs the daemon with the ports of a deployment. Returns the exit code of the program: 2 for invalid settings.
pub fn run_with(
    arguments: Vec<OsString>,
    ports: impl FnOnce(&Settings) -> Result<Ports, SettingsError>,
) -> ExitCode {
    match settings::from_arguments(arguments.clone()) {
        Ok(Invocation::Help) => {
            print!("{}", settings::HELP);
            ExitCode::SUCCESS
        }
        Ok(Invocation::Version) => {
            println!("seamhatchd {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Invocation::Check(settings)) => match ports(&settings) {
            Ok(_) => {
                println!("settings are valid");
                ExitCode::SUCCESS
            }
            Err(error) => report_settings_error(&error),
        },
        Ok(Invocation::Run(settings)) => match ports(&settings) {
            Ok(ports) => serve(*settings, &ports, arguments),
            Err(error) => report_settings_error(&error),
        },
        Err(error) => report_settings_error(&error),
    }
}

fn report_settings_error(error: &SettingsError) -> ExitCode {
    eprintln!("seamhatchd: {error}");
    ExitCode::from(EXIT_SETTINGS)
}

fn serve(settings: Settings, ports: &Ports, arguments: Vec<OsString>) -> ExitCode {
    if let Err(error) = logging::start(&settings.log) {
        eprintln!("seamhatchd: {error}");
    }
    let served = try_serve(settings, ports, arguments);
    let code = match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            error!(error = problem.to_string().as_str(); "the daemon can't start; check the listen addresses");
            ExitCode::FAILURE
        }
    };
    logging::flush();
    code
}

fn try_serve(settings: Settings, ports: &Ports, arguments: Vec<OsString>) -> std::io::Result<()> {
    end_with_control_thread();
    let traffic = traffic_runtime(settings.traffic_threads)?;
    // Before any listener starts: without a handler a signal ends the process immediately.
    let (signals, hangups) = {
        let _runtime = traffic.enter();
        (StopSignals::receive()?, reload::receive_hangups()?)
    };
    let (control, events) = ControlHandle::new();
    let shared = Arc::new_cyclic(|shared| assemble(settings, ports, control, traffic.handle(), shared));
    let listen = shared.settings.listen;
    let peers = traffic.block_on(TcpListener::bind(SocketAddr::from(listen.peer)))?;
    let gossip = std::net::UdpSocket::bind(SocketAddr::from(listen.gossip))?;
    gossip.set_nonblocking(true)?;
    let listeners = traffic.block_on(Listeners::start(&shared, ports.layout))?;
    traffic.spawn(peer_server::serve(shared.clone(), peers));
    start_control(shared.clone(), events, gossip, ports.clone())?;
    traffic.spawn(reload::reload_on_hangup(shared.clone(), arguments, hangups));
    info!(
        member = listen.gossip.to_string().as_str(),
        service = shared.settings.service.as_str(),
        incarnation = shared.incarnation.to_string().as_str();
        "started"
    );
    traffic.block_on(until_stopped(&shared, listeners, signals));
    info!("stopped");
    // The listeners' own graceful shutdown is not used: it leaves new connections hanging and waits for idle ones. Up to this point every
    // request was answered with `Connection: close`.
    traffic.shutdown_background();
    Ok(())
}

/// The runtime of the traffic threads. A single thread needs no work-stealing scheduler.
fn traffic_runtime(threads: usize) -> std::io::Result<Runtime> {
    if threads == 1 {
        return Builder::new_current_thread().enable_all().build();
    }
    Builder::new_multi_thread().worker_threads(threads).thread_name("traffic").enable_all().build()
}

/// Creates the shared state of the daemon. Its connections to other daemons run on `traffic` and report to `host`, a weak reference
/// to the returned value.
fn assemble(
    settings: Settings,
    ports: &Ports,
    control: ControlHandle,
    traffic: &Handle,
    host: &Weak<Shared>,
) -> Shared {
    let metrics = Arc::new(Metrics::new());
    let incarnation = new_incarnation();
    let conventions = ports.conventions.clone();
    let pool = PeerPool::new(traffic.clone(), host.clone());
    let published = Arc::new(ArcSwap::from_pointee(Snapshot::default()));
    let claims = Arc::new(ClaimState::default());
    let claimant = Claimant::new(
        settings.advertise.peer,
        incarnation,
        claims.clone(),
        pool.clone(),
        published.clone(),
        control.clone(),
    );
    Shared {
        incarnation,
        server: Arc::new(local_server(&settings, incarnation, &metrics, &conventions)),
        suspects: Arc::default(),
        conventions,
        pool,
        claims,
        claimant,
        limits: Arc::new(shared_limits(&settings)),
        entry_floors: EntryFloors::default(),
        chain_costs: ChainCosts::default(),
        control,
        published,
        lifecycle: DaemonLifecycle::starting(settings.grace),
        intake: Arc::default(),
        unwritten: UnwrittenMessages::default(),
        shutdown_acks: ShutdownAcks::default(),
        next_call: AtomicU64::new(1),
        metrics,
        settings,
    }
}

/// Creates the state of the back end beside the daemon from the settings.
fn local_server(
    settings: &Settings,
    incarnation: Incarnation,
    metrics: &Arc<Metrics>,
    conventions: &Arc<dyn HttpConventions>,
) -> LocalServer {
    let registers = settings.listen.registry.is_some();
    let earlier =
        if settings.first_start { EarlierCalls::none() } else { EarlierCalls::before(clock::now()) };
    let gate = AdmissionGate::new(AdmissionPolicy::for_slots(settings.slots), metrics.clone());
    LocalServer {
        notices: BackEndNotices::new(gate.clone(), metrics.clone()),
        gate,
        running: RunningCalls::new(incarnation, earlier),
        backend: Backend::new(settings.backend, conventions.clone(), metrics.clone()),
        instances: if registers { Instances::registered() } else { Instances::fixed() },
        crashes: CrashTracker::new(incarnation),
    }
}

/// Creates the limits that all daemons enforce together from the settings.
fn shared_limits(settings: &Settings) -> SharedLimits {
    SharedLimits {
        retry_budget: RetryBudget::new(settings.retries),
        call_times: CallTimes::default(),
        service_floors: ServiceFloors::default(),
        peer_notices: PeerNotices::default(),
        freshness: Freshness::new(settings.revocation),
        quota: Quota::new(settings.quota),
    }
}

/// A new incarnation, greater than any earlier one at this address unless the wall clock was set back; in that case membership chooses a
/// greater one.
fn new_incarnation() -> Incarnation {
    // A clock before the epoch is treated as being at the epoch.
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(now.as_micros() as u64)
}

fn start_control(
    shared: Arc<Shared>,
    events: mpsc::UnboundedReceiver<ControlEvent>,
    gossip: std::net::UdpSocket,
    ports: Ports,
) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name(CONTROL_THREAD.into()).spawn(move || {
        runtime.block_on(async {
            match UdpSocket::from_std(gossip) {
                Ok(socket) => ControlThread::new(shared, events, socket, &ports).run().await,
                Err(problem) => error!(error = problem.to_string().as_str(); "gossip socket failed"),
            }
        });
    })?;
    Ok(())
}
