//! Determines the call that caused a request. Trusted fields are removed from external requests and
//! read from calls of the back end.

use crate::base::metrics::BadInput;
use crate::conventions::headers;
use crate::filters::{Rejection, RequestFilter, RequestState};
use crate::server::running::MissingParent;
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
/// caller's own, and later filters know why there is none. With it, the request inherits the
/// parent's priority, so that work in progress is completed first.
pub struct ParentFromName;

impl RequestFilter for ParentFromName {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        let Some(name) = &request.terms.parent else { return Ok(()) };
        match shared.server.running.find_by_name(name) {
            Ok(parent) => {
                request.root = parent.root;
                request.parent = Some(parent);
            }
            Err(missing) => {
                shared.metrics.missing_parent(missing.name());
                request.missing_parent = Some(missing);
            }
        }
        Ok(())
    }
}

/// Finds the running call that the context header names.
///
/// A call without the header is handled as a new request without retry tokens. A call whose parent
/// is unknown is rejected: the parent has ended or was given up, so nobody can use the result, or it
/// runs since before this daemon started.
pub struct ParentFromContext;

impl RequestFilter for ParentFromContext {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        let Some(context) = request.terms.context.take() else { return Ok(()) };
        let parent = shared.server.running.find(&context).map_err(|missing| {
            shared.metrics.missing_parent(missing.name());
            reject_context(shared, missing)
        })?;
        request.root = parent.root;
        request.class = parent.priority.class;
        request.parent = Some(parent);
        Ok(())
    }
}

/// The rejection of a call whose context names no running call.
fn reject_context(shared: &Shared, missing: MissingParent) -> Rejection {
    if missing == MissingParent::MayBeEarlier {
        return parent_unknown(missing);
    }
    shared.metrics.bad_input(BadInput::Context);
    let detail = "the call that this context names has ended or was given up; stop the work for it";
    Rejection::not_run(Reason::BadContext, detail)
}

/// The rejection of a call whose parent this daemon does not know, though it may run.
pub(super) fn parent_unknown(missing: MissingParent) -> Rejection {
    let detail = match missing {
        MissingParent::Abandoned => {
            "the request that this call is for has been given up; stop the work for it"
        }
        MissingParent::MayBeEarlier | MissingParent::Unknown => {
            "this daemon has restarted and does not know the request that this call is for; come back after Retry-After"
        }
    };
    Rejection::not_run(Reason::ParentUnknown, detail)
}
