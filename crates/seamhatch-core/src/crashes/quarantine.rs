//! Isolation of suspects: on which server a suspect runs, what may run beside it, and when it is not sent
//! again.
//!
//! Decides from the crashes that count against a request ([`super::CrashLedger`]). This protects the servers
//! that have not crashed yet: all copies of a suspect go to one server, where they run one at a time. A
//! suspect of several crashes is the only such suspect that runs there, so that the next crash identifies the
//! request. Alternatives: docs/DESIGN.md#requests-that-crash-servers. The daemon's part is
//! `seamhatchd::server::crashes` and `seamhatchd::dispatch::suspects`.

use crate::identity::RequestDigest;
use crate::outcome::Reason;
use crate::rendezvous;

/// Crashes from which on a suspect runs isolated. Every call that ran during a crash makes a suspect, so
/// suspects of one crash are many and would wait for each other; two crashes leave few.
const CRASHES_TO_ISOLATE: u32 = 2;

/// Crashes from which on a failed call is not sent again. A single crash is mostly an accident, and an
/// immediate resend saves the calls that ran beside the one that caused it.
const CRASHES_TO_FORBID_RESEND: u32 = 2;

/// Whether a suspect with this many crashes runs isolated, without another suspect of several crashes beside
/// it.
#[must_use]
pub fn runs_isolated(crashes: u32) -> bool {
    crashes >= CRASHES_TO_ISOLATE
}

/// Whether a request with this many crashes is not sent again after a refusal for `reason` or the loss of the
/// daemon that was asked.
#[must_use]
pub fn forbids_resend(reason: Reason, crashes: u32) -> bool {
    matches!(reason, Reason::BackendCrashed | Reason::PeerLost) && crashes >= CRASHES_TO_FORBID_RESEND
}

/// The server that runs a suspect. All daemons choose the same one, as `key` identifies a server the same way
/// everywhere.
pub fn server_for_suspect<'a, T>(
    request: RequestDigest,
    servers: impl Iterator<Item = &'a T>,
    key: impl Fn(&T) -> Vec<u8>,
) -> Option<&'a T> {
    rendezvous::choose(request.0, servers, key, 1).into_iter().next()
}
