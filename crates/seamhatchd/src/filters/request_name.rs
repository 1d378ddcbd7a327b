//! Rejects requests without a name if the conventions require one.

use crate::base::metrics::BadInput;
use crate::filters::{Rejection, RequestFilter, RequestState};
use crate::shared::Shared;
use seamhatch_core::outcome::Reason;

/// Rejects a request without a name if the conventions require one. Every back end would refuse it,
/// and only the entry can tell the caller that the request itself is wrong.
pub struct RequiredName;

impl RequestFilter for RequiredName {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        if request.terms.name.is_some() || !shared.conventions.requires_name() {
            return Ok(());
        }
        shared.metrics.bad_input(BadInput::Request);
        Err(Rejection::not_run(Reason::BadRequest, "the request has no id; give it one of its own"))
    }
}
