//! A planned stop cuts off no request in flight, and takes nothing along that others need.

mod common;

use common::{LONG, assert_ready, eventually, executions_by_request, request, start, until_answered};
use rustix::process::Signal;
use seamhatch_lab::client::CallerAnswer;
use seamhatch_lab::connection::{Caller, NOT_READ};
use seamhatch_lab::topology::{Topology, call, endpoint, service};
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
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
            let mut answers: Vec<(String, CallerAnswer)> = Vec::new();
            let path = if number % 4 == 0 { "/in/bulk" } else { "/in/way0" };
            while !stop.load(Ordering::Relaxed) {
                let name = format!("stop-{number}-{}", answers.len());
                let ingress = ingresses[(number + answers.len()) % ingresses.len()];
                let answer = caller.send(ingress, &request("GET", path, &name, false)).await;
                answers.push((name, answer));
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
    let answers: Vec<(String, CallerAnswer)> = callers.join_all().await.into_iter().flatten().collect();
    let good = answers.iter().filter(|(_, answer)| answer.is_good()).count();
    let executions = deployment.backends.executions();
    let ran: HashSet<&str> = executions.iter().map(|execution| execution.request.as_str()).collect();
    // Refused connections and `not-run` come before anything is in flight; a request that crosses the end of an idle connection
    // is not read, and runs nowhere.
    let cut: Vec<_> = answers
        .iter()
        .filter(|(name, answer)| {
            let unread = answer.reason == NOT_READ && !ran.contains(name.as_str());
            let refused = answer.outcome == "not-run" || answer.reason == "connection-refused";
            !(answer.is_good() || refused || unread)
        })
        .collect();
    println!("{good} of {} good, {} cut off", answers.len(), cut.len());
    assert!(cut.is_empty(), "{cut:?}");
    assert!(good > 100);
}

/// Time between two requests to stop: shorter than a stop.
const NEXT_STOP: Duration = Duration::from_millis(300);

/// Two witnesses of a shard that stopped one right after the other took a majority's claims along: it granted none for two minutes.
#[tokio::test(flavor = "multi_thread")]
async fn witnesses_that_stop_one_right_after_the_other_hand_over_their_shards() {
    let (mut deployment, _turn) = start(Topology::harvest().in_small(2), false).await;
    let caller = Caller::default();
    let payout = |name: &str| request("POST", "/payouts/payouts", name, true);
    // Keys of every shard.
    let names: Vec<String> = (0..64).map(|number| format!("before-{number}")).collect();
    for name in &names {
        assert!(until_answered(&deployment, &caller, &payout(name), &[0, 7]).await.is_good());
    }
    let stopped: Vec<usize> = (0..deployment.daemons.len()).filter(|daemon| daemon % 4 != 3).collect();
    for &daemon in &stopped {
        deployment.daemons[daemon].signal(Signal::TERM).expect("runs");
        tokio::time::sleep(NEXT_STOP).await;
    }
    for &daemon in &stopped {
        let stopping = &mut deployment.daemons[daemon];
        let status = tokio::task::block_in_place(|| stopping.wait(LONG)).expect("ends by itself");
        assert_eq!(status.code(), Some(0));
        deployment.restart(daemon).expect("starts");
    }
    assert_ready(&deployment).await;
    for number in 0..names.len() {
        let answer = until_answered(&deployment, &caller, &payout(&format!("after-{number}")), &[0, 7]).await;
        assert!(answer.is_good(), "{answer:?}");
    }
    for name in &names {
        // Its answer may be gone with the daemon that had it; it must not run again.
        let _ = caller.send(deployment.daemons[1].machine.ingress(), &payout(name)).await;
    }
    let logs: String = (0..deployment.daemons.len()).map(|daemon| deployment.log(daemon)).collect();
    assert!(!logs.contains("claims may be lost"), "a shard has lost its witnesses");
    for (request, count) in executions_by_request(&deployment, "settlement", "POST") {
        assert_eq!(count, 1, "{request}");
    }
}

/// Restarts of the daemon, of whose three seeds two are gone.
const RESTARTS: usize = 5;

/// A daemon that was ready before it knew another member had its server run calls, and refused that server's own calls for want of a server.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_while_its_seeds_are_away_is_ready_when_it_knows_servers() {
    let (mut deployment, _turn) = start(Topology::harvest().in_small(2), false).await;
    let caller = Caller::default();
    for seed in [0, 2] {
        deployment.daemons[seed].signal(Signal::TERM).expect("runs");
        let stopping = &mut deployment.daemons[seed];
        assert!(tokio::task::block_in_place(|| stopping.wait(LONG)).is_some(), "ends by itself");
    }
    for restart in 0..RESTARTS {
        deployment.restart(1).expect("starts");
        eventually("the daemon is ready", async || {
            deployment.status(1).await.is_some_and(|status| status.ready)
        })
        .await;
        let lookup = request("GET", "/status/lookup", &format!("started-{restart}"), false);
        let answer = caller.send(deployment.daemons[1].machine.ingress(), &lookup).await;
        assert!(answer.is_good(), "restart {restart}: {answer:?}");
    }
}

