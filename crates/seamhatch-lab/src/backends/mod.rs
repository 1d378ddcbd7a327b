//! Stand-ins for the back ends of a deployment: each has slots and service times, calls other services through the daemon
//! beside it, misbehaves as its [`Behaviour`] says, and logs what it ran.
//!
//! One HTTP server serves them all and tells them apart by the address that a request was sent to. Tests, `demo`, experiments and the soak
//! start them with a [`Deployment`](crate::deployment::Deployment).

mod behaviour;
mod body;
mod server;

pub use behaviour::{Behaviour, NO_PACE, NO_RATE};
pub(crate) use server::AWAY;

use crate::http_stand_in::HttpStandIn;
use crate::process::LabMachine;
use crate::relays::BackendRelays;
use crate::topology::Topology;
use bytes::Bytes;
use http_body_util::Full;
use seamhatch_core::identity::Address;
use seamhatchd::base::http_client::{HttpClient, http_client};
use server::StandInBackend;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Header in which a caller names its request; back ends pass it on.
pub const REQUEST_HEADER: &str = "x-request";
/// Header that names a request, or one of its calls, in logs: the request, then a dot and a service for each call down to it.
pub const CALL_HEADER: &str = "x-call";
/// A path with this part crashes each back end that runs the request and has a relay.
pub const DEADLY_PATH: &str = "/deadly-";
/// A path with this part crashes each back end that runs a call of the request which makes no calls itself.
pub const DEEP_DEADLY_PATH: &str = "/deep-deadly-";
/// Calls of callers with this in their path get a large answer.
pub const LARGE_PATH: &str = "/large-";
/// Bytes of a large answer: more than sockets hold for a caller that doesn't read.
const LARGE_ANSWER: usize = 4_000_000;
/// Threads that serve all back ends of a deployment.
const THREADS: usize = 2;

/// One run of a request in a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    /// Service of the back end.
    pub service: String,
    /// Address of its machine.
    pub server: String,
    /// The caller's name of the request.
    pub request: String,
    /// Method and path.
    pub call: String,
    /// Services and endpoints that the request passed, from the entry to here.
    pub trail: String,
    /// When it began.
    pub began: Instant,
    /// It crashes the back end.
    pub is_deadly: bool,
}

/// How back ends reach each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallMode {
    /// Through the daemon beside them.
    ThroughDaemon,
    /// Straight to a random server, without any overload control.
    Direct,
}

/// All back ends of a deployment.
pub struct Backends {
    state: Arc<State>,
    _server: HttpStandIn,
}

/// What the back ends of a deployment share.
struct State {
    by_host: HashMap<String, StandInBackend>,
    by_service: HashMap<String, Vec<Address>>,
    mode: CallMode,
    relays: Option<BackendRelays>,
    client: HttpClient<Full<Bytes>>,
    log: Mutex<Vec<Execution>>,
    running: AtomicU64,
}

impl Backends {
    /// Starts a back end on each machine. With `relays`, which own the back ends' addresses, it listens behind its relay.
    ///
    /// # Errors
    /// An address can't be bound.
    pub fn start(
        topology: &Topology,
        machines: &[LabMachine],
        mode: CallMode,
        relays: Option<BackendRelays>,
    ) -> std::io::Result<Self> {
        let listen_address = if relays.is_some() { LabMachine::behind_relay } else { LabMachine::backend };
        let state = Arc::new(State {
            by_host: by_host(topology, machines),
            by_service: by_service(machines),
            mode,
            relays,
            client: http_client(),
            log: Mutex::default(),
            running: AtomicU64::new(0),
        });
        let serving = state.clone();
        let answer = move |request| server::handle(serving.clone(), request);
        let server = HttpStandIn::start("backends", machines.iter().map(listen_address), THREADS, answer)?;
        Ok(Self { state, _server: server })
    }

    /// The behaviour of the back end on a machine.
    ///
    /// # Panics
    /// The machine has none.
    #[must_use]
    pub fn behaviour(&self, machine: &LabMachine) -> Arc<Behaviour> {
        self.state.by_host[&machine.backend().to_string()].behaviour.clone()
    }

    /// Changes the behaviour of all back ends of a service.
    pub fn change(&self, service: &str, change: impl Fn(&Behaviour)) {
        let backends = self.state.by_host.values();
        backends
            .filter(|backend| backend.machine.service == service)
            .for_each(|backend| change(&backend.behaviour));
    }

    /// All executions so far.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.state.log.lock().expect("log lock").clone()
    }

    /// Number of executions so far.
    #[must_use]
    pub fn execution_count(&self) -> usize {
        self.state.log.lock().expect("log lock").len()
    }

    /// Requests that run now.
    #[must_use]
    pub fn running(&self) -> u64 {
        self.state.running.load(Ordering::Acquire)
    }
}

fn by_host(topology: &Topology, machines: &[LabMachine]) -> HashMap<String, StandInBackend> {
    let backend = |machine: &LabMachine| {
        let service = topology.service(&machine.service);
        let endpoints = service.map(|service| service.endpoints.clone()).unwrap_or_default();
        (machine.backend().to_string(), StandInBackend::new(machine.clone(), endpoints))
    };
    machines.iter().map(backend).collect()
}

fn by_service(machines: &[LabMachine]) -> HashMap<String, Vec<Address>> {
    let mut by_service: HashMap<String, Vec<Address>> = HashMap::new();
    for machine in machines {
        by_service.entry(machine.service.clone()).or_default().push(machine.backend());
    }
    by_service
}

/// Counts a request as running until it is dropped with the request's answer.
struct RunningGuard(Arc<State>);

impl RunningGuard {
    fn new(state: &Arc<State>) -> Self {
        state.running.fetch_add(1, Ordering::AcqRel);
        Self(state.clone())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}
