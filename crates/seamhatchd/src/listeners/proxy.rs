//! The ingress and egress listeners: filters, dispatch, answer.

use crate::dispatch::{self, Answer, CallResult, ReplayBody};
use crate::filters::{self, Entry, FilterChain, Rejection, RequestState};
use crate::headers;
use crate::listeners::answers;
use crate::listeners::body::{self, OpenRequest};
use crate::shared::Shared;
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderValue, StatusCode};
use log::info;
use seamhatch_core::outcome::Outcome;
use seamhatch_wire::{HeaderField, RecordedAnswer};
use std::convert::Infallible;
use std::sync::Arc;
use xitca_web::WebContext;
use xitca_web::body::{RequestBody, ResponseBody};
use xitca_web::http::{WebRequest, WebResponse};

/// One of how many answered requests of ordinary classes is logged.
const LOG_SAMPLE: u32 = 256;

/// What the handler of one listener works with.
#[derive(Clone)]
pub struct ListenerState {
    shared: Arc<Shared>,
    entry: Entry,
    chain: Arc<FilterChain>,
}

impl ListenerState {
    /// For requests from outside.
    pub fn ingress(shared: Arc<Shared>) -> Self {
        Self { shared, entry: Entry::Ingress, chain: Arc::new(filters::ingress_chain()) }
    }

    /// For calls of the back end beside this daemon.
    pub fn egress(shared: Arc<Shared>) -> Self {
        Self { shared, entry: Entry::Egress, chain: Arc::new(filters::egress_chain()) }
    }
}

/// Answers one request.
pub async fn handle(mut context: WebContext<'_, ListenerState>) -> Result<WebResponse, Infallible> {
    let state = context.state().clone();
    let shared = &state.shared;
    let open = OpenRequest::new(&shared.open_requests);
    let (request, body) = split(state.entry, context.take_request());
    let mut response = state.answer(request, body, open).await;
    if shared.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

fn split(entry: Entry, request: WebRequest) -> (RequestState, RequestBody) {
    let (parts, extension) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let fields = headers::passing_fields(&parts.headers);
    let mut state = RequestState::new(entry, parts.method.as_str().to_owned(), path, fields);
    state.context =
        parts.headers.get(headers::CONTEXT).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let (_, body) = extension.replace_body(());
    (state, body)
}

impl ListenerState {
    async fn answer(&self, mut request: RequestState, body: RequestBody, open: OpenRequest) -> WebResponse {
        let shared = &self.shared;
        if let Err(rejection) = filters::run_chain(&self.chain, shared, &mut request) {
            return self.reject(&request, &rejection);
        }
        let body = match ReplayBody::read_prefix(body).await {
            Ok(body) => body,
            Err(rejection) => return self.reject(&request, &rejection),
        };
        let result = dispatch::dispatch(shared, &request, body).await;
        self.learn_floor(&request);
        match result {
            CallResult::Answered(answer) => self.pass(&request, *answer, open),
            CallResult::Recorded(recorded) => self.repeat(&request, recorded),
            CallResult::Rejected(rejection) => self.reject(&request, &rejection),
        }
    }

    fn learn_floor(&self, request: &RequestState) {
        if let (Entry::Ingress, Some(parent)) = (self.entry, &request.parent) {
            self.shared.entry_floors.learn(&request.entry_key, parent.chain_floor());
        }
    }

    fn pass(&self, request: &RequestState, answer: Answer, open: OpenRequest) -> WebResponse {
        if rand::random_ratio(1, LOG_SAMPLE) {
            info!(
                root = request.root.to_string().as_str(),
                service = request.service.as_str(),
                class = request.class.name(),
                status = answer.head.status;
                "request answered"
            );
        }
        let (status, fields) = (answer.head.status, answer.head.headers.clone());
        self.response(request, status, &fields, Outcome::Answered, body::streamed(answer, open))
    }

    fn repeat(&self, request: &RequestState, recorded: RecordedAnswer) -> WebResponse {
        let body = ResponseBody::bytes(recorded.body);
        self.response(request, recorded.status, &recorded.headers, Outcome::Duplicate, body)
    }

    fn response(
        &self,
        request: &RequestState,
        status: u16,
        fields: &[HeaderField],
        outcome: Outcome,
        body: ResponseBody,
    ) -> WebResponse {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = WebResponse::new(body);
        *response.status_mut() = status;
        headers::append_fields(response.headers_mut(), fields);
        if status.is_informational() || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
            response.headers_mut().remove(CONTENT_LENGTH);
            *response.body_mut() = ResponseBody::none();
        }
        response.headers_mut().insert(headers::OUTCOME, HeaderValue::from_static(outcome.name()));
        answers::mark(&mut response, request.root, self.shared.snapshot().generation());
        response
    }

    fn reject(&self, request: &RequestState, rejection: &Rejection) -> WebResponse {
        self.shared.metrics.refusal(rejection.outcome, rejection.reason, request.class);
        if rejection.outcome == Outcome::Unknown || rand::random_ratio(1, LOG_SAMPLE) {
            info!(
                root = request.root.to_string().as_str(),
                service = request.service.as_str(),
                class = request.class.name(),
                outcome = rejection.outcome.name(),
                reason = rejection.reason.name();
                "request not answered"
            );
        }
        answers::rejection(rejection, request.root, self.shared.snapshot().generation())
    }
}
