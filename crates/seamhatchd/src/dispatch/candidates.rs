//! What is known of the servers that a call may go to.

use crate::base::clock;
use crate::shared::Shared;
use crate::snapshot::Server;
use seamhatch_core::balance::{Candidate, CandidateStanding};
use seamhatch_core::clock::Microseconds;

/// A server as the choice sees it.
pub(super) fn candidate(shared: &Shared, server: &Server) -> Candidate {
    let now = clock::now();
    let same_zone = server.zone == shared.settings.zone;
    let Some(connection) = shared.pool.existing(server.peer) else {
        let failing = shared.pool.is_failing(server.peer, now);
        return Candidate {
            same_zone,
            slots: server.slots,
            in_flight: 0,
            reported_load: 0,
            success: 1.0,
            standing: if failing { CandidateStanding::Ejected } else { standing_by_record(server) },
        };
    };
    let view = connection.view();
    Candidate {
        same_zone,
        slots: view.server.map_or(server.slots, |report| report.limit),
        in_flight: connection.in_flight(),
        reported_load: view.server.map_or(0, |report| report.load),
        success: view.success(now),
        standing: view.standing(now),
    }
}

/// The standing of a server whose daemon this one has no connection to. When one that leaves will be gone is
/// told by its first heartbeat.
fn standing_by_record(server: &Server) -> CandidateStanding {
    if server.leaving { CandidateStanding::Leaving(Microseconds::MAX) } else { CandidateStanding::Usual }
}
