//! The mapping of names, deadlines and outcomes to HTTP header fields, between callers, the daemon and the back end.
//!
//! The daemon makes the decisions; a set of conventions only translates between header fields and the types here.
//! [`OwnConventions`] is the product's set; an adapter for a platform provides its own. Used by listeners and filters at the entry,
//! and by the code that talks to the back end. Conventions keep no state.

pub mod headers;
mod own;

pub use own::OwnConventions;

use bytes::Bytes;
use http::header::{AUTHORIZATION, RETRY_AFTER};
use http::{HeaderMap, Response, StatusCode};
use seamhatch_core::admission::BackEndLoad;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::RootId;
use seamhatch_core::instance::InstanceId;
use seamhatch_core::notice::{AnswerNotice, NamedRate};
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::rate::RequestRate;
use seamhatch_policy::KeyDigest;
use seamhatch_wire::HeaderField;
use std::fmt;

/// Authentication scheme with which callers send keys, in lower case.
const KEY_SCHEME: &[u8] = b"bearer";

/// The credential that a caller presents.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CallerCredential {
    /// No credential.
    #[default]
    None,
    /// A key.
    Key(KeyDigest),
    /// Not a valid key: another scheme, an empty key, or several fields.
    Unusable,
}

impl CallerCredential {
    /// Reads the field `Authorization` (RFC 6750, section 2.1; the scheme is case-insensitive by RFC 9110, section 11.1).
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Self {
        let mut values = headers.get_all(AUTHORIZATION).iter();
        let Some(value) = values.next() else { return Self::None };
        if values.next().is_some() {
            return Self::Unusable;
        }
        let value = value.as_bytes().trim_ascii();
        let Some((scheme, rest)) = value.split_at_checked(KEY_SCHEME.len()) else { return Self::Unusable };
        let key = rest.trim_ascii_start();
        if !scheme.eq_ignore_ascii_case(KEY_SCHEME) || key.is_empty() || key.len() == rest.len() {
            return Self::Unusable;
        }
        Self::Key(KeyDigest::of(key))
    }
}

/// Information that a caller states about its request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerTerms {
    /// Name of the request, unique among requests.
    pub name: Option<String>,
    /// Name of the request that may have caused this one. A hint: it takes effect only when that request runs on the back end beside
    /// the daemon.
    pub parent: Option<String>,
    /// Reference, created by this daemon, to the running call that caused the request.
    pub context: Option<String>,
    /// Time for which the caller waits, from the arrival of the request; `None` when it is not stated.
    pub remaining: Option<Microseconds>,
    /// The credential of the caller.
    pub credential: CallerCredential,
}

/// A call that is about to be written to the back end.
#[derive(Debug, Clone, Copy)]
pub struct BackEndCall<'a> {
    /// Fields of the request that are forwarded.
    pub fields: &'a [HeaderField],
    /// Reference to the running call, for the back end's own calls.
    pub context: &'a str,
    /// Deadline of the call, in the local boot clock.
    pub expiry: seamhatch_core::Instant,
    /// Time left until the deadline.
    pub remaining: Microseconds,
    /// The target instance, if instances are registered.
    pub instance: Option<&'a InstanceId>,
}

/// Classification of a back end's answer by its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerClassification {
    /// The back end's answer to this call.
    Answer,
    /// The back end reports that it did not run the call.
    NotRun(Reason),
    /// Not an answer to this call, so the outcome of the call is unknown.
    Unusable(&'static str),
}

/// An answer that the daemon gives in place of a back end.
#[derive(Debug, Clone, Copy)]
pub struct OwnAnswer<'a> {
    /// Outcome of the request, as far as known.
    pub outcome: Outcome,
    /// Reason why there is no answer of a back end.
    pub reason: Reason,
    /// HTTP status.
    pub status: StatusCode,
    /// Time after which to retry, including jitter; `None` when a retry doesn't help.
    pub retry_after: Option<Microseconds>,
    /// Explanation, with the remedy.
    pub detail: &'a str,
}

/// Information about the request that any answer may carry.
#[derive(Debug, Clone, Copy)]
pub struct AnswerMark {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Root id of the request.
    pub root: RootId,
    /// Generation of the configuration by which the request was decided.
    pub generation: Generation,
}

