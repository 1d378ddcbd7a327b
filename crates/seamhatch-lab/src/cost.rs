//! `seamhatch-lab cost`: the processor time that daemons use for each call, and for their connections when there are none.
//!
//! A request causes seven calls in four services, four of them one after the other at the deepest one. Figures of two builds are
//! compared by their ratio, on the same machine and beside the same load.

use crate::backends::CallMode;
use crate::deployment::{Deployment, DeploymentOptions};
use crate::load::{self, CallerRetries, LoadPlan};
use crate::process::DaemonProcess;
use crate::topology::{RequestKind, Topology, call, endpoint, service};
use pico_args::Arguments;
use std::ffi::OsString;
use std::process::ExitCode;
use std::time::Duration;

const HELP: &str = "\
seamhatch-lab cost [--servers N] [--rate REQUESTS_PER_SECOND] [--seconds N]
                   [--idle-seconds N] [--log LEVEL]

Starts N servers of each of four services with a daemon beside each, sends
requests of seven calls, and prints the processor time of all daemons for each
call, and that of a daemon whose connections are open and idle.
";

/// Slots of each server; more than the load needs, so that nothing waits.
const SLOTS: u32 = 64;

/// What the command is told.
#[derive(Debug)]
struct CostOptions {
    servers: u8,
    rate: f64,
    seconds: u64,
    idle_seconds: u64,
    log_level: String,
}

impl CostOptions {
    fn read(arguments: &mut Arguments) -> Result<Self, pico_args::Error> {
        Ok(Self {
            servers: arguments.opt_value_from_str("--servers")?.unwrap_or(6),
            rate: arguments.opt_value_from_str("--rate")?.unwrap_or(150.0),
            seconds: arguments.opt_value_from_str("--seconds")?.unwrap_or(10),
            idle_seconds: arguments.opt_value_from_str("--idle-seconds")?.unwrap_or(4),
            log_level: arguments.opt_value_from_str("--log")?.unwrap_or_else(|| "info".into()),
        })
    }
}

/// Runs the command.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let Ok(options) = CostOptions::read(&mut arguments) else {
        eprint!("{HELP}");
        return ExitCode::from(2);
    };
    let measured = tokio::runtime::Runtime::new()
        .map_err(|error| error.to_string())
        .and_then(|runtime| runtime.block_on(measure(&options)));
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("seamhatch-lab: {problem}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(options: &CostOptions) -> Result<(), String> {
    let started = DeploymentOptions {
        program: std::env::current_exe().map_err(|error| error.to_string())?,
        log_level: options.log_level.clone(),
        proxied: false,
        mode: CallMode::ThroughDaemon,
    };
    let deployment = Deployment::start_ready(topology(options.servers), &started).await?;
    let used = || deployment.daemons.iter().map(DaemonProcess::processor_time).sum::<Duration>();
    let (before, calls_before) = (used(), deployment.backends.execution_count());
    let duration = Duration::from_secs(options.seconds);
    let result = load::run(plan(&deployment, options.rate, duration)).await;
    let (after, calls) = (used(), deployment.backends.execution_count() - calls_before);
    let (sent, good) =
        result.iter().fold((0, 0), |(sent, good), (_, kind)| (sent + kind.sent, good + kind.good));
    let idle_time = Duration::from_secs(options.idle_seconds);
    tokio::time::sleep(idle_time).await;
    let idle = used() - after;
    let daemons = deployment.daemons.len() as f64;
    println!("daemons {daemons}, requests {sent}, answered well {good}, calls {calls}");
    println!("processor time a call: {:.0} us", (after - before).as_secs_f64() * 1e6 / calls.max(1) as f64);
    println!(
        "processor time of an idle daemon: {:.2} ms a second",
        idle.as_secs_f64() * 1e3 / daemons / idle_time.as_secs_f64().max(f64::MIN_POSITIVE)
    );
    Ok(())
}

fn plan(deployment: &Deployment, rate: f64, duration: Duration) -> LoadPlan {
    LoadPlan {
        rate,
        duration,
        kinds: deployment.topology.kinds.clone(),
        targets: vec![deployment.ingresses()],
        surge: None,
        retries: CallerRetries { most: 0, honour_retry_after: true },
        name: "cost".into(),
    }
}

fn topology(servers: u8) -> Topology {
    let deepest = (0..4).map(|way| call("GET", "index", &format!("entry{way}"))).collect();
    let entries = (0..4).map(|way| endpoint(&format!("entry{way}"), 40, 600, vec![])).collect();
    let services = vec![
        service(
            "front",
            servers,
            SLOTS,
            vec![endpoint("page", 50, 1500, vec![call("GET", "orders", "order")])],
        ),
        service(
            "orders",
            servers,
            SLOTS,
            vec![endpoint("order", 15, 600, vec![call("GET", "media", "item")])],
        ),
        service("media", servers, SLOTS, vec![endpoint("item", 15, 600, deepest)]),
        service("index", servers, SLOTS, entries),
    ];
    let sections: String = services.iter().map(|service| format!("[services.{}]\n", service.name)).collect();
    Topology {
        cluster: "cost",
        region: "region",
        zones: vec!["a", "b", "c"],
        services,
        kinds: vec![RequestKind { name: "page", method: "GET", path: "/in/page", share: 1.0, keyed: false }],
        document: format!(
            "policy = \"\"\"\nfn deadline_ms(request) {{ 5000 }}\n\"\"\"\n{sections}[[routes]]\nprefix = \"/in\"\nservice = \"front\"\n"
        ),
    }
}
