//! JSON in the answers and requests of the listeners that operators and back ends use.

use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};
use xitca_web::http::WebResponse;

/// An answer with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> WebResponse {
    // Only maps with keys that are no text fail, and no answer has one.
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

/// A body that can't be read: the status to answer with, and why.
#[derive(Debug)]
pub struct UnusableBody {
    /// Status of the answer.
    pub status: StatusCode,
    /// What is wrong and what to do about it.
    pub detail: String,
}

/// Reads a JSON body of at most `largest` bytes.
///
/// # Errors
/// [`UnusableBody`] when the body breaks off, is too large or is not JSON of this type.
pub async fn read_json<T: DeserializeOwned>(
    mut body: RequestBody,
    largest: usize,
) -> Result<T, UnusableBody> {
    let bad = |status, detail: String| UnusableBody { status, detail };
    let mut bytes = Vec::new();
    while let Some(piece) = body.data().await {
        let piece = piece.map_err(|error| bad(StatusCode::BAD_REQUEST, error.to_string()))?;
        if bytes.len() + piece.len() > largest {
            let detail = format!("the body is larger than {largest} bytes; send less");
            return Err(bad(StatusCode::PAYLOAD_TOO_LARGE, detail));
        }
        bytes.extend_from_slice(&piece);
    }
    serde_json::from_slice(&bytes).map_err(|error| bad(StatusCode::BAD_REQUEST, error.to_string()))
}
