//! An accepted configuration is in force everywhere within seconds and never reverts.

mod common;

use common::{LONG, assert_ready, eventually, start};
use rustix::process::Signal;
use seamhatch_lab::deployment::Deployment;
use seamhatch_lab::fault_proxy::Rule;
use seamhatch_lab::topology::Topology;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

fn chain() -> Topology {
    Topology::chain(3, 1, 2, 2)
}

/// The topology's document with a number in it, so that versions differ.
fn numbered(deployment: &Deployment, number: usize) -> String {
    format!("# version {number}\n{}", deployment.topology.document)
}

async fn generations(deployment: &Deployment) -> Vec<u64> {
    let mut generations = Vec::new();
    for daemon in 0..deployment.daemons.len() {
        generations.push(deployment.status(daemon).await.map_or(0, |report| report.generation));
    }
    generations
}

async fn all_at(deployment: &Deployment, generation: u64) -> bool {
    generations(deployment).await.into_iter().all(|held| held == generation)
}

#[tokio::test(flavor = "multi_thread")]
async fn the_store_goes_out_right_after_acceptance() {
    let (mut deployment, _turn) = start(chain(), false).await;
    for number in 2..5_u64 {
        let accepted = deployment.submit(1, &numbered(&deployment, number as usize), &[]).expect("accepted");
        let since = Instant::now();
        deployment.platform.set_faults(|faults| faults.store_out = true);
        assert!(accepted.contains(&format!("generation {number} ")), "{accepted}");
        eventually("in force everywhere", async || all_at(&deployment, number).await).await;
        println!("in force everywhere after {:?}, store out", since.elapsed());
        // A daemon that restarts during the outage gets it from its peers.
        let restarted = number as usize;
        deployment.restart(restarted).expect("starts");
        eventually("restarted daemon has it", async || {
            deployment
                .status(restarted)
                .await
                .is_some_and(|report| report.ready && report.generation == number)
        })
        .await;
        deployment.platform.set_faults(|faults| faults.store_out = false);
        assert_ready(&deployment).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_lost_after_the_write() {
    let (deployment, _turn) = start(chain(), false).await;
    for number in 2..6_u64 {
        deployment.platform.set_faults(|faults| faults.lose_write_answers = 1);
        let accepted = deployment.submit(0, &numbered(&deployment, number as usize), &[]).expect("accepted");
        // The submission is found by its id and not written a second time.
        assert!(accepted.contains(&format!("generation {number} ")), "{accepted}");
        eventually("in force everywhere", async || all_at(&deployment, number).await).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_submitters_get_one_generation_each_or_a_conflict() {
    let (deployment, _turn) = start(chain(), false).await;
    let output = |daemon: usize, number: usize| {
        let file = std::env::temp_dir().join(format!("seamhatch-race-{}-{number}.toml", std::process::id()));
        std::fs::write(&file, numbered(&deployment, number)).expect("writes");
        let path = file.to_string_lossy().into_owned();
        let arguments = ["submit", &path, "--author", &format!("racer-{number}"), "--expect-generation", "1"];
        let output = deployment.client(daemon, &arguments).expect("client starts");
        std::fs::remove_file(&file).expect("removes");
        output
    };
    let outputs: Vec<_> = std::thread::scope(|scope| {
        let output = &output;
        let threads: Vec<_> = (0..5).map(|number| scope.spawn(move || output(number, number))).collect();
        threads.into_iter().map(|thread| thread.join().expect("ends")).collect()
    });
    let accepted = outputs.iter().filter(|output| output.status.success()).count();
    assert_eq!(accepted, 1, "{outputs:?}");
    for loser in outputs.iter().filter(|output| !output.status.success()) {
        let text = String::from_utf8_lossy(&loser.stderr);
        assert_eq!(loser.status.code(), Some(4), "{text}");
        assert!(
            text.contains("generation 2 by \"racer-") && text.contains("--expect-generation 2"),
            "{text}"
        );
    }
    eventually("in force everywhere", async || all_at(&deployment, 2).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_comes_back_with_an_older_copy() {
    let (deployment, _turn) = start(chain(), false).await;
    deployment.submit(0, &numbered(&deployment, 2), &["--wait"]).expect("accepted");
    let copy = deployment.platform.copy();
    deployment.submit(0, &numbered(&deployment, 3), &["--wait"]).expect("accepted");
    deployment.platform.restore(copy);
    let accepted = deployment.submit(4, &numbered(&deployment, 4), &["--wait"]).expect("accepted");
    assert!(accepted.contains("generation 4 "), "{accepted}");
    assert!(all_at(&deployment, 4).await);
}

/// A daemon that restarts during an outage must not take the configuration of a stale peer that was cut off.
#[tokio::test(flavor = "multi_thread")]
async fn a_restart_beside_a_cut_off_stale_peer() {
    let (mut deployment, _turn) = start(chain(), true).await;
    let ips: Vec<Ipv4Addr> = deployment.daemons.iter().map(|daemon| daemon.machine.ip).collect();
    let (stale, others) = (ips[5], &ips[..5]);
    deployment.proxy().set_between(&[stale], others, Rule::Drop);
    // The stale daemon watches the store too; it must not see it either.
    deployment.daemons[5].signal(Signal::STOP).expect("runs");
    deployment.submit(0, &numbered(&deployment, 2), &[]).expect("accepted");
    deployment.platform.set_faults(|faults| faults.store_out = true);
    deployment.daemons[5].signal(Signal::CONT).expect("runs");
    eventually("in force at the others", async || {
        generations(&deployment).await[..5].iter().all(|held| *held == 2)
    })
    .await;
    // Daemon 4 restarts and reaches only the stale one.
    deployment.proxy().heal();
    deployment.proxy().set_between(&[ips[4], ips[5]], &ips[..4], Rule::Drop);
    deployment.restart(4).expect("starts");
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        if let Some(report) = deployment.status(4).await {
            assert!(!report.ready || report.generation == 2, "{report:?}");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    deployment.proxy().heal();
    eventually("healed", async || all_at(&deployment, 2).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_submission_while_the_store_is_out_is_neither_accepted_nor_in_doubt() {
    let (deployment, _turn) = start(chain(), false).await;
    deployment.platform.set_faults(|faults| faults.store_out = true);
    let file = std::env::temp_dir().join(format!("seamhatch-out-{}.toml", std::process::id()));
    std::fs::write(&file, numbered(&deployment, 2)).expect("writes");
    let path = file.to_string_lossy().into_owned();
    let arguments = ["--timeout", "3", "submit", &path, "--id", "abc"];
    let output = deployment.client(0, &arguments).expect("client starts");
    assert!(matches!(output.status.code(), Some(5 | 6)), "{output:?}");
    deployment.platform.set_faults(|faults| faults.store_out = false);
    let again =
        deployment.client(1, &["--timeout", "60", "submit", &path, "--id", "abc"]).expect("client starts");
    std::fs::remove_file(&file).expect("removes");
    assert!(again.status.success(), "{again:?}");
    eventually("in force everywhere", async || all_at(&deployment, 2).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_accepting_daemon_dies_at_once() {
    let (mut deployment, _turn) = start(chain(), false).await;
    deployment.submit(3, &numbered(&deployment, 2), &[]).expect("accepted");
    deployment.daemons[3].kill();
    deployment.platform.set_faults(|faults| faults.store_out = true);
    eventually("in force at the others", async || {
        let held = generations(&deployment).await;
        held.iter().enumerate().all(|(daemon, generation)| daemon == 3 || *generation == 2)
    })
    .await;
    deployment.restart(3).expect("starts");
    let end = Instant::now() + LONG;
    while !all_at(&deployment, 2).await {
        assert!(Instant::now() < end);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
