//! One request at a listener: filters, the tenant's quota, dispatch, and the response.
//!
//! The way of a request from its socket to a back end begins with [`RequestHandler::handle`]: the filter chain decides what it
//! is and may do, `dispatch` sends it, `responses` builds what its caller gets. Quotas are charged here and not in a filter, as
//! asking for tokens may wait for another daemon and filters don't wait.

use crate::base::clock;
use crate::conventions::headers;
use crate::dispatch::{self, Answer, CallResult, ReplayBody};
use crate::filters::{self, Entry, FilterChain, Rejection, RequestState};
use crate::intake::{AcceptedRequest, RequestEntry, RequestStage};
use crate::listeners::body::{self, CallerBody};
use crate::listeners::connection::{ConnectionRequests, WatchedBody};
use crate::listeners::pipelined::PipelinedRequest;
use crate::shared::Shared;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use seamhatch_core::identity::RootId;
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_policy::{LimitSettings, host_name};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinError;

/// Pause between two checks of what a starting daemon knows.
const START_POLL: Duration = Duration::from_millis(5);

/// Answers the requests of one listener.
pub struct RequestHandler {
    pub(super) shared: Arc<Shared>,
    entry: Entry,
    pub(super) chain: FilterChain,
}

impl RequestHandler {
    /// For requests from outside.
    pub fn ingress(shared: Arc<Shared>) -> Self {
        Self { shared, entry: Entry::Ingress, chain: filters::ingress_chain() }
    }

    /// For calls of the back end beside this daemon.
    pub fn egress(shared: Arc<Shared>) -> Self {
        Self { shared, entry: Entry::Egress, chain: filters::egress_chain() }
    }

    /// For both, at one listener.
    pub fn shared(shared: Arc<Shared>) -> Self {
        Self { shared, entry: Entry::Shared, chain: filters::shared_chain() }
    }

    /// Bounds on what callers may send and how long they may take, by the configuration in force.
    pub fn limits(&self) -> LimitSettings {
        let snapshot = self.shared.snapshot();
        // Without a configuration every request is rejected; the defaults bound its connection.
        snapshot.configuration().map(|configuration| *configuration.limits()).unwrap_or_default()
    }

    /// Waits until there is a configuration and a server for each of its services, or for `patience`.
    pub async fn until_decidable(&self, patience: Duration) {
        let end = tokio::time::Instant::now() + patience;
        while !self.shared.snapshot().is_decidable() && tokio::time::Instant::now() < end {
            tokio::time::sleep(START_POLL).await;
        }
    }

