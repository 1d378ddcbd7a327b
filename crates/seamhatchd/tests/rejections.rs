//! The HTTP status for each reason, which depends on whether the entry or a peer reached the verdict.

use seamhatch_core::clock::MILLISECOND;
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::priority::AdmissionFloor;
use seamhatch_wire::{Refusal, ServerReport};
use seamhatchd::filters::Rejection;

/// Statuses for one reason. Each pair holds the status of a call that was not run, and that of a call that may have run.
struct StatusCase {
    reason: Reason,
    entry: (u16, u16),
    peer: (u16, u16),
}

const fn blames_caller_at_entry(reason: Reason, status: u16) -> StatusCase {
    StatusCase { reason, entry: (status, status), peer: (503, 502) }
}

const fn same_at_entry_and_peer(reason: Reason, not_run: u16, unknown: u16) -> StatusCase {
    StatusCase { reason, entry: (not_run, unknown), peer: (not_run, unknown) }
}

/// The entry answers 503 for both outcomes. Where a peer reports the reason, an earlier attempt may have run, so an unknown outcome is
/// answered with 502.
const fn unavailable_at_entry(reason: Reason) -> StatusCase {
    StatusCase { reason, entry: (503, 503), peer: (503, 502) }
}

const CASES: [StatusCase; 33] = [
    blames_caller_at_entry(Reason::BadRequest, 400),
    blames_caller_at_entry(Reason::BadContext, 403),
    blames_caller_at_entry(Reason::NoRoute, 404),
    blames_caller_at_entry(Reason::KeyHeld, 409),
    blames_caller_at_entry(Reason::KeyMismatch, 409),
    blames_caller_at_entry(Reason::BodyTooLarge, 413),
    blames_caller_at_entry(Reason::HeadTooLarge, 431),
    unavailable_at_entry(Reason::NotReady),
    unavailable_at_entry(Reason::Draining),
    unavailable_at_entry(Reason::NoClaimMajority),
    same_at_entry_and_peer(Reason::DeadlineExceeded, 503, 504),
    same_at_entry_and_peer(Reason::AdmissionFloor, 503, 502),
    same_at_entry_and_peer(Reason::QueueFull, 503, 502),
    same_at_entry_and_peer(Reason::Evicted, 503, 502),
    same_at_entry_and_peer(Reason::Cancelled, 503, 502),
    same_at_entry_and_peer(Reason::NoServer, 503, 502),
    same_at_entry_and_peer(Reason::RetriesExhausted, 503, 502),
    same_at_entry_and_peer(Reason::RetryRatio, 503, 502),
    same_at_entry_and_peer(Reason::PeerLost, 503, 502),
    same_at_entry_and_peer(Reason::BackendUnreachable, 503, 502),
    same_at_entry_and_peer(Reason::BackendFailed, 503, 502),
    same_at_entry_and_peer(Reason::BackendCrashed, 503, 502),
    same_at_entry_and_peer(Reason::BackendRefused, 503, 502),
    same_at_entry_and_peer(Reason::NoInstance, 503, 502),
    same_at_entry_and_peer(Reason::OtherInstance, 503, 502),
    same_at_entry_and_peer(Reason::CrashesServers, 503, 502),
    same_at_entry_and_peer(Reason::OtherService, 503, 502),
    blames_caller_at_entry(Reason::NoKey, 401),
    blames_caller_at_entry(Reason::UnknownKey, 401),
    same_at_entry_and_peer(Reason::NoProof, 503, 502),
    same_at_entry_and_peer(Reason::OverQuota, 429, 502),
    same_at_entry_and_peer(Reason::NoQuotaShard, 503, 502),
    same_at_entry_and_peer(Reason::BackendRate, 503, 502),
];

fn refusal(outcome: Outcome, reason: Reason) -> Refusal {
    Refusal {
        outcome,
        reason,
        retry_after: 200 * MILLISECOND,
        unspent_tokens: 0,
        crashes: 0,
        server: ServerReport { load: 0, limit: 0, floor: AdmissionFloor::OPEN },
        turn: None,
        pace: None,
    }
}

/// Only a verdict of the entry itself may have a status that blames the caller: a peer's verdict rests on what it knows of the sending
/// daemon.
#[test]
fn only_a_verdict_of_the_entry_blames_the_caller() {
    for StatusCase { reason, entry, peer } in CASES {
        let of_entry = [Rejection::not_run(reason, ""), Rejection::unknown(reason, "")];
        let statuses = of_entry.map(|rejection| rejection.status().as_u16());
        assert_eq!(statuses, [entry.0, entry.1], "entry: {reason}");
        let of_peer =
            [Outcome::NotRun, Outcome::Unknown].map(|outcome| Rejection::of_peer(&refusal(outcome, reason)));
        assert!(of_peer.iter().all(|rejection| rejection.retry_after.is_some()), "peer: {reason}");
        let statuses = of_peer.map(|rejection| rejection.status().as_u16());
        assert_eq!(statuses, [peer.0, peer.1], "peer: {reason}");
    }
}
