//! Processes one request at a traffic listener: filters, the tenant's quota, dispatch, and the response.
//!
//! [`RequestHandler::handle`] is the entry point. The filter chain classifies and checks the request, `dispatch`
//! sends it to a back end, and `responses` builds the response. Quotas are charged here and not in a filter,
//! because fetching tokens may wait for another daemon and filters don't wait.

use crate::base::clock;
use crate::conventions::headers;
use crate::dispatch::{self, Answer, CallResult, ReplayBody};
use crate::filters::{self, Entry, FilterChain, Rejection, RequestState};
use crate::intake::{AcceptedRequest, RequestEntry, RequestStage};
use crate::limits::quota::QuotaPermit;
use crate::listeners::body::{self, CallerBody};
use crate::listeners::connection::{ConnectionRequests, TrackedBody};
use crate::listeners::pipelined::PipelinedRequest;
use crate::shared::Shared;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, Version};
use hyper::body::{Body, Incoming};
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::identity::RootId;
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_policy::{LimitSettings, host_name};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinError;

/// Interval between two checks whether a starting daemon can route requests.
const START_POLL: Duration = Duration::from_millis(5);

/// Time after its deadline at which a request is answered whatever it waits for, in microseconds. Each wait ends at the
/// deadline by itself and knows best what became of the request.
const OVERDUE_MARGIN: Microseconds = 100 * MILLISECOND;

/// Handles the requests of one listener.
pub struct RequestHandler {
    pub(super) shared: Arc<Shared>,
    entry: Entry,
    pub(super) chain: FilterChain,
}

impl RequestHandler {
    /// A handler for requests from outside.
    pub fn ingress(shared: Arc<Shared>) -> Self {
        Self { shared, entry: Entry::Ingress, chain: filters::ingress_chain() }
    }

    /// A handler for calls of the back end beside this daemon.
    pub fn egress(shared: Arc<Shared>) -> Self {
        Self { shared, entry: Entry::Egress, chain: filters::egress_chain() }
    }

    /// A handler for both at one listener.
    pub fn shared(shared: Arc<Shared>) -> Self {
        Self { shared, entry: Entry::Shared, chain: filters::shared_chain() }
    }

    /// The limits on the size and duration of callers' requests in the configuration in force.
    pub fn limits(&self) -> LimitSettings {
        let snapshot = self.shared.snapshot();
        // Without a configuration, every request is rejected; the defaults limit its connection.
        snapshot.configuration().map(|configuration| *configuration.limits()).unwrap_or_default()
    }

    /// Waits until there is a configuration and a server for each of its services, at most for `longest`.
    pub async fn until_can_route(&self, longest: Duration) {
        let end = tokio::time::Instant::now() + longest;
        while !self.shared.snapshot().has_servers_for_all_services() && tokio::time::Instant::now() < end {
            tokio::time::sleep(START_POLL).await;
        }
    }

