//! A whole deployment: the platform and the back ends as stand-ins in this process, and a daemon process beside each back end.
//!
//! Owns everything that it starts and ends it when it is dropped. Tests, `demo`, experiments and the soak work on a
//! [`Deployment`]; what an operator would do with it is in `operator`, what the daemons report in `readiness`.

mod operator;
mod readiness;

pub use readiness::status_of;

use crate::backends::{Backends, CallMode};
use crate::fault_proxy::{self, FaultProxy};
use crate::network::Network;
use crate::platform::Platform;
use crate::process::{DaemonOptions, DaemonProcess, LabMachine};
use crate::relays::BackendRelays;
use crate::topology::Topology;
use seamhatch_core::identity::Address;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;

/// Group number of the platform's machine.
const PLATFORM_GROUP: u8 = 0;
/// Seeds that each daemon is given: a start succeeds while one of them runs. Chosen, not measured.
const SEEDS: usize = 3;
/// Longest wait for a deployment to be ready. Chosen, not measured: a busy machine must not fail a start.
const START_TIMEOUT: Duration = Duration::from_secs(40);

/// How a deployment is started.
#[derive(Debug, Clone)]
pub struct DeploymentOptions {
    /// The emulator's program, which contains the daemon and the operators' client.
    pub program: PathBuf,
    /// Log level of the daemons.
    pub log_level: String,
    /// Puts a fault-injecting proxy in front of each daemon, and a relay in front of each back end.
    pub proxied: bool,
    /// How back ends call each other; with [`CallMode::Direct`] no daemons are started.
    pub mode: CallMode,
}

/// A running deployment; dropping it ends all its processes.
pub struct Deployment {
    /// What it is built from.
    pub topology: Topology,
    /// Stand-in platform.
    pub platform: Platform,
    /// Stand-in back ends.
    pub backends: Backends,
    /// One beside each back end, in the order of the topology.
    pub daemons: Vec<DaemonProcess>,
    /// All machines, in the same order.
    pub machines: Vec<LabMachine>,
    /// What restarted daemons are started with.
    pub options: DaemonOptions,
    relays: Option<BackendRelays>,
    proxy: Option<FaultProxy>,
    directory: TempDir,
    _network: Network,
}

impl Deployment {
    /// Starts a deployment, submits its configuration and waits until it is in force and all daemons are ready.
    ///
    /// # Errors
    /// What did not start in time, with a daemon's view of the deployment.
    pub async fn start_ready(topology: Topology, options: &DeploymentOptions) -> Result<Self, String> {
        let deployment = Self::start(topology, options).await.map_err(|error| error.to_string())?;
        if !deployment.wait_started(START_TIMEOUT).await {
            return Err("the daemons did not start in time".into());
        }
        deployment.submit(0, &deployment.topology.document, &["--wait"])?;
        if !deployment.wait_ready(START_TIMEOUT).await {
            let status = deployment.client(0, &["status"]).map_err(|error| error.to_string())?;
            let status = String::from_utf8_lossy(&status.stdout).into_owned();
            return Err(format!("the daemons did not become ready in time\n{status}"));
        }
        Ok(deployment)
    }

    /// Starts all processes. They are ready once a configuration was submitted.
    ///
    /// # Errors
    /// A process or listener can't be started.
    pub async fn start(topology: Topology, options: &DeploymentOptions) -> std::io::Result<Self> {
        let network = Network::take()?;
        let directory = TempDir::new()?;
        let machines = machines(&topology, &network);
        let platform = Platform::start(network.machine(PLATFORM_GROUP, 1))?;
        machines.iter().for_each(|machine| platform.list_machine(machine.ip));
        let relays = options.proxied.then(|| BackendRelays::start(&machines, LabMachine::behind_relay));
        let relays = relays.transpose()?;
        let backends = Backends::start(&topology, &machines, options.mode, relays.clone())?;
        let proxy = if options.proxied { Some(FaultProxy::start(&machines).await?) } else { None };
        let daemon_options =
            daemon_options(&topology, &machines, options, platform.address(), directory.path());
        let daemons = match options.mode {
            CallMode::ThroughDaemon => start_daemons(&machines, &daemon_options)?,
            CallMode::Direct => Vec::new(),
        };
        Ok(Self {
            topology,
            platform,
            backends,
            daemons,
            options: daemon_options,
            machines,
            relays,
            proxy,
            directory,
            _network: network,
        })
    }

