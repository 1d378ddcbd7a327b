//! One soak: load, faults at their times, and everything that is seen, recorded.

use super::checks::PROBE_PREFIX;
use super::faults::{self, DaemonLives};
use super::history::{HistoryEvent, SeenAnswer, SoakMillis};
use super::plan::{DaemonIndex, PlannedFault, SoakFault, SoakPlan};
use crate::backends::CallMode;
use crate::client::{Caller, CallerRequest};
use crate::deployment::{Deployment, DeploymentOptions, status_of};
use crate::topology::{RequestKind, Topology};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use seamhatch_core::identity::Address;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::{JoinHandle, JoinSet};

/// Servers of each service in a soak.
const SERVERS: u8 = 2;
/// Longest wait for all daemons to be ready when the faults are over. A shard of witnesses that has lost a
/// majority waits 120 s by design.
const RECOVERY: Duration = Duration::from_secs(180);
/// Time between two looks at the daemons' state.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);
/// Requests that are sent when everything is over.
const PROBES: usize = 40;
/// Calls that were held up somewhere run within this time, or never.
const SETTLING: Duration = Duration::from_millis(500);
/// A step of a plan that comes later than this tells of a machine that is too busy, in milliseconds.
const MOST_LATE_MS: SoakMillis = 1_000;
/// Load that could not be sent in time, as this machine was too busy, is left out beyond this.
const MOST_BACKLOG: Duration = Duration::from_secs(1);
/// Pause between two looks at what is waited for.
const POLL: Duration = Duration::from_millis(20);

/// The deployment that is soaked: the claims platform in small.
#[must_use]
pub fn topology() -> Topology {
    Topology::harvest().in_small(SERVERS)
}

/// Its daemons.
#[must_use]
pub fn daemon_count(topology: &Topology) -> usize {
    topology.services.iter().map(|service| usize::from(service.servers)).sum()
}

/// What a soak has seen, and the daemons' logs.
pub struct SoakRecord {
    /// What was seen.
    pub history: Vec<HistoryEvent>,
    /// The log of each daemon, in the order of the topology.
    pub logs: Vec<String>,
}

/// What the tasks of a run share.
#[derive(Clone)]
struct Recorder {
    start: Instant,
    events: Arc<Mutex<Vec<HistoryEvent>>>,
}

impl Recorder {
    fn new() -> Self {
        Self { start: Instant::now(), events: Arc::default() }
    }

    fn at_ms(&self) -> SoakMillis {
        self.start.elapsed().as_millis() as SoakMillis
    }

    fn note(&self, event: HistoryEvent) {
        self.events.lock().expect("history lock").push(event);
    }

    fn take(&self) -> Vec<HistoryEvent> {
        std::mem::take(&mut self.events.lock().expect("history lock"))
    }
}

