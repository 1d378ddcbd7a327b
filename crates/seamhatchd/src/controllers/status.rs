//! Creates the status report of the deployment for operators, from this daemon's state and queries to each live member.
//!
//! Runs as a task that the control thread starts, since it waits for other daemons. It keeps no state.

use crate::base::clock;
use crate::control::{CostStatus, MemberStatus, ProofStatus, ShardStatus, StatusReport};
use crate::controllers::ask::ask_generation;
use crate::shared::Shared;
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream;
use seamhatch_core::chain_cost::KindCost;
use seamhatch_core::clock::MILLISECOND;
use seamhatch_core::generation::Generation;
use seamhatch_core::membership::MemberRecord;
use seamhatch_core::priority::AdmissionFloor;
use seamhatch_core::rate::RequestRate;
use seamhatch_core::roster::{Roster, ShardRoster};
use seamhatch_wire::{ControlReply, ControlRequest};
use std::sync::Arc;

/// Maximum number of members queried concurrently.
const CONCURRENT_QUERIES: usize = 32;

/// Maximum number of costs shown, the highest first.
const MAX_COSTS: usize = 32;

/// State of the control thread that the report is made from.
pub struct StatusInput {
    /// This daemon's record.
    pub me: MemberRecord,
    /// Records of all other members.
    pub others: Vec<MemberRecord>,
    /// The roster.
    pub roster: Arc<Roster>,
    /// Generation of the configuration in force.
    pub generation: Generation,
}

/// Creates the report. Queries each live member for its generation, and each witness for its epoch.
pub async fn report(shared: Arc<Shared>, input: StatusInput) -> StatusReport {
    let own = MemberStatus {
        rate_millis: shared.server.notices.named_rate().map(RequestRate::as_thousandths),
        ..member_status(&input.me, Some(input.generation.0))
    };
    let asking = input.others.into_iter().map(|record| ask_member(shared.clone(), record));
    let mut members: Vec<MemberStatus> =
        stream::iter(asking).buffer_unordered(CONCURRENT_QUERIES).collect().await;
    members.push(own);
    members.sort_by(|left, right| (&left.service, &left.member).cmp(&(&right.service, &right.member)));
    let shards =
        input.roster.shards.iter().enumerate().map(|(index, shard)| ask_witnesses(&shared, index, shard));
    let floor: AdmissionFloor = shared.server.gate.report().floor;
    StatusReport {
        member: input.me.info.gossip.to_string(),
        ready: shared.accepts_work(),
        draining: shared.is_draining(),
        in_flight: shared.intake.count(),
        generation: input.generation.0,
        proof: proof(&shared),
        floor: floor.level,
        members,
        shards: join_all(shards).await,
        costs: costs(&shared),
    }
}

fn proof(shared: &Shared) -> Option<ProofStatus> {
    let proof = shared.limits.freshness.standing(clock::now())?;
    Some(ProofStatus { age_ms: proof.age / MILLISECOND, source: proof.source.to_string() })
}

fn costs(shared: &Shared) -> Vec<CostStatus> {
    let known = shared.chain_costs.costs(MAX_COSTS).into_iter();
    let status =
        |KindCost { kind, service, slot_ms }| CostStatus { kind, service, slot_ms: slot_ms.round() as u64 };
    known.map(status).collect()
}

async fn ask_member(shared: Arc<Shared>, record: MemberRecord) -> MemberStatus {
    if !record.is_live() {
        return member_status(&record, None);
    }
    let reply = ask_generation(&shared.pool, record.info.peer, Generation(u64::MAX)).await;
    let generation = match reply {
        Some(ControlReply::Generation(generation)) => Some(generation.0),
        _ => None,
    };
    let notice = shared.limits.peer_notices.of(record.info.peer);
    MemberStatus {
        rate_millis: notice.and_then(|notice| notice.rate).map(RequestRate::as_thousandths),
        ..member_status(&record, generation)
    }
}

fn member_status(record: &MemberRecord, generation: Option<u64>) -> MemberStatus {
    MemberStatus {
        member: record.info.gossip.to_string(),
        zone: record.info.zone.clone(),
        service: record.info.service.clone(),
        slots: record.info.slots,
        lifecycle: record.lifecycle,
        liveness: record.liveness,
        leaving: record.leaving,
        generation,
        rate_millis: None,
    }
}

async fn ask_witnesses(shared: &Arc<Shared>, index: usize, shard: &ShardRoster) -> ShardStatus {
    let current = &shard.current;
    let request = ControlRequest::WitnessStatus { shard: index as u32 };
    let asking = current.witnesses.iter().map(|witness| shared.pool.ask(witness.daemon, request.clone()));
    let replies = join_all(asking).await;
    let serving = Some(ControlReply::Serving(current.epoch));
    ShardStatus {
        shard: index,
        epoch: current.epoch.0,
        witnesses: current.witnesses.iter().map(|witness| witness.daemon.to_string()).collect(),
        serving: replies.iter().filter(|reply| **reply == serving).count(),
    }
}
