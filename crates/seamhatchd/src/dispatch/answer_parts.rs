//! Status and fields of an answer that another daemon has sent or recorded, checked before they become a response.
//!
//! The daemon beside the server has checked the answer, but that daemon may be of another release, or faulty. What is not sound is not
//! passed on, in whole or in part. No state.

use crate::base::answer_head::{AnswerHeadError, check_answer_head};
use http::header::TRANSFER_ENCODING;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use seamhatch_wire::HeaderField;
use thiserror::Error;

/// Why an answer of another daemon is not passed on.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PeerAnswerError {
    /// The method, the status or a field is not HTTP.
    #[error("it is not HTTP ({0}); look at the releases of both daemons")]
    NotHttp(String),
    /// The head doesn't say for certain where the body ends.
    #[error(transparent)]
    Head(#[from] AnswerHeadError),
}

impl PeerAnswerError {
    fn not_http(error: &dyn std::error::Error) -> Self {
        Self::NotHttp(error.to_string())
    }
}

/// Status and fields of an answer, as they are passed on.
#[derive(Debug, Clone, Default)]
pub struct AnswerParts {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Length of the body that must follow, in bytes, where the head says it.
    pub body_length: Option<u64>,
}

impl AnswerParts {
    /// Checks an answer to a request with `method` that another daemon has sent.
    ///
    /// # Errors
    /// [`PeerAnswerError`] if any of it is not sound.
    pub fn of_peer(method: &str, status: u16, fields: &[HeaderField]) -> Result<Self, PeerAnswerError> {
        let method =
            Method::from_bytes(method.as_bytes()).map_err(|error| PeerAnswerError::not_http(&error))?;
        let status = StatusCode::from_u16(status).map_err(|error| PeerAnswerError::not_http(&error))?;
        let headers = header_map(fields)?;
        if headers.contains_key(TRANSFER_ENCODING) {
            // Daemons pass bodies on without a coding.
            return Err(AnswerHeadError::TransferCoding.into());
        }
        let stated = check_answer_head(&method, status, &headers)?;
        let has_body =
            method != Method::HEAD && !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let body_length = if has_body { stated } else { Some(0) };
        Ok(Self { status, headers, body_length })
    }

    /// Whether a body of this length in bytes is whole.
    #[must_use]
    pub fn is_whole(&self, length: usize) -> bool {
        self.body_length.is_none_or(|expected| expected == length as u64)
    }
}

fn header_map(fields: &[HeaderField]) -> Result<HeaderMap, PeerAnswerError> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        let name = name.map_err(|error| PeerAnswerError::not_http(&error))?;
        headers.append(name, value.map_err(|error| PeerAnswerError::not_http(&error))?);
    }
    Ok(headers)
}
