//! Rates that a back end names: kept for senders that were told, kept no longer than they are named, and each seeded fault is found.

mod common;

use common::{assert_found, assert_holds};
use seamhatch_model::notices::{NoticesFault, NoticesModel};

const LIMIT: usize = 6_000_000;

/// Bounds within which the property holds: changes, requests, restarts.
const BOUNDS: [(u8, u8, u8); 3] = [(3, 4, 0), (2, 4, 1), (1, 4, 2)];

#[test]
fn a_rate_is_kept_for_those_who_were_told_and_no_longer_than_it_is_named() {
    for (changes, requests, restarts) in BOUNDS {
        let model = NoticesModel { changes, requests, restarts, fault: NoticesFault::None };
        assert_holds(model, &model.search(LIMIT));
    }
}

#[test]
fn each_seeded_fault_is_found() {
    let faults =
        [NoticesFault::LastAnswerCounts, NoticesFault::NothingHandedBack, NoticesFault::ToldBeforeHandedBack];
    for fault in faults {
        let model = NoticesModel { changes: 2, requests: 3, restarts: 1, fault };
        assert_found(fault, &model.search(LIMIT));
    }
}
