//! A request to the back end, from the call that it runs.

use super::body::HttpRequestBody;
use crate::base::keepalive::SilenceCheck;
use crate::conventions::headers;
use crate::conventions::{BackEndCall, HttpConventions};
use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderValue, Method, Request, Uri};
use hyper::body::Body;
use seamhatch_core::Instant;
use seamhatch_core::identity::Address;
use seamhatch_core::instance::InstanceId;
use seamhatch_wire::HeaderField;

/// Longest request body in bytes that the buffers of a connection surely hold, whether or not the back end reads it.
/// Chosen, not measured.
const SHORT_BODY: u64 = 16 * 1024;

/// What is sent to the back end.
#[derive(Debug)]
pub struct BackendRequest<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Fields that pass through.
    pub headers: &'a [HeaderField],
    /// Reference to the running call, for the back end's own calls.
    pub context: &'a str,
    /// When the call becomes useless, in the local boot clock.
    pub expiry: Instant,
    /// The instance that it is meant for, where instances are registered.
    pub instance: Option<&'a InstanceId>,
}

impl BackendRequest<'_> {
    /// The HTTP message.
    ///
    /// # Errors
    /// The method, path or host is not valid HTTP.
    pub(super) fn message(
        &self,
        call: &BackEndCall<'_>,
        conventions: &dyn HttpConventions,
        address: Address,
        body: HttpRequestBody,
    ) -> Result<Request<HttpRequestBody>, http::Error> {
        let uri = self.path.parse::<Uri>()?;
        let method = Method::from_bytes(self.method.as_bytes())?;
        let mut message = Request::builder().method(method).uri(uri).body(body)?;
        let fields = message.headers_mut();
        headers::append_fields(fields, self.headers);
        headers::append_fields(fields, &conventions.back_end_fields(call));
        if !fields.contains_key(HOST) {
            fields.insert(HOST, HeaderValue::from_str(&address.to_string())?);
        }
        Ok(message)
    }
}

/// How the connection of a request is watched: bytes of a long body may wait for a slow back end.
pub(super) fn silence_check(message: &Request<HttpRequestBody>) -> SilenceCheck {
    if message.body().is_end_stream() {
        return SilenceCheck::Always;
    }
    let length = message.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    match length {
        Some(0..=SHORT_BODY) => SilenceCheck::Always,
        // A length that is absent or can't be read may be long.
        _ => SilenceCheck::WhileIdle,
    }
}
