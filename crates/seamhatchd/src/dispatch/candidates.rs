//! The choice of the next server for a call, from what is known of those that were not tried yet.

use super::Dispatcher;
use crate::base::clock;
use crate::filters::Rejection;
use crate::peer::{PeerConnection, PoolReader};
use crate::snapshot::Server;
use seamhatch_core::Instant;
use seamhatch_core::balance::{Candidate, CandidateStatus, KnownPace, pick};
use seamhatch_core::clock::Microseconds;
use seamhatch_core::identity::Address;
use seamhatch_core::outcome::Reason;
use seamhatch_wire::CallIntake;

impl Dispatcher<'_> {
    /// A connection to a server that was not tried yet.
    pub(super) async fn connect(&mut self) -> Result<PeerConnection, Rejection> {
        loop {
            let Some(server) = self.choose() else {
                let detail = "no server of this service can be reached; come back later";
                return Err(Rejection::not_run(Reason::NoServer, detail));
            };
            match self.shared.pool.get(server).await {
                Ok(connection) if self.can_serve(&connection) => return Ok(connection),
                // The pool counts failures to connect and leaves such a server out for a while.
                Ok(_) | Err(_) => self.tried.push(server),
            }
        }
    }

    /// Whether the daemon takes calls for this service, by its own messages: the member's record may be older than the
    /// server that has its address now.
    fn can_serve(&self, connection: &PeerConnection) -> bool {
        connection.with_view(|view| view.intake != CallIntake::Closed)
            && *connection.service == *self.request.service
    }

    fn choose(&self) -> Option<Address> {
        let snapshot = self.shared.snapshot();
        let servers = snapshot.servers.get(&self.request.service)?;
        let servers_left: Vec<&Server> =
            servers.iter().filter(|server| !self.tried.contains(&server.peer)).collect();
        let (now, own_zone) = (clock::now(), &self.shared.settings.zone);
        let pool = self.shared.pool.read();
        let read = |server: &&Server| candidate(server, own_zone, &pool, now);
        let candidates: Vec<Candidate> = servers_left.iter().map(read).collect();
        drop(pool);
        let index = self
            .server_for_suspect(&servers_left, &candidates)
            .or_else(|| pick(&candidates, |below| rand::random_range(0..below)))?;
        Some(servers_left[index].peer)
    }
}

/// A server as the choice sees it: by its own reports where there is a connection to its daemon, else by its record.
fn candidate(server: &Server, own_zone: &str, pool: &PoolReader<'_>, now: Instant) -> Candidate {
    let same_zone = server.zone == own_zone;
    let Some(connection) = pool.connection(server.peer) else {
        let failing = pool.is_failing(server.peer, now);
        return Candidate {
            same_zone,
            slots: server.slots,
            in_flight: 0,
            reported_load: 0,
            success: 1.0,
            turn_in: None,
            pace: KnownPace::Unknown,
            status: if failing { CandidateStatus::Ejected } else { status_by_record(server) },
        };
    };
    connection.with_view(|view| {
        let turn_in = view.turn_in(now);
        let reported = view.server.filter(|_| turn_in.is_none());
        Candidate {
            same_zone,
            slots: reported.map_or(server.slots, |report| report.limit),
            in_flight: connection.in_flight(),
            reported_load: view.server.map_or(0, |report| report.load),
            success: view.success(now),
            turn_in,
            pace: view.pace(now),
            status: view.standing(now),
        }
    })
}

/// The status of a server whose daemon this one has no connection to. When a draining one ends is known only after its
/// first heartbeat, so it counts as the last to end.
fn status_by_record(server: &Server) -> CandidateStatus {
    if server.leaving { CandidateStatus::Leaving(Microseconds::MAX) } else { CandidateStatus::Available }
}
