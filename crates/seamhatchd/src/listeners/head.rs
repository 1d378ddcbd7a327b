//! Parses request heads: where a head ends, and whether its request may be started before the HTTP library has
//! read it.
//!
//! Uses the library's own parser. A head that the parser refuses, or that two parsers may interpret differently,
//! is left to the library, because a difference would allow request smuggling.

use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version};
use httparse::{Header, Status};
use std::mem::MaybeUninit;

/// Maximum number of header fields of a request. Legitimate requests may exceed the library's default of 100.
pub const HEADER_FIELDS: usize = 512;

/// Where the head at the start of a buffer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadEnd {
    /// More bytes are needed.
    Incomplete,
    /// The library refuses the head.
    Malformed,
    /// The head has this many bytes.
    At(usize),
}

/// The request at the start of bytes that were read ahead.
#[derive(Debug)]
pub enum PipelinedHead {
    /// More bytes are needed.
    Incomplete,
    /// The request must not be started early.
    Ineligible,
    /// The request may be started early.
    Eligible(Box<BodilessRequest>),
}

/// A well-formed request without a body, after which the connection stays open.
#[derive(Debug)]
pub struct BodilessRequest {
    /// The parsed head, the same as the library parses it.
    pub parts: Parts,
    /// Length of the head, in bytes.
    pub length: usize,
}

/// Whether `bytes`, whose first `seen` bytes contained no complete head, may now contain one. Like the library,
/// this only looks for an empty line.
#[must_use]
pub fn may_contain_head_end(bytes: &[u8], seen: usize) -> bool {
    if seen == 0 {
        return !bytes.is_empty();
    }
    let new = &bytes[seen.saturating_sub(3)..];
    new.windows(2).any(|pair| pair == b"\n\n") || new.windows(3).any(|three| three == b"\n\r\n")
}

/// Finds the end of the head at the start of `bytes`.
#[must_use]
pub fn head_end(bytes: &[u8]) -> HeadEnd {
    let mut fields = [const { MaybeUninit::uninit() }; HEADER_FIELDS];
    let mut head = httparse::Request::new(&mut []);
    match head.parse_with_uninit_headers(bytes, &mut fields) {
        Ok(Status::Complete(length)) => HeadEnd::At(length),
        Ok(Status::Partial) => HeadEnd::Incomplete,
        Err(_) => HeadEnd::Malformed,
    }
}

/// Returns how many of the bytes belong to the request's body if the head is complete and all bytes belong to one
/// request. Returns none otherwise.
#[must_use]
pub fn single_request_body_bytes(bytes: &[u8]) -> Option<u64> {
    let mut fields = [const { MaybeUninit::uninit() }; HEADER_FIELDS];
    let mut head = httparse::Request::new(&mut []);
    let Ok(Status::Complete(length)) = head.parse_with_uninit_headers(bytes, &mut fields) else {
        return None;
    };
    let rest = (bytes.len() - length) as u64;
    (rest == 0 || rest <= stated_length(head.headers)?).then_some(rest)
}

/// The stated length of the body, if it is stated once and unambiguously.
fn stated_length(fields: &[Header<'_>]) -> Option<u64> {
    let named =
        |name: HeaderName| fields.iter().filter(move |field| field.name.eq_ignore_ascii_case(name.as_str()));
    if named(TRANSFER_ENCODING).next().is_some() {
        return None;
    }
    let mut lengths = named(CONTENT_LENGTH);
    let (Some(length), None) = (lengths.next(), lengths.next()) else { return None };
    let text = std::str::from_utf8(length.value).ok()?;
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

/// Parses the request at the start of bytes that were read ahead.
#[must_use]
pub fn parse_pipelined(bytes: &[u8]) -> PipelinedHead {
    let mut fields = [const { MaybeUninit::uninit() }; HEADER_FIELDS];
    let mut head = httparse::Request::new(&mut []);
    let length = match head.parse_with_uninit_headers(bytes, &mut fields) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) => return PipelinedHead::Incomplete,
        Err(_) => return PipelinedHead::Ineligible,
    };
    let is_strict = has_strict_line_ends(&bytes[..length]);
    match parts_of(&head) {
        Some(parts) if is_strict && keeps_connection_open(&parts) && !has_body(&parts.headers) => {
            PipelinedHead::Eligible(Box::new(BodilessRequest { parts, length }))
        }
        _ => PipelinedHead::Ineligible,
    }
}

/// Whether a head has no leading empty line and ends each line with CRLF, neither of which the parser enforces.
fn has_strict_line_ends(head: &[u8]) -> bool {
    let is_bare_line_feed = |index: usize| index == 0 || head[index - 1] != b'\r';
    let mut feeds = head.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    head.first().is_some_and(u8::is_ascii_alphabetic) && !feeds.any(|(index, _)| is_bare_line_feed(index))
}

fn parts_of(head: &httparse::Request<'_, '_>) -> Option<Parts> {
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(head.method?.as_bytes()).ok()?;
    *request.uri_mut() = Uri::try_from(head.path?).ok()?;
    *request.version_mut() = if head.version? == 1 { Version::HTTP_11 } else { Version::HTTP_10 };
    let fields = request.headers_mut();
    fields.reserve(head.headers.len());
    for field in head.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        fields.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    Some(request.into_parts().0)
}

/// Whether the connection stays open for further requests after this one.
#[must_use]
pub fn keeps_connection_open(parts: &Parts) -> bool {
    let has_other_option =
        |text: &str| text.split(',').any(|option| !option.trim().eq_ignore_ascii_case("keep-alive"));
    let mut options = parts.headers.get_all(CONNECTION).iter();
    parts.version == Version::HTTP_11
        && parts.method != Method::CONNECT
        && !parts.headers.contains_key(UPGRADE)
        && !options.any(|options| options.to_str().map_or(true, has_other_option))
}

/// Whether a request has or may have a body.
fn has_body(headers: &HeaderMap) -> bool {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let is_empty = match (lengths.next(), lengths.next()) {
        (None, _) => true,
        (Some(length), None) => length == "0",
        _ => false,
    };
    !is_empty || headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(EXPECT)
}
