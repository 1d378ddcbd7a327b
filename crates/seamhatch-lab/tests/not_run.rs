//! A request that ran, or will run, is never answered `not-run`.

mod common;

use common::{eventually, request, start};
use rustix::process::Signal;
use seamhatch_lab::client::{CallerAnswer, CallerRequest};
use seamhatch_lab::connection::Caller;
use seamhatch_lab::deployment::Deployment;
use seamhatch_lab::fault_proxy::Rule;
use seamhatch_lab::topology::{Topology, endpoint, service};
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;

/// One service with one server of two slots, entered through another service's daemon.
fn one_server(work_ms: u64, deadline_ms: u64) -> Topology {
    let mut topology = Topology::chain(2, 1, 1, 0);
    topology.services = vec![
        service("s1", 1, 2, vec![endpoint("way0", work_ms, 200, vec![])]),
        service("s2", 1, 2, vec![endpoint("way0", 1, 200, vec![])]),
    ];
    topology.document = topology.document.replace("{ 20000 }", &format!("{{ {deadline_ms} }}"));
    topology
}

/// Sends requests to the entry daemon, all at once.
async fn send_all(deployment: &Deployment, caller: &Caller, names: &[String]) -> Vec<(String, CallerAnswer)> {
    let ingress = deployment.daemons[1].machine.ingress();
    let mut tasks = JoinSet::new();
    for name in names {
        let (caller, name) = (caller.clone(), name.clone());
        tasks.spawn(async move {
            let get: CallerRequest = request("GET", "/in/way0", &name, false);
            let answer = caller.send(ingress, &get).await;
            (name, answer)
        });
    }
    tasks.join_all().await
}

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|number| format!("{prefix}-{number}")).collect()
}

/// Asserts that no request that was answered `not-run` is in the back ends' log, now or later.
async fn assert_truthful(deployment: &Deployment, answers: &[(String, CallerAnswer)]) {
    eventually("back ends idle", async || deployment.backends.running() == 0).await;
    // Calls that are still on their way would run now.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let ran: BTreeSet<String> =
        deployment.backends.executions().into_iter().map(|execution| execution.request).collect();
    let wrong: Vec<_> =
        answers.iter().filter(|(name, answer)| answer.outcome == "not-run" && ran.contains(name)).collect();
    assert!(wrong.is_empty(), "{wrong:?}");
}

fn count(answers: &[(String, CallerAnswer)], outcome: &str) -> usize {
    answers.iter().filter(|(_, answer)| answer.outcome == outcome).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_under_overload() {
    let (deployment, _turn) = start(one_server(20, 300), false).await;
    let answers = send_all(&deployment, &Caller::default(), &names("load", 200)).await;
    assert!(count(&answers, "not-run") > 0 && count(&answers, "answered") > 0, "{answers:?}");
    let unadvised: Vec<_> =
        answers.iter().filter(|(_, answer)| !answer.is_good() && answer.retry_after.is_none()).collect();
    assert!(unadvised.is_empty(), "{unadvised:?}");
    assert_truthful(&deployment, &answers).await;
}

/// A relative time-out would start again when the frozen daemon wakes. The link is cut after the calls were sent, so that the
/// sender's cancellations don't arrive.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_frozen_after_it_was_sent_calls() {
    let (deployment, _turn) = start(one_server(5, 1_000), true).await;
    let caller = Caller::default();
    assert!(send_all(&deployment, &caller, &names("warm", 1)).await[0].1.is_good());
    deployment.daemons[0].signal(Signal::STOP).expect("runs");
    let names = names("frozen", 20);
    let cutting = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let (server, entry) = (deployment.daemons[0].machine.ip, deployment.daemons[1].machine.ip);
        deployment.proxy().set(entry, server, Rule::Drop);
    };
    let (answers, ()) = tokio::join!(send_all(&deployment, &caller, &names), cutting);
    assert_eq!(count(&answers, "answered"), 0);
    // A silent daemon is given up before the deadline; until then it may still run a call.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let before = deployment.backends.execution_count();
    deployment.daemons[0].signal(Signal::CONT).expect("runs");
    assert_truthful(&deployment, &answers).await;
    // All deadlines have passed, so the daemon runs nothing when it wakes.
    assert_eq!(deployment.backends.execution_count(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_link_cut_one_way_between_call_and_answer() {
    let (deployment, _turn) = start(one_server(100, 1_500), true).await;
    let caller = Caller::default();
    let (server, entry) = (deployment.daemons[0].machine.ip, deployment.daemons[1].machine.ip);
    for (round, rule) in [Rule::Drop, Rule::Reset].into_iter().enumerate() {
        let names = names(&format!("cut-{round}"), 12);
        let sending = send_all(&deployment, &caller, &names);
        let cutting = async {
            tokio::time::sleep(Duration::from_millis(60)).await;
            deployment.proxy().set(server, entry, rule);
        };
        let (answers, ()) = tokio::join!(sending, cutting);
        assert!(count(&answers, "unknown") > 0, "{answers:?}");
        assert_truthful(&deployment, &answers).await;
        deployment.proxy().heal();
        let ingress = deployment.daemons[1].machine.ingress();
        eventually("the link heals", async || {
            let answer = caller.send(ingress, &request("GET", "/in/way0", "heal", false)).await;
            if !answer.is_good() {
                println!("{rule:?} {answer:?} {:?}", deployment.status(1).await);
            }
            answer.is_good()
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_that_forges_the_outcome_or_breaks_off() {
    let (deployment, _turn) = start(one_server(1, 3_000), false).await;
    let caller = Caller::default();
    let behaviour = deployment.backends.behaviour(&deployment.daemons[0].machine);
    behaviour.forges_outcome.store(true, Ordering::Relaxed);
    let forged = send_all(&deployment, &caller, &names("forged", 6)).await;
    assert_eq!(count(&forged, "answered"), 6, "{forged:?}");
    behaviour.cuts_answers.store(true, Ordering::Relaxed);
    let cut = send_all(&deployment, &caller, &names("cut", 6)).await;
    assert!(cut.iter().all(|(_, answer)| !answer.is_good() && answer.outcome != "not-run"), "{cut:?}");
    assert_truthful(&deployment, &cut).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_killed_under_load() {
    let (mut deployment, _turn) = start(one_server(30, 2_000), false).await;
    let caller = Caller::default();
    let names = names("kill", 30);
    let ingress = deployment.daemons[1].machine.ingress();
    let mut tasks = JoinSet::new();
    for name in names {
        let caller = caller.clone();
        tasks.spawn(async move {
            let get = request("GET", "/in/way0", &name, false);
            (name, caller.send(ingress, &get).await)
        });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    deployment.daemons[0].kill();
    let answers = tasks.join_all().await;
    assert!(count(&answers, "unknown") > 0, "{answers:?}");
    assert_truthful(&deployment, &answers).await;
}
