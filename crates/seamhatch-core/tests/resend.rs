//! Whether a call is sent again after a failed attempt, and how its first dispatch counts in the retry
//! budget.

use seamhatch_core::outcome::Reason;
use seamhatch_core::retry::{BudgetEntry, Dispatch, FailedAttempt, Resend};

/// An attempt that a daemon refused by itself; the call is repeatable and can be sent again.
fn refused(reason: Reason) -> FailedAttempt {
    FailedAttempt {
        reason,
        reached_back_end: reason.reached_back_end(),
        may_have_run: false,
        repeatable: true,
        overload_refusals: u32::from(reason.is_server_overload()),
        can_replay: true,
        in_time: true,
    }
}

/// An attempt that was lost after it was sent.
fn lost(reason: Reason, repeatable: bool) -> FailedAttempt {
    FailedAttempt { reached_back_end: true, may_have_run: true, repeatable, ..refused(reason) }
}

struct ResendCase {
    name: &'static str,
    attempt: FailedAttempt,
    resend: Resend,
}

#[test]
fn a_call_is_sent_again_if_useful_safe_and_possible() {
    let once = |attempt| FailedAttempt { repeatable: false, ..attempt };
    let cases = [
        ResendCase {
            name: "another server may serve it",
            attempt: refused(Reason::NoInstance),
            resend: Resend::Free,
        },
        ResendCase {
            name: "the same, and it may run once only",
            attempt: once(refused(Reason::NoInstance)),
            resend: Resend::Free,
        },
        ResendCase {
            name: "the back end refused it",
            attempt: refused(Reason::BackendRefused),
            resend: Resend::Charged,
        },
        ResendCase {
            name: "all servers would say the same",
            attempt: refused(Reason::CrashesServers),
            resend: Resend::No,
        },
        ResendCase {
            name: "first overloaded server",
            attempt: refused(Reason::QueueFull),
            resend: Resend::Free,
        },
        ResendCase {
            name: "second overloaded server",
            attempt: FailedAttempt { overload_refusals: 2, ..refused(Reason::Evicted) },
            resend: Resend::Free,
        },
        ResendCase {
            name: "third overloaded server",
            attempt: FailedAttempt { overload_refusals: 3, ..refused(Reason::QueueFull) },
            resend: Resend::No,
        },
        ResendCase { name: "lost", attempt: lost(Reason::PeerLost, true), resend: Resend::Charged },
        ResendCase {
            name: "lost, and it may run once only",
            attempt: lost(Reason::PeerLost, false),
            resend: Resend::No,
        },
        ResendCase {
            name: "the answer broke off",
            attempt: lost(Reason::BackendFailed, true),
            resend: Resend::Charged,
        },
        ResendCase {
            name: "refused after an earlier attempt that may have run",
            attempt: FailedAttempt { may_have_run: true, ..refused(Reason::QueueFull) },
            resend: Resend::Free,
        },
        ResendCase {
            name: "the same, and it may run once only",
            attempt: once(FailedAttempt { may_have_run: true, ..refused(Reason::NoInstance) }),
            resend: Resend::No,
        },
        ResendCase {
            name: "part of its body is gone",
            attempt: FailedAttempt { can_replay: false, ..refused(Reason::NoInstance) },
            resend: Resend::No,
        },
        ResendCase {
            name: "its deadline has passed",
            attempt: FailedAttempt { in_time: false, ..lost(Reason::PeerLost, true) },
            resend: Resend::No,
        },
    ];
    for case in cases {
        assert_eq!(case.attempt.resend(), case.resend, "{}", case.name);
    }
}

#[test]
fn only_a_callers_retry_can_be_refused_by_the_budget() {
    let cases = [
        (false, false, BudgetEntry::FirstTry),
        (false, true, BudgetEntry::CallOfRepeat),
        (true, false, BudgetEntry::Retry),
        (true, true, BudgetEntry::Retry),
    ];
    for (charged, parent_repeats, entry) in cases {
        let dispatch = Dispatch { charged, repeat: charged };
        assert_eq!(dispatch.budget_entry(parent_repeats), entry, "{charged} {parent_repeats}");
    }
}
