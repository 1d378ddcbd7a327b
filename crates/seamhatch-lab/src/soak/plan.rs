//! What a soak does to a deployment, and when: drawn from a seed, or read from a file.

use super::fault::SoakFault;
use super::fleet::{DaemonIndex, SERVERS, SoakFleet};
use serde::{Deserialize, Serialize};
use std::path::Path;

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

/// Why a plan can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SoakPlanError {
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
    pub fn read(path: &Path, services: usize) -> Result<Self, SoakPlanError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| SoakPlanError::Read { path: name.clone(), source })?;
        let plan: Self = toml::from_str(&text)
            .map_err(|source| SoakPlanError::Form { path: name, source: Box::new(source) })?;
        plan.check(SoakFleet { services, servers: plan.servers })?;
        Ok(plan)
    }

    /// The plan as a file holds it.
    #[must_use]
    pub fn to_text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    fn check(&self, fleet: SoakFleet) -> Result<(), SoakPlanError> {
        let load_ms = self.seconds * 1_000;
        for (index, planned) in self.faults.iter().enumerate() {
            let number = index + 1;
            let last = fleet.daemons().saturating_sub(1);
            if let Some(daemon) = planned.fault.daemons().into_iter().find(|daemon| *daemon > last) {
                return Err(SoakPlanError::Daemon { number, daemon, last });
            }
            let end_ms = planned.end_ms();
            if end_ms > load_ms {
                return Err(SoakPlanError::Late { number, end_ms, load_ms });
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

fn usual_servers() -> u8 {
    SERVERS
}
