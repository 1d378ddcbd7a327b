//! Runs one plan: starts the deployment, sends the load, lets `steps` run the faults, watches the daemons, waits for the
//! recovery, sends probes, and returns the history and the daemons' logs.
//!
//! The command calls it for each plan, and again for each smaller one while it shrinks.

use super::checks::PROBE_PREFIX;
use super::fleet::SoakFleet;
use super::history::HistoryEvent;
use super::injection::DaemonRestarts;
use super::load::{self, SoakRequest};
use super::paths::failed_calls;
use super::plan::SoakPlan;
use super::recorder::Recorder;
use super::steps;
use crate::backends::CallMode;
use crate::connection::Caller;
use crate::deployment::{Deployment, DeploymentOptions, status_of};
use crate::topology::Topology;
use seamhatch_core::identity::Address;
use seamhatch_core::roster::SHARD_RESTART_WAIT;
use std::path::PathBuf;
use std::time::Duration;

/// Longest wait for all daemons to be ready when the faults are over: what a shard waits that has lost a majority of its
/// witnesses, and half as much again for a busy machine.
const RECOVERY_TIMEOUT: Duration = Duration::from_micros(SHARD_RESTART_WAIT * 3 / 2);
/// Time between two rounds of status reports.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);
/// Requests that must be served when everything is over: five for each of eight daemons.
const PROBES: usize = 40;
/// Wait for calls that may still be on their way, before the executions are read.
const SETTLING: Duration = Duration::from_millis(500);
/// Pause between two checks whether back ends are idle.
const POLL: Duration = Duration::from_millis(20);

/// What a soak deploys: the claims platform with this many servers for each service.
#[must_use]
pub fn topology(servers: u8) -> Topology {
    Topology::harvest().with_servers(servers)
}

/// The daemons of that deployment.
#[must_use]
pub fn fleet(servers: u8) -> SoakFleet {
    SoakFleet { services: topology(servers).services.len(), servers }
}

/// What a soak leaves.
pub struct SoakRecord {
    /// What callers, back ends and operators saw.
    pub history: Vec<HistoryEvent>,
    /// The log of each daemon, in the order of the topology.
    pub logs: Vec<String>,
}

/// Runs a plan; `program` is the emulator's, which contains the daemon.
///
/// # Errors
/// The deployment can't be started, or a fault can't be injected.
pub async fn run_plan(plan: &SoakPlan, program: PathBuf) -> Result<SoakRecord, String> {
    let options =
        DeploymentOptions { program, log_level: "info".into(), proxied: true, mode: CallMode::ThroughDaemon };
    let mut deployment = Deployment::start_ready(topology(plan.servers), &options).await?;
    let restarts = DaemonRestarts::new(deployment.daemons.len());
    let recorder = Recorder::begin();
    for (daemon, machine) in deployment.machines.iter().enumerate() {
        recorder.note(HistoryEvent::Daemon {
            daemon,
            service: machine.service.clone(),
            server: machine.ip.to_string(),
        });
    }
    let load =
        load::send_load(plan.clone(), deployment.topology.clone(), deployment.ingresses(), recorder.clone());
    let load = tokio::spawn(load);
    let watch = tokio::spawn(watch_daemons(admins(&deployment), restarts.clone(), recorder.clone()));
    let faults = steps::run_steps(&mut deployment, &restarts, &plan.faults, &recorder).await;
    faults.map_err(|error| error.to_string())?;
    load.await.map_err(|error| error.to_string())?;
    steps::submit(&deployment, 0, &recorder).await.map_err(|error| error.to_string())?;
    let ready = deployment.wait_ready(RECOVERY_TIMEOUT).await;
    watch.abort();
    recorder.note(HistoryEvent::Healed { at_ms: recorder.at_ms(), ready });
    probe(&deployment, &recorder).await;
    record_reports(&admins(&deployment), &restarts, &recorder).await;
    while deployment.backends.running() > 0 {
        tokio::time::sleep(POLL).await;
    }
    tokio::time::sleep(SETTLING).await;
    let mut history = recorder.take();
    let executions = deployment.backends.executions().into_iter();
    history.extend(executions.map(|execution| HistoryEvent::executed(execution, recorder.start())));
    let logs: Vec<String> = (0..deployment.daemons.len()).map(|daemon| deployment.log(daemon)).collect();
    history.extend(logs.iter().flat_map(|log| failed_calls(log)));
    Ok(SoakRecord { history, logs })
}

fn admins(deployment: &Deployment) -> Vec<Address> {
    deployment.daemons.iter().map(|daemon| daemon.machine.admin()).collect()
}

async fn watch_daemons(admins: Vec<Address>, restarts: DaemonRestarts, recorder: Recorder) {
    loop {
        record_reports(&admins, &restarts, &recorder).await;
        tokio::time::sleep(STATUS_INTERVAL).await;
    }
}

/// Records each daemon's status report, except of one that is started again in the meantime.
async fn record_reports(admins: &[Address], restarts: &DaemonRestarts, recorder: &Recorder) {
    for (daemon, admin) in admins.iter().enumerate() {
        let before = restarts.of(daemon);
        let asked = tokio::time::timeout(STATUS_INTERVAL, status_of(*admin)).await;
        let Ok(Some(report)) = asked else { continue };
        if restarts.of(daemon) == before {
            recorder.note(HistoryEvent::Status {
                at_ms: recorder.at_ms(),
                daemon,
                restarts: before,
                generation: report.generation,
                ready: report.ready && !report.draining,
            });
        }
    }
}

/// Sends requests of all kinds to all daemons in turn.
async fn probe(deployment: &Deployment, recorder: &Recorder) {
    let caller = Caller::default();
    let ingresses = deployment.ingresses();
    let topology = &deployment.topology;
    let kinds = &topology.kinds;
    for number in 0..PROBES {
        let daemon = number % ingresses.len();
        let kind = &kinds[number % kinds.len()];
        let request = SoakRequest::new(topology, kind, format!("{PROBE_PREFIX}{number}"));
        load::send(caller.clone(), ingresses[daemon], daemon, request, recorder.clone()).await;
    }
}
