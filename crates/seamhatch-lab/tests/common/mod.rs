//! What the tests with real processes share.
#![allow(dead_code, reason = "each test program uses a part of it")]

use seamhatch_lab::backends::CallMode;
use seamhatch_lab::client::{CallerAnswer, CallerRequest};
use seamhatch_lab::connection::Caller;
use seamhatch_lab::deployment::{Deployment, DeploymentOptions};
use seamhatch_lab::topology::Topology;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Deployments at a time in one test program.
static AT_A_TIME: Semaphore = Semaphore::const_new(2);

/// Generous bound for anything that is waited for.
pub const LONG: Duration = Duration::from_secs(60);

/// A deployment that is ready, and its turn.
pub async fn start(topology: Topology, proxied: bool) -> (Deployment, SemaphorePermit<'static>) {
    let turn = AT_A_TIME.acquire().await.expect("never closed");
    let options = DeploymentOptions {
        program: env!("CARGO_BIN_EXE_seamhatch-lab").into(),
        log_level: "info".into(),
        proxied,
        mode: CallMode::ThroughDaemon,
    };
    let deployment = Deployment::start_ready(topology, &options).await.expect("deployment starts");
    (deployment, turn)
}

/// Time within which a line is in the file of its log.
const LOG_DELAY: Duration = Duration::from_millis(300);

/// What all daemons logged of a request.
pub async fn log_lines_of(deployment: &Deployment, request: &CallerRequest) -> String {
    tokio::time::sleep(LOG_DELAY).await;
    let lines_of = |daemon: usize| {
        let log = deployment.log(daemon);
        let lines = log.lines().filter(|line| line.contains(&request.request));
        lines.map(|line| format!("daemon {daemon}: {line}\n")).collect::<String>()
    };
    (0..deployment.daemons.len()).map(lines_of).collect()
}

/// A request of this name.
pub fn request(method: &'static str, path: &str, name: &str, keyed: bool) -> CallerRequest {
    CallerRequest {
        method,
        path: format!("{path}/{name}"),
        request: name.to_owned(),
        key: keyed.then(|| name.to_owned()),
    }
}

/// Repeats a keyed request at the given daemons in turn until it is answered.
pub async fn until_answered(
    deployment: &Deployment,
    caller: &Caller,
    request: &CallerRequest,
    daemons: &[usize],
) -> CallerAnswer {
    let end = Instant::now() + LONG;
    let mut turn = 0;
    loop {
        let ingress = deployment.daemons[daemons[turn % daemons.len()]].machine.ingress();
        let answer = caller.send(ingress, request).await;
        if answer.is_good() || Instant::now() > end {
            return answer;
        }
        turn += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Executions by request at the given service and with the given method.
pub fn executions_by_request(
    deployment: &Deployment,
    service: &str,
    method: &str,
) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for execution in deployment.backends.executions() {
        if execution.service == service && execution.call.starts_with(method) {
            *counts.entry(execution.request).or_default() += 1;
        }
    }
    counts
}

/// Waits until a condition holds.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !holds().await {
        assert!(Instant::now() < end, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
}

/// Fails with a daemon's view of the deployment unless it becomes ready.
pub async fn assert_ready(deployment: &Deployment) {
    if deployment.wait_ready(LONG).await {
        return;
    }
    let last = deployment.daemons.len() - 1;
    let status = deployment.client(last, &["status"]).expect("client starts");
    panic!("not ready:\n{}", String::from_utf8_lossy(&status.stdout));
}
