//! Digests that identify a call among those of its parent, and a request among all requests of the
//! cluster.

use crate::filters::RequestState;
use crate::shared::Shared;
use seamhatch_core::identity::{Fingerprint, RequestDigest};

/// Returns the fingerprint of a call among the calls of its parent. A repeat of the call has the
/// same fingerprint.
pub(super) fn call_fingerprint(request: &RequestState, body: Fingerprint) -> Fingerprint {
    let parts: [&[u8]; 4] = [
        request.service.as_bytes(),
        request.method.as_bytes(),
        request.path.as_bytes(),
        &body.0.to_le_bytes(),
    ];
    Fingerprint::of(&parts)
}

/// Returns the digest of a request. It is the same at every daemon that may receive the request, so
/// it leaves out the local service. The same request from two tenants has two digests. The cluster
/// name is part of the digest, so that digests of one deployment are useless in another.
pub(super) fn request_digest(shared: &Shared, request: &RequestState, body: Fingerprint) -> RequestDigest {
    // An absent field counts as an empty one.
    let header = |name| request.header(name).unwrap_or_default().as_bytes();
    // A host that is not passed on to the back end only tells which daemon the caller addressed.
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
