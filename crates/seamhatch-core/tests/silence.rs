//! Exclusion of servers whose daemons are silent or stopping.

use seamhatch_core::Instant;
use seamhatch_core::balance::{CandidateStatus, candidate_status, silent_at};
use seamhatch_core::clock::{MILLISECOND, SECOND};
use seamhatch_core::drain::CallIntake;

const NOW: Instant = Instant(100 * SECOND);

#[test]
fn a_peer_counts_as_silent_after_three_heartbeats_and_room_for_one() {
    assert_eq!(silent_at(NOW), NOW.plus(750 * MILLISECOND));
}

#[test]
fn a_server_is_used_as_its_daemon_reports_unless_it_is_avoided() {
    let stops = CallIntake::FallbackOnly { left: 3 * SECOND };
    let leaves_at = NOW.plus(2 * SECOND);
    let cases = [
        (CallIntake::Open, false, CandidateStatus::Available),
        (stops, false, CandidateStatus::Leaving(2 * SECOND)),
        (CallIntake::Closed, false, CandidateStatus::Ejected),
        (CallIntake::Open, true, CandidateStatus::Ejected),
        (stops, true, CandidateStatus::Ejected),
    ];
    for (intake, avoided, expected) in cases {
        assert_eq!(
            candidate_status(intake, avoided, leaves_at, NOW),
            expected,
            "{intake:?}, avoided: {avoided}"
        );
    }
}
