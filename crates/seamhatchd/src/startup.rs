//! Starting and stopping the daemon.

use crate::backend::Backend;
use crate::claims::{ClaimRecords, Witnesses};
use crate::clock;
use crate::controllers::{ControlHandle, ControlThread, DrainTarget};
use crate::filters::EntryFloors;
use crate::gate::AdmissionGate;
use crate::listeners::{self, Listener};
use crate::logging;
use crate::metrics::Metrics;
use crate::peer::{self, PeerPool};
use crate::retry_budget::RetryBudget;
use crate::running::RunningCalls;
use crate::settings::{self, Invocation, Settings};
use crate::shared::Shared;
use crate::snapshot::Snapshot;
use arc_swap::ArcSwap;
use log::{error, info, warn};
use seamhatch_core::Instant;
use seamhatch_core::admission::AdmissionPolicy;
use seamhatch_core::identity::Incarnation;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::{Builder, Handle};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;
/// Callers and daemons have at least this long to learn that this one leaves.
const SHORTEST_DRAIN: Duration = Duration::from_secs(2);
/// Longest wait for requests in progress at a planned stop.
const LONGEST_DRAIN: Duration = Duration::from_secs(300);
/// Pause between two looks at what is in progress.
const DRAIN_POLL: Duration = Duration::from_millis(10);
/// Nothing must be in progress for this long before the process ends.
const QUIET_TO_STOP: Duration = Duration::from_millis(100);

/// The daemon's program.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    match settings::from_arguments(arguments) {
        Ok(Invocation::Help) => {
            print!("{}", settings::HELP);
            ExitCode::SUCCESS
        }
        Ok(Invocation::Version) => {
            println!("seamhatchd {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Invocation::Check(_)) => {
            println!("settings are valid");
            ExitCode::SUCCESS
        }
        Ok(Invocation::Run(settings)) => serve(*settings),
        Err(error) => {
            eprintln!("seamhatchd: {error}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

fn serve(settings: Settings) -> ExitCode {
    if let Err(error) = logging::start(&settings.log) {
        eprintln!("seamhatchd: {error}");
    }
    match try_serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            error!(error = problem.to_string().as_str(); "the daemon can't start; check the listen addresses");
            ExitCode::FAILURE
        }
    }
}

fn try_serve(settings: Settings) -> std::io::Result<()> {
    let traffic = Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let (control, events) = ControlHandle::new();
    let shared = Arc::new(assemble(settings, control, traffic.handle()));
    let listen = shared.settings.listen;
    let peers = traffic.block_on(TcpListener::bind(SocketAddr::from(listen.peer)))?;
    let gossip = std::net::UdpSocket::bind(SocketAddr::from(listen.gossip))?;
    gossip.set_nonblocking(true)?;
    let listeners = listeners::start(&shared)?;
    traffic.spawn(peer::serve(shared.clone(), peers));
    start_control(shared.clone(), events, gossip)?;
    info!(
        member = listen.gossip.to_string().as_str(),
        service = shared.settings.service.as_str(),
        incarnation = shared.incarnation.to_string().as_str();
        "started"
    );
    traffic.block_on(until_stopped(&shared, &listeners))?;
    info!("stopped");
    // Not the listeners' own graceful stop: it lets new connections hang, and waits for idle
    // ones. Until here each request was answered with `Connection: close`.
    drop(listeners);
    traffic.shutdown_background();
    Ok(())
}

/// The shared parts of one daemon; its connections to others live on `traffic`.
#[must_use]
pub fn assemble(settings: Settings, control: ControlHandle, traffic: &Handle) -> Shared {
    let metrics = Arc::new(Metrics::new());
    let incarnation = new_incarnation();
    Shared {
        incarnation,
        gate: AdmissionGate::new(AdmissionPolicy::for_slots(settings.slots), metrics.clone()),
        running: RunningCalls::new(incarnation),
        backend: Backend::new(settings.backend),
        pool: PeerPool::new(traffic.clone()),
        witnesses: Witnesses::default(),
        records: ClaimRecords::default(),
        retry_budget: RetryBudget::default(),
        entry_floors: EntryFloors::default(),
        control,
        published: ArcSwap::from_pointee(Snapshot::default()),
        draining: AtomicBool::new(false),
        drain_started: tokio::sync::Notify::new(),
        ready: AtomicBool::new(false),
        open_requests: Arc::default(),
        next_call: AtomicU64::new(1),
        metrics,
        settings,
    }
}

/// Larger than any earlier one at this address unless the wall clock was set
/// back; membership heals that case by taking a larger one still.
fn new_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(now.as_micros() as u64)
}

fn start_control(
    shared: Arc<Shared>,
    events: tokio::sync::mpsc::UnboundedReceiver<crate::controllers::ControlEvent>,
    gossip: std::net::UdpSocket,
) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("control".into()).spawn(move || {
        runtime.block_on(async {
            match UdpSocket::from_std(gossip) {
                Ok(socket) => ControlThread::new(shared, events, socket).run().await,
                Err(problem) => error!(error = problem.to_string().as_str(); "gossip socket failed"),
            }
        });
    })?;
    Ok(())
}

async fn until_stopped(shared: &Arc<Shared>, listeners: &[Listener]) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!("stop requested");
    shared.control.drain(DrainTarget::Own).await;
    tokio::select! {
        () = drained(shared, listeners) => {}
        _ = terminate.recv() => warn!("second stop request: work in progress is cut off"),
        _ = interrupt.recv() => warn!("second stop request: work in progress is cut off"),
    }
    shared.control.leave().await;
    Ok(())
}

/// Waits until the work in progress is done: first with callers still told to
/// go elsewhere, then with their new connections refused, so that none is
/// accepted at the very end and cut off.
async fn drained(shared: &Shared, listeners: &[Listener]) {
    let started = clock::now();
    until_quiet(shared, started, SHORTEST_DRAIN).await;
    listeners.iter().for_each(Listener::refuse_connections);
    until_quiet(shared, started, Duration::ZERO).await;
    if shared.in_flight() > 0 {
        warn!(in_flight = shared.in_flight(); "work is still in progress after the longest drain");
    }
}

/// Waits until nothing was in progress for [`QUIET_TO_STOP`], for at least
/// `shortest` and at most [`LONGEST_DRAIN`] since `started`.
async fn until_quiet(shared: &Shared, started: Instant, shortest: Duration) {
    let since = |instant| Duration::from_micros(clock::now().since(instant));
    let mut busy_until = clock::now();
    while since(started) < LONGEST_DRAIN {
        if shared.in_flight() > 0 {
            busy_until = clock::now();
        }
        if since(started) >= shortest && since(busy_until) >= QUIET_TO_STOP {
            return;
        }
        tokio::time::sleep(DRAIN_POLL).await;
    }
}
