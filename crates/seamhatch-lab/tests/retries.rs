//! Retries caused by one request stay within its total over the whole chain.

mod common;

use common::{eventually, request, start};
use seamhatch_lab::connection::Caller;
use seamhatch_lab::deployment::Deployment;
use seamhatch_lab::topology::Topology;
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

const TOKENS: u32 = 4;

/// Every layer repeats a failed call by itself, three times.
fn let_layers_retry(deployment: &Deployment) {
    for service in deployment.topology.services.clone() {
        deployment
            .backends
            .change(&service.name, |behaviour| behaviour.own_retries.store(3, Ordering::Relaxed));
    }
}

/// Sends requests and checks the executions of each: beyond its distinct calls, at most its tokens.
async fn assert_bounded(deployment: &Deployment, requests: usize, may_repeat: bool) {
    let caller = Caller::default();
    let ingress = deployment.daemons[0].machine.ingress();
    for number in 0..requests {
        let get = request("GET", "/in/way0", &format!("retry-{number}"), false);
        // The answer doesn't matter; what ran is checked.
        let _ = caller.send(ingress, &get).await;
    }
    check_bounded(deployment, requests, may_repeat).await;
}

/// Checks the executions of requests that were sent.
async fn check_bounded(deployment: &Deployment, requests: usize, may_repeat: bool) {
    eventually("back ends idle", async || deployment.backends.running() == 0).await;
    let executions = deployment.backends.executions();
    let mut most = 0;
    for number in 0..requests {
        let name = format!("retry-{number}");
        let own: Vec<_> = executions.iter().filter(|execution| execution.request == name).collect();
        let distinct: BTreeSet<_> = own.iter().map(|execution| &execution.trail).collect();
        most = most.max(own.len() - distinct.len());
    }
    println!("most repeats of a request: {most}");
    assert!(most <= TOKENS as usize, "{most} repeats, {TOKENS} tokens");
    assert!(!may_repeat || most > 0, "nothing was repeated, so nothing was shown");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chain_of_five_whose_last_service_fails() {
    let (deployment, _turn) = start(Topology::chain(5, 1, 1, TOKENS), false).await;
    let_layers_retry(&deployment);
    deployment.backends.change("s5", |behaviour| behaviour.failing.store(true, Ordering::Relaxed));
    assert_bounded(&deployment, 20, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chain_of_five_whose_last_service_breaks_its_answers_off() {
    let (deployment, _turn) = start(Topology::chain(5, 1, 2, TOKENS), false).await;
    let_layers_retry(&deployment);
    deployment.backends.change("s5", |behaviour| behaviour.cuts_answers.store(true, Ordering::Relaxed));
    assert_bounded(&deployment, 20, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chain_of_five_whose_last_service_is_slow() {
    let mut topology = Topology::chain(5, 1, 1, TOKENS);
    topology.document = topology.document.replace("{ 20000 }", "{ 400 }");
    let (deployment, _turn) = start(topology, false).await;
    let_layers_retry(&deployment);
    deployment
        .backends
        .change("s5", |behaviour| behaviour.slowdown_percent.store(100_000, Ordering::Relaxed));
    assert_bounded(&deployment, 10, false).await;
}

/// Each call makes two others: 31 calls a request when nothing fails.
#[tokio::test(flavor = "multi_thread")]
async fn a_chain_with_fan_out() {
    let (deployment, _turn) = start(Topology::chain(5, 2, 1, TOKENS), false).await;
    let_layers_retry(&deployment);
    deployment.backends.change("s4", |behaviour| behaviour.failing.store(true, Ordering::Relaxed));
    assert_bounded(&deployment, 10, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chain_of_twenty_five() {
    let (deployment, _turn) = start(Topology::chain(25, 1, 1, TOKENS), false).await;
    let caller = Caller::default();
    let ingress = deployment.daemons[0].machine.ingress();
    let whole = caller.send(ingress, &request("GET", "/in/way0", "whole", false)).await;
    assert!(whole.is_good(), "{whole:?}");
    let_layers_retry(&deployment);
    deployment.backends.change("s25", |behaviour| behaviour.failing.store(true, Ordering::Relaxed));
    assert_bounded(&deployment, 5, true).await;
}

/// A daemon that restarts in the middle holds no tokens and knows no parents.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_killed_in_the_middle_of_a_chain() {
    let (mut deployment, _turn) = start(Topology::chain(4, 1, 2, TOKENS), false).await;
    let_layers_retry(&deployment);
    deployment.backends.change("s4", |behaviour| behaviour.slowdown_percent.store(3_000, Ordering::Relaxed));
    let caller = Caller::default();
    let ingress = deployment.daemons[0].machine.ingress();
    let sending = tokio::spawn(async move {
        for number in 0..30 {
            let get = request("GET", "/in/way0", &format!("retry-{number}"), false);
            let _ = caller.send(ingress, &get).await;
        }
    });
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let middle = deployment.position(&deployment.machines_of("s3")[0]).expect("runs");
        deployment.restart(middle).expect("starts");
    }
    sending.await.expect("ends");
    check_bounded(&deployment, 30, false).await;
}
