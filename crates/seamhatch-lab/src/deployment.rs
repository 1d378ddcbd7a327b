//! A whole deployment: platform, back ends, and one daemon process a server.

use crate::backends::{Backends, CallMode};
use crate::fault_proxy::{self, FaultProxy};
use crate::network::Network;
use crate::platform::Platform;
use crate::process::{DaemonOptions, DaemonProcess, Machine};
use crate::relays::BackendRelays;
use crate::topology::Topology;
use http::Request;
use http_body_util::{BodyExt, Empty};
use seamhatch_core::identity::Address;
use seamhatch_core::roster::WITNESSES;
use seamhatchd::control::StatusReport;
use seamhatchd::server::backend::http_client;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Group number of the platform's machine.
const PLATFORM_GROUP: u8 = 0;
/// Seeds that each daemon is given.
const SEEDS: usize = 3;
/// Longest wait for a deployment to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(40);
/// File of the document that was submitted last.
const DOCUMENT: &str = "document.toml";
/// Pause between two looks at what is waited for.
const POLL: Duration = Duration::from_millis(20);

/// How a deployment is started.
#[derive(Debug, Clone)]
pub struct DeploymentOptions {
    /// The emulator's program.
    pub program: PathBuf,
    /// Log level of the daemons.
    pub log_level: String,
    /// Put a fault-injecting proxy in front of each daemon, and a relay in front of each back end.
    pub proxied: bool,
    /// With [`CallMode::Direct`] no daemons are started.
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
    /// One a server, in the order of the topology.
    pub daemons: Vec<DaemonProcess>,
    /// All machines, in the same order.
    pub machines: Vec<Machine>,
    /// What restarted daemons are started with.
    pub options: DaemonOptions,
    relays: Option<BackendRelays>,
    proxy: Option<FaultProxy>,
    directory: TempDir,
    _network: Network,
}

impl Deployment {
    /// Starts a deployment and brings its configuration into force.
    ///
    /// # Errors
    /// What did not start in time, with a daemon's view of it.
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
        let relays = options.proxied.then(|| BackendRelays::start(&machines, Machine::behind_relay));
        let relays = relays.transpose()?;
        let backends = Backends::start(&topology, &machines, options.mode, relays.clone())?;
        let proxy = if options.proxied { Some(FaultProxy::start(&machines).await?) } else { None };
        let seed_of = |machine: &Machine| match &proxy {
            Some(_) => fault_proxy::advertised(machine).gossip,
            None => machine.gossip(),
        };
        let daemon_options = DaemonOptions {
            program: options.program.clone(),
            directory: directory.path().to_owned(),
            cluster: topology.cluster.to_owned(),
            region: topology.region.to_owned(),
            store: platform.address(),
            machines: platform.address(),
            seeds: machines.iter().step_by(2).take(SEEDS).map(seed_of).collect(),
            advertise: options.proxied.then_some(fault_proxy::advertised),
            log_level: options.log_level.clone(),
        };
        let machines_with_daemon =
            if options.mode == CallMode::ThroughDaemon { machines.clone() } else { Vec::new() };
        let daemons =
            machines_with_daemon.into_iter().map(|machine| DaemonProcess::start(machine, &daemon_options));
        let daemons = daemons.collect::<std::io::Result<Vec<_>>>()?;
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

    /// Starts a daemon anew on the machine where one was killed or has ended.
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
    pub fn machines_of(&self, service: &str) -> Vec<Machine> {
        self.machines.iter().filter(|machine| machine.service == service).cloned().collect()
    }

    /// Position of the daemon on a machine.
    #[must_use]
    pub fn position(&self, machine: &Machine) -> Option<usize> {
        self.daemons.iter().position(|daemon| daemon.machine.ip == machine.ip)
    }

    /// Runs the operators' client against a daemon.
    ///
    /// # Errors
    /// The client can't be started.
    pub fn client(&self, daemon: usize, arguments: &[&str]) -> std::io::Result<Output> {
        self.client_command(daemon, arguments).output()
    }

