//! Determines the call that caused a request. Trusted fields are removed from external requests and
//! read from calls of the back end.

use crate::base::metrics::BadInput;
use crate::conventions::headers;
use crate::filters::{Rejection, RequestFilter, RequestState};
use crate::shared::Shared;
use log::debug;
use seamhatch_core::outcome::Reason;

/// Removes fields that only daemons may set, and counts the requests that carry the context field.
pub struct RemoveTrustedFields;

impl RequestFilter for RemoveTrustedFields {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        if request.terms.context.take().is_some() {
            shared.metrics.bad_input(BadInput::Context);
            debug!(root = request.root.to_string().as_str(); "context header from outside removed");
        }
        request.headers.retain(|field| !field.name.starts_with(headers::PREFIX));
        Ok(())
    }
}

/// Finds the running call that the request names as its parent.
///
/// The name is only a hint: without such a call at this daemon, the request is handled as a
/// caller's own. With it, the request inherits the parent's priority, so that work in progress is
/// completed first.
pub struct ParentFromName;

impl RequestFilter for ParentFromName {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        let Some(name) = &request.terms.parent else { return Ok(()) };
        if let Some(parent) = shared.server.running.find_by_name(name) {
            request.root = parent.root;
            request.parent = Some(parent);
        }
        Ok(())
    }
}

/// Finds the running call that the context header names.
///
/// A call without the header is handled as a new request without retry tokens. A call whose parent
/// is unknown is rejected: the parent has ended or was given up, so nobody can use the result.
pub struct ParentFromContext;

impl RequestFilter for ParentFromContext {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        let Some(context) = request.terms.context.take() else { return Ok(()) };
        let Some(parent) = shared.server.running.find(&context) else {
            shared.metrics.bad_input(BadInput::Context);
            let detail = "the call that this context names has ended or was given up; stop the work for it";
            return Err(Rejection::not_run(Reason::BadContext, detail));
        };
        request.root = parent.root;
        request.class = parent.priority.class;
        request.parent = Some(parent);
        Ok(())
    }
}