    /// The fault-injecting proxy.
    ///
    /// # Panics
    /// The deployment was started without one.
    #[must_use]
    pub fn proxy(&self) -> &FaultProxy {
        self.proxy.as_ref().expect("started with `proxied`")
    }

    /// The relays in front of the back ends.
    ///
    /// # Panics
    /// The deployment was started without them.
    #[must_use]
    pub fn relays(&self) -> &BackendRelays {
        self.relays.as_ref().expect("started with `proxied`")
    }

    /// The name of a member, as `status` shows it and `drain --member` takes it.
    #[must_use]
    pub fn member(&self, daemon: usize) -> String {
        let machine = &self.daemons[daemon].machine;
        match self.options.advertise {
            Some(advertise) => advertise(machine).gossip.to_string(),
            None => machine.gossip().to_string(),
        }
    }

    /// Kills a daemon, if it still runs, and starts another on its machine.
    ///
    /// # Errors
    /// It can't be started.
    pub fn restart(&mut self, daemon: usize) -> std::io::Result<()> {
        let machine = self.daemons[daemon].machine.clone();
        self.daemons[daemon].kill();
        self.daemons[daemon] = DaemonProcess::start(machine, &self.options)?;
        Ok(())
    }

    /// Addresses of all ingress listeners.
    #[must_use]
    pub fn ingresses(&self) -> Vec<Address> {
        self.daemons.iter().map(|daemon| daemon.machine.ingress()).collect()
    }

    /// The machines of a service.
    #[must_use]
    pub fn machines_of(&self, service: &str) -> Vec<LabMachine> {
        self.machines.iter().filter(|machine| machine.service == service).cloned().collect()
    }

    /// Index of the daemon on a machine.
    #[must_use]
    pub fn position(&self, machine: &LabMachine) -> Option<usize> {
        self.daemons.iter().position(|daemon| daemon.machine.ip == machine.ip)
    }

    /// The log of a daemon so far; empty when it can't be read, which is reported on standard error.
    #[must_use]
    pub fn log(&self, daemon: usize) -> String {
        let path = self.directory.path().join(format!("{}.log", self.daemons[daemon].machine.ip));
        std::fs::read_to_string(&path).unwrap_or_else(|error| {
            eprintln!("seamhatch-lab: {} can't be read: {error}", path.display());
            String::new()
        })
    }
}

fn daemon_options(
    topology: &Topology,
    machines: &[LabMachine],
    options: &DeploymentOptions,
    platform: Address,
    directory: &Path,
) -> DaemonOptions {
    let seed = |machine: &LabMachine| {
        if options.proxied { fault_proxy::advertised(machine).gossip } else { machine.gossip() }
    };
    DaemonOptions {
        program: options.program.clone(),
        directory: directory.to_owned(),
        cluster: topology.cluster.to_owned(),
        region: topology.region.to_owned(),
        store: platform,
        machines: platform,
        // Every second machine, so that the seeds are not all of one service.
        seeds: machines.iter().step_by(2).take(SEEDS).map(seed).collect(),
        advertise: options.proxied.then_some(fault_proxy::advertised),
        log_level: options.log_level.clone(),
    }
}

fn start_daemons(machines: &[LabMachine], options: &DaemonOptions) -> std::io::Result<Vec<DaemonProcess>> {
    machines.iter().map(|machine| DaemonProcess::start(machine.clone(), options)).collect()
}

fn machines(topology: &Topology, network: &Network) -> Vec<LabMachine> {
    let mut machines = Vec::new();
    for (group, service) in topology.services.iter().enumerate() {
        for server in 0..service.servers {
            machines.push(LabMachine {
                ip: network.machine(group as u8 + 1, server + 1),
                // Each service begins in another zone, so that small services are spread too.
                zone: topology.zones[(usize::from(server) + group) % topology.zones.len()].to_owned(),
                service: service.name.clone(),
                slots: service.slots,
            });
        }
    }
    machines
}
