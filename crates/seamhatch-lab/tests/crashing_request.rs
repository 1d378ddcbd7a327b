//! A request that crashes each back end that runs it, at real daemons whose back ends have no names.
//!
//! Callers address the daemon of their own machine, so that each copy came with another `Host`. The daemon took each for another
//! request, though the back end gets none of these hosts: with callers at four daemons it was condemned four times over, after three
//! crashes for each. Found by a soak whose check listed the runs.

mod common;

use common::start;
use seamhatch_lab::backends::Execution;
use seamhatch_lab::connection::Caller;
use seamhatch_lab::deployment::Deployment;
use seamhatch_lab::soak::load::{DeadlyRequest, SoakRequest};
use seamhatch_lab::topology::Topology;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Daemons with a caller.
const CALLERS: usize = 4;
/// How long callers insist.
const SPAN: Duration = Duration::from_secs(4);
/// Pause between two attempts, and between the first attempts of two callers.
const PAUSE: Duration = Duration::from_millis(50);
/// Most runs: three, and a copy of each other caller that is under way when the first server ends.
const MOST_RUNS: usize = 3 + CALLERS - 1;

async fn insist(deployment: &Deployment) {
    let kind = deployment.topology.kinds.iter().find(|kind| !kind.keyed).expect("a kind");
    let deadly = DeadlyRequest { number: 1, deep: false };
    let mut callers = JoinSet::new();
    for (number, ingress) in deployment.ingresses().into_iter().step_by(2).take(CALLERS).enumerate() {
        let (topology, kind) = (deployment.topology.clone(), kind.clone());
        callers.spawn(async move {
            let caller = Caller::default();
            tokio::time::sleep(PAUSE * number as u32).await;
            let end = Instant::now() + SPAN;
            let mut copy = number;
            while Instant::now() < end {
                caller.send(ingress, &SoakRequest::deadly(&topology, &kind, deadly, copy).request).await;
                copy += CALLERS;
                tokio::time::sleep(PAUSE).await;
            }
        });
    }
    callers.join_all().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_the_same_at_whichever_daemon_it_comes_in() {
    let (deployment, _turn) = start(Topology::harvest(), true).await;
    insist(&deployment).await;
    let runs: Vec<Execution> =
        deployment.backends.executions().into_iter().filter(|run| run.is_deadly).collect();
    assert!(runs.len() >= 3, "{runs:?}");
    assert!(runs.len() <= MOST_RUNS, "{} runs: {runs:#?}", runs.len());
}
