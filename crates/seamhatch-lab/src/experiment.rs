//! `seamhatch-lab run`: plays a scenario file twice, without any overload control and with daemons, and compares goodput before,
//! during and after its trigger (a slow service or a surge of demand).
//!
//! For operators who want to see what the product does for a call graph like theirs; the files are in `scenarios/`.

use crate::backends::CallMode;
use crate::deployment::{Deployment, DeploymentOptions};
use crate::load::{self, CallerRetries, KindResult, LoadPlan, LoadResult, Surge};
use crate::process::LabMachine;
use crate::topology::{RequestKind, Topology};
use seamhatch_core::identity::Address;
use seamhatch_policy::Configuration;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::Duration;

const HELP: &str = "\
seamhatch-lab run SCENARIO.toml [--report FILE.json]

Runs the scenario with daemons and, in the same tool, without any control, and
prints goodput before, during and after the trigger. See scenarios/.
";

/// Goodput has recovered when a second reaches this share of the mean before the trigger. Chosen, not measured.
const RECOVERED_SHARE: f64 = 0.95;

/// A scenario file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Scenario {
    deployment: DeploymentName,
    /// Requests a second outside a surge.
    rate: f64,
    /// Back ends' own work takes this many times as long as in the topology.
    work_times: u32,
    /// Seconds before, during and after the trigger.
    before: u64,
    during: u64,
    after: u64,
    trigger: Trigger,
    callers: Callers,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum DeploymentName {
    Harvest,
    Senvang,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, tag = "kind", rename_all = "lowercase")]
