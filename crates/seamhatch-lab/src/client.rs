//! What callers send and get: how a request is written, and how its whole answer is read and checked to answer this request.
//!
//! [`crate::connection`] sends it.

use crate::backends::{CALL_HEADER, REQUEST_HEADER};
use crate::bodies;
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use seamhatchd::conventions::headers;
use std::time::Duration;

/// Longest wait for an answer.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// What a caller sends.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Path.
    pub path: String,
    /// The caller's name of the request, given back in a good answer.
    pub request: String,
    /// Idempotency key, if the request may run once at most.
    pub key: Option<String>,
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerAnswer {
    /// HTTP status; 0 when no answer came.
    pub status: u16,
    /// `Seamhatch-Outcome`; empty when the field is missing.
    pub outcome: String,
    /// `Seamhatch-Reason`, or why no answer came.
    pub reason: String,
    /// `Retry-After` in seconds.
    pub retry_after: Option<u64>,
    /// `Seamhatch-Generation`: the configuration that decided; 0 when the field is missing.
    pub generation: u64,
    /// The body is complete and answers this request.
    pub whole: bool,
}

impl CallerAnswer {
    /// Whether this is a complete, correct answer.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.status == 200 && self.whole
    }

    pub(crate) fn failed(reason: &str) -> Self {
        Self {
            status: 0,
            outcome: String::new(),
            reason: reason.to_owned(),
            retry_after: None,
            generation: 0,
            whole: false,
        }
    }
}

/// The request as an HTTP message to this target; none when the target is no URI.
pub(crate) fn request_message(target: &str, request: &CallerRequest) -> Option<Request<Full<Bytes>>> {
    let mut message = Request::builder()
        .method(request.method)
        .uri(target)
        .header(REQUEST_HEADER, &request.request)
        .header(CALL_HEADER, &request.request);
    if let Some(key) = &request.key {
        message = message.header(headers::IDEMPOTENCY_KEY, key);
    }
    message.body(Full::new(Bytes::new())).ok()
}

/// Reads an answer to its end and checks whose it is.
pub(crate) async fn read_answer(response: Response<Incoming>, request: &CallerRequest) -> CallerAnswer {
    let (parts, body) = response.into_parts();
    let text = |name: &str| field(&parts.headers, name);
    let whole = match body.collect().await {
        Ok(body) => bodies::is_whole(&body.to_bytes(), &request.request),
        Err(_) => return CallerAnswer::failed("answer-broken-off"),
    };
    CallerAnswer {
        status: parts.status.as_u16(),
        outcome: text(headers::OUTCOME),
        reason: text(headers::REASON),
        retry_after: text("retry-after").parse().ok(),
        generation: text(headers::GENERATION).parse().unwrap_or_default(),
        whole,
    }
}

fn field(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