/// Runs a plan with this program as the daemon's.
///
/// # Errors
/// The deployment can't be started, or a fault can't be brought about.
pub async fn run(plan: &SoakPlan, program: PathBuf) -> Result<SoakRecord, String> {
    let options =
        DeploymentOptions { program, log_level: "info".into(), proxied: true, mode: CallMode::ThroughDaemon };
    let mut deployment = Deployment::start_ready(topology(), &options).await?;
    let lives = DaemonLives::new(deployment.daemons.len());
    let recorder = Recorder::new();
    let load = tokio::spawn(send_load(plan.clone(), deployment.ingresses(), recorder.clone()));
    let watch = tokio::spawn(watch_daemons(admins(&deployment), lives.clone(), recorder.clone()));
    bring_about(&mut deployment, &lives, &plan.faults, &recorder).await.map_err(|error| error.to_string())?;
    load.await.map_err(|error| error.to_string())?;
    submit(&deployment, 0, &recorder).await.map_err(|error| error.to_string())?;
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

/// The beginning or the end of a fault.
enum Step<'a> {
    Begin(&'a SoakFault),
    End(&'a SoakFault),
}

async fn bring_about(
    deployment: &mut Deployment,
    lives: &DaemonLives,
    planned: &[PlannedFault],
    recorder: &Recorder,
) -> std::io::Result<()> {
    let mut steps: Vec<(SoakMillis, Step)> = Vec::new();
    for entry in planned {
        steps.push((entry.at_ms, Step::Begin(&entry.fault)));
        steps.push((entry.at_ms + entry.for_ms, Step::End(&entry.fault)));
    }
    steps.sort_by_key(|(at_ms, _)| *at_ms);
    let mut submissions = Vec::new();
    for (at_ms, step) in steps {
        tokio::time::sleep_until((recorder.start + Duration::from_millis(at_ms)).into()).await;
        let late_ms = recorder.at_ms().saturating_sub(at_ms);
        if late_ms > MOST_LATE_MS {
            println!("this machine is too busy for the plan: the step of {at_ms} ms came {late_ms} ms late");
        }
        match step {
            Step::Begin(fault) => {
                recorder.note(HistoryEvent::FaultBegins { at_ms: recorder.at_ms(), fault: fault.clone() });
                faults::begin(deployment, lives, fault);
                if let SoakFault::Configuration { daemon } = fault {
                    submissions.push(submit(deployment, *daemon, recorder));
                }
            }
            Step::End(fault) => {
                faults::end(deployment, fault)?;
                recorder.note(HistoryEvent::FaultEnds { at_ms: recorder.at_ms(), fault: fault.clone() });
            }
        }
    }
    for submission in submissions {
        submission.await.map_err(std::io::Error::other)?;
    }
    Ok(())
}

/// Submits the configuration once more, under another number, beside whatever else happens. What the client
/// can't tell isn't noted.
fn submit(deployment: &Deployment, daemon: DaemonIndex, recorder: &Recorder) -> JoinHandle<()> {
    let mut submission = deployment.submission(daemon, &["--json"]);
    let recorder = recorder.clone();
    tokio::task::spawn_blocking(move || {
        let output = submission.output().ok().filter(|output| output.status.success());
        let text = output.map(|output| String::from_utf8_lossy(&output.stdout).into_owned());
        if let Some(generation) = text.and_then(|text| generation_of(&text)) {
            recorder.note(HistoryEvent::Accepted { at_ms: recorder.at_ms(), generation });
        }
    })
}

fn generation_of(output: &str) -> Option<u64> {
    let answer: serde_json::Value = serde_json::from_str(output.trim()).ok()?;
    answer.get("generation")?.as_u64()
}

async fn send_load(plan: SoakPlan, ingresses: Vec<Address>, recorder: Recorder) {
    let kinds = topology().kinds;
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let caller = Caller::default();
    let mut tasks = JoinSet::new();
    let end = recorder.start + Duration::from_secs(plan.seconds);
    let mut at = recorder.start;
    let mut number = 0_u64;
    while at < end {
        tokio::time::sleep_until(at.into()).await;
        at = at.max(Instant::now().checked_sub(MOST_BACKLOG).unwrap_or(at));
        let daemon = rng.random_range(0..ingresses.len());
        let kind = draw_kind(&kinds, &mut rng);
        let request = caller_request(kind, format!("soak-{number}"));
        tasks.spawn(send(caller.clone(), ingresses[daemon], daemon, request, recorder.clone()));
        number += 1;
        let uniform: f64 = rng.random::<f64>().max(f64::MIN_POSITIVE);
        at += Duration::from_secs_f64(-uniform.ln() / plan.rate);
        while tasks.try_join_next().is_some() {}
    }
    tasks.join_all().await;
}

fn draw_kind<'a>(kinds: &'a [RequestKind], rng: &mut SmallRng) -> &'a RequestKind {
    let total: f64 = kinds.iter().map(|kind| kind.share).sum();
    let mut drawn = rng.random::<f64>() * total;
    for kind in kinds {
        drawn -= kind.share;
        if drawn < 0.0 {
            return kind;
        }
    }
    &kinds[kinds.len() - 1]
}

fn caller_request(kind: &RequestKind, name: String) -> CallerRequest {
    CallerRequest {
        method: kind.method,
        path: format!("{}/{name}", kind.path),
        key: kind.keyed.then(|| name.clone()),
        request: name,
    }
}

async fn send(
    caller: Caller,
    ingress: Address,
    daemon: DaemonIndex,
    request: CallerRequest,
    recorder: Recorder,
) {
    let name = request.request.clone();
    let keyed = request.key.is_some();
    recorder.note(HistoryEvent::Sent { at_ms: recorder.at_ms(), request: name.clone(), daemon, keyed });
    let answer = SeenAnswer::from(&caller.send(ingress, &request).await);
    recorder.note(HistoryEvent::Answered { at_ms: recorder.at_ms(), request: name, answer });
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
    let kinds = &deployment.topology.kinds;
    for number in 0..PROBES {
        let daemon = number % ingresses.len();
        let request = caller_request(&kinds[number % kinds.len()], format!("{PROBE_PREFIX}{number}"));
        send(caller.clone(), ingresses[daemon], daemon, request, recorder.clone()).await;
    }
}