/// Longest wait of a stopping daemon for others to take over its shards, where its settings have no grace period.
const LONGEST_HANDOVER: Duration = Duration::from_secs(30);
const NOT_HANDED_OVER: &str = "the daemon ends before others have taken over its shards";

/// Daemons that all stop have nobody to hand their shards over to: they would wait for each other.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_all_stop_at_once_do_not_wait_for_each_other() {
    let (mut deployment, _turn) = start(Topology::harvest().in_small(2), false).await;
    let asked = Instant::now();
    deployment.daemons.iter().for_each(|daemon| daemon.signal(Signal::TERM).expect("runs"));
    for stopping in &mut deployment.daemons {
        let status = tokio::task::block_in_place(|| stopping.wait(LONG)).expect("ends by itself");
        assert_eq!(status.code(), Some(0));
    }
    assert!(asked.elapsed() < LONGEST_HANDOVER / 2, "{:?}", asked.elapsed());
    let logs: String = (0..deployment.daemons.len()).map(|daemon| deployment.log(daemon)).collect();
    assert!(logs.contains(NOT_HANDED_OVER), "no daemon says so");
}

/// Longest stop of an idle daemon, with the store at hand or out: callers have learnt of it after 2.3 s.
const LONGEST_STOP: Duration = Duration::from_secs(5);

/// Without the store nobody takes over for good: a stop that waited for that lasted for the whole grace period, or took the claims along.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_while_the_store_is_out_is_short_and_takes_no_claims_along() {
    let (mut deployment, _turn) = start(Topology::harvest().in_small(2), false).await;
    let caller = Caller::default();
    let payout = |name: &str| request("POST", "/payouts/payouts", name, true);
    // Keys of every shard.
    let names: Vec<String> = (0..64).map(|number| format!("before-{number}")).collect();
    for name in &names {
        assert!(until_answered(&deployment, &caller, &payout(name), &[2, 3]).await.is_good());
    }
    let report = deployment.status(0).await.expect("answers");
    let is_one = |daemon: &usize| {
        let address = deployment.daemons[*daemon].machine.peer().to_string();
        report.shards[0].witnesses.contains(&address)
    };
    // A majority of the first shard's witnesses, one right after the other.
    let witnesses: Vec<usize> = (0..deployment.daemons.len()).filter(is_one).take(2).collect();
    assert_eq!(witnesses.len(), 2);
    deployment.platform.set_faults(|faults| faults.store_out = true);
    for &witness in &witnesses {
        let asked = Instant::now();
        deployment.daemons[witness].signal(Signal::TERM).expect("runs");
        let stopping = &mut deployment.daemons[witness];
        let status = tokio::task::block_in_place(|| stopping.wait(LONG)).expect("ends by itself");
        assert_eq!(status.code(), Some(0));
        assert!(asked.elapsed() < LONGEST_STOP, "{:?}", asked.elapsed());
    }
    deployment.platform.set_faults(|faults| faults.store_out = false);
    for &witness in &witnesses {
        deployment.restart(witness).expect("starts");
    }
    assert_ready(&deployment).await;
    for number in 0..names.len() {
        let answer = until_answered(&deployment, &caller, &payout(&format!("after-{number}")), &[2, 3]).await;
        assert!(answer.is_good(), "{answer:?}");
    }
    for name in &names {
        // Its answer may be gone with the daemon that had it; it must not run again.
        let _ = caller.send(deployment.daemons[4].machine.ingress(), &payout(name)).await;
    }
    let logs: String = (0..deployment.daemons.len()).map(|daemon| deployment.log(daemon)).collect();
    assert!(!logs.contains("claims may be lost"), "a shard has lost its witnesses");
    assert!(!logs.contains(NOT_HANDED_OVER), "a daemon ended with what only it remembered");
    for (request, count) in executions_by_request(&deployment, "settlement", "POST") {
        assert_eq!(count, 1, "{request}");
    }
}

/// The answer to a keyed request was gone with the daemon that had sent it on: a repeat was told that another attempt holds the key, and never the answer.
#[tokio::test(flavor = "multi_thread")]
async fn the_answer_to_a_keyed_request_outlives_a_planned_stop_of_its_daemon() {
    let (mut deployment, _turn) = start(Topology::harvest().in_small(2), false).await;
    let caller = Caller::default();
    let payout = |number: usize| request("POST", "/payouts/payouts", &format!("kept-{number}"), true);
    for number in 0..20 {
        assert!(until_answered(&deployment, &caller, &payout(number), &[0]).await.is_good());
    }
    // The second stop takes along what the first one has handed over.
    for daemon in [0, 1] {
        deployment.daemons[daemon].signal(Signal::TERM).expect("runs");
        let stopping = &mut deployment.daemons[daemon];
        let status = tokio::task::block_in_place(|| stopping.wait(LONG)).expect("ends by itself");
        assert_eq!(status.code(), Some(0));
        deployment.restart(daemon).expect("starts");
        assert_ready(&deployment).await;
    }
    for number in 0..20 {
        let ingress = deployment.daemons[3].machine.ingress();
        let answer = caller.send(ingress, &payout(number)).await;
        assert!(answer.is_good(), "{number}: {answer:?}");
    }
    for (request, count) in executions_by_request(&deployment, "settlement", "POST") {
        assert_eq!(count, 1, "{request}");
    }
}
