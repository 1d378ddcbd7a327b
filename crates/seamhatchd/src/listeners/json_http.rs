//! JSON request and response bodies of the admin and registry listeners.

use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};
use xitca_web::http::WebResponse;

/// Builds a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> WebResponse {
    // Serialization fails only for maps with keys that are not strings, which no response contains.
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    with_media_type(status, "application/json", bytes)
}

/// Builds a response with a body of the given media type.
pub fn with_media_type(status: StatusCode, media_type: &'static str, bytes: Vec<u8>) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    response
}

/// Error: a request body could not be read.
#[derive(Debug)]
pub struct InvalidBody {
    /// Status of the response.
    pub status: StatusCode,
    /// The fault, and how to correct it.
    pub detail: String,
}

/// Reads a JSON body of at most `largest` bytes.
///
/// # Errors
/// [`InvalidBody`] if the body is truncated, too large, or not JSON of type `T`.
pub async fn read_json<T: DeserializeOwned>(mut body: RequestBody, largest: usize) -> Result<T, InvalidBody> {
    let invalid = |status, detail: String| InvalidBody { status, detail };
    let mut bytes = Vec::new();
    while let Some(piece) = body.data().await {
        let piece = piece.map_err(|error| invalid(StatusCode::BAD_REQUEST, error.to_string()))?;
        if bytes.len() + piece.len() > largest {
            let detail = format!("the body is larger than {largest} bytes; send less");
            return Err(invalid(StatusCode::PAYLOAD_TOO_LARGE, detail));
        }
        bytes.extend_from_slice(&piece);
    }
    serde_json::from_slice(&bytes).map_err(|error| invalid(StatusCode::BAD_REQUEST, error.to_string()))
}
