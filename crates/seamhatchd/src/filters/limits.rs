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
        let problem = if request.path.len() > LONGEST_PATH {
            Some("the path is longer than 8 KiB; shorten it or send the data in the body")
        } else if headers > LARGEST_HEADERS {
            Some("the header fields are larger than 32 KiB; send the data in the body")
        } else {
            None
        };
        let Some(detail) = problem else { return Ok(()) };
        shared.metrics.bad_input(BadInput::Request);
        Err(Rejection::not_run(Reason::BadRequest, detail))
    }
}
