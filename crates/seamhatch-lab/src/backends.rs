//! Stand-in back ends: slots, service times, calls to other services through
//! the daemon beside them, and a log of what they ran.

use crate::bodies;
use crate::http_stand_in::{HttpStandIn, StandInRequest, text_response};
use crate::process::Machine;
use crate::relays::BackendRelays;
use crate::topology::{ChildCall, Endpoint, Topology};
use bytes::Bytes;
use futures_util::stream;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use seamhatch_core::identity::Address;
use seamhatchd::server::backend::{HttpClient, http_client};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Semaphore;
use xitca_web::body::{ResponseBody, StreamDataBody};
use xitca_web::http::WebResponse;

/// Header in which a caller names its request; back ends pass it on.
pub const REQUEST_HEADER: &str = "x-request";
/// Header that names a request or a call of one in logs: the request, then a dot and a service for each call down to it.
pub const CALL_HEADER: &str = "x-call";
/// Header in which back ends tell the calls that led to one, so that the same
/// call by two parents can be told from a repeat.
const TRAIL_HEADER: &str = "x-trail";
/// Part of the paths whose requests end each back end that runs them, where it has a relay.
pub const DEADLY: &str = "/deadly-";
/// How long such a request runs.
const TIME_TO_DIE: Duration = Duration::from_millis(10);
/// How long the back end is away then.
const AWAY: Duration = Duration::from_millis(600);
/// Threads that all back ends of a deployment share.
const THREADS: usize = 2;
/// Pieces in which a large answer is written.
const PIECE: usize = 32 * 1024;

/// One run of a request in a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    /// Service.
    pub service: String,
    /// Server's machine address.
    pub server: String,
    /// The caller's name of the request.
    pub request: String,
    /// Method and path.
    pub call: String,
    /// Services and endpoints from the entry to here.
    pub trail: String,
}

/// How one back end behaves; changed while it runs.
#[derive(Debug)]
pub struct Behaviour {
    /// Service time is multiplied by this percentage.
    pub slowdown_percent: AtomicU32,
    /// Answers 500 instead of working.
    pub failing: AtomicBool,
    /// Closes the connection in the middle of an answer.
    pub cuts_answers: AtomicBool,
    /// Sets a forged outcome header on its answers.
    pub forges_outcome: AtomicBool,
    /// Times that it repeats a failed call by itself.
    pub own_retries: AtomicU32,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slowdown_percent: AtomicU32::new(100),
            failing: AtomicBool::new(false),
            cuts_answers: AtomicBool::new(false),
            forges_outcome: AtomicBool::new(false),
            own_retries: AtomicU32::new(0),
        }
    }
}

/// How back ends reach each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallMode {
    /// Through the daemon beside them.
    ThroughDaemon,
    /// Straight to a random server, as without any control.
    Direct,
}

/// Longest wait of a back end for a call of its own without any control.
const DIRECT_TIMEOUT: Duration = Duration::from_secs(1);

/// One back end.
#[derive(Debug)]
struct Backend {
    machine: Machine,
    endpoints: Vec<Endpoint>,
    slots: Semaphore,
    behaviour: Arc<Behaviour>,
}

/// All back ends of a deployment.
pub struct Backends {
    state: Arc<State>,
    _server: HttpStandIn,
}

struct State {
    by_host: HashMap<String, Backend>,
    log: Mutex<Vec<Execution>>,
    running: AtomicU64,
    client: HttpClient<Full<Bytes>>,
    mode: CallMode,
    relays: Option<BackendRelays>,
    by_service: HashMap<String, Vec<Address>>,
}

