//! The history of a soak: what callers, back ends and operators saw, one JSON object a line.
//!
//! The checks and the report read nothing else, so a kept history can be judged again. Field and event names are the form of a kept
//! file and stay as they are.

use super::fault::SoakFault;
use super::fleet::DaemonIndex;
use crate::backends::Execution;
use crate::client::CallerAnswer;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::time::Instant;

/// Outcome of a request that was not run.
pub(crate) const NOT_RUN: &str = "not-run";
/// Outcome of a request that a back end answered.
pub(crate) const ANSWERED: &str = "answered";
/// Status of an answer that is neither a success nor a refusal.
pub(crate) const FAILED: u16 = 502;

/// The caller's name of a request.
pub type RequestName = String;
/// Milliseconds since the beginning of the load.
pub type SoakMillis = u64;

/// One line of a history. Lines of one observer are in the order of time; those of different observers need not be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum HistoryEvent {
    /// A daemon of the deployment.
    Daemon {
        /// Which.
        daemon: DaemonIndex,
        /// Service of the server beside it.
        service: String,
        /// Its machine, as [`HistoryEvent::Executed`] names it; empty in histories that were kept without it.
        #[serde(default)]
        server: String,
    },
    /// A caller sends a request.
    Sent {
        /// When.
        at_ms: SoakMillis,
        /// Which.
        request: RequestName,
        /// The daemon that it is sent to.
        daemon: DaemonIndex,
        /// The service that it goes to; empty in histories that were kept without it.
        #[serde(default)]
        service: String,
        /// Whether it carries an idempotency key and so may run at most once.
        keyed: bool,
    },
    /// A caller has its answer, or has given up.
    Answered {
        /// When.
        at_ms: SoakMillis,
        /// Which.
        request: RequestName,
        /// What the caller got.
        answer: SeenAnswer,
    },
    /// A back end has run a call of a request.
    Executed {
        /// The request that the call belongs to.
        request: RequestName,
        /// Service of the back end.
        service: String,
        /// Method and path.
        call: String,
        /// Services and endpoints that the request passed, from the entry to here.
        trail: String,
        /// When it began; 0 in histories that were kept without it.
        #[serde(default)]
        at_ms: SoakMillis,
        /// The machine of the back end; empty in histories that were kept without it.
        #[serde(default)]
        server: String,
        /// It crashed the back end.
        #[serde(default)]
        is_deadly: bool,
    },
    /// A daemon answered a back end's own call with a refusal or a failure, by its log.
    CallFailed {
        /// The request that the call belongs to.
        request: RequestName,
        /// Service that was called.
        service: String,
        /// `Seamhatch-Reason`.
        reason: String,
    },
    /// A daemon reported its status.
    Status {
        /// When.
        at_ms: SoakMillis,
        /// Which.
        daemon: DaemonIndex,
        /// How often it had been started again; kept histories call it `life`.
        #[serde(rename = "life")]
        restarts: u32,
        /// Generation of the configuration in force there.
        generation: u64,
        /// Whether it took work; false in histories that were kept without it.
        #[serde(default)]
        ready: bool,
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
    /// The operators' client reported that a configuration was accepted.
    Accepted {
        /// When.
        at_ms: SoakMillis,
        /// Its generation.
        generation: u64,
    },
    /// All faults are over, and the deployment has recovered or its time for that is up.
    Healed {
        /// When.
        at_ms: SoakMillis,
        /// Whether all daemons were ready.
        ready: bool,
    },
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenAnswer {
    /// HTTP status; 0 when no answer came.
    pub status: u16,
    /// `Seamhatch-Outcome`.
    pub outcome: String,
    /// `Seamhatch-Reason`, or why no answer came.
    pub reason: String,
    /// Whether it had a `Retry-After`.
    pub comes_back: bool,
    /// Whether the body is complete and answers this request.
    pub whole: bool,
    /// `Seamhatch-Generation`: the configuration that decided; 0 where none did, and in histories that were kept without it.
    #[serde(default)]
    pub generation: u64,
}

impl From<&CallerAnswer> for SeenAnswer {
    fn from(answer: &CallerAnswer) -> Self {
        Self {
            status: answer.status,
            outcome: answer.outcome.clone(),
            reason: answer.reason.clone(),
            comes_back: answer.retry_after.is_some(),
            whole: answer.whole,
            generation: answer.generation,
        }
    }
}

impl HistoryEvent {
    /// A run of a back end in a soak that began at `start`.
    #[must_use]
    pub fn executed(execution: Execution, start: Instant) -> Self {
        Self::Executed {
            at_ms: execution.began.saturating_duration_since(start).as_millis() as SoakMillis,
            request: execution.request,
            service: execution.service,
            call: execution.call,
            trail: execution.trail,
            server: execution.server,
            is_deadly: execution.is_deadly,
        }
    }
}

/// Why a history can't be read.
#[derive(Debug, thiserror::Error)]
#[error("line {line} of the history is not an event: {source}")]
pub struct HistoryError {
    /// Number of the line, from 1.
    pub line: usize,
    /// What the parser says.
    pub source: serde_json::Error,
}

/// A history as a file holds it.
#[must_use]
pub fn to_lines(history: &[HistoryEvent]) -> String {
    let line =
        |event| serde_json::to_string(event).expect("numbers, names and lists can be written as JSON") + "\n";
    history.iter().map(line).collect()
}

/// Reads a history from a file's text.
///
/// # Errors
/// A line is not an event.
pub fn from_lines(text: &str) -> Result<Vec<HistoryEvent>, HistoryError> {
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let event =
        |(index, line)| serde_json::from_str(line).map_err(|source| HistoryError { line: index + 1, source });
    lines.map(event).collect()
}

/// Requests of which a back end has run at least one call.
pub(super) fn executed(history: &[HistoryEvent]) -> HashSet<&RequestName> {
    let runs = history.iter().filter_map(|event| match event {
        HistoryEvent::Executed { request, .. } => Some(request),
        _ => None,
    });
    runs.collect()
}
