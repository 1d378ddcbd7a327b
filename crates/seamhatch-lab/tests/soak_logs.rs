//! What `seamhatch trace` finds in a deployment's logs.

mod common;

use common::{eventually, request, start};
use seamhatch_lab::connection::Caller;
use seamhatch_lab::topology::Topology;
use std::process::Command;

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_traced_by_its_callers_name() {
    let (deployment, _turn) = start(Topology::harvest().in_small(2), false).await;
    let answer = Caller::default()
        .send(deployment.ingresses()[0], &request("GET", "/status/lookup", "soak-7", false))
        .await;
    assert!(answer.is_good(), "{answer:?}");
    let directory = tempfile::tempdir().expect("a directory");
    let written = |daemon: usize| {
        let path = directory.path().join(format!("daemon-{daemon}.log"));
        std::fs::write(&path, deployment.log(daemon)).expect("is written");
        path
    };
    let trace = || {
        let logs = (0..deployment.daemons.len()).map(written);
        let mut command = Command::new(&deployment.options.program);
        let output =
            command.args(["client", "trace", "soak-7"]).args(logs).output().expect("the client starts");
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    let parts = [
        "cause: answered with status 200",
        "soak-7 request answered",
        "soak-7.evidence call ran",
        "soak-7.evidence.fieldbook call ran",
    ];
    // Each daemon answers first and writes its log shortly after, so the lines of several daemons come in any order.
    eventually("the request is traced", async || {
        let told = trace();
        let missing: Vec<&str> = parts.into_iter().filter(|part| !told.contains(part)).collect();
        if !missing.is_empty() {
            println!("not yet traced: {missing:?}");
        }
        missing.is_empty()
    })
    .await;
}
