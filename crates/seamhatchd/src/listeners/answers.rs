//! Answers that the daemon writes itself.

use crate::filters::Rejection;
use crate::headers;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::RootId;
use serde::Serialize;
use xitca_web::body::ResponseBody;
use xitca_web::http::WebResponse;

/// Jitter that is added to the advice when to come back, as a share of it.
const RETRY_JITTER: f64 = 0.5;

/// Body of a rejection.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    outcome: &'static str,
    reason: &'static str,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// An answer with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> WebResponse {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    typed(status, "application/json", bytes)
}

/// An answer with a body of this media type.
pub fn typed(status: StatusCode, media_type: &'static str, bytes: Vec<u8>) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    response
}

/// The answer to a request that no back end answered.
///
/// `Retry-After` carries whole seconds, as the standard wants; the body tells
/// milliseconds. Both hold the same jittered span.
pub fn rejection(rejection: &Rejection, root: RootId, generation: Generation) -> WebResponse {
    let retry_after = rejection.retry_after.map(jittered);
    let problem = Problem {
        outcome: rejection.outcome.name(),
        reason: rejection.reason.name(),
        detail: &rejection.detail,
        retry_after_ms: retry_after.map(|span| span.div_ceil(1000)),
    };
    let mut response = json(rejection.status(), &problem);
    let fields = response.headers_mut();
    fields.insert(headers::OUTCOME, HeaderValue::from_static(rejection.outcome.name()));
    fields.insert(headers::REASON, HeaderValue::from_static(rejection.reason.name()));
    if let Some(span) = retry_after {
        fields.insert(RETRY_AFTER, HeaderValue::from(span.div_ceil(SECOND)));
    }
    mark(&mut response, root, generation);
    response
}

/// Adds what every answer tells of its request.
pub fn mark(response: &mut WebResponse, root: RootId, generation: Generation) {
    let fields = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(&root.to_string()) {
        fields.insert(headers::REQUEST_ID, id);
    }
    fields.insert(headers::GENERATION, HeaderValue::from(generation.0));
}

fn jittered(span: Microseconds) -> Microseconds {
    (span as f64 * (1.0 + RETRY_JITTER * rand::random::<f64>())) as Microseconds
}
