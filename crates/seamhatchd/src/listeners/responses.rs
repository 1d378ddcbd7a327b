//! Builds responses to callers: a back end's answer, the recorded answer of an earlier attempt, or a rejection.
//!
//! Answered and rejected requests are counted and logged here, each once. The header fields that state the outcome
//! are defined by the HTTP conventions.

use super::body::{self, CallerBody};
use super::proxy::RequestHandler;
use crate::base::clock;
use crate::conventions::{AnswerMark, OwnAnswer};
use crate::dispatch::{Answer, AnswerParts};
use crate::filters::{Rejection, RequestState};
use crate::intake::{AcceptedRequest, RequestStage};
use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{Response, StatusCode};
use log::info;
use seamhatch_core::clock::MILLISECOND;
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::return_time::jittered;
use seamhatch_wire::RecordedAnswer;

impl RequestHandler {
    /// Forwards the answer of a back end, whose body is still being received.
    pub(super) fn forward(
        &self,
        request: &RequestState,
        mut answer: Answer,
        accepted: AcceptedRequest,
    ) -> Response<CallerBody> {
        request.progress.set_stage(RequestStage::Answering(answer.server));
        let took = clock::now().since(request.arrived);
        self.shared.metrics.request_ended(Outcome::Answered, request.class, took);
        info!(
            request = request.log_name().as_str(),
            service = request.service.as_str(),
            class = request.class.name(),
            status = answer.head.status,
            server = answer.server.to_string().as_str(),
            dispatches = answer.dispatches,
            generation = request.generation().0,
            took_ms = took / MILLISECOND;
            "request answered"
        );
        let parts = std::mem::take(&mut answer.parts);
        let body = if request.claim_text.is_some() {
            body::recorded(answer, accepted)
        } else {
            body::streamed(answer, accepted)
        };
        self.response(request, parts, Outcome::Answered, body)
    }

    /// Replays the recorded answer of an earlier attempt with the same key.
    pub(super) fn replay(&self, request: &RequestState, recorded: RecordedAnswer) -> Response<CallerBody> {
        let parts = AnswerParts::of_peer(&request.method, recorded.status, &recorded.headers);
        let Some(parts) = parts.ok().filter(|parts| parts.is_whole(recorded.body.len())) else {
            let detail = "the recorded answer can't be understood; its result is not known";
            return self.reject(request, &Rejection::unknown(Reason::BackendFailed, detail));
        };
        let body = body::whole(Bytes::from(recorded.body));
        self.response(request, parts, Outcome::Duplicate, body)
    }

    fn response(
        &self,
        request: &RequestState,
        parts: AnswerParts,
        outcome: Outcome,
        body: CallerBody,
    ) -> Response<CallerBody> {
        let AnswerParts { status, headers, .. } = parts;
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
            response.headers_mut().remove(CONTENT_LENGTH);
            *response.body_mut() = body::whole(Bytes::new());
        }
        self.mark(request, outcome, &mut response);
        response
    }

    /// Builds the daemon's own answer to a request that no back end answers.
    pub(super) fn reject(&self, request: &RequestState, rejection: &Rejection) -> Response<CallerBody> {
        request.progress.set_stage(RequestStage::Refused);
        let took = clock::now().since(request.arrived);
        self.shared.metrics.refusal(rejection.outcome, rejection.reason, request.class);
        self.shared.metrics.request_ended(rejection.outcome, request.class, took);
        if rejection.reason == Reason::BackendCrashed {
            self.shared.metrics.crash_losses.inc();
        }
        let retry_after = rejection.retry_after.map(|span| jittered(span, rand::random()));
        info!(
            request = request.log_name().as_str(),
            service = request.service.as_str(),
            class = request.class.name(),
            tenant = request.tenant.as_ref().map_or("", |tenant| tenant.name.as_str()),
            outcome = rejection.outcome.name(),
            reason = rejection.reason.name(),
            detail = rejection.detail.as_str(),
            generation = request.generation().0,
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
        let mark = AnswerMark { outcome, root: request.root, generation: request.generation() };
        self.shared.conventions.mark(response.headers_mut(), &mark);
    }
}
