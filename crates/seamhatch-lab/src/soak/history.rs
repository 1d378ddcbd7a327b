//! What callers, back ends and operators saw of a soak, as lines of JSON.

use super::fault::SoakFault;
use super::fleet::DaemonIndex;
use crate::backends::Execution;
use crate::client::CallerAnswer;
use serde::{Deserialize, Serialize};

/// The caller's name of a request.
pub type RequestName = String;
/// Milliseconds from the beginning of the load.
pub type SoakMillis = u64;

/// One line of a history. The lines of one observer are in the order of time; those of several are not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum HistoryEvent {
    /// A daemon of the deployment.
    Daemon {
        /// Which.
        daemon: DaemonIndex,
        /// Service of the server beside it.
        service: String,
    },
    /// A caller sends a request.
    Sent {
        /// When.
        at_ms: SoakMillis,
        /// Which.
        request: RequestName,
        /// The daemon that it is sent to.
        daemon: DaemonIndex,
        /// The service that it goes to; empty where that isn't known.
        #[serde(default)]
        service: String,
        /// It carries an idempotency key: it may run once at most.
        keyed: bool,
    },
    /// The caller has its answer, or knows that none comes.
    Answered {
        /// When.
        at_ms: SoakMillis,
        /// Which.
        request: RequestName,
        /// What it got.
        answer: SeenAnswer,
    },
    /// A back end has run a call of a request.
    Executed {
        /// The request that it belongs to.
        request: RequestName,
        /// Service of the back end.
        service: String,
        /// Method and path.
        call: String,
        /// Services and endpoints from the entry to here.
        trail: String,
    },
    /// A daemon tells operators its state.
    Status {
        /// When.
        at_ms: SoakMillis,
        /// Which.
        daemon: DaemonIndex,
        /// Its lives before this one.
        life: u32,
        /// Configuration in force there.
        generation: u64,
    },
    /// A fault begins.
    FaultBegins {
        /// When.
        at_ms: SoakMillis,
        /// What.
        fault: SoakFault,
    },
    /// A fault has ended.
    FaultEnds {
        /// When.
        at_ms: SoakMillis,
        /// What.
        fault: SoakFault,
    },
    /// The client said that a configuration was accepted.
    Accepted {
        /// When.
        at_ms: SoakMillis,
        /// Its number.
        generation: u64,
    },
    /// All faults are over and the deployment was given its time to recover.
    Healed {
        /// When.
        at_ms: SoakMillis,
        /// All daemons were ready again.
        ready: bool,
    },
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenAnswer {
    /// HTTP status, zero when none came.
    pub status: u16,
    /// `Seamhatch-Outcome`.
    pub outcome: String,
    /// `Seamhatch-Reason`, or why no answer came.
    pub reason: String,
    /// It said when to come back.
    pub comes_back: bool,
    /// The body is complete and answers this request.
    pub whole: bool,
}

impl From<&CallerAnswer> for SeenAnswer {
    fn from(answer: &CallerAnswer) -> Self {
        Self {
            status: answer.status,
            outcome: answer.outcome.clone(),
            reason: answer.reason.clone(),
            comes_back: answer.retry_after.is_some(),
            whole: answer.whole,
        }
    }
}

impl From<Execution> for HistoryEvent {
    fn from(execution: Execution) -> Self {
        Self::Executed {
            request: execution.request,
            service: execution.service,
            call: execution.call,
            trail: execution.trail,
        }
    }
}

/// Why a history can't be read.
#[derive(Debug, thiserror::Error)]
#[error("line {line} of the history is no event: {source}")]
pub struct HistoryError {
    /// Number of the line, from 1 on.
    pub line: usize,
    /// What the parser says.
    pub source: serde_json::Error,
}

/// A history as a file holds it.
#[must_use]
pub fn to_lines(history: &[HistoryEvent]) -> String {
    let lines = history.iter().filter_map(|event| serde_json::to_string(event).ok());
    lines.map(|line| line + "\n").collect()
}

/// A history from a file's text.
///
/// # Errors
/// A line is no event.
pub fn from_lines(text: &str) -> Result<Vec<HistoryEvent>, HistoryError> {
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let event =
        |(index, line)| serde_json::from_str(line).map_err(|source| HistoryError { line: index + 1, source });
    lines.map(event).collect()
}
