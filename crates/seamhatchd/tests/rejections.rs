//! Which status a caller is told for which reason, by who reached the verdict.

use seamhatch_core::clock::MILLISECOND;
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::priority::AdmissionFloor;
use seamhatch_wire::{Refusal, ServerReport};
use seamhatchd::filters::Rejection;

/// Statuses of one reason: of calls that were not run, and of those that may have run.
struct StatusCase {
    reason: Reason,
    entry: (u16, u16),
    peer: (u16, u16),
}

const fn blames_caller(reason: Reason, status: u16) -> StatusCase {
    StatusCase { reason, entry: (status, status), peer: (503, 502) }
}

const fn blames_nobody(reason: Reason, not_run: u16, unknown: u16) -> StatusCase {
    StatusCase { reason, entry: (not_run, unknown), peer: (not_run, unknown) }
}

/// The entry says 503 of itself; what an earlier attempt did is not known where a peer says so.
const fn promises_of_the_entry(reason: Reason) -> StatusCase {
    StatusCase { reason, entry: (503, 503), peer: (503, 502) }
}

const CASES: [StatusCase; 33] = [
    blames_caller(Reason::BadRequest, 400),
    blames_caller(Reason::BadContext, 403),
    blames_caller(Reason::NoRoute, 404),
    blames_caller(Reason::KeyHeld, 409),
    blames_caller(Reason::KeyMismatch, 409),
    blames_caller(Reason::BodyTooLarge, 413),
    blames_caller(Reason::HeadTooLarge, 431),
    promises_of_the_entry(Reason::NotReady),
    promises_of_the_entry(Reason::Draining),
    promises_of_the_entry(Reason::NoClaimMajority),
    blames_nobody(Reason::DeadlineExceeded, 503, 504),
    blames_nobody(Reason::AdmissionFloor, 503, 502),
    blames_nobody(Reason::QueueFull, 503, 502),
    blames_nobody(Reason::Evicted, 503, 502),
    blames_nobody(Reason::Cancelled, 503, 502),
    blames_nobody(Reason::NoServer, 503, 502),
    blames_nobody(Reason::RetriesExhausted, 503, 502),
    blames_nobody(Reason::RetryRatio, 503, 502),
    blames_nobody(Reason::PeerLost, 503, 502),
    blames_nobody(Reason::BackendUnreachable, 503, 502),
    blames_nobody(Reason::BackendFailed, 503, 502),
    blames_nobody(Reason::BackendCrashed, 503, 502),
    blames_nobody(Reason::BackendRefused, 503, 502),
    blames_nobody(Reason::NoInstance, 503, 502),
    blames_nobody(Reason::OtherInstance, 503, 502),
    blames_nobody(Reason::CrashesServers, 503, 502),
    blames_nobody(Reason::OtherService, 503, 502),
    blames_caller(Reason::NoKey, 401),
    blames_caller(Reason::UnknownKey, 401),
    blames_nobody(Reason::NoProof, 503, 502),
    blames_nobody(Reason::OverQuota, 429, 502),
    blames_nobody(Reason::NoQuotaShard, 503, 502),
    blames_nobody(Reason::BackendRate, 503, 502),
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

/// Only what the entry finds itself may blame the caller: a peer judges by what it knows of the sender.
#[test]
fn only_the_entrys_own_verdict_blames_the_caller() {
    for StatusCase { reason, entry, peer } in CASES {
        let of_entry = [Rejection::not_run(reason, ""), Rejection::unknown(reason, "")];
        let told = of_entry.map(|rejection| rejection.status().as_u16());
        assert_eq!(told, [entry.0, entry.1], "entry: {reason}");
        let of_peer =
            [Outcome::NotRun, Outcome::Unknown].map(|outcome| Rejection::of_peer(&refusal(outcome, reason)));
        assert!(of_peer.iter().all(|rejection| rejection.retry_after.is_some()), "peer: {reason}");
        let told = of_peer.map(|rejection| rejection.status().as_u16());
        assert_eq!(told, [peer.0, peer.1], "peer: {reason}");
    }
}