/// A set of conventions. Implementations keep no state and make no decisions; they are called for each request and must not block.
pub trait HttpConventions: fmt::Debug + Send + Sync {
    /// Reads what a caller states about its request.
    fn caller_terms(&self, headers: &HeaderMap) -> CallerTerms;

    /// Whether requests must have a name because back ends refuse requests without one.
    fn requires_name(&self) -> bool;

    /// Whether a request field is forwarded to the back end. Names are in lower case; hop-by-hop fields are removed before.
    fn passes_through(&self, name: &str) -> bool;

    /// Fields that the entry adds to a request. `own_service` is the service beside this daemon.
    fn entry_fields(&self, own_service: &str) -> Vec<HeaderField>;

    /// Name of the field that carries the tenant's name to back ends, in lower case.
    fn tenant_field(&self) -> &'static str;

    /// The name that the caller gave the request, from the forwarded fields; `None` when there is none.
    fn request_name<'a>(&self, fields: &'a [HeaderField]) -> Option<&'a str>;

    /// Fields that are set immediately before a call is written to the back end.
    fn back_end_fields(&self, call: &BackEndCall<'_>) -> Vec<HeaderField>;

    /// Classifies a back end's answer by its head: an answer to the call, a refusal, or neither.
    fn classify_answer(
        &self,
        call: &BackEndCall<'_>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerClassification;

    /// The notice of the back end in an answer with this classification. An answer that does not belong to the call carries none.
    fn notice(&self, classification: &AnswerClassification, headers: &HeaderMap) -> AnswerNotice;

    /// The load that a back end reports in an answer; `None` when it reports none that can be parsed.
    fn back_end_load(&self, headers: &HeaderMap) -> Option<BackEndLoad>;

    /// The HTTP response for an answer of the daemon itself.
    fn own_answer(&self, answer: &OwnAnswer<'_>) -> Response<Bytes>;

    /// Adds the fields that tell callers about their request to any answer.
    fn mark(&self, headers: &mut HeaderMap, mark: &AnswerMark);
}

/// The value of a field; `None` when the field is missing or its value is not text.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Whether a field has one value at most. The same value several times counts as one.
#[must_use]
pub fn has_one_value(headers: &HeaderMap, name: &str) -> bool {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    values.all(|value| Some(value) == first)
}

/// The rate in a field: one plain decimal number of requests per second.
#[must_use]
pub fn named_rate(headers: &HeaderMap, name: &str) -> NamedRate {
    if !headers.contains_key(name) {
        return NamedRate::NotNamed;
    }
    let rate = plain_number(headers, name).and_then(RequestRate::per_second);
    rate.map_or(NamedRate::Unreadable, NamedRate::Named)
}

/// The span in `Retry-After`, given in seconds with optional fractions; `None` when the field is missing or contains a date.
#[must_use]
pub fn retry_after_span(headers: &HeaderMap) -> Option<Microseconds> {
    let seconds = plain_number(headers, RETRY_AFTER.as_str())?;
    // The conversion saturates.
    Some((seconds * SECOND as f64) as Microseconds)
}

/// The number in a field that occurs once and has no sign or exponent.
fn plain_number(headers: &HeaderMap, name: &str) -> Option<f64> {
    let mut values = headers.get_all(name).iter();
    let text = values.next()?.to_str().ok()?.trim();
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    if values.next().is_some() || !is_plain {
        return None;
    }
    text.parse().ok()
}

/// Whether a flag field is set: it occurs once with the value `1`.
#[must_use]
pub fn is_flag_set(headers: &HeaderMap, name: &str) -> bool {
    let mut values = headers.get_all(name).iter();
    values.next().is_some_and(|value| value.as_bytes().trim_ascii() == b"1") && values.next().is_none()
}

/// The value of a forwarded field; `None` when the field is missing or its value is not text.
#[must_use]
pub fn field_text<'a>(fields: &'a [HeaderField], name: &str) -> Option<&'a str> {
    let field = fields.iter().find(|field| field.name == name)?;
    std::str::from_utf8(&field.value).ok()
}

/// A field with a text value.
#[must_use]
pub fn field(name: &str, value: impl Into<String>) -> HeaderField {
    HeaderField { name: name.to_owned(), value: value.into().into_bytes() }
}
