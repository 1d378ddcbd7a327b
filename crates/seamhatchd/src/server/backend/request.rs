//! Requests to the back end, created from the calls that it runs.

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

/// Longest request body that the buffers of a connection hold for certain, whether or not the back
/// end reads it, in bytes.
const MAX_BUFFERED_BODY_BYTES: u64 = 16 * 1024;

/// A request to the back end.
#[derive(Debug)]
pub struct BackendRequest<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Header fields that are passed on.
    pub headers: &'a [HeaderField],
    /// Reference to the running call, for the back end's own calls.
    pub context: &'a str,
    /// Deadline of the call, in the local boot clock.
    pub expiry: Instant,
    /// Instance that the request is meant for, if instances register.
    pub instance: Option<&'a InstanceId>,
}

impl BackendRequest<'_> {
    /// Returns the HTTP message.
    ///
    /// # Errors
    /// Returns an error if the method, path or host is not valid HTTP.
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

/// Returns the silence check for the connection of a request: bytes of a long body may wait for a
/// slow back end.
pub(super) fn silence_check(message: &Request<HttpRequestBody>) -> SilenceCheck {
    if message.body().is_end_stream() {
        return SilenceCheck::Always;
    }
    let length = message.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    match length {
        Some(0..=MAX_BUFFERED_BODY_BYTES) => SilenceCheck::Always,
        // A body whose length is absent or unreadable may be long.
        _ => SilenceCheck::WhileIdle,
    }
}
