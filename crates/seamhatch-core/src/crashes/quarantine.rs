//! Quarantine of suspects: where a suspect runs, beside what, and when its try ends.
//!
//! Decides from the crashes that count against a request ([`super::CrashLedger`]). It protects the servers that have not
//! crashed yet: all copies of a suspect go to one server, where they run one at a time, and a request of several crashes
//! runs there alone among its kind, so that the next crash shows which one it was. Alternatives:
//! docs/DESIGN.md#requests-that-crash-servers. The daemon's part is `seamhatchd::server::crashes` and
//! `seamhatchd::dispatch::suspects`.

use crate::identity::RequestDigest;
use crate::outcome::Reason;
use crate::rendezvous;

/// Crashes from which on a suspect runs alone among its kind. Each call that was at work in one crash is a suspect, so
/// suspects of one crash are many and would wait for each other; two crashes leave few.
const CRASHES_TO_ISOLATE: u32 = 2;

/// Crashes after which a request isn't sent again within the same try. One is most often an accident, and a repeat at
/// once saves the calls that ran beside the cause.
const CRASHES_PER_TRY: u32 = 2;

/// Whether a suspect of this many crashes runs alone among the suspects of several crashes.
#[must_use]
pub fn runs_isolated(crashes: u32) -> bool {
    crashes >= CRASHES_TO_ISOLATE
}

/// Whether a refusal for `reason`, or the loss of the daemon that was asked, ends the try of a request with this many crashes.
#[must_use]
pub fn forbids_resend(reason: Reason, crashes: u32) -> bool {
    matches!(reason, Reason::BackendCrashed | Reason::PeerLost) && crashes >= CRASHES_PER_TRY
}

/// The server that runs a suspect, the same one at all daemons; `key` names a server the same way everywhere.
pub fn server_for_suspect<'a, T>(
    request: RequestDigest,
    servers: impl Iterator<Item = &'a T>,
    key: impl Fn(&T) -> Vec<u8>,
) -> Option<&'a T> {
    rendezvous::choose(request.0, servers, key, 1).into_iter().next()
}
