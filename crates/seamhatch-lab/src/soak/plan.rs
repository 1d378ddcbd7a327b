//! What a soak does to a deployment, and when: drawn from a seed, or read from a file.

use serde::{Deserialize, Serialize};
use std::ops::Range;
use std::path::Path;

/// Position of a daemon, in the order of the topology.
pub type DaemonIndex = usize;

/// Servers of each service, where a plan doesn't tell.
pub const SERVERS: u8 = 2;

/// The daemons of a soak: as many for each service, in the order of the services.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoakFleet {
    /// Services.
    pub services: usize,
    /// Servers of each, with a daemon beside each.
    pub servers: u8,
}

impl SoakFleet {
    /// All daemons.
    #[must_use]
    pub fn daemons(self) -> usize {
        self.services * usize::from(self.servers)
    }

    /// The daemons of a service.
    #[must_use]
    pub fn of_service(self, service: usize) -> Range<DaemonIndex> {
        let servers = usize::from(self.servers);
        service * servers..(service + 1) * servers
    }
}

/// A soak from its beginning to its end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SoakPlan {
    /// What it was drawn from; names the run.
    pub seed: u64,
    /// How long load is sent.
    pub seconds: u64,
    /// Requests a second that are sent to any daemon, over any connection.
    pub rate: f64,
    /// Clients besides that keep one connection each, until it is closed or the daemon says that it closes it.
    #[serde(default)]
    pub clients: usize,
    /// Servers of each service.
    #[serde(default = "usual_servers")]
    pub servers: u8,
    /// In the order of their beginnings.
    #[serde(default)]
    pub faults: Vec<PlannedFault>,
}

/// A fault and its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedFault {
    /// Milliseconds from the beginning of the load.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// What happens.
    pub fault: SoakFault,
}

/// What can happen to a deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum SoakFault {
    /// Daemons are killed, and started again at the end.
    Kill {
        /// Which.
        daemons: Vec<DaemonIndex>,
    },
    /// A daemon stands still.
    Pause {
        /// Which.
        daemon: DaemonIndex,
    },
    /// A daemon is asked to stop, and started again when it has ended.
    PlannedStop {
        /// Which.
        daemon: DaemonIndex,
    },
    /// A daemon is asked to stop, and asked again while it does, which changes nothing; started again when
    /// it has ended.
    HastyStop {
        /// Which.
        daemon: DaemonIndex,
        /// Time between the two, in milliseconds.
        again_ms: u64,
    },
    /// A daemon reads changed settings, and the usual ones at the end.
    Reload {
        /// Which.
        daemon: DaemonIndex,
        /// Log level, which changes at once.
        log_level: ReloadLevel,
        /// Slots that the file has more, which count from the next start on.
        more_slots: u32,
    },
    /// A daemon and all others don't hear each other, or one side doesn't hear.
    Cut {
        /// Which.
        daemon: DaemonIndex,
        /// What is lost.
        way: CutWay,
    },
    /// A daemon's connections with others are reset.
    Reset {
        /// Which.
        daemon: DaemonIndex,
    },
    /// What a daemon and others send each other comes late.
    Delay {
        /// Which.
        daemon: DaemonIndex,
        /// By how much, in milliseconds.
        delay_ms: u64,
    },
    /// The store answers nothing but errors.
    StoreOut,
    /// The store answers late.
    StoreSlow {
        /// By how much, in milliseconds.
        delay_ms: u64,
    },
    /// The store takes only so many requests a second.
    StoreThrottled {
        /// How many.
        per_second: u32,
    },
    /// Writes are done, and their answers lost.
    StoreLosesAnswers {
        /// How many.
        writes: u32,
    },
    /// The machine list can't be read.
    MachinesOut,
    /// A back end works slowly.
    ServerSlow {
        /// The daemon beside it.
        daemon: DaemonIndex,
        /// Service time in percent of the usual.
        percent: u32,
    },
    /// A back end answers 500.
    ServerFails {
        /// The daemon beside it.
        daemon: DaemonIndex,
    },
    /// A back end breaks off its answers.
    ServerCuts {
        /// The daemon beside it.
        daemon: DaemonIndex,
    },
    /// A back end claims in its answers that nothing has run.
    ServerForges {
        /// The daemon beside it.
        daemon: DaemonIndex,
    },
    /// A back end crashes, and is back at the end.
    ServerCrash {
        /// The daemon beside it.
        daemon: DaemonIndex,
    },
    /// Callers come again and again, at all daemons, with a request that crashes each back end that runs it.
    DeadlyRequest {
        /// Number of the request, the same for all its copies.
        number: u64,
    },
    /// A new configuration is submitted.
    Configuration {
        /// The daemon that is asked.
        daemon: DaemonIndex,
    },
}