enum Trigger {
    /// A service takes so many times as long.
    Slow { service: String, factor: u32 },
    /// Demand is so many times as high.
    Surge { factor: f64 },
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
struct Callers {
    /// Repeats after the first try, by callers and, without control, by each layer.
    repeats: u32,
    honour_retry_after: bool,
}

/// Seconds at the beginning that don't count for the goodput before: connections and cold servers warm up. Chosen, not measured.
const WARM_UP_SECONDS: usize = 3;

/// The figures of one run.
#[derive(Debug, Serialize)]
struct Outcome {
    control: &'static str,
    goodput_before: f64,
    goodput_during: f64,
    goodput_after: f64,
    /// Seconds from the end of the trigger until goodput recovered; none when it did not before the run ended.
    recovery_seconds: Option<usize>,
    executions: usize,
    /// Share of the chains begun that led to no good answer, 0 to 1.
    wasted_share: f64,
    answered_by_kind: BTreeMap<&'static str, f64>,
    refusal_p99_ms: f64,
    goodput_by_second: Vec<u64>,
}

/// Runs a scenario file.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let mut arguments = pico_args::Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let report: Result<Option<String>, _> = arguments.opt_value_from_str("--report");
    let file: Result<String, _> = arguments.free_from_str();
    let (Ok(report), Ok(file)) = (report, file) else {
        eprint!("{HELP}");
        return ExitCode::from(2);
    };
    match run_file(Path::new(&file), report.as_deref().map(Path::new)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("seamhatch-lab: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn run_file(file: &Path, report: Option<&Path>) -> Result<(), String> {
    let text = std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
    let scenario: Scenario = toml::from_str(&text).map_err(|error| format!("{}: {error}", file.display()))?;
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let mut outcomes = Vec::new();
    for mode in [CallMode::Direct, CallMode::ThroughDaemon] {
        let outcome = runtime.block_on(scenario.run(mode))?;
        println!("{}", table_line(&outcome));
        outcomes.push(outcome);
    }
    if let Some(report) = report {
        let json = serde_json::to_string_pretty(&outcomes).map_err(|error| error.to_string())?;
        std::fs::write(report, json).map_err(|error| format!("{}: {error}", report.display()))?;
    }
    Ok(())
}

fn table_line(outcome: &Outcome) -> String {
    let recovery =
        outcome.recovery_seconds.map_or_else(|| "not recovered".to_owned(), |seconds| format!("{seconds} s"));
    let kinds: Vec<String> = outcome
        .answered_by_kind
        .iter()
        .map(|(kind, share)| format!("{kind} {:.1}%", share * 100.0))
        .collect();
    format!(
        "{:<10} goodput/s before {:.0}, during {:.0}, after {:.0}; recovery {recovery}; \
         {} executions, {:.1}% wasted; refusals p99 {:.1} ms\n           answered: {}",
        outcome.control,
        outcome.goodput_before,
        outcome.goodput_during,
        outcome.goodput_after,
        outcome.executions,
        outcome.wasted_share * 100.0,
        outcome.refusal_p99_ms,
        kinds.join(", "),
    )
}

impl Scenario {
    fn topology(&self) -> Topology {
        let topology = match self.deployment {
            DeploymentName::Harvest => Topology::harvest(),
            DeploymentName::Senvang => Topology::senvang(),
        };
        topology.with_work_times(self.work_times)
    }

    async fn run(&self, mode: CallMode) -> Result<Outcome, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let options = DeploymentOptions { program, log_level: "warn".into(), proxied: false, mode };
        let deployment = match mode {
            CallMode::ThroughDaemon => Deployment::start_ready(self.topology(), &options).await?,
            CallMode::Direct => {
                Deployment::start(self.topology(), &options).await.map_err(|error| error.to_string())?
            }
        };
        for service in &deployment.topology.services {
            let repeats = self.callers.repeats;
            deployment.backends.change(&service.name, |behaviour| {
                behaviour.own_retries.store(repeats, Ordering::Relaxed);
            });
        }
        let plan = self.plan(&deployment, mode)?;
        let (result, ()) = tokio::join!(load::run(plan), self.pull_trigger(&deployment));
        Ok(self.outcome(mode, &deployment, &result))
    }

    fn plan(&self, deployment: &Deployment, mode: CallMode) -> Result<LoadPlan, String> {
        let surge = match self.trigger {
            Trigger::Surge { factor } => Some(Surge {
                start: Duration::from_secs(self.before),
                end: Duration::from_secs(self.before + self.during),
                factor,
            }),
            Trigger::Slow { .. } => None,
        };
        let targets = match mode {
            CallMode::ThroughDaemon => vec![deployment.ingresses()],
            CallMode::Direct => direct_targets(deployment)?,
        };
        Ok(LoadPlan {
            rate: self.rate,
            duration: Duration::from_secs(self.before + self.during + self.after),
            kinds: deployment.topology.kinds.clone(),
            targets,
            surge,
            retries: CallerRetries {
                most: self.callers.repeats,
                honour_retry_after: self.callers.honour_retry_after,
            },
            name: "run".into(),
        })
    }

    /// Slows the scenario's service down for its time; a surge is part of the load.
    async fn pull_trigger(&self, deployment: &Deployment) {
        let Trigger::Slow { service, factor } = &self.trigger else { return };
        let set = |percent| {
            deployment.backends.change(service, |behaviour| {
                behaviour.slowdown_percent.store(percent, Ordering::Relaxed);
            });
        };
        tokio::time::sleep(Duration::from_secs(self.before)).await;
        set(factor * 100);
        tokio::time::sleep(Duration::from_secs(self.during)).await;
        set(100);
    }

    fn outcome(&self, mode: CallMode, deployment: &Deployment, result: &LoadResult) -> Outcome {
        let seconds = (self.before + self.during + self.after) as usize;
        let by_second: Vec<u64> = (0..seconds)
            .map(|second| result.iter().map(|(_, kind)| kind.good_by_second[second]).sum())
            .collect();
        let (before, during) = (self.before as usize, self.during as usize);
        let warm = before.min(WARM_UP_SECONDS);
        let goodput_before = mean(&by_second[warm..before]);
        let end = before + during;
        let recovered = |second: &u64| *second as f64 >= goodput_before * RECOVERED_SHARE;
        let good: u64 = result.iter().map(|(_, kind)| kind.good).sum();
        let executions = deployment.backends.execution_count();
        Outcome {
            control: if mode == CallMode::Direct { "none" } else { "seamhatch" },
            goodput_before,
            goodput_during: mean(&by_second[before..end]),
            goodput_after: mean(&by_second[end..]),
            recovery_seconds: by_second[end..].iter().position(recovered),
            executions,
            wasted_share: wasted_share(deployment, good),
            answered_by_kind: answered_by_kind(result),
            refusal_p99_ms: refusal_p99(result),
            goodput_by_second: by_second,
        }
    }
}

fn answered_by_kind(result: &LoadResult) -> BTreeMap<&'static str, f64> {
    let share = |kind: &KindResult| kind.good as f64 / kind.sent.max(1) as f64;
    result.iter().map(|(name, kind)| (*name, share(kind))).collect()
}

/// Without daemons, callers go straight to the back ends of the service that each kind's route names.
fn direct_targets(deployment: &Deployment) -> Result<Vec<Vec<Address>>, String> {
    let configuration =
        Configuration::compile(&deployment.topology.document).map_err(|error| error.to_string())?;
    let servers = |kind: &RequestKind| {
        let service = configuration.route(kind.path).unwrap_or_default();
        deployment.machines_of(service).iter().map(LabMachine::backend).collect()
    };
    Ok(deployment.topology.kinds.iter().map(servers).collect())
}

fn mean(values: &[u64]) -> f64 {
    values.iter().sum::<u64>() as f64 / values.len().max(1) as f64
}

/// Share of the executions at the entry, each of which stands for its chain, beyond one for each good answer.
fn wasted_share(deployment: &Deployment, good: u64) -> f64 {
    let executions = deployment.backends.executions();
    let entries = executions.iter().filter(|execution| execution.trail.is_empty()).count().max(1);
    1.0 - (good as f64 / entries as f64).min(1.0)
}

fn refusal_p99(result: &LoadResult) -> f64 {
    let mut all = result[0].1.refusal_latency.clone();
    for (_, kind) in &result[1..] {
        all.add(&kind.refusal_latency).expect("histograms of one load have the same bounds");
    }
    all.value_at_quantile(0.99) as f64 / 1000.0
}
