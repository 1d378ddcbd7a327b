//! The product's own conventions: `Seamhatch-*` header fields, and errors as JSON.

use super::{
    AnswerClassification, AnswerMark, BackEndCall, CallerCredential, CallerTerms, HttpConventions, OwnAnswer,
    field, is_flag_set, named_rate, text,
};
use crate::conventions::headers;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use seamhatch_core::admission::BackEndLoad;
use seamhatch_core::balance::parse_time_percent;
use seamhatch_core::clock::SECOND;
use seamhatch_core::notice::AnswerNotice;
use seamhatch_wire::HeaderField;
use serde::Serialize;

/// Conventions with context, deadline and outcome in `Seamhatch-*` fields, and errors as JSON.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnConventions;

/// Body of an answer that the daemon gives itself.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    outcome: &'static str,
    reason: &'static str,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl HttpConventions for OwnConventions {
    fn caller_terms(&self, headers: &HeaderMap) -> CallerTerms {
        let context = text(headers, headers::CONTEXT).map(str::to_owned);
        CallerTerms { context, credential: CallerCredential::of(headers), ..CallerTerms::default() }
    }

    fn requires_name(&self) -> bool {
        false
    }

    fn passes_through(&self, name: &str) -> bool {
        // The daemon handles `expect` itself and sets `host` anew for the back end.
        !name.starts_with(headers::PREFIX) && !matches!(name, "expect" | "host")
    }

    fn entry_fields(&self, _own_service: &str) -> Vec<HeaderField> {
        Vec::new()
    }

    fn tenant_field(&self) -> &'static str {
        headers::TENANT
    }

    fn request_name<'a>(&self, _fields: &'a [HeaderField]) -> Option<&'a str> {
        None
    }

    fn back_end_fields(&self, call: &BackEndCall<'_>) -> Vec<HeaderField> {
        vec![field(headers::CONTEXT, call.context), field(headers::DEADLINE, call.expiry.0.to_string())]
    }

    fn classify_answer(
        &self,
        _call: &BackEndCall<'_>,
        _status: StatusCode,
        _headers: &HeaderMap,
    ) -> AnswerClassification {
        AnswerClassification::Answer
    }

    fn notice(&self, _classification: &AnswerClassification, headers: &HeaderMap) -> AnswerNotice {
        AnswerNotice {
            rate: named_rate(headers, headers::BACKEND_RATE),
            leaving: is_flag_set(headers, headers::BACKEND_LEAVING),
            proven: true,
            // Refusals of the back end count as answers here and are forwarded to the caller unchanged.
            return_after: None,
        }
    }

    fn back_end_load(&self, headers: &HeaderMap) -> Option<BackEndLoad> {
        let percent = text(headers, headers::BACKEND_PACE).and_then(parse_time_percent)?;
        Some(BackEndLoad { calls: None, time_percent: Some(percent) })
    }

    /// `Retry-After` carries the span in whole seconds (RFC 9110, section 10.2.3), the body in milliseconds.
    fn own_answer(&self, answer: &OwnAnswer<'_>) -> Response<Bytes> {
        let problem = Problem {
            outcome: answer.outcome.name(),
            reason: answer.reason.name(),
            detail: answer.detail,
            retry_after_ms: answer.retry_after.map(|span| span.div_ceil(1000)),
        };
        // A struct of text and numbers always serializes.
        let mut response = Response::new(Bytes::from(serde_json::to_vec(&problem).unwrap_or_default()));
        *response.status_mut() = answer.status;
        let fields = response.headers_mut();
        fields.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        fields.insert(headers::REASON, HeaderValue::from_static(answer.reason.name()));
        if let Some(span) = answer.retry_after {
            fields.insert(RETRY_AFTER, HeaderValue::from(span.div_ceil(SECOND)));
        }
        response
    }

    fn mark(&self, headers: &mut HeaderMap, mark: &AnswerMark) {
        headers.insert(headers::OUTCOME, HeaderValue::from_static(mark.outcome.name()));
        if let Ok(id) = HeaderValue::from_str(&mark.root.to_string()) {
            headers.insert(headers::REQUEST_ID, id);
        }
        headers.insert(headers::GENERATION, HeaderValue::from(mark.generation.0));
    }
}
