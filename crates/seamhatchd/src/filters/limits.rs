//! Limits on the size of a request, from the configuration that applies to the request.

use crate::base::metrics::BadInput;
use crate::filters::{Rejection, RequestFilter, RequestState};
use crate::shared::Shared;
use seamhatch_core::outcome::Reason;
use seamhatch_policy::LimitSettings;

/// Rejects requests above a size limit.
pub struct RequestLimits;

impl RequestFilter for RequestLimits {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        let configuration = request.configuration()?;
        let Some(rejection) = oversize(configuration.limits(), request) else { return Ok(()) };
        shared.metrics.bad_input(BadInput::Request);
        Err(rejection)
    }
}

/// Returns the rejection of a request above a limit, if it is above one.
fn oversize(limits: &LimitSettings, request: &RequestState) -> Option<Rejection> {
    let too_large = |reason, detail| Some(Rejection::not_run(reason, detail));
    let (path, fields) = (request.path.len(), request.field_bytes);
    if path > limits.path_bytes {
        let detail = format!(
            "the path is longer than {} bytes; shorten it or send the data in the body",
            limits.path_bytes
        );
        return too_large(Reason::HeadTooLarge, detail);
    }
    if path + fields > limits.head_bytes {
        let detail =
            format!("the head is larger than {} bytes; send the data in the body", limits.head_bytes);
        return too_large(Reason::HeadTooLarge, detail);
    }
    if request.body_length.is_some_and(|length| length > limits.body_bytes) {
        let detail = format!("the request's body is larger than {} bytes; send less", limits.body_bytes);
        return too_large(Reason::BodyTooLarge, detail);
    }
    None
}
