//! The faults that a plan can hold, as its file names them, and what each acts on.
//!
//! Plans are kept for years, so the names and fields of a file stay as they are.

use super::fleet::DaemonIndex;
use serde::{Deserialize, Serialize};

/// What can happen to a deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum SoakFault {
    /// Daemons are killed, and started again at the end of the fault.
    Kill {
        /// Which.
        daemons: Vec<DaemonIndex>,
    },
    /// A daemon is frozen.
    Pause {
        /// Which.
        daemon: DaemonIndex,
    },
    /// A daemon is asked to stop, and started again when it has ended.
    PlannedStop {
        /// Which.
        daemon: DaemonIndex,
    },
    /// A daemon is asked to stop, and asked again before it has, which must change nothing; it is started again when it has ended.
    HastyStop {
        /// Which.
        daemon: DaemonIndex,
        /// Time between the two requests, in milliseconds.
        again_ms: u64,
    },
    /// A daemon reloads changed settings, and the usual ones at the end.
    Reload {
        /// Which.
        daemon: DaemonIndex,
        /// Log level, which changes at once.
        log_level: ReloadLevel,
        /// Slots that the changed file has more than usual; they apply from the next start on.
        more_slots: u32,
    },
    /// The links between a daemon and all others are cut, in one direction or both.
    Cut {
        /// Which.
        daemon: DaemonIndex,
        /// Which direction.
        way: CutWay,
    },
    /// A daemon's connections with others are reset.
    Reset {
        /// Which.
        daemon: DaemonIndex,
    },
    /// What a daemon and the others send each other is delayed.
    Delay {
        /// Which.
        daemon: DaemonIndex,
        /// By how much, in milliseconds.
        delay_ms: u64,
    },
    /// The store answers every request with an error.
    StoreOut,
    /// The store answers late.
    StoreSlow {
        /// By how much, in milliseconds.
        delay_ms: u64,
    },
    /// The store answers only so many requests a second.
    StoreThrottled {
        /// How many.
        per_second: u32,
    },
    /// Writes to the store are carried out and their answers lost.
    StoreLosesAnswers {
        /// How many.
        writes: u32,
    },
    /// The machine list can't be read.
    MachinesOut,
    /// A back end is slow.
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
    /// A back end breaks its answers off.
    ServerCuts {
        /// The daemon beside it.
        daemon: DaemonIndex,
    },
    /// A back end claims in its answers that the request was not run.
    ServerForges {
        /// The daemon beside it.
        daemon: DaemonIndex,
    },
    /// A back end names the rate at which it takes calls.
    ServerNamesRate {
        /// The daemon beside it.
        daemon: DaemonIndex,
        /// In thousandths of a call a second.
        rate_millis: u32,
    },
    /// A back end says that it leaves; at the end it is gone, and another one comes.
    ServerLeaves {
        /// The daemon beside it.
        daemon: DaemonIndex,
    },
    /// A back end crashes, and comes back at the end.
    ServerCrash {
        /// The daemon beside it.
        daemon: DaemonIndex,
    },
    /// Callers repeat, at several daemons, a request that crashes each back end that runs it.
    DeadlyRequest {
        /// Number of the request, which all its copies share.
        number: u64,
        /// Only the back ends at the end of its chain crash.
        #[serde(default)]
        deep: bool,
    },
    /// A new configuration is submitted.
    Configuration {
        /// The daemon that it is submitted to.
        daemon: DaemonIndex,
    },
}

/// What a fault acts on, as far as the checks distinguish it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultGroup {
    /// Daemon processes, which end without notice.
    Kill,
    /// Daemon processes, which are asked to stop.
    Stop,
    /// What a request in progress depends on: a daemon that freezes, its links, its back end.
    RequestPath,
    /// The key-value store.
    Store,
    /// Settings, configuration or machine list; requests go on as before.
    Control,
    /// What callers send.
    Callers,
}

/// Log level that a reload changes to; the usual one is `info`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReloadLevel {
    /// Fewer lines than usual.
    Warn,
    /// More lines.
    Debug,
    /// All lines.
    Trace,
}

impl ReloadLevel {
    /// Its name in the settings.
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

impl SoakFault {
    /// The daemons that it affects, or whose back ends it affects.
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
            | Self::ServerNamesRate { daemon, .. }
            | Self::ServerLeaves { daemon }
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

    /// What it acts on.
    #[must_use]
    pub fn group(&self) -> FaultGroup {
        match self {
            Self::Kill { .. } => FaultGroup::Kill,
            Self::PlannedStop { .. } | Self::HastyStop { .. } => FaultGroup::Stop,
            Self::Pause { .. }
            | Self::Cut { .. }
            | Self::Reset { .. }
            | Self::Delay { .. }
            | Self::ServerSlow { .. }
            | Self::ServerFails { .. }
            | Self::ServerCuts { .. }
            | Self::ServerForges { .. }
            | Self::ServerNamesRate { .. }
            | Self::ServerLeaves { .. }
            | Self::ServerCrash { .. } => FaultGroup::RequestPath,
            Self::StoreOut
            | Self::StoreSlow { .. }
            | Self::StoreThrottled { .. }
            | Self::StoreLosesAnswers { .. } => FaultGroup::Store,
            Self::Reload { .. } | Self::Configuration { .. } | Self::MachinesOut => FaultGroup::Control,
            Self::DeadlyRequest { .. } => FaultGroup::Callers,
        }
    }

    /// Whether it ends a daemon's process.
    #[must_use]
    pub fn ends_process(&self) -> bool {
        matches!(self.group(), FaultGroup::Kill | FaultGroup::Stop)
    }
}