/// Log level that a daemon is told to change to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReloadLevel {
    /// Less than usual.
    Warn,
    /// More.
    Debug,
    /// All.
    Trace,
}

impl ReloadLevel {
    /// As the settings name it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Warn => "warn",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

/// Which direction of a daemon's links is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutWay {
    /// Both.
    Both,
    /// What it sends.
    From,
    /// What is sent to it.
    To,
}

/// Why a plan can't be used.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The file can't be read.
    #[error("the plan {path} can't be read: {source}")]
    Read {
        /// The file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file is no plan.
    #[error("{path} is no plan: {source}; `soak --seed S --plan` prints one")]
    Form {
        /// The file.
        path: String,
        /// What the parser says.
        source: Box<toml::de::Error>,
    },
    /// A fault names a daemon that isn't there.
    #[error("fault {number} names daemon {daemon}; the deployment has daemons 0 to {last}")]
    Daemon {
        /// Place of the fault, from 1 on.
        number: usize,
        /// The daemon.
        daemon: DaemonIndex,
        /// The last daemon.
        last: DaemonIndex,
    },
    /// A fault ends after the load.
    #[error("fault {number} ends at {end_ms} ms; the load ends at {load_ms} ms: raise `seconds`")]
    Late {
        /// Place of the fault, from 1 on.
        number: usize,
        /// Its end.
        end_ms: u64,
        /// The end of the load.
        load_ms: u64,
    },
}

impl SoakPlan {
    /// Reads a plan and checks it for a deployment of this many services.
    ///
    /// # Errors
    /// It can't be read or used.
    pub fn read(path: &Path, services: usize) -> Result<Self, PlanError> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|source| PlanError::Read { path: name.clone(), source })?;
        let plan: Self = toml::from_str(&text)
            .map_err(|source| PlanError::Form { path: name, source: Box::new(source) })?;
        plan.check(SoakFleet { services, servers: plan.servers })?;
        Ok(plan)
    }

    /// The plan as a file holds it.
    #[must_use]
    pub fn to_text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    fn check(&self, fleet: SoakFleet) -> Result<(), PlanError> {
        let load_ms = self.seconds * 1_000;
        for (index, planned) in self.faults.iter().enumerate() {
            let number = index + 1;
            let last = fleet.daemons().saturating_sub(1);
            if let Some(daemon) = planned.fault.daemons().into_iter().find(|daemon| *daemon > last) {
                return Err(PlanError::Daemon { number, daemon, last });
            }
            let end_ms = planned.end_ms();
            if end_ms > load_ms {
                return Err(PlanError::Late { number, end_ms, load_ms });
            }
        }
        Ok(())
    }
}

impl PlannedFault {
    /// When it ends, in milliseconds from the beginning of the load.
    #[must_use]
    pub fn end_ms(&self) -> u64 {
        self.at_ms + self.for_ms
    }
}

impl SoakFault {
    /// The daemons that it strikes, or whose back ends it strikes.
    #[must_use]
    pub fn daemons(&self) -> Vec<DaemonIndex> {
        match self {
            Self::Kill { daemons } => daemons.clone(),
            Self::Pause { daemon }
            | Self::PlannedStop { daemon }
            | Self::HastyStop { daemon, .. }
            | Self::Reload { daemon, .. }
            | Self::Cut { daemon, .. }
            | Self::Reset { daemon }
            | Self::Delay { daemon, .. }
            | Self::ServerSlow { daemon, .. }
            | Self::ServerFails { daemon }
            | Self::ServerCuts { daemon }
            | Self::ServerForges { daemon }
            | Self::ServerCrash { daemon }
            | Self::Configuration { daemon } => vec![*daemon],
            Self::StoreOut
            | Self::StoreSlow { .. }
            | Self::StoreThrottled { .. }
            | Self::StoreLosesAnswers { .. }
            | Self::MachinesOut
            | Self::DeadlyRequest { .. } => Vec::new(),
        }
    }
}

fn usual_servers() -> u8 {
    SERVERS
}
