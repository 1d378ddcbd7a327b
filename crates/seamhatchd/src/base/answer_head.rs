//! Checks the head of an answer that was received over HTTP, before anything in it is believed.
//!
//! The HTTP library accepts heads that can be read in more than one way: it takes a transfer coding that it doesn't know for a body
//! up to the end of the connection, and prefers chunks to a length beside them. Whoever passes such a head on, or reads a result from
//! it, may understand another body than the library read. An answer is therefore used only if its head admits a single reading. No
//! state.

use http::header::{AsHeaderName, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Response, StatusCode};
use std::ops::Range;
use thiserror::Error;

/// The statuses of final answers (RFC 9110, section 15). Interim responses end before them, and nobody asks for another protocol.
const FINAL_STATUSES: Range<u16> = 200..600;

/// The only transfer coding that is decoded; answers have no other one, as no request offers it (RFC 9112, section 7.4).
const CHUNKED: &[u8] = b"chunked";

/// Why the head of an answer can't be understood. What it says of the request is not known.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AnswerHeadError {
    /// The status is not one of a final answer.
    #[error("status {0} is not one of a final answer (200 to 599); look at what the server sends")]
    Status(u16),
    /// A transfer coding other than `chunked`, or several.
    #[error("the transfer coding is not just `chunked`; look at the server's Transfer-Encoding")]
    TransferCoding,
    /// A length beside a transfer coding: one of them is wrong.
    #[error("the body has both a length and a transfer coding; the server must send only one of them")]
    LengthBesideCoding,
    /// The length is not a number, or there are several.
    #[error("the length of the body can't be read; look at the server's Content-Length")]
    Length,
    /// The status has no body, but the head announces one.
    #[error("status {0} has no body, but the head announces one; look at what the server sends")]
    BodyForbidden(u16),
}

/// Checks the head of an answer to a request with `method`. Returns the length that it states, in bytes.
///
/// # Errors
/// [`AnswerHeadError`] unless the head has a final status and delimits the body in one way (RFC 9112, section 6.3).
pub fn check_answer_head(
    method: &Method,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<Option<u64>, AnswerHeadError> {
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Err(AnswerHeadError::Status(status.as_u16()));
    }
    let is_coded = headers.contains_key(TRANSFER_ENCODING);
    if is_coded && !is_chunked(headers) {
        return Err(AnswerHeadError::TransferCoding);
    }
    let length = stated_length(headers)?;
    if is_coded && length.is_some() {
        return Err(AnswerHeadError::LengthBesideCoding);
    }
    let announces_body = is_coded || length.is_some_and(|length| length > 0);
    // Answers to HEAD and with 304 describe a body that they don't have (RFC 9110, sections 8.6 and 9.3.2).
    if status == StatusCode::NO_CONTENT && announces_body && method != Method::HEAD {
        return Err(AnswerHeadError::BodyForbidden(status.as_u16()));
    }
    Ok(length)
}

/// Checks the head of a response, as [`check_answer_head`].
///
/// # Errors
/// As there.
pub fn check_response<B>(method: &Method, response: &Response<B>) -> Result<Option<u64>, AnswerHeadError> {
    check_answer_head(method, response.status(), response.headers())
}

/// Whether `chunked` is the whole list of transfer codings.
fn is_chunked(headers: &HeaderMap) -> bool {
    let mut codings = elements(headers, TRANSFER_ENCODING);
    let is_first_chunked = codings.next().is_some_and(|coding| coding.eq_ignore_ascii_case(CHUNKED));
    is_first_chunked && codings.next().is_none()
}

/// The length in `Content-Length`. The same length several times counts as one (RFC 9110, section 8.6).
fn stated_length(headers: &HeaderMap) -> Result<Option<u64>, AnswerHeadError> {
    let mut lengths = elements(headers, CONTENT_LENGTH).map(decimal);
    let Some(first) = lengths.next() else { return Ok(None) };
    if first.is_none() || lengths.any(|length| length != first) {
        return Err(AnswerHeadError::Length);
    }
    Ok(first)
}

/// The elements of all fields with a name, which are lists with commas between.
fn elements(headers: &HeaderMap, name: impl AsHeaderName) -> impl Iterator<Item = &[u8]> {
    let values = headers.get_all(name).into_iter();
    values.flat_map(|value| value.as_bytes().split(|byte| *byte == b',')).map(<[u8]>::trim_ascii)
}

/// A number of plain digits.
fn decimal(text: &[u8]) -> Option<u64> {
    let is_plain = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(text).ok().filter(|_| is_plain)?.parse().ok()
}
