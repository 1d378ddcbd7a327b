//! What a soak does to a deployment, and when: drawn from a seed, or read from a file.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::Duration;

/// Position of a daemon, in the order of the topology.
pub type DaemonIndex = usize;

/// Requests a second that a drawn plan sends.
const RATE: f64 = 60.0;
/// Clients that keep their connections in a drawn plan, for each daemon.
const CLIENTS_PER_DAEMON: usize = 3;
/// Time without faults at both ends of a plan.
const QUIET: Duration = Duration::from_secs(4);
/// Time between the beginnings of two drawn faults.
const GAP_MS: std::ops::Range<u64> = 1_500..5_000;
/// How long a drawn fault lasts.
const LENGTH_MS: std::ops::Range<u64> = 500..4_000;
/// One drawn fault in so many is a planned stop, and has the deployment for itself.
const PLANNED_STOP_EVERY: u32 = 6;
/// A planned stop is kept apart from other faults by this much on both sides.
const APART: Duration = Duration::from_secs(6);

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
    /// A new configuration is submitted.
    Configuration {
        /// The daemon that is asked.
        daemon: DaemonIndex,
    },
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
    /// The plan of a seed, for a deployment of this many daemons; the same each time.
    #[must_use]
    pub fn draw(seed: u64, seconds: u64, daemons: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let end = Duration::from_secs(seconds).saturating_sub(QUIET);
        let mut faults = Vec::new();
        let mut at = QUIET;
        loop {
            let planned = rng.random_range(0..PLANNED_STOP_EVERY) == 0;
            let fault = if planned {
                at += APART;
                SoakFault::PlannedStop { daemon: rng.random_range(0..daemons) }
            } else {
                draw_fault(&mut rng, daemons)
            };
            let length = Duration::from_millis(rng.random_range(LENGTH_MS));
            if at + length > end {
                return Self { seed, seconds, rate: RATE, clients: CLIENTS_PER_DAEMON * daemons, faults };
            }
            faults.push(PlannedFault { at_ms: millis(at), for_ms: millis(length), fault });
            at += if planned { length + APART } else { Duration::from_millis(rng.random_range(GAP_MS)) };
        }
    }

    /// Reads a plan and checks it for a deployment of this many daemons.
    ///
    /// # Errors
    /// It can't be read or used.
    pub fn read(path: &Path, daemons: usize) -> Result<Self, PlanError> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|source| PlanError::Read { path: name.clone(), source })?;
        let plan: Self = toml::from_str(&text)
            .map_err(|source| PlanError::Form { path: name, source: Box::new(source) })?;
        plan.check(daemons)?;
        Ok(plan)
    }

    /// The plan as a file holds it.
    #[must_use]
    pub fn to_text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    fn check(&self, daemons: usize) -> Result<(), PlanError> {
        let load_ms = self.seconds * 1_000;
        for (index, planned) in self.faults.iter().enumerate() {
            let number = index + 1;
            let last = daemons.saturating_sub(1);
            if let Some(daemon) = planned.fault.daemons().into_iter().find(|daemon| *daemon > last) {
                return Err(PlanError::Daemon { number, daemon, last });
            }
            let end_ms = planned.at_ms + planned.for_ms;
            if end_ms > load_ms {
                return Err(PlanError::Late { number, end_ms, load_ms });
            }
        }
        Ok(())
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
            | Self::Cut { daemon, .. }
            | Self::Reset { daemon }
            | Self::Delay { daemon, .. }
            | Self::ServerSlow { daemon, .. }
            | Self::ServerFails { daemon }
            | Self::ServerCuts { daemon }
            | Self::ServerForges { daemon }
            | Self::Configuration { daemon } => vec![*daemon],
            Self::StoreOut
            | Self::StoreSlow { .. }
            | Self::StoreThrottled { .. }
            | Self::StoreLosesAnswers { .. }
            | Self::MachinesOut => Vec::new(),
        }
    }
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

fn draw_fault(rng: &mut SmallRng, daemons: usize) -> SoakFault {
    let daemon = rng.random_range(0..daemons);
    match rng.random_range(0..14) {
        0 => SoakFault::Kill { daemons: vec![daemon] },
        1 => SoakFault::Kill { daemons: (0..daemons).filter(|_| rng.random_bool(0.5)).collect() },
        2 => SoakFault::Pause { daemon },
        3 => SoakFault::Cut { daemon, way: draw_way(rng) },
        4 => SoakFault::Reset { daemon },
        5 => SoakFault::Delay { daemon, delay_ms: rng.random_range(5..200) },
        6 => SoakFault::StoreOut,
        7 => SoakFault::StoreSlow { delay_ms: rng.random_range(50..1_500) },
        8 => SoakFault::StoreThrottled { per_second: rng.random_range(1..20) },
        9 => SoakFault::StoreLosesAnswers { writes: rng.random_range(1..5) },
        10 => SoakFault::ServerSlow { daemon, percent: rng.random_range(200..2_000) },
        11 => SoakFault::ServerFails { daemon },
        12 => SoakFault::ServerCuts { daemon },
        _ => SoakFault::Configuration { daemon },
    }
}

fn draw_way(rng: &mut SmallRng) -> CutWay {
    match rng.random_range(0..3) {
        0 => CutWay::Both,
        1 => CutWay::From,
        _ => CutWay::To,
    }
}
