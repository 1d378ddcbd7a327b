//! A leaving back end gets no new work after a few seconds, however its leaving is announced.

mod common;

use common::{request, start};
use rustix::process::Signal;
use seamhatch_lab::connection::Caller;
use seamhatch_lab::deployment::Deployment;
use seamhatch_lab::topology::{Topology, endpoint, service};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// A few seconds, on a busy machine.
const BOUND: Duration = Duration::from_secs(8);
/// Time without new work after which it counts as over.
const QUIET: Duration = Duration::from_secs(2);

fn pool() -> Topology {
    let mut topology = Topology::chain(2, 1, 3, 2);
    // One zone, so that the entry uses all servers alike.
    topology.zones = vec!["a"];
    topology.services = vec![
        service("s1", 3, 16, vec![endpoint("way0", 2, 200, vec![])]),
        service("s2", 1, 16, vec![endpoint("way0", 2, 200, vec![])]),
    ];
    topology
}

/// The daemon whose back end leaves; callers enter through the other service's daemon.
const LEAVING: usize = 0;
const ENTRY: usize = 3;

/// Sends load, announces the leaving, and measures the time until the last new execution there.
async fn measure(deployment: &Deployment, tell: impl AsyncFnOnce(&Deployment)) -> Duration {
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    let ingress = deployment.daemons[ENTRY].machine.ingress();
    for number in 0..8 {
        let stop = stop.clone();
        callers.spawn(async move {
            let caller = Caller::default();
            let mut sent = 0;
            while !stop.load(Ordering::Relaxed) {
                let get = request("GET", "/in/way0", &format!("leave-{number}-{sent}"), false);
                // Only the place where it runs matters.
                let _ = caller.send(ingress, &get).await;
                sent += 1;
            }
        });
    }
    let server = deployment.daemons[LEAVING].machine.ip.to_string();
    let executions = || deployment.backends.executions().iter().filter(|run| run.server == server).count();
    common::eventually("the server gets work", async || executions() > 20).await;
    tell(deployment).await;
    let told = Instant::now();
    let (mut seen, mut last) = (executions(), Duration::ZERO);
    while told.elapsed() < last + QUIET {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let now = executions();
        if now > seen {
            seen = now;
            last = told.elapsed();
        }
        assert!(last < BOUND, "still gets work after {last:?}");
    }
    stop.store(true, Ordering::Relaxed);
    callers.join_all().await;
    last
}

#[tokio::test(flavor = "multi_thread")]
async fn told_by_the_machine_list_only_with_the_store_out() {
    let (deployment, _turn) = start(pool(), false).await;
    let last = measure(&deployment, async |deployment| {
        deployment.platform.set_faults(|faults| faults.store_out = true);
        deployment.platform.list_leaving_machine(deployment.daemons[LEAVING].machine.ip);
    })
    .await;
    println!("machine list: last new work after {last:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn told_by_the_operator_only() {
    let (deployment, _turn) = start(pool(), false).await;
    let last = measure(&deployment, async |deployment| {
        let member = deployment.member(LEAVING);
        let output = deployment.client(ENTRY, &["drain", "--member", &member]).expect("client starts");
        assert!(output.status.success(), "{output:?}");
    })
    .await;
    println!("operator: last new work after {last:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn told_by_its_own_drain_signal_only() {
    let (deployment, _turn) = start(pool(), false).await;
    let last = measure(&deployment, async |deployment| {
        let output = deployment.client(LEAVING, &["drain"]).expect("client starts");
        assert!(output.status.success(), "{output:?}");
    })
    .await;
    println!("own signal: last new work after {last:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn with_its_daemon_frozen() {
    let (deployment, _turn) = start(pool(), false).await;
    let last = measure(&deployment, async |deployment| {
        deployment.daemons[LEAVING].signal(Signal::STOP).expect("runs");
        deployment.platform.list_leaving_machine(deployment.daemons[LEAVING].machine.ip);
    })
    .await;
    println!("frozen daemon: last new work after {last:?}");
}
