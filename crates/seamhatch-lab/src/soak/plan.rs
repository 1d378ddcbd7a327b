//! The plan of a soak: its load, and which fault begins and ends when. Drawn from a seed or read from a file.
//!
//! Everything that a soak decides is in its plan, so that a failing one can be played again, changed by hand, and kept. The form of
//! the file stays as it is: kept plans must remain readable.

use super::fault::SoakFault;
use super::fleet::{DaemonIndex, SERVERS, SoakFleet};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// A soak's load and faults.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SoakPlan {
    /// What it was drawn from; names the run.
    pub seed: u64,
    /// How long load is sent, in seconds.
    pub seconds: u64,
    /// Requests a second, each sent to a drawn daemon over any connection.
    pub rate: f64,
    /// Further clients, each of which keeps one connection until the daemon closes it or announces that it will.
    #[serde(default)]
    pub clients: usize,
    /// Servers of each service.
    #[serde(default = "usual_servers")]
    pub servers: u8,
    /// The faults, by the time at which they begin.
    #[serde(default)]
    pub faults: Vec<PlannedFault>,
}

/// A fault with its beginning and its length.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedFault {
    /// Milliseconds from the beginning of the load.
    pub at_ms: u64,
    /// Length in milliseconds.
    pub for_ms: u64,
    /// The fault.
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
    /// The file is not a plan.
    #[error("{path} is not a plan: {source}; `soak --seed S --plan` prints one")]
    Form {
        /// The file.
        path: String,
        /// What the parser says.
        source: Box<toml::de::Error>,
    },
    /// A fault names a daemon that isn't there.
    #[error("fault {number} names daemon {daemon}; the deployment has daemons 0 to {last}")]
    Daemon {
        /// Position of the fault in the plan, from 1.
        number: usize,
        /// The daemon.
        daemon: DaemonIndex,
        /// The last daemon of the deployment.
        last: DaemonIndex,
    },
    /// A fault ends after the load.
    #[error("fault {number} ends at {end_ms} ms; the load ends at {load_ms} ms: raise `seconds`")]
    Late {
        /// Position of the fault in the plan, from 1.
        number: usize,
        /// Its end, in milliseconds from the beginning of the load.
        end_ms: u64,
        /// The end of the load, in milliseconds.
        load_ms: u64,
    },
}

impl SoakPlan {
    /// Reads a plan and checks it against a deployment of this many services.
    ///
    /// # Errors
    /// The file can't be read or is not a plan; a fault names a missing daemon or ends after the load.
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
        toml::to_string(self).expect("numbers, names and lists can be written as TOML")
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
    /// Its end, in milliseconds from the beginning of the load.
    #[must_use]
    pub fn end_ms(&self) -> u64 {
        self.at_ms + self.for_ms
    }
}

fn usual_servers() -> u8 {
    SERVERS
}
