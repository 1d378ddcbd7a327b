//! The faults that a plan can hold, as its file names them.

use super::fleet::DaemonIndex;
use serde::{Deserialize, Serialize};

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

/// What faults act on, as far as the checks tell them apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultGroup {
    /// Daemons: they end without notice.
    Kill,
    /// Daemons: they are asked to stop.
    Stop,
    /// Requests in progress: their daemon, its links or its back end.
    RequestPath,
    /// The key-value store.
    Store,
    /// Settings, configuration and machine list; requests are served as before.
    Control,
    /// What callers send.
    Callers,
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
            | Self::ServerCrash { .. } => FaultGroup::RequestPath,
            Self::StoreOut
            | Self::StoreSlow { .. }
            | Self::StoreThrottled { .. }
            | Self::StoreLosesAnswers { .. } => FaultGroup::Store,
            Self::Reload { .. } | Self::Configuration { .. } | Self::MachinesOut => FaultGroup::Control,
            Self::DeadlyRequest { .. } => FaultGroup::Callers,
        }
    }

    /// Whether a daemon's process ends by it.
    #[must_use]
    pub fn ends_process(&self) -> bool {
        matches!(self.group(), FaultGroup::Kill | FaultGroup::Stop)
    }
}
