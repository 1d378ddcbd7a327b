//! A planned stop cuts off no request in flight.

mod common;

use common::{LONG, request, start};
use rustix::process::Signal;
use seamhatch_lab::client::{Caller, CallerAnswer};
use seamhatch_lab::topology::{Topology, call, endpoint, service};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;

/// Slow requests that call onward, and large answers.
fn slow() -> Topology {
    let mut topology = Topology::chain(2, 1, 2, 2);
    topology.services = vec![
        service(
            "s1",
            2,
            64,
            vec![
                endpoint("way0", 300, 200, vec![call("GET", "s2", "way0")]),
                endpoint("bulk", 50, 2_000_000, vec![]),
            ],
        ),
        service("s2", 2, 64, vec![endpoint("way0", 300, 200, vec![])]),
    ];
    topology
}

#[tokio::test(flavor = "multi_thread")]
async fn every_daemon_in_turn_under_load() {
    let (mut deployment, _turn) = start(slow(), false).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for number in 0..32 {
        let ingresses = deployment.ingresses();
        let stop = stop.clone();
        callers.spawn(async move {
            let caller = Caller::default();
            let mut answers: Vec<CallerAnswer> = Vec::new();
            let path = if number % 4 == 0 { "/in/bulk" } else { "/in/way0" };
            while !stop.load(Ordering::Relaxed) {
                let name = format!("stop-{number}-{}", answers.len());
                let ingress = ingresses[(number + answers.len()) % ingresses.len()];
                answers.push(caller.send(ingress, &request("GET", path, &name, false)).await);
            }
            answers
        });
    }
    for daemon in 0..deployment.daemons.len() {
        tokio::time::sleep(Duration::from_millis(700)).await;
        deployment.daemons[daemon].signal(Signal::TERM).expect("runs");
        let stopping = &mut deployment.daemons[daemon];
        let status = tokio::task::block_in_place(|| stopping.wait(LONG)).expect("ends by itself");
        assert_eq!(status.code(), Some(0));
        deployment.restart(daemon).expect("starts");
        assert!(deployment.wait_ready(LONG).await);
    }
    stop.store(true, Ordering::Relaxed);
    let answers: Vec<CallerAnswer> = callers.join_all().await.into_iter().flatten().collect();
    let good = answers.iter().filter(|answer| answer.is_good()).count();
    // Refused connections and `not-run` come before anything is in flight.
    let cut: Vec<_> = answers
        .iter()
        .filter(|answer| {
            !answer.is_good() && answer.outcome != "not-run" && answer.reason != "connection-refused"
        })
        .collect();
    println!("{good} of {} good, {} cut off", answers.len(), cut.len());
    assert!(cut.is_empty(), "{cut:?}");
    assert!(good > 100);
}