    /// Answers one request, or refuses it if the intake is closed. `pipelined` is the request if it was accepted
    /// before the library read it. Dropping the future cancels the request, unless its answer is recorded for
    /// repeats.
    pub async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        pipelined: Option<PipelinedRequest>,
        connection: Arc<ConnectionRequests>,
    ) -> Result<Response<TrackedBody>, Infallible> {
        let version = request.version();
        let mut response = match pipelined {
            Some(pipelined) => self.clone().answer_pipelined(pipelined, &connection).await,
            None => self.clone().answer_read(request, &connection).await,
        };
        // The drain state is read first: once the daemon drains, no pipelined request is started any more.
        if self.shared.is_draining() && connection.try_close_after_this() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let has_length =
            response.headers().contains_key(CONTENT_LENGTH) || response.body().size_hint().exact().is_some();
        let is_close_delimited = version < Version::HTTP_11 && !has_length;
        Ok(response.map(|body| TrackedBody::new(body, connection, is_close_delimited)))
    }

    /// Answers a request that was not accepted before the library read it.
    async fn answer_read(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: &ConnectionRequests,
    ) -> Response<CallerBody> {
        let accepted = self.shared.intake.accept(RequestEntry::Listener);
        let (parts, body) = request.into_parts();
        let mut request = self.request_state(&parts);
        let Ok(accepted) = accepted else {
            return self.reject(&request, &filters::stopping_rejection(&request));
        };
        connection.hold(accepted.clone());
        request.progress = accepted.progress().clone();
        request.progress.set_name(request.log_name());
        if let Err(rejection) = filters::run_chain(&self.chain, &self.shared, &mut request) {
            // A rejected request has no effect, so later requests may run before its answer is written.
            connection.note_repeatable(true);
            return self.reject(&request, &rejection);
        }
        connection.note_repeatable(request.repeatable && request.claim_text.is_none());
        self.answer_filtered(Arc::new(request), Some(body), accepted).await
    }

    /// Answers a request that has passed the filters. If the process is about to end, the request is cut off.
    pub(super) async fn answer_filtered(
        self: Arc<Self>,
        request: Arc<RequestState>,
        body: Option<Incoming>,
        accepted: AcceptedRequest,
    ) -> Response<CallerBody> {
        let answering = async {
            if request.claim_text.is_some() {
                self.clone().answer_detached(request.clone(), body, accepted).await
            } else {
                self.answer(&request, body, accepted).await
            }
        };
        tokio::select! {
            biased;
            response = answering => response,
            () = self.shared.intake.until_cut() => self.reject(&request, &cut_off(&request)),
            () = until_overdue(&request) => self.reject(&request, &overdue(&request)),
        }
    }

    /// Builds the state of a request from its head, according to the HTTP conventions.
    pub(super) fn request_state(&self, parts: &Parts) -> RequestState {
        let conventions = &self.shared.conventions;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let mut fields = headers::passing_fields(&parts.headers, |name| conventions.passes_through(name));
        fields.extend(conventions.entry_fields(&self.shared.settings.service));
        let mut state = RequestState::new(self.entry, parts.method.as_str().to_owned(), path, fields);
        state.terms = conventions.caller_terms(&parts.headers);
        state.host = host_of(parts);
        state.field_bytes = parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        state.body_length = content_length(&parts.headers);
        state
    }

    /// Answers a request on a separate task, so that its answer is recorded for repeats even if the caller
    /// disconnects.
    async fn answer_detached(
        self: Arc<Self>,
        request: Arc<RequestState>,
        body: Option<Incoming>,
        accepted: AcceptedRequest,
    ) -> Response<CallerBody> {
        let root = request.root;
        let handler = self.clone();
        let answering = tokio::spawn(async move { handler.answer(&request, body, accepted).await });
        answering.await.unwrap_or_else(|error| failed_task(root, &error))
    }

    /// Charges a request to its tenant's quota and answers it. The charge is refunded if the request has not run.
    async fn answer(
        &self,
        request: &RequestState,
        body: Option<Incoming>,
        accepted: AcceptedRequest,
    ) -> Response<CallerBody> {
        let quota = self.shared.quota_context();
        let permit = match request.in_time(quota.admit(request.tenant.as_ref())).await {
            Some(Ok(permit)) => permit,
            Some(Err(refusal)) => return self.reject(request, &refusal.into()),
            None => return self.reject(request, &too_late("the tenant's limit could not be asked")),
        };
        let body = match body {
            Some(body) => request.in_time(ReplayBody::read_prefix(body)).await,
            None => Some(Ok(ReplayBody::empty())),
        };
        let body = body.unwrap_or_else(|| Err(too_late("the request body did not arrive")));
        let body = match body {
            Ok(body) => body,
            Err(rejection) => {
                self.refund(permit);
                return self.reject(request, &rejection);
            }
        };
        let result = dispatch::dispatch(&self.shared, request, body).await;
        self.learn_floor(request);
        match result {
            CallResult::Answered(answer) => {
                self.learn_answer_time(request, &answer);
                self.forward(request, *answer, accepted)
            }
            CallResult::Recorded(recorded) => self.replay(request, recorded),
            CallResult::Rejected(rejection) => {
                if rejection.outcome == Outcome::NotRun {
                    self.refund(permit);
                }
                self.reject(request, &rejection)
            }
        }
    }

    /// Returns the charge of a request that has not run.
    fn refund(&self, permit: Option<QuotaPermit>) {
        if let Some(permit) = permit {
            permit.refund(&self.shared.limits.quota);
        }
    }

    /// Records the lowest admission floor that the request's chain of calls met.
    fn learn_floor(&self, request: &RequestState) {
        let Some(parent) = &request.parent else { return };
        if request.entry != Entry::Egress && parent.depth == 0 {
            self.shared.entry_floors.learn(&request.entry_kind, parent.chain_floor().as_ref());
        }
    }

    /// Records the duration of a successful request.
    fn learn_answer_time(&self, request: &RequestState, answer: &Answer) {
        let is_success = StatusCode::from_u16(answer.head.status).is_ok_and(|status| status.is_success());
        if !is_success {
            return;
        }
        let took = clock::now().since(request.arrived);
        let is_root = request.parent.as_ref().is_some_and(|parent| parent.depth == 0);
        if !is_root {
            self.shared.limits.call_times.learn(request.kind(), took);
        } else if request.entry != Entry::Egress {
            self.shared.entry_floors.learn_answer_time(&request.entry_kind, took);
        }
    }
}

/// The response to a request whose task has panicked or was aborted.
pub(super) fn failed_task(root: RootId, error: &JoinError) -> Response<CallerBody> {
    log::error!(root = root.to_string().as_str(), error = error.to_string().as_str(); "a request's task failed");
    let mut response = Response::new(body::whole(Bytes::new()));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
}

/// The rejection of a request that is cut off by the end of the process.
fn cut_off(request: &RequestState) -> Rejection {
    // A request with a key continues on its own task and may still be sent.
    if request.progress.stage() == RequestStage::Waiting && request.claim_text.is_none() {
        return filters::stopping_rejection(request);
    }
    let detail = "this daemon has ended before the answer came; its result is not known";
    Rejection::unknown(Reason::PeerLost, detail)
}

/// Resolves when a request should have been answered for [`OVERDUE_MARGIN`].
async fn until_overdue(request: &RequestState) {
    match request.expiry() {
        Some(expiry) => clock::sleep_until(expiry.plus(OVERDUE_MARGIN)).await,
        None => std::future::pending().await,
    }
}

/// The rejection of a request that is still not answered [`OVERDUE_MARGIN`] after its deadline.
fn overdue(request: &RequestState) -> Rejection {
    // A request with a key continues on its own task and may still be sent.
    if request.progress.stage() == RequestStage::Waiting && request.claim_text.is_none() {
        return too_late("the request could not be sent to a server");
    }
    Rejection::unknown(
        Reason::DeadlineExceeded,
        "no answer came before the deadline; its result is not known",
    )
}

/// The rejection of a request whose deadline passed before it was sent.
fn too_late(what: &str) -> Rejection {
    let detail = format!("{what} before the deadline; come back after Retry-After");
    Rejection::not_run(Reason::DeadlineExceeded, detail)
}

/// The host of a request. A host in the request target takes precedence over the `Host` field
/// (RFC 9112, section 3.2.2).
fn host_of(parts: &Parts) -> Option<String> {
    let field = || parts.headers.get(HOST).and_then(|value| value.to_str().ok());
    parts.uri.host().or_else(field).map(host_name)
}

fn content_length(headers: &http::HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
