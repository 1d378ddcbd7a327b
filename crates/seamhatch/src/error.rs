//! What can go wrong, and the exit code that pipelines branch on. Each message names the remedy.

use std::path::PathBuf;
use thiserror::Error;

/// A command that did not do what was asked.
#[derive(Debug, Error)]
pub enum CliError {
    /// The command line is wrong.
    #[error("{detail}; see seamhatch --help")]
    Usage {
        /// What is wrong.
        detail: String,
    },
    /// A file can't be read.
    #[error("{path} can't be read: {source}; check the path")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The configuration or the request was refused; nothing was changed.
    #[error("{detail}")]
    Refused {
        /// Why, with the remedy.
        detail: String,
    },
    /// Another submission came first.
    #[error("{detail}")]
    Conflict {
        /// Both, with the remedy.
        detail: String,
    },
    /// It is not known whether the submission was accepted.
    #[error("{detail}")]
    UnknownOutcome {
        /// What is known, and how to find out.
        detail: String,
    },
    /// No daemon answered, or none could do it; nothing was changed.
    #[error("{detail}")]
    Unreachable {
        /// Why, with the remedy.
        detail: String,
    },
    /// A wait ended before what was waited for.
    #[error("{detail}")]
    TimedOut {
        /// What is still missing.
        detail: String,
    },
    /// The client itself failed.
    #[error("the client failed: {detail}; please report this")]
    Internal {
        /// Why.
        detail: String,
    },
}

impl CliError {
    /// The process's exit code.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Internal { .. } => 1,
            Self::Usage { .. } | Self::Unreadable { .. } => 2,
            Self::Refused { .. } => 3,
            Self::Conflict { .. } => 4,
            Self::UnknownOutcome { .. } => 5,
            Self::Unreachable { .. } => 6,
            Self::TimedOut { .. } => 7,
        }
    }
}
