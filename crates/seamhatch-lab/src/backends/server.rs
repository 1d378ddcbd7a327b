//! One back end: waits for a slot, works for its service time, makes its calls to other services, and answers.

use super::behaviour::Behaviour;
use super::body::streamed;
use super::{
    CALL_HEADER, CallMode, DEADLY_PATH, DEEP_DEADLY_PATH, Execution, LARGE_ANSWER, LARGE_PATH,
    REQUEST_HEADER, RunningGuard, State,
};
use crate::bodies;
use crate::http_stand_in::{StandInRequest, text_response};
use crate::process::LabMachine;
use crate::topology::{ChildCall, Endpoint};
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use xitca_web::http::WebResponse;

/// Header in which back ends pass on the calls that led to this one, so that the same call by two parents can be
/// distinguished from a repeat.
const TRAIL_HEADER: &str = "x-trail";
/// How long a request that crashes its back end runs.
const TIME_TO_CRASH: Duration = Duration::from_millis(10);
/// How long a crashed back end is away.
pub(crate) const AWAY: Duration = Duration::from_millis(600);
/// Longest wait for a call of a back end without any overload control.
const DIRECT_TIMEOUT: Duration = Duration::from_secs(1);

/// One back end.
#[derive(Debug)]
pub(super) struct StandInBackend {
    pub machine: LabMachine,
    pub behaviour: Arc<Behaviour>,
    endpoints: Vec<Endpoint>,
    slots: Semaphore,
}

/// What a back end reads of a request.
struct Incoming {
    method: Method,
    path: String,
    request: String,
    call: String,
    trail: String,
    context: Option<String>,
}

impl Incoming {
    fn of(parts: Parts) -> Self {
        Self {
            request: header(&parts, REQUEST_HEADER).unwrap_or_default(),
            call: header(&parts, CALL_HEADER).unwrap_or_default(),
            trail: header(&parts, TRAIL_HEADER).unwrap_or_default(),
            context: header(&parts, seamhatchd::conventions::headers::CONTEXT),
            path: parts.uri.path().to_owned(),
            method: parts.method,
        }
    }
}

fn header(parts: &Parts, name: &str) -> Option<String> {
    parts.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

/// Answers a request with the back end that it was sent to.
pub(super) async fn handle(state: Arc<State>, request: StandInRequest) -> WebResponse {
    let (parts, _) = request.into_parts();
    let host = header(&parts, "host").unwrap_or_default();
    match state.by_host.get(&host) {
        Some(backend) => {
            let mut response = backend.run(&state, Incoming::of(parts)).await;
            backend.behaviour.add_notices(response.headers_mut());
            response
        }
        None => status(StatusCode::MISDIRECTED_REQUEST),
    }
}

fn status(status: StatusCode) -> WebResponse {
    text_response(status, status.as_str().to_owned())
}

impl StandInBackend {
    pub fn new(machine: LabMachine, endpoints: Vec<Endpoint>) -> Self {
        let slots = Semaphore::new(machine.slots as usize);
        Self { machine, behaviour: Arc::default(), endpoints, slots }
    }

    async fn run(&self, state: &Arc<State>, incoming: Incoming) -> WebResponse {
        let Some(endpoint) = self.endpoint(&incoming.path) else { return status(StatusCode::NOT_FOUND) };
        let is_deadly = endpoint.is_crashed_by(&incoming.path);
        self.record(state, &incoming, is_deadly);
        let guard = RunningGuard::new(state);
        let Ok(_slot) = self.slots.acquire().await else { return status(StatusCode::SERVICE_UNAVAILABLE) };
        if is_deadly && self.crash(state).await {
            // Nobody reads it: the connection ends with the back end, which makes no calls any more.
            return status(StatusCode::BAD_GATEWAY);
        }
        if self.behaviour.failing.load(Ordering::Relaxed) {
            return status(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let percent = self.behaviour.slowdown_percent.load(Ordering::Relaxed);
        let is_steady = self.behaviour.steady.load(Ordering::Relaxed);
        let work = if is_steady { endpoint.work } else { service_time(endpoint.work) };
        tokio::time::sleep(work * percent / 100).await;
        for call in &endpoint.calls {
            if !self.call(state, &incoming, call).await {
                return status(StatusCode::BAD_GATEWAY);
            }
        }
        self.answer(endpoint, &incoming, guard)
    }

    fn endpoint(&self, path: &str) -> Option<&Endpoint> {
        self.endpoints.iter().find(|endpoint| path.split('/').any(|segment| segment == endpoint.name))
    }

    fn record(&self, state: &State, incoming: &Incoming, is_deadly: bool) {
        state.log.lock().expect("log lock").push(Execution {
            service: self.machine.service.clone(),
            server: self.machine.ip.to_string(),
            request: incoming.request.clone(),
            call: format!("{} {}", incoming.method, incoming.path),
            trail: incoming.trail.clone(),
            began: Instant::now(),
            is_deadly,
        });
    }

    /// Ends this back end's connections; false where it has no relay and can't crash.
    async fn crash(&self, state: &State) -> bool {
        let Some(relays) = &state.relays else { return false };
        tokio::time::sleep(TIME_TO_CRASH).await;
        relays.crash_for(self.machine.ip, AWAY);
        true
    }

    /// Calls another service until it answers, as often as this back end repeats failed calls; false when no attempt succeeds.
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
        let Some(request) = self.call_request(state, incoming, call) else { return false };
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

    fn call_request(
        &self,
        state: &State,
        incoming: &Incoming,
        call: &ChildCall,
    ) -> Option<Request<Full<Bytes>>> {
        let number = incoming.path.rsplit('/').next().unwrap_or_default();
        let mut request = Request::builder()
            .method(call.method.as_str())
            .uri(self.call_uri(state, call, number)?)
            .header(TRAIL_HEADER, format!("{}>{}/{}", incoming.trail, call.service, call.endpoint))
            .header(CALL_HEADER, format!("{}.{}", incoming.call, call.service))
            .header(REQUEST_HEADER, &incoming.request);
        if let Some(context) = &incoming.context {
            request = request.header(seamhatchd::conventions::headers::CONTEXT, context);
        }
        request.body(Full::new(Bytes::new())).ok()
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
        let is_large = incoming.trail.is_empty() && incoming.path.contains(LARGE_PATH);
        let size = if is_large { LARGE_ANSWER } else { endpoint.answer_bytes };
        let body = bodies::make(&incoming.request, &incoming.path, size);
        let cut = self.behaviour.cuts_answers.load(Ordering::Relaxed);
        let mut response = WebResponse::new(streamed(body, cut, guard));
        if self.behaviour.forges_outcome.load(Ordering::Relaxed) {
            let forged = HeaderValue::from_static("not-run");
            response.headers_mut().insert(seamhatchd::conventions::headers::OUTCOME, forged);
        }
        response
    }
}

impl Endpoint {
    /// Whether a call with this path ends the back end that runs it.
    fn is_crashed_by(&self, path: &str) -> bool {
        path.contains(DEADLY_PATH) || (self.calls.is_empty() && path.contains(DEEP_DEADLY_PATH))
    }
}

/// A drawn service time: half of the mean is fixed, the other half exponential.
fn service_time(mean: Duration) -> Duration {
    let uniform: f64 = rand::random::<f64>().max(1e-9);
    mean.mul_f64(0.5 - 0.5 * uniform.ln())
}