impl Backends {
    /// Starts a back end on each machine.
    ///
    /// With `relays`, these have the back ends' addresses.
    ///
    /// # Errors
    /// An address can't be bound.
    pub fn start(
        topology: &Topology,
        machines: &[Machine],
        mode: CallMode,
        relays: Option<BackendRelays>,
    ) -> std::io::Result<Self> {
        let by_host = machines.iter().map(|machine| {
            let endpoints = topology.service(&machine.service).map(|service| service.endpoints.clone());
            let backend = Backend {
                machine: machine.clone(),
                endpoints: endpoints.unwrap_or_default(),
                slots: Semaphore::new(machine.slots as usize),
                behaviour: Arc::default(),
            };
            (machine.backend().to_string(), backend)
        });
        let mut by_service: HashMap<String, Vec<Address>> = HashMap::new();
        for machine in machines {
            by_service.entry(machine.service.clone()).or_default().push(machine.backend());
        }
        let listens = |machine: &Machine| match relays {
            Some(_) => machine.behind_relay(),
            None => machine.backend(),
        };
        let addresses: Vec<Address> = machines.iter().map(listens).collect();
        let state = Arc::new(State {
            mode,
            relays,
            by_service,
            by_host: by_host.collect(),
            log: Mutex::default(),
            running: AtomicU64::new(0),
            client: http_client(),
        });
        let serving = state.clone();
        let answering = move |request| handle(serving.clone(), request);
        let server = HttpStandIn::start("backends", addresses.into_iter(), THREADS, answering)?;
        Ok(Self { state, _server: server })
    }

    /// The behaviour of the back end on a machine.
    ///
    /// # Panics
    /// The machine has none.
    #[must_use]
    pub fn behaviour(&self, machine: &Machine) -> Arc<Behaviour> {
        self.state.by_host[&machine.backend().to_string()].behaviour.clone()
    }

    /// Changes the behaviour of all servers of a service.
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

    /// Executions so far, by number only.
    #[must_use]
    pub fn execution_count(&self) -> usize {
        self.state.log.lock().expect("log lock").len()
    }

    /// Requests that run at present.
    #[must_use]
    pub fn running(&self) -> u64 {
        self.state.running.load(Ordering::Acquire)
    }
}

