//! Contents of a snapshot: the servers that may receive work, without those that the policy takes out of use.
//!
//! The control thread calls these functions with the controllers' state; they keep no state of their own.

use crate::base::clock;
use crate::peer::PeerPool;
use crate::snapshot::{Server, Snapshot};
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::Address;
use seamhatch_core::membership::MemberRecord;
use seamhatch_core::roster::Roster;
use seamhatch_policy::{Configuration, ServerView};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Creates a snapshot of the controllers' current state.
pub fn snapshot<'a>(
    configuration: Option<(Generation, Arc<Configuration>)>,
    members: impl Iterator<Item = &'a MemberRecord>,
    stopped: &BTreeSet<Address>,
    roster: Arc<Roster>,
) -> Snapshot {
    let mut servers: HashMap<String, Vec<Server>> = HashMap::new();
    for record in
        members.filter(|record| record.takes_fallback_work() && !stopped.contains(&record.info.peer))
    {
        servers.entry(record.info.service.clone()).or_default().push(Server {
            peer: record.info.peer,
            zone: record.info.zone.clone(),
            slots: record.info.slots,
            leaving: !record.takes_work(),
        });
    }
    Snapshot { configuration, servers, roster }
}

/// The servers of one service that take work, and those of them that the policy takes out of use.
#[derive(Debug, Default)]
struct ServiceServers {
    total: usize,
    stopped: Vec<Address>,
}

/// Servers that the policy's `stop_sending` takes out of use, by peer address. A service keeps at least half of its servers,
/// regardless of the policy.
pub fn stopped_servers(
    pool: &PeerPool,
    configuration: &Configuration,
    members: &[MemberRecord],
) -> BTreeSet<Address> {
    let mut by_service: HashMap<&str, ServiceServers> = HashMap::new();
    for record in members.iter().filter(|record| record.takes_work()) {
        let servers = by_service.entry(&record.info.service).or_default();
        servers.total += 1;
        if let Some(view) = server_view(pool, record)
            && configuration.policy().stop_sending(&view)
        {
            servers.stopped.push(record.info.peer);
        }
    }
    let at_most_half = |servers: ServiceServers| servers.stopped.into_iter().take(servers.total / 2);
    by_service.into_values().flat_map(at_most_half).collect()
}

/// The policy's view of a server; none if its daemon isn't connected or should be avoided because it is silent.
fn server_view(pool: &PeerPool, record: &MemberRecord) -> Option<ServerView> {
    let connection = pool.existing(record.info.peer)?;
    let view = connection.view();
    if view.should_avoid(clock::now()) {
        return None;
    }
    Some(ServerView {
        service: record.info.service.clone(),
        zone: record.info.zone.clone(),
        slots: record.info.slots,
        load: view.server.map_or(0, |report| report.load),
        losses: view.losses(),
    })
}
