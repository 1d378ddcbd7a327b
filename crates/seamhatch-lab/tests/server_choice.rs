//! Servers of one service that differ in speed: calls go where they are answered first, where servers tell their pace.

mod common;

use common::{request, start};
use seamhatch_core::identity::Address;
use seamhatch_lab::backends::NO_PACE;
use seamhatch_lab::connection::Caller;
use seamhatch_lab::deployment::Deployment;
use seamhatch_lab::topology::{Topology, endpoint, service};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Service time of the fast servers, and of the slow one in percent of it: 400 ms.
const FAST_MS: u64 = 130;
const SLOW_PERCENT: u32 = 308;
const SERVERS: u8 = 3;
/// Time between two calls: 100 a second, while the two fast servers can do 123.
const PACE: Duration = Duration::from_millis(10);

fn unequal() -> Topology {
    let mut topology = Topology::chain(2, 1, SERVERS, 0);
    topology.zones = vec!["a"];
    topology.services = vec![
        service("s1", SERVERS, 8, vec![endpoint("way0", FAST_MS, 200, vec![])]),
        service("s2", 2, 16, vec![endpoint("way0", 5, 200, vec![])]),
    ];
    topology
}

/// Sends calls at an even pace through the daemons of the other service, as in the measurement; returns the times of good answers in
/// milliseconds and how many were sent.
async fn send(deployment: &Deployment, name: &str, calls: u32) -> (Vec<f64>, u32) {
    let entries: Vec<Address> =
        deployment.machines_of("s2").iter().map(|machine| machine.ingress()).collect();
    let (caller, begin, mut requests) = (Caller::default(), Instant::now(), JoinSet::new());
    for call in 0..calls {
        let due = begin + PACE * call;
        tokio::time::sleep_until(due.into()).await;
        let (caller, entry) = (caller.clone(), entries[call as usize % entries.len()]);
        let get = request("GET", "/in/way0", &format!("{name}-{call}"), false);
        requests.spawn(async move {
            let answer = caller.send(entry, &get).await;
            answer.is_good().then(|| due.elapsed().as_secs_f64() * 1e3)
        });
    }
    (requests.join_all().await.into_iter().flatten().collect(), calls)
}

/// Mean time of good answers in milliseconds and the share of calls that the slow server got, where all servers tell `pace_percent`.
async fn measure(pace_percent: u32) -> (f64, f64) {
    let (deployment, _turn) = start(unequal(), false).await;
    deployment.backends.change("s1", |behaviour| {
        behaviour.pace_percent.store(pace_percent, Ordering::Relaxed);
    });
    let slow = &deployment.machines_of("s1")[0];
    deployment.backends.behaviour(slow).slowdown_percent.store(SLOW_PERCENT, Ordering::Relaxed);
    send(&deployment, "before", 400).await;
    let before = deployment.backends.execution_count();
    let (times, sent) = send(&deployment, "measured", 500).await;
    assert!(times.len() as f64 >= 0.99 * f64::from(sent), "{} of {sent}", times.len());
    let runs = deployment.backends.executions().split_off(before);
    let on_slow = runs.iter().filter(|run| run.server == slow.ip.to_string()).count();
    let mean_ms = times.iter().sum::<f64>() / times.len() as f64;
    let share = on_slow as f64 / runs.len() as f64;
    println!(
        "pace {pace_percent}: mean {mean_ms:.1} ms, {share:.3} of {} calls on the slow server",
        runs.len()
    );
    (mean_ms, share)
}

/// Guards against calls that go to a slow idle server while fast ones have room: by load over slots the slow one got 84 of 500 calls, and
/// the mean was 182 ms.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_tell_their_pace_get_calls_by_how_soon_they_answer() {
    let (mean_ms, share) = measure(100).await;
    assert!(mean_ms <= 160.0, "{mean_ms} ms");
    assert!(share < 0.06, "{share}");
}

/// Guards against another choice where no server tells its pace: load over slots gives the slow one a sixth of the calls.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_tell_no_pace_get_calls_by_their_load() {
    let (_, share) = measure(NO_PACE).await;
    assert!((0.1..0.25).contains(&share), "{share}");
}