struct RunningGuard(Arc<State>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

struct Incoming {
    method: Method,
    path: String,
    request: String,
    call: String,
    trail: String,
    context: Option<String>,
}

async fn handle(state: Arc<State>, request: StandInRequest) -> WebResponse {
    let (parts, _) = request.into_parts();
    let header =
        |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let incoming = Incoming {
        request: header(REQUEST_HEADER).unwrap_or_default(),
        call: header(CALL_HEADER).unwrap_or_default(),
        trail: header(TRAIL_HEADER).unwrap_or_default(),
        context: header(seamhatchd::conventions::headers::CONTEXT),
        path: parts.uri.path().to_owned(),
        method: parts.method,
    };
    let host = header("host").unwrap_or_default();
    let Some(backend) = state.by_host.get(&host) else { return status(StatusCode::MISDIRECTED_REQUEST) };
    backend.run(&state, incoming).await
}

fn status(status: StatusCode) -> WebResponse {
    text_response(status, status.as_str().to_owned())
}

impl Backend {
    async fn run(&self, state: &Arc<State>, incoming: Incoming) -> WebResponse {
        let segments: Vec<&str> = incoming.path.split('/').filter(|segment| !segment.is_empty()).collect();
        let found = self.endpoints.iter().find(|endpoint| segments.contains(&endpoint.name.as_str()));
        let Some(endpoint) = found else { return status(StatusCode::NOT_FOUND) };
        self.record(state, &incoming);
        state.running.fetch_add(1, Ordering::AcqRel);
        let guard = RunningGuard(state.clone());
        let Ok(_slot) = self.slots.acquire().await else { return status(StatusCode::SERVICE_UNAVAILABLE) };
        if incoming.path.contains(DEADLY)
            && let Some(relays) = &state.relays
        {
            tokio::time::sleep(TIME_TO_DIE).await;
            relays.crash_for(self.machine.ip, AWAY);
        }
        if self.behaviour.failing.load(Ordering::Relaxed) {
            return status(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let percent = u64::from(self.behaviour.slowdown_percent.load(Ordering::Relaxed));
        tokio::time::sleep(service_time(endpoint.work) * percent as u32 / 100).await;
        for call in &endpoint.calls {
            if !self.call(state, &incoming, call).await {
                return status(StatusCode::BAD_GATEWAY);
            }
        }
        self.answer(endpoint, &incoming, guard)
    }

    fn record(&self, state: &State, incoming: &Incoming) {
        state.log.lock().expect("log lock").push(Execution {
            service: self.machine.service.clone(),
            server: self.machine.ip.to_string(),
            request: incoming.request.clone(),
            call: format!("{} {}", incoming.method, incoming.path),
            trail: incoming.trail.clone(),
        });
    }

    /// Calls another service through the daemon beside this back end, and again if it is set to.
    async fn call(&self, state: &State, incoming: &Incoming, call: &ChildCall) -> bool {
        let attempts = 1 + self.behaviour.own_retries.load(Ordering::Relaxed);
        for _ in 0..attempts {
            if self.call_once(state, incoming, call).await {
                return true;
            }
        }
        false
    }

    async fn call_once(&self, state: &State, incoming: &Incoming, call: &ChildCall) -> bool {
        let number = incoming.path.rsplit('/').next().unwrap_or_default();
        let Some(uri) = self.call_uri(state, call, number) else { return false };
        let trail = format!("{}>{}/{}", incoming.trail, call.service, call.endpoint);
        let mut request = Request::builder()
            .method(call.method.as_str())
            .uri(uri)
            .header(TRAIL_HEADER, trail)
            .header(CALL_HEADER, format!("{}.{}", incoming.call, call.service))
            .header(REQUEST_HEADER, &incoming.request);
        if let Some(context) = &incoming.context {
            request = request.header(seamhatchd::conventions::headers::CONTEXT, context);
        }
        let Ok(request) = request.body(Full::new(Bytes::new())) else { return false };
        let exchange = async {
            let response = state.client.request(request).await.ok()?;
            if !response.status().is_success() {
                return None;
            }
            let body = response.into_body().collect().await.ok()?;
            Some(bodies::is_whole(&body.to_bytes(), &incoming.request))
        };
        match state.mode {
            // The daemon answers by the deadline.
            CallMode::ThroughDaemon => exchange.await == Some(true),
            CallMode::Direct => tokio::time::timeout(DIRECT_TIMEOUT, exchange).await == Ok(Some(true)),
        }
    }

    fn call_uri(&self, state: &State, call: &ChildCall, number: &str) -> Option<String> {
        if state.mode == CallMode::ThroughDaemon {
            let egress = self.machine.egress();
            return Some(format!("http://{egress}/{}/{}/{number}", call.service, call.endpoint));
        }
        let servers = state.by_service.get(&call.service)?;
        let server = servers[rand::random_range(0..servers.len())];
        Some(format!("http://{server}/{}/{number}", call.endpoint))
    }

    fn answer(&self, endpoint: &Endpoint, incoming: &Incoming, guard: RunningGuard) -> WebResponse {
        let body = bodies::make(&incoming.request, &incoming.path, endpoint.answer_bytes);
        let cut = self.behaviour.cuts_answers.load(Ordering::Relaxed);
        let mut response = WebResponse::new(streamed(body, cut, guard));
        if self.behaviour.forges_outcome.load(Ordering::Relaxed) {
            let forged = http::HeaderValue::from_static("not-run");
            response.headers_mut().insert(seamhatchd::conventions::headers::OUTCOME, forged);
        }
        response
    }
}

/// A body in pieces; when it is cut, the second half fails.
fn streamed(body: Vec<u8>, cut: bool, guard: RunningGuard) -> ResponseBody {
    let bytes = Bytes::from(body);
    let end = if cut { bytes.len() / 2 } else { bytes.len() };
    let state = Some((bytes, 0, end, guard));
    let pieces = stream::unfold(state, move |state| async move {
        let (bytes, start, end, guard) = state?;
        if start >= end {
            return if cut { Some((Err(std::io::Error::other("cut")), None)) } else { None };
        }
        let next = (start + PIECE).min(end);
        Some((Ok(bytes.slice(start..next)), Some((bytes, next, end, guard))))
    });
    ResponseBody::boxed(StreamDataBody::new(pieces))
}

/// Half of the mean is fixed, the other half exponential.
fn service_time(mean: Duration) -> Duration {
    let uniform: f64 = rand::random::<f64>().max(1e-9);
    mean.mul_f64(0.5 - 0.5 * uniform.ln())
}
