//! Choice of the next server for a call, among those that have not been tried yet.

use super::Dispatcher;
use super::attempt::MIN_ATTEMPT_TIME;
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
    /// Returns a connection to a server that has not been tried yet.
    ///
    /// # Errors
    /// Returns the rejection of a call for which no server can be reached in time.
    pub(super) async fn connect(&mut self) -> Result<PeerConnection, Rejection> {
        let latest = self.parent.expiry.minus(MIN_ATTEMPT_TIME);
        loop {
            let Some(server) = self.choose() else {
                let detail = "no server of this service can be reached; come back later";
                return Err(Rejection::not_run(Reason::NoServer, detail));
            };
            match clock::timeout_at(latest, self.shared.pool.get(server)).await {
                Some(Ok(connection)) if self.can_serve(&connection) => return Ok(connection),
                // The pool counts connection failures and excludes such a server for a while.
                Some(Ok(_) | Err(_)) => self.tried.push(server),
                None => {
                    let detail = "no server could be reached before the deadline; come back later";
                    return Err(Rejection::not_run(Reason::DeadlineExceeded, detail));
                }
            }
        }
    }

    /// Whether the daemon accepts calls for this service, according to its own messages. The member
    /// record may be older than the server that uses the address now.
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

/// Describes a server to the load balancer: by its own reports if there is a connection to its
/// daemon, otherwise by its member record.
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
            status: view.candidate_status(now),
        }
    })
}

/// Returns the status of a server whose daemon this one has no connection to. The time at which a
/// draining server ends is known only after its first heartbeat, so it is ranked as the last one to
/// end.
fn status_by_record(server: &Server) -> CandidateStatus {
    if server.leaving { CandidateStatus::Leaving(Microseconds::MAX) } else { CandidateStatus::Available }
}
