//! How HTTP carries names, deadlines and outcomes, between callers, the daemon and the back end.
//!
//! The daemon decides; a set of conventions only translates between header fields and the types here. [`OwnConventions`] are
//! the product's; an adapter for a platform brings its own. Used by listeners and filters at the entry, and by the code that
//! talks to the back end. Conventions keep no state.

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

/// Scheme under which callers send keys, in lower case.
const KEY_SCHEME: &[u8] = b"bearer";

/// What a caller presents to show who it is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CallerCredential {
    /// Nothing.
    #[default]
    None,
    /// A key.
    Key(KeyDigest),
    /// Something that is no key: of another scheme, empty, or more than one.
    Unusable,
}

impl CallerCredential {
    /// Reads the field `Authorization` (RFC 6750, section 2.1; the scheme in any case by RFC 9110, section 11.1).
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

/// What a caller states about its request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerTerms {
    /// Its name, unique among requests.
    pub name: Option<String>,
    /// Name of the request whose work may have caused this one. A hint: it counts only where that
    /// request runs at the back end beside the daemon.
    pub parent: Option<String>,
    /// Reference to the running call that caused it, made by this daemon.
    pub context: Option<String>,
    /// How long the caller waits, from the request's arrival; none where it doesn't say.
    pub remaining: Option<Microseconds>,
    /// What it presents to show who it is.
    pub credential: CallerCredential,
}

/// A call that is about to be written to the back end.
#[derive(Debug, Clone, Copy)]
pub struct BackEndCall<'a> {
    /// Fields of the request that pass through.
    pub fields: &'a [HeaderField],
    /// Reference to the running call, for the back end's own calls.
    pub context: &'a str,
    /// When the call becomes useless, in the local boot clock.
    pub expiry: seamhatch_core::Instant,
    /// Time left until then.
    pub remaining: Microseconds,
    /// The instance that it is meant for, where instances are registered.
    pub instance: Option<&'a InstanceId>,
}

/// What the head of a back end's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerClassification {
    /// It is the back end's answer to this call.
    Answer,
    /// The back end says that it did not run the call.
    NotRun(Reason),
    /// It is not an answer to this call, so it is not known what became of it.
    Unusable(&'static str),
}

/// An answer of the daemon in place of a back end's.
#[derive(Debug, Clone, Copy)]
pub struct OwnAnswer<'a> {
    /// What is known of the request.
    pub outcome: Outcome,
    /// Why there is no answer of a back end.
    pub reason: Reason,
    /// Status.
    pub status: StatusCode,
    /// When to come back, jitter included; none where coming back doesn't help.
    pub retry_after: Option<Microseconds>,
    /// What to do about it.
    pub detail: &'a str,
}

/// What every answer may say about its request.
#[derive(Debug, Clone, Copy)]
pub struct AnswerMark {
    /// What became of it.
    pub outcome: Outcome,
    /// Root id of the request.
    pub root: RootId,
    /// Configuration that decided.
    pub generation: Generation,
}

/// A set of conventions. Implementations keep no state and decide nothing; they are called on each request and must not block.
pub trait HttpConventions: fmt::Debug + Send + Sync {
    /// Reads what a caller states about its request.
    fn caller_terms(&self, headers: &HeaderMap) -> CallerTerms;

    /// Whether a request must have a name, as back ends refuse one without.
    fn requires_name(&self) -> bool;

    /// Whether a request field goes on to the back end. Names are in lower case; fields of a single
    /// connection are left out before.
    fn passes_through(&self, name: &str) -> bool;

    /// Fields that the entry adds to a request. `own_service` is the service beside this daemon.
    fn entry_fields(&self, own_service: &str) -> Vec<HeaderField>;

    /// Name of the field that carries the tenant's name to back ends, in lower case.
    fn tenant_field(&self) -> &'static str;

    /// The caller's name of a request, from the fields that pass through; none where it has none.
    fn request_name<'a>(&self, fields: &'a [HeaderField]) -> Option<&'a str>;

    /// Fields that are set right before a call is written to the back end.
    fn back_end_fields(&self, call: &BackEndCall<'_>) -> Vec<HeaderField>;

    /// What the head of a back end's answer says: an answer to the call, a refusal, or neither.
    fn classify_answer(
        &self,
        call: &BackEndCall<'_>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerClassification;

    /// What an answer that was judged so says of its back end. One that is not to this call says nothing.
    fn notice(&self, classification: &AnswerClassification, headers: &HeaderMap) -> AnswerNotice;

    /// The load that a back end reports beside an answer; none where it reports nothing that can be read.
    fn back_end_load(&self, headers: &HeaderMap) -> Option<BackEndLoad>;

    /// The response for an answer of the daemon itself.
    fn own_answer(&self, answer: &OwnAnswer<'_>) -> Response<Bytes>;

    /// Adds to any answer what callers may know about their request.
    fn mark(&self, headers: &mut HeaderMap, mark: &AnswerMark);
}

/// The value of a field; none where there is none or it is no text.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The rate in a field: one plain decimal number of requests a second.
#[must_use]
pub fn named_rate(headers: &HeaderMap, name: &str) -> NamedRate {
    if !headers.contains_key(name) {
        return NamedRate::NotNamed;
    }
    let rate = plain_number(headers, name).and_then(RequestRate::per_second);
    rate.map_or(NamedRate::Unreadable, NamedRate::Named)
}

/// The span in `Retry-After`, in seconds, fractions too; none where there is none, or a date.
#[must_use]
pub fn retry_after_span(headers: &HeaderMap) -> Option<Microseconds> {
    let seconds = plain_number(headers, RETRY_AFTER.as_str())?;
    // The conversion saturates.
    Some((seconds * SECOND as f64) as Microseconds)
}

/// The number in a field that stands once, without sign or exponent.
fn plain_number(headers: &HeaderMap, name: &str) -> Option<f64> {
    let mut values = headers.get_all(name).iter();
    let text = values.next()?.to_str().ok()?.trim();
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    if values.next().is_some() || !is_plain {
        return None;
    }
    text.parse().ok()
}

/// Whether a field says yes: a single `1`.
#[must_use]
pub fn is_flag_set(headers: &HeaderMap, name: &str) -> bool {
    let mut values = headers.get_all(name).iter();
    values.next().is_some_and(|value| value.as_bytes().trim_ascii() == b"1") && values.next().is_none()
}

/// The value of a field that passes through; none where there is none or it is no text.
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
