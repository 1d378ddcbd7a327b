//! One request at a listener: filters, dispatch, answer.

use crate::base::clock;
use crate::conventions::headers;
use crate::conventions::{AnswerMark, OwnAnswer};
use crate::dispatch::{self, Answer, CallResult, ReplayBody};
use crate::filters::{self, Entry, FilterChain, RETURN_JITTER, Rejection, RequestState};
use crate::limits::quota;
use crate::listeners::body::{self, CallerBody, OpenRequest};
use crate::shared::Shared;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use log::info;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::outcome::Outcome;
use seamhatch_policy::{LimitSettings, host_name};
use seamhatch_wire::{HeaderField, RecordedAnswer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

/// Pause between two looks at what a starting daemon knows.
const START_POLL: Duration = Duration::from_millis(5);

/// What answers the requests of one listener.
pub struct RequestHandler {
    shared: Arc<Shared>,
    entry: Entry,
    chain: FilterChain,
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

    /// For both at one listener.
    pub fn shared(shared: Arc<Shared>) -> Self {
        Self { shared, entry: Entry::Shared, chain: filters::shared_chain() }
    }

    /// What callers may send, and how long they may take, by the configuration in force.
    pub fn limits(&self) -> LimitSettings {
        let snapshot = self.shared.snapshot();
        snapshot.configuration().map(|configuration| *configuration.limits()).unwrap_or_default()
    }

    /// Waits until there is a configuration and a server for each of its services, or for `patience`.
    pub async fn until_decidable(&self, patience: Duration) {
        let end = tokio::time::Instant::now() + patience;
        while !self.shared.snapshot().is_decidable() && tokio::time::Instant::now() < end {
            tokio::time::sleep(START_POLL).await;
        }
    }

    /// Answers one request. Dropping the future cancels it, unless its answer is recorded for repeats.
    pub async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<CallerBody>, Infallible> {
        let open = OpenRequest::new(&self.shared.open_requests);
        let (mut request, body) = self.split(request);
        let mut response = match filters::run_chain(&self.chain, &self.shared, &mut request) {
            Err(rejection) => self.reject(&request, &rejection),
            Ok(()) if request.claim_text.is_some() => self.clone().answer_detached(request, body, open).await,
            Ok(()) => self.answer(request, body, open).await,
        };
        if self.shared.is_draining() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    fn split(&self, request: Request<Incoming>) -> (RequestState, Incoming) {
        let (parts, body) = request.into_parts();
        let conventions = &self.shared.conventions;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let mut fields = headers::passing_fields(&parts.headers, |name| conventions.passes_through(name));
        fields.extend(conventions.entry_fields(&self.shared.settings.service));
        let mut state = RequestState::new(self.entry, parts.method.as_str().to_owned(), path, fields);
        state.terms = conventions.caller_terms(&parts.headers);
        state.host = host_of(&parts);
        state.field_bytes = parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        state.body_length = content_length(&parts.headers);
        (state, body)
    }

    /// Goes on when the caller leaves: the answer is wanted by repeats of the same request.
    async fn answer_detached(
        self: Arc<Self>,
        request: RequestState,
        body: Incoming,
        open: OpenRequest,
    ) -> Response<CallerBody> {
        let root = request.root;
        let handler = self.clone();
        let answering = tokio::spawn(async move { handler.answer(request, body, open).await });
        answering.await.unwrap_or_else(|error| {
            log::error!(root = root.to_string().as_str(), error = error.to_string().as_str(); "a request's task failed");
            let mut response = Response::new(body::whole(Bytes::new()));
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response
        })
    }

    /// Charges a request to its tenant, answers it, and gives back what was charged for one that did not run.
    async fn answer(&self, request: RequestState, body: Incoming, open: OpenRequest) -> Response<CallerBody> {
        let permit = match quota::admit(&self.shared, &request).await {
            Ok(permit) => permit,
            Err(rejection) => return self.reject(&request, &rejection),
        };
        let body = match ReplayBody::read_prefix(body).await {
            Ok(body) => body,
            Err(rejection) => return self.reject(&request, &rejection),
        };
        let result = dispatch::dispatch(&self.shared, &request, body).await;
        self.learn_floor(&request);
        match result {
            CallResult::Answered(answer) => {
                self.learn_answer_time(&request, &answer);
                self.pass(&request, *answer, open)
            }
            CallResult::Recorded(recorded) => self.repeat(&request, recorded),
            CallResult::Rejected(rejection) => {
                if rejection.outcome == Outcome::NotRun {
                    permit.into_iter().for_each(|permit| permit.give_back(&self.shared.limits.quota));
                }
                self.reject(&request, &rejection)
            }
        }
    }

    fn learn_floor(&self, request: &RequestState) {
        let Some(parent) = &request.parent else { return };
        if request.entry != Entry::Egress && parent.depth == 0 {
            self.shared.entry_floors.learn(&request.entry_key, parent.chain_floor().as_ref());
        }
    }

    fn learn_answer_time(&self, request: &RequestState, answer: &Answer) {
        let good = StatusCode::from_u16(answer.head.status).is_ok_and(|status| status.is_success());
        let is_root = request.parent.as_ref().is_some_and(|parent| parent.depth == 0);
        if good && is_root && request.entry != Entry::Egress {
            let took = clock::now().since(request.arrived);
            self.shared.entry_floors.learn_answer_time(&request.entry_key, took);
        }
    }

    fn pass(&self, request: &RequestState, answer: Answer, open: OpenRequest) -> Response<CallerBody> {
        let took = clock::now().since(request.arrived);
        self.shared.metrics.request_ended(Outcome::Answered, request.class, took);
        info!(
            request = request.log_name().as_str(),
            service = request.service.as_str(),
            class = request.class.name(),
            status = answer.head.status,
            server = answer.server.to_string().as_str(),
            dispatches = answer.dispatches,
            generation = self.shared.snapshot().generation().0,
            took_ms = took / MILLISECOND;
            "request answered"
        );
        let (status, fields) = (answer.head.status, answer.head.headers.clone());
        let body = if request.claim_text.is_some() {
            body::recorded(answer, open)
        } else {
            body::streamed(answer, open)
        };
        self.response(request, status, &fields, Outcome::Answered, body)
    }

    fn repeat(&self, request: &RequestState, recorded: RecordedAnswer) -> Response<CallerBody> {
        let body = body::whole(Bytes::from(recorded.body));
        self.response(request, recorded.status, &recorded.headers, Outcome::Duplicate, body)
    }

    fn response(
        &self,
        request: &RequestState,
        status: u16,
        fields: &[HeaderField],
        outcome: Outcome,
        body: CallerBody,
    ) -> Response<CallerBody> {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Response::new(body);
        *response.status_mut() = status;
        headers::append_fields(response.headers_mut(), fields);
        if status.is_informational() || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
            response.headers_mut().remove(CONTENT_LENGTH);
            *response.body_mut() = body::whole(Bytes::new());
        }
        self.mark(request, outcome, &mut response);
        response
    }

    fn reject(&self, request: &RequestState, rejection: &Rejection) -> Response<CallerBody> {
        let took = clock::now().since(request.arrived);
        self.shared.metrics.refusal(rejection.outcome, rejection.reason, request.class);
        self.shared.metrics.request_ended(rejection.outcome, request.class, took);
        let retry_after = rejection.retry_after.map(jittered);
        info!(
            request = request.log_name().as_str(),
            service = request.service.as_str(),
            class = request.class.name(),
            tenant = request.tenant.as_ref().map_or("", |tenant| tenant.name.as_str()),
            outcome = rejection.outcome.name(),
            reason = rejection.reason.name(),
            detail = rejection.detail.as_str(),
            generation = self.shared.snapshot().generation().0,
            took_ms = took / MILLISECOND,
            retry_after_ms = retry_after.unwrap_or_default() / 1000;
            "request not answered"
        );
        let answer = OwnAnswer {
            outcome: rejection.outcome,
            reason: rejection.reason,
            status: rejection.status(),
            retry_after,
            detail: &rejection.detail,
        };
        let mut response = self.shared.conventions.own_answer(&answer).map(body::whole);
        self.mark(request, rejection.outcome, &mut response);
        response
    }

    fn mark(&self, request: &RequestState, outcome: Outcome, response: &mut Response<CallerBody>) {
        let generation = self.shared.snapshot().generation();
        let mark = AnswerMark { outcome, root: request.root, generation };
        self.shared.conventions.mark(response.headers_mut(), &mark);
    }
}

/// The host that a request is for. One in the target itself goes before the field (RFC 9112, section 3.2.2).
fn host_of(parts: &Parts) -> Option<String> {
    let field = || parts.headers.get(HOST).and_then(|value| value.to_str().ok());
    parts.uri.host().or_else(field).map(host_name)
}

fn content_length(headers: &http::HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn jittered(span: Microseconds) -> Microseconds {
    (span as f64 * (1.0 + RETURN_JITTER * rand::random::<f64>())) as Microseconds
}
