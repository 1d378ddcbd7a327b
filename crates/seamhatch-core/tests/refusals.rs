//! Rules for refusals: who may issue a reason, what it proves, whether another server may be tried, when to
//! return.

use seamhatch_core::clock::MILLISECOND;
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::refusal::{Failover, Issuer, Proof, ReturnTime, VerdictSource};
use std::collections::BTreeSet;

const REASONS: [Reason; 33] = [
    Reason::BadRequest,
    Reason::NoRoute,
    Reason::BadContext,
    Reason::NotReady,
    Reason::Draining,
    Reason::AdmissionFloor,
    Reason::QueueFull,
    Reason::Evicted,
    Reason::DeadlineExceeded,
    Reason::Cancelled,
    Reason::NoServer,
    Reason::RetriesExhausted,
    Reason::RetryRatio,
    Reason::NoClaimMajority,
    Reason::KeyHeld,
    Reason::KeyMismatch,
    Reason::PeerLost,
    Reason::BackendUnreachable,
    Reason::BackendFailed,
    Reason::BackendCrashed,
    Reason::BackendRefused,
    Reason::NoInstance,
    Reason::OtherInstance,
    Reason::HeadTooLarge,
    Reason::BodyTooLarge,
    Reason::CrashesServers,
    Reason::OtherService,
    Reason::NoKey,
    Reason::UnknownKey,
    Reason::NoProof,
    Reason::OverQuota,
    Reason::NoQuotaShard,
    Reason::BackendRate,
];

fn reasons_that(keep: impl Fn(Reason) -> bool) -> BTreeSet<Reason> {
    REASONS.into_iter().filter(|reason| keep(*reason)).collect()
}

/// Reasons that share a property.
struct SetCase {
    name: &'static str,
    has: fn(Reason) -> bool,
    reasons: &'static [Reason],
}

#[test]
fn each_property_holds_for_exactly_these_reasons() {
    let cases = [
        SetCase {
            name: "another server may do better",
            has: Reason::worth_another_server,
            reasons: &[
                Reason::NotReady,
                Reason::Draining,
                Reason::NoServer,
                Reason::BackendUnreachable,
                Reason::PeerLost,
                Reason::BackendRefused,
                Reason::NoInstance,
                Reason::OtherInstance,
                Reason::OtherService,
            ],
        },
        SetCase {
            name: "a few other servers may have room",
            has: Reason::is_server_overload,
            reasons: &[Reason::QueueFull, Reason::Evicted, Reason::DeadlineExceeded, Reason::BackendRate],
        },
        SetCase {
            name: "the back end may have seen the call",
            has: Reason::reached_back_end,
            reasons: &[
                Reason::BackendRefused,
                Reason::BackendFailed,
                Reason::BackendCrashed,
                Reason::OtherInstance,
            ],
        },
        SetCase {
            name: "counts as a lost call of its server",
            has: Reason::counts_as_lost,
            reasons: &[Reason::BackendUnreachable, Reason::BackendFailed, Reason::BackendCrashed],
        },
        SetCase {
            name: "holds under one configuration only",
            has: |reason| reason.rule().depends_on_configuration,
            reasons: &[
                Reason::NoRoute,
                Reason::HeadTooLarge,
                Reason::BodyTooLarge,
                Reason::NoKey,
                Reason::UnknownKey,
            ],
        },
        SetCase {
            name: "returning does not help",
            has: |reason| reason.rule().default_return().is_none(),
            reasons: &[
                Reason::BadRequest,
                Reason::BadContext,
                Reason::NoRoute,
                Reason::KeyMismatch,
                Reason::HeadTooLarge,
                Reason::BodyTooLarge,
                Reason::NoKey,
                Reason::UnknownKey,
            ],
        },
        SetCase {
            name: "a server sends the drain time of its queue",
            has: |reason| reason.rule().return_time == ReturnTime::AfterQueue,
            reasons: &[Reason::QueueFull, Reason::Evicted, Reason::DeadlineExceeded, Reason::BackendRate],
        },
    ];
    for case in cases {
        let expected: BTreeSet<Reason> = case.reasons.iter().copied().collect();
        assert_eq!(reasons_that(case.has), expected, "{}", case.name);
    }
}

/// The status depends only on the reason, the outcome and where the decision was made.
#[test]
fn no_rule_promises_more_than_is_proved() {
    for reason in REASONS {
        let rule = reason.rule();
        assert!(!rule.issued_by.is_empty(), "{reason}: no issuer");
        let back_end_issues = rule.issued_by.contains(&Issuer::BackEnd);
        assert!(
            !back_end_issues || rule.reached_back_end,
            "{reason}: issued by a back end that was not reached"
        );
        let unknown = rule.proves == Proof::Unknown;
        assert!(!unknown || rule.failover != Failover::Yes, "{reason}: sent to another server, may have run");
        let [not_run, unknown] =
            [Outcome::NotRun, Outcome::Unknown].map(|outcome| rule.status(VerdictSource::Peer, outcome));
        assert!([429, 503].contains(&not_run), "{reason}: a peer never blames the caller");
        assert!([502, 504].contains(&unknown), "{reason}: a peer never promises what it doesn't know");
    }
}

#[test]
fn reason_names_are_distinct() {
    let names: BTreeSet<&str> = REASONS.iter().map(|reason| reason.name()).collect();
    assert_eq!(names.len(), REASONS.len());
}

/// Return time that the entry sends if it has no better estimate.
#[test]
fn the_default_return_time_is_half_a_second() {
    let returning = reasons_that(|reason| reason.rule().default_return().is_some());
    for reason in returning {
        assert_eq!(reason.rule().default_return(), Some(500 * MILLISECOND), "{reason}");
    }
}
