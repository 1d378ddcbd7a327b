//! When a server is left out because its daemon is silent or stops.

use seamhatch_core::Instant;
use seamhatch_core::balance::{CandidateStanding, silent_at, standing};
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
        (CallIntake::Open, false, CandidateStanding::Usual),
        (stops, false, CandidateStanding::Leaving(2 * SECOND)),
        (CallIntake::Closed, false, CandidateStanding::Ejected),
        (CallIntake::Open, true, CandidateStanding::Ejected),
        (stops, true, CandidateStanding::Ejected),
    ];
    for (intake, avoided, expected) in cases {
        assert_eq!(standing(intake, avoided, leaves_at, NOW), expected, "{intake:?}, avoided: {avoided}");
    }
}