    /// Answers one request, or refuses it where nothing is taken any more. `ahead` is what was done for it before the library has read it.
    /// Dropping the future cancels the request, unless its answer is recorded for repeats.
    pub async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        ahead: Option<PipelinedRequest>,
        connection: Arc<ConnectionRequests>,
    ) -> Result<Response<WatchedBody>, Infallible> {
        let mut response = match ahead {
            Some(ahead) => self.clone().answer_ahead(ahead, &connection).await,
            None => self.clone().answer_read(request, &connection).await,
        };
        // Read before the connection is asked: nothing is started ahead while the daemon drains.
        if self.shared.is_draining() && connection.try_close_after_this() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response.map(|body| WatchedBody::new(body, connection)))
    }

    /// Answers a request that the library has read.
    async fn answer_read(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: &ConnectionRequests,
    ) -> Response<CallerBody> {
        let taken = self.shared.intake.accept(RequestEntry::Listener);
        let (parts, body) = request.into_parts();
        let mut request = self.request_state(&parts);
        let Ok(taken) = taken else { return self.reject(&request, &filters::stopping_rejection(&request)) };
        connection.hold(taken.clone());
        request.progress = taken.progress().clone();
        request.progress.set_name(request.log_name());
        if let Err(rejection) = filters::run_chain(&self.chain, &self.shared, &mut request) {
            // It runs nowhere, so others may run before its answer is written.
            connection.note_repeatable(true);
            return self.reject(&request, &rejection);
        }
        connection.note_repeatable(request.repeatable && request.claim_text.is_none());
        self.answer_filtered(Arc::new(request), Some(body), taken).await
    }

    /// Answers a request that has passed the filters; at the end of the process it is given up.
    pub(super) async fn answer_filtered(
        self: Arc<Self>,
        request: Arc<RequestState>,
        body: Option<Incoming>,
        taken: AcceptedRequest,
    ) -> Response<CallerBody> {
        let answering = async {
            if request.claim_text.is_some() {
                self.clone().answer_detached(request.clone(), body, taken).await
            } else {
                self.answer(&request, body, taken).await
            }
        };
        tokio::select! {
            biased;
            response = answering => response,
            () = self.shared.intake.until_cut() => self.reject(&request, &cut_off(&request)),
        }
    }

    /// Reads the head of a request by the conventions.
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

    /// Answers a request on a task of its own, so that its answer is recorded for repeats even if its caller leaves.
    async fn answer_detached(
        self: Arc<Self>,
        request: Arc<RequestState>,
        body: Option<Incoming>,
        taken: AcceptedRequest,
    ) -> Response<CallerBody> {
        let root = request.root;
        let handler = self.clone();
        let answering = tokio::spawn(async move { handler.answer(&request, body, taken).await });
        answering.await.unwrap_or_else(|error| failed_task(root, &error))
    }

    /// Charges a request to its tenant and answers it; gives back the charge of one that was not run.
    async fn answer(
        &self,
        request: &RequestState,
        body: Option<Incoming>,
        taken: AcceptedRequest,
    ) -> Response<CallerBody> {
        let permit = match self.shared.quota_context().admit(request.tenant.as_ref()).await {
            Ok(permit) => permit,
            Err(refusal) => return self.reject(request, &refusal.into()),
        };
        let body = match body {
            Some(body) => ReplayBody::read_prefix(body).await,
            None => Ok(ReplayBody::empty()),
        };
        let body = match body {
            Ok(body) => body,
            Err(rejection) => return self.reject(request, &rejection),
        };
        let result = dispatch::dispatch(&self.shared, request, body).await;
        self.learn_floor(request);
        match result {
            CallResult::Answered(answer) => {
                self.learn_answer_time(request, &answer);
                self.pass(request, *answer, taken)
            }
            CallResult::Recorded(recorded) => self.repeat(request, recorded),
            CallResult::Rejected(rejection) => {
                if rejection.outcome == Outcome::NotRun {
                    permit.into_iter().for_each(|permit| permit.refund(&self.shared.limits.quota));
                }
                self.reject(request, &rejection)
            }
        }
    }

    /// Records the lowest admission floor that a request's chain met.
    fn learn_floor(&self, request: &RequestState) {
        let Some(parent) = &request.parent else { return };
        if request.entry != Entry::Egress && parent.depth == 0 {
            self.shared.entry_floors.learn(&request.entry_kind, parent.chain_floor().as_ref());
        }
    }

    /// Records how long a successful request took.
    fn learn_answer_time(&self, request: &RequestState, answer: &Answer) {
        let is_good = StatusCode::from_u16(answer.head.status).is_ok_and(|status| status.is_success());
        if !is_good {
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

/// The answer to a request whose task has failed.
pub(super) fn failed_task(root: RootId, error: &JoinError) -> Response<CallerBody> {
    log::error!(root = root.to_string().as_str(), error = error.to_string().as_str(); "a request's task failed");
    let mut response = Response::new(body::whole(Bytes::new()));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
}

/// What the caller of a request is told that the end of the process cuts off.
fn cut_off(request: &RequestState) -> Rejection {
    // One with a key goes on in a task of its own and may still be sent.
    if request.progress.stage() == RequestStage::Waiting && request.claim_text.is_none() {
        return filters::stopping_rejection(request);
    }
    let detail = "this daemon has ended before the answer came; its result is not known";
    Rejection::unknown(Reason::PeerLost, detail)
}

/// The host that a request is for. One in the target itself goes before the field (RFC 9112, section 3.2.2).
fn host_of(parts: &Parts) -> Option<String> {
    let field = || parts.headers.get(HOST).and_then(|value| value.to_str().ok());
    parts.uri.host().or_else(field).map(host_name)
}

fn content_length(headers: &http::HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
