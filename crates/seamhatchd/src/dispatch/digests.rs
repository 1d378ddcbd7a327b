//! Digests that name a call within its request, and a request among all that come in.

use crate::filters::RequestState;
use crate::shared::Shared;
use seamhatch_core::identity::{Fingerprint, RequestDigest};

/// Names a call among those of its parent: a repeat of it has the same fingerprint.
pub(super) fn call_fingerprint(request: &RequestState, body: Fingerprint) -> Fingerprint {
    let parts: [&[u8]; 4] = [
        request.service.as_bytes(),
        request.method.as_bytes(),
        request.path.as_bytes(),
        &body.0.to_le_bytes(),
    ];
    Fingerprint::of(&parts)
}

/// Names a request, the same at whichever daemon it comes in, so the service beside the daemon is left out. The same
/// request of two tenants has two digests. The cluster's name makes digests of one deployment useless in another.
pub(super) fn request_digest(shared: &Shared, request: &RequestState, body: Fingerprint) -> RequestDigest {
    // An absent field counts as an empty one.
    let header = |name| request.header(name).unwrap_or_default().as_bytes();
    // A host that the back end doesn't get only says which daemon the caller has addressed.
    let host = request.host.as_deref().filter(|_| shared.conventions.passes_through("host"));
    RequestDigest::of(&[
        shared.settings.cluster.as_bytes(),
        header("authorization"),
        header(shared.conventions.tenant_field()),
        host.unwrap_or(&request.service).as_bytes(),
        request.method.as_bytes(),
        request.path.as_bytes(),
        &body.0.to_le_bytes(),
    ])
}
