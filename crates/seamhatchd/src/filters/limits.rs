//! Bounds on what a request may carry in its head.

use crate::filters::{Rejection, RequestFilter, RequestState};
use crate::metrics::BadInput;
use crate::shared::Shared;
use seamhatch_core::outcome::Reason;

/// Longest path with query, in bytes.
const LONGEST_PATH: usize = 8 * 1024;
/// All header fields together, in bytes.
const LARGEST_HEADERS: usize = 32 * 1024;

/// Refuses oversized heads.
pub struct RequestLimits;

impl RequestFilter for RequestLimits {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        let headers: usize = request.headers.iter().map(|field| field.name.len() + field.value.len()).sum();
        let rejection = if request.path.len() > LONGEST_PATH {
            let detail = "the path is longer than 8 KiB; shorten it or send the data in the body";
            Some(Rejection::not_run(Reason::HeadTooLarge, detail))
        } else if headers > LARGEST_HEADERS {
            let detail = "the header fields are larger than 32 KiB; send the data in the body";
            Some(Rejection::not_run(Reason::HeadTooLarge, detail))
        } else {
            above_configured(shared, request, headers + request.path.len())
        };
        let Some(rejection) = rejection else { return Ok(()) };
        shared.metrics.bad_input(BadInput::Request);
        Err(rejection)
    }
}

/// Judges a request by the limits of the configuration in force.
fn above_configured(shared: &Shared, request: &RequestState, head: usize) -> Option<Rejection> {
    let snapshot = shared.snapshot();
    let limits = snapshot.configuration()?.limits();
    if head > limits.head_bytes {
        let detail = format!("the request's head is larger than {} bytes; shorten it", limits.head_bytes);
        return Some(Rejection::not_run(Reason::HeadTooLarge, detail));
    }
    if request.body_length.is_some_and(|length| length > limits.body_bytes) {
        let detail = format!("the request's body is larger than {} bytes; send less", limits.body_bytes);
        return Some(Rejection::not_run(Reason::BodyTooLarge, detail));
    }
    None
}