    /// The operators' client against a daemon, to be run.
    fn client_command(&self, daemon: usize, arguments: &[&str]) -> Command {
        let mut all: Vec<OsString> = vec!["client".into(), "--daemon".into()];
        all.push(self.daemons[daemon].machine.admin().to_string().into());
        all.extend(arguments.iter().map(OsString::from));
        let mut command = Command::new(&self.options.program);
        command.args(all).stdin(Stdio::null());
        command
    }

    /// The client as it submits the document that the deployment began with once more, to be run.
    #[must_use]
    pub fn submission(&self, daemon: usize, more: &[&str]) -> Command {
        let file = self.directory.path().join(DOCUMENT).to_string_lossy().into_owned();
        let mut arguments = vec!["submit", &file, "--author", "lab"];
        arguments.extend_from_slice(more);
        self.client_command(daemon, &arguments)
    }

    /// Submits a document through a daemon and waits until it is in force everywhere.
    ///
    /// # Errors
    /// The client's error output.
    pub fn submit(&self, daemon: usize, document: &str, more: &[&str]) -> Result<String, String> {
        let file = self.directory.path().join(DOCUMENT);
        std::fs::write(&file, document).map_err(|error| error.to_string())?;
        let path = file.to_string_lossy().into_owned();
        let mut arguments = vec!["submit", &path, "--author", "lab"];
        arguments.extend_from_slice(more);
        let output = self.client(daemon, &arguments).map_err(|error| error.to_string())?;
        if output.status.success() {
            Ok(String::from_utf8_lossy(&output.stdout).into_owned())
        } else {
            Err(String::from_utf8_lossy(&output.stderr).into_owned())
        }
    }

    /// What one daemon says of the deployment; none when it doesn't answer.
    pub async fn status(&self, daemon: usize) -> Option<StatusReport> {
        status_of(self.daemons[daemon].machine.admin()).await
    }

    /// Waits until every daemon answers at its admin listener.
    pub async fn wait_started(&self, longest: Duration) -> bool {
        self.wait_all(longest, |_| true).await
    }

    /// Waits until every daemon is ready, knows all the others as live and ready,
    /// and all witnesses grant claims.
    pub async fn wait_ready(&self, longest: Duration) -> bool {
        let members = self.daemons.len();
        self.wait_all(longest, |report| {
            let ready = report.members.iter().filter(|member| {
                member.lifecycle == seamhatch_core::membership::Lifecycle::Ready
                    && member.liveness == seamhatch_core::membership::Liveness::Alive
            });
            let granting = report.shards.iter().all(|shard| shard.serving >= members.min(WITNESSES));
            report.ready && ready.count() == members && !report.shards.is_empty() && granting
        })
        .await
    }

    /// Waits until a condition holds for every daemon's report.
    pub async fn wait_all(&self, longest: Duration, holds: impl Fn(&StatusReport) -> bool) -> bool {
        let end = Instant::now() + longest;
        for daemon in 0..self.daemons.len() {
            while !self.status(daemon).await.is_some_and(|report| holds(&report)) {
                if Instant::now() >= end {
                    return false;
                }
                tokio::time::sleep(POLL).await;
            }
        }
        true
    }

    /// The log of a daemon so far.
    #[must_use]
    pub fn log(&self, daemon: usize) -> String {
        let name = format!("{}.log", self.daemons[daemon].machine.ip);
        std::fs::read_to_string(self.directory.path().join(name)).unwrap_or_default()
    }
}

/// What the daemon at an admin address says; none when it doesn't answer.
pub async fn status_of(admin: Address) -> Option<StatusReport> {
    let request =
        Request::get(format!("http://{admin}/v1/status")).body(Empty::<bytes::Bytes>::new()).ok()?;
    let response = http_client().request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

fn machines(topology: &Topology, network: &Network) -> Vec<Machine> {
    let mut machines = Vec::new();
    for (group, service) in topology.services.iter().enumerate() {
        for server in 0..service.servers {
            machines.push(Machine {
                ip: network.machine(group as u8 + 1, server + 1),
                // Each service begins in another zone, so that small ones spread too.
                zone: topology.zones[(usize::from(server) + group) % topology.zones.len()].to_owned(),
                service: service.name.clone(),
                slots: service.slots,
            });
        }
    }
    machines
}
