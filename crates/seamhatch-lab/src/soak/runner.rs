//! One soak: load, faults at their times, and everything that is seen, recorded.

use super::checks::PROBE_PREFIX;
use super::fleet::SoakFleet;
use super::history::HistoryEvent;
use super::injection::DaemonLives;
use super::load::{self, SoakRequest};
use super::plan::SoakPlan;
use super::recorder::Recorder;
use super::steps;
use crate::backends::CallMode;
use crate::client::Caller;
use crate::deployment::{Deployment, DeploymentOptions, status_of};
use crate::topology::Topology;
use seamhatch_core::identity::Address;
use std::path::PathBuf;
use std::time::Duration;

/// Longest wait for all daemons to be ready when the faults are over. A shard of witnesses that has lost a
/// majority waits 120 s by design.
const RECOVERY: Duration = Duration::from_secs(180);
/// Time between two looks at the daemons' state.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);
/// Requests that are sent when everything is over.
const PROBES: usize = 40;
/// Calls that were held up somewhere run within this time, or never.
const SETTLING: Duration = Duration::from_millis(500);
/// Pause between two looks at what is waited for.
const POLL: Duration = Duration::from_millis(20);

/// The deployment that is soaked: the claims platform, with so many servers of each service.
#[must_use]
pub fn topology(servers: u8) -> Topology {
    Topology::harvest().with_servers(servers)
}

/// Its daemons.
#[must_use]
pub fn fleet(servers: u8) -> SoakFleet {
    SoakFleet { services: topology(servers).services.len(), servers }
}

/// What a soak has seen, and the daemons' logs.
pub struct SoakRecord {
    /// What was seen.
    pub history: Vec<HistoryEvent>,
    /// The log of each daemon, in the order of the topology.
    pub logs: Vec<String>,
}

/// Runs a plan with this program as the daemon's.
///
/// # Errors
/// The deployment can't be started, or a fault can't be brought about.
pub async fn run_plan(plan: &SoakPlan, program: PathBuf) -> Result<SoakRecord, String> {
    let options =
        DeploymentOptions { program, log_level: "info".into(), proxied: true, mode: CallMode::ThroughDaemon };
    let mut deployment = Deployment::start_ready(topology(plan.servers), &options).await?;
    let lives = DaemonLives::new(deployment.daemons.len());
    let recorder = Recorder::begin();
    for (daemon, machine) in deployment.machines.iter().enumerate() {
        recorder.note(HistoryEvent::Daemon { daemon, service: machine.service.clone() });
    }
    let load =
        load::send_load(plan.clone(), deployment.topology.clone(), deployment.ingresses(), recorder.clone());
    let load = tokio::spawn(load);
    let watch = tokio::spawn(watch_daemons(admins(&deployment), lives.clone(), recorder.clone()));
    let faults = steps::bring_about(&mut deployment, &lives, &plan.faults, &recorder).await;
    faults.map_err(|error| error.to_string())?;
    load.await.map_err(|error| error.to_string())?;
    steps::submit(&deployment, 0, &recorder).await.map_err(|error| error.to_string())?;
    let ready = deployment.wait_ready(RECOVERY).await;
    watch.abort();
    recorder.note(HistoryEvent::Healed { at_ms: recorder.at_ms(), ready });
    probe(&deployment, &recorder).await;
    look_at_all(&admins(&deployment), &lives, &recorder).await;
    while deployment.backends.running() > 0 {
        tokio::time::sleep(POLL).await;
    }
    tokio::time::sleep(SETTLING).await;
    let mut history = recorder.take();
    history.extend(deployment.backends.executions().into_iter().map(HistoryEvent::from));
    let logs = (0..deployment.daemons.len()).map(|daemon| deployment.log(daemon)).collect();
    Ok(SoakRecord { history, logs })
}

fn admins(deployment: &Deployment) -> Vec<Address> {
    deployment.daemons.iter().map(|daemon| daemon.machine.admin()).collect()
}

async fn watch_daemons(admins: Vec<Address>, lives: DaemonLives, recorder: Recorder) {
    loop {
        look_at_all(&admins, &lives, &recorder).await;
        tokio::time::sleep(STATUS_INTERVAL).await;
    }
}

/// Asks each daemon for its state; one that is restarted meanwhile isn't noted.
async fn look_at_all(admins: &[Address], lives: &DaemonLives, recorder: &Recorder) {
    for (daemon, admin) in admins.iter().enumerate() {
        let life = lives.of(daemon);
        let asked = tokio::time::timeout(STATUS_INTERVAL, status_of(*admin)).await;
        let Ok(Some(report)) = asked else { continue };
        if lives.of(daemon) == life {
            let generation = report.generation;
            recorder.note(HistoryEvent::Status { at_ms: recorder.at_ms(), daemon, life, generation });
        }
    }
}

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
