//! `seamhatch-lab demo`: a small deployment, its configuration, some seconds of load, and a table of what became of it.

use crate::backends::CallMode;
use crate::deployment::{Deployment, DeploymentOptions};
use crate::load::{self, CallerRetries, LoadPlan};
use crate::process::DaemonProcess;
use crate::report;
use crate::topology::Topology;
use pico_args::Arguments;
use std::ffi::OsString;
use std::process::ExitCode;
use std::time::Duration;

/// Most servers of a service.
const SERVERS: u8 = 2;
/// Requests a second, unless `--rate` says otherwise. Chosen, not measured: below what the deployment serves.
const RATE: f64 = 150.0;
/// Seconds of load, unless `--seconds` says otherwise.
const SECONDS: u64 = 5;

const HELP: &str = "\
seamhatch-lab demo [--rate REQUESTS_PER_SECOND] [--seconds N]

Starts the Harvest deployment in small, one daemon process a server, submits
its configuration with the operators' client, sends load, prints the results
and ends everything.
";

/// Runs the command.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let rate = arguments.opt_value_from_str("--rate");
    let seconds = arguments.opt_value_from_str("--seconds");
    let (Ok(rate), Ok(seconds)) = (rate, seconds) else {
        eprint!("{HELP}");
        return ExitCode::from(2);
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error.to_string()),
    };
    let (rate, seconds) = (rate.unwrap_or(RATE), seconds.unwrap_or(SECONDS));
    runtime.block_on(async {
        tokio::select! {
            result = demonstrate(rate, Duration::from_secs(seconds)) => match result {
                Ok(()) => ExitCode::SUCCESS,
                Err(problem) => fail(&problem),
            },
            _ = tokio::signal::ctrl_c() => fail("interrupted"),
        }
    })
}

fn fail(problem: &str) -> ExitCode {
    eprintln!("seamhatch-lab: {problem}");
    ExitCode::FAILURE
}

async fn demonstrate(rate: f64, duration: Duration) -> Result<(), String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let topology = Topology::harvest().in_small(SERVERS);
    let options = DeploymentOptions {
        program,
        log_level: "info".into(),
        proxied: false,
        mode: CallMode::ThroughDaemon,
    };
    let deployment = Deployment::start_ready(topology, &options).await?;
    println!("started {} daemons, their back ends and the platform", deployment.daemons.len());
    println!("submitted the configuration; it is in force at every daemon");
    let used = || deployment.daemons.iter().map(DaemonProcess::processor_time).sum::<Duration>();
    let before = (used(), deployment.backends.execution_count());
    println!("sending {rate} requests a second for {} s\n", duration.as_secs());
    let result = load::run(LoadPlan {
        rate,
        duration,
        kinds: deployment.topology.kinds.clone(),
        targets: vec![deployment.ingresses()],
        surge: None,
        retries: CallerRetries { most: 0, honour_retry_after: true },
        name: "demo".into(),
    })
    .await;
    println!("{}", report::load_table(&result, duration));
    let executions = deployment.backends.execution_count() - before.1;
    let per_call = (used() - before.0).as_secs_f64() / executions.max(1) as f64;
    println!("executions in back ends: {executions}");
    println!("processor time of all daemons for each: {:.0} microseconds", per_call * 1e6);
    print_generations(&deployment).await
}

async fn print_generations(deployment: &Deployment) -> Result<(), String> {
    let report = deployment.status(0).await.ok_or("a daemon does not answer")?;
    println!("\nconfiguration generation in force at each daemon:");
    for member in &report.members {
        let generation = member.generation.map_or_else(|| "-".into(), |generation| generation.to_string());
        println!("  {:<20} {:<12} {:<8} {generation}", member.member, member.service, member.zone);
    }
    Ok(())
}
